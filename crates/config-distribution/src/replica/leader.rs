//! The log of a control machine while it leads.

use super::{LogReplica, MAX_RECORDS, RETRANSMIT_AFTER};
use crate::message::{LogEntry, LogMessage, LogPosition, LogRecord, Term};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Debug, Clone)]
enum Phase {
    /// The leader asks the others for their last records.
    Recovering { answers: BTreeMap<MemberId, LogPosition> },
    /// The leader fetches a more advanced log from another machine, from the next index to the last.
    Fetching { from: MemberId, next: u64, last: u64 },
    /// The leader appends records.
    Leading,
}

/// The records that were sent last to another machine.
#[derive(Debug, Clone, Copy)]
struct SentRecords {
    /// Index of the last record that was sent.
    last: u64,
    sent_at: Duration,
}

/// One term in which this machine leads.
#[derive(Debug, Clone)]
pub(super) struct Leadership {
    term: Term,
    phase: Phase,
    /// The index up to which each other machine's log is the same as the leader's.
    matched: BTreeMap<MemberId, u64>,
    sent: BTreeMap<MemberId, SentRecords>,
    retransmit_at: Duration,
}

impl Leadership {
    pub(super) fn retransmit_at(&self) -> Duration {
        self.retransmit_at
    }

    fn is_leading(&self) -> bool {
        matches!(self.phase, Phase::Leading)
    }
}

impl LogReplica {
    /// Returns the term in which this machine leads, once it may append records.
    pub fn leading_term(&self) -> Option<Term> {
        self.leadership
            .as_ref()
            .filter(|leadership| leadership.is_leading())
            .map(|leadership| leadership.term)
    }

    /// Makes this machine the leader of a term.
    pub fn become_leader(&mut self, now: Duration, term: Term) {
        if term < self.term {
            return;
        }
        self.term = term;
        self.write(self.log.len(), vec![]);
        self.leadership = Some(Leadership {
            term,
            phase: Phase::Recovering { answers: BTreeMap::new() },
            matched: BTreeMap::new(),
            sent: BTreeMap::new(),
            retransmit_at: now,
        });
        self.timer_fired(now);
    }

    /// Ends the leadership of this machine.
    pub fn step_down(&mut self) {
        self.leadership = None;
    }

    /// Retransmits unanswered messages, if that is due.
    pub fn timer_fired(&mut self, now: Duration) {
        let Some(leadership) = self.leadership.as_mut().filter(|leadership| now >= leadership.retransmit_at)
        else {
            return;
        };
        leadership.retransmit_at = now + RETRANSMIT_AFTER;
        let term = leadership.term;
        match &leadership.phase {
            Phase::Recovering { answers } => {
                for other in self.others.iter().filter(|other| !answers.contains_key(other)) {
                    self.outbox.push((*other, LogMessage::Recover { term }));
                }
            }
            Phase::Fetching { from, next, .. } => {
                self.outbox.push((*from, LogMessage::Fetch { term, from: *next }));
            }
            Phase::Leading => self.append_to_all(now, true),
        }
    }

    /// Continues with the most advanced log, once a quorum has answered and the term is on this machine's disk.
    pub(super) fn choose_log(&mut self, now: Duration) {
        let (own, persisted) = (self.last(), self.all_persisted());
        let Some(leadership) = &mut self.leadership else { return };
        let Phase::Recovering { answers } = &leadership.phase else { return };
        let quorum = (answers.len() + 1) * 2 > self.others.len() + 1;
        if !quorum || !persisted {
            return;
        }
        let best = answers.iter().max_by_key(|(_, last)| **last).map(|(id, last)| (*id, *last));
        match best.filter(|(_, last)| *last > own) {
            Some((from, last)) => {
                // Committed records are the same in both logs, so they are not fetched.
                leadership.phase = Phase::Fetching { from, next: self.committed + 1, last: last.index };
                leadership.retransmit_at = now;
                self.timer_fired(now);
            }
            None => self.start_leading(now),
        }
    }

    fn start_leading(&mut self, now: Duration) {
        if let Some(leadership) = &mut self.leadership {
            leadership.phase = Phase::Leading;
            self.append(now, vec![LogEntry::Begin]);
        }
    }

    /// Appends entries to the log, if this machine leads.
    pub fn append(&mut self, now: Duration, entries: Vec<LogEntry>) {
        let Some(term) = self.leading_term().filter(|_| !entries.is_empty()) else { return };
        let records = entries.into_iter().map(|entry| LogRecord { term, entry }).collect();
        self.write(self.log.len(), records);
        self.append_to_all(now, false);
        self.commit(now);
    }

    fn append_to_all(&mut self, now: Duration, retransmit: bool) {
        for other in self.others.clone() {
            self.append_to(now, other, retransmit);
        }
    }

    /// Sends another machine the records that it lacks; with `retransmit` also those that it has not confirmed in time.
    fn append_to(&mut self, now: Duration, other: MemberId, retransmit: bool) {
        let (end, committed) = (self.log.len() as u64, self.committed);
        let Some(leadership) = &mut self.leadership else { return };
        let matched = leadership.matched.get(&other).copied().unwrap_or(committed.min(end));
        let unsent = SentRecords { last: matched, sent_at: Duration::ZERO };
        let sent = leadership.sent.get(&other).copied().unwrap_or(unsent);
        let overdue = retransmit && now >= sent.sent_at + RETRANSMIT_AFTER;
        let from = if overdue { matched } else { sent.last.max(matched) };
        if from == end && !retransmit {
            return;
        }
        let last = end.min(from + MAX_RECORDS as u64);
        leadership.sent.insert(other, SentRecords { last, sent_at: now });
        let term = leadership.term;
        let records = self.log[from as usize..last as usize].to_vec();
        let previous = LogPosition { term: self.term_at(from).unwrap_or(0), index: from };
        self.outbox.push((other, LogMessage::Append { term, previous, records, committed }));
    }

    /// Commits the records that a quorum has on disk. A record of a former term is committed only together with a
    /// record of this term.
    pub(super) fn commit(&mut self, now: Duration) {
        let Some(leadership) = self.leadership.as_ref().filter(|leadership| leadership.is_leading()) else {
            return;
        };
        let matched = |other: &MemberId| leadership.matched.get(other).copied().unwrap_or(0);
        let mut ends: Vec<u64> = self.others.iter().map(matched).collect();
        ends.push(self.durable);
        ends.sort_unstable_by(|a, b| b.cmp(a));
        let index = ends[ends.len() / 2];
        if index > self.committed && self.term_at(index) == Some(leadership.term) {
            self.committed = index;
            self.append_to_all(now, true);
        }
    }

    /// Returns the leadership of this machine in this term, if the machine leads in it.
    fn leadership_in(&mut self, term: Term) -> Option<&mut Leadership> {
        self.leadership.as_mut().filter(|leadership| leadership.term == term)
    }

    pub(super) fn recovered_received(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        last: LogPosition,
    ) {
        if let Some(Leadership { phase: Phase::Recovering { answers }, .. }) = self.leadership_in(term) {
            answers.insert(from, last);
            self.choose_log(now);
        }
    }

    pub(super) fn fetched_received(
        &mut self,
        now: Duration,
        from: MemberId,
        term: Term,
        index: u64,
        records: Vec<LogRecord>,
    ) {
        let Some(leadership) = self.leadership_in(term) else { return };
        let Phase::Fetching { from: source, next, last } = &mut leadership.phase else { return };
        if *source != from || *next != index || records.is_empty() {
            return;
        }
        *next = index + records.len() as u64;
        let complete = *next > *last;
        leadership.retransmit_at = now;
        self.write(index as usize - 1, records);
        if complete { self.start_leading(now) } else { self.timer_fired(now) }
    }

    pub(super) fn appended_received(&mut self, now: Duration, from: MemberId, term: Term, last: u64) {
        if let Some(leadership) = self.leadership_in(term) {
            let matched = leadership.matched.entry(from).or_default();
            *matched = (*matched).max(last);
            self.commit(now);
            self.append_to(now, from, false);
        }
    }

    pub(super) fn missing_received(&mut self, now: Duration, from: MemberId, term: Term, last: u64) {
        if let Some(leadership) = self.leadership_in(term) {
            leadership.matched.insert(from, last);
            leadership.sent.insert(from, SentRecords { last, sent_at: Duration::ZERO });
            self.append_to(now, from, false);
        }
    }
}
