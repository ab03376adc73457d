//! The log of a control machine: records that a majority has on its disks are fixed, in one order for all.
//!
//! Who leads is decided elsewhere (`grebespool-leader-election`): one leader a term. A leader that begins asks what the others
//! have, goes on with the most advanced log of a majority, and fixes what is before its own first record with that one.

use crate::message::{Control, Entry, Record, RecordId, Term};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Records of one message.
const MOST_RECORDS: usize = 256;
/// What was not answered is said again after so long.
const AGAIN: Duration = Duration::from_millis(400);

/// What has to be on the disk before others are answered.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Durable {
    /// The newest leader that was heard.
    pub term: Term,
    /// The log.
    pub log: Vec<Record>,
}

/// A change of what is on the disk.
#[derive(Debug, Clone, PartialEq)]
pub struct Write {
    /// The newest leader.
    pub term: Term,
    /// So many records stay.
    pub keep: usize,
    /// These follow them.
    pub records: Vec<Record>,
    /// Counts writes: [`Replica::written`] is told this once it is on the disk.
    pub stamp: u64,
}

impl Durable {
    /// Carries out a write.
    pub fn take(&mut self, write: &Write) {
        self.term = write.term;
        self.log.truncate(write.keep);
        self.log.extend(write.records.iter().cloned());
    }
}

#[derive(Debug, Clone)]
enum Phase {
    /// What the others have is asked for.
    Asking { answers: BTreeMap<MemberId, RecordId> },
    /// Records of a more advanced log are on their way: from whom, the next place, and the last.
    Fetching { from: MemberId, next: u64, last: u64 },
    /// Records are appended.
    Leading,
}

#[derive(Debug, Clone)]
struct Lead {
    term: Term,
    phase: Phase,
    /// Up to where each other's log is the leader's.
    matched: BTreeMap<MemberId, u64>,
    /// What was sent to each, and when.
    sent: BTreeMap<MemberId, (u64, Duration)>,
    again_at: Duration,
}

/// The log of one control machine.
#[derive(Debug, Clone)]
pub struct Replica {
    others: Vec<MemberId>,
    term: Term,
    log: Vec<Record>,
    committed: u64,
    taken: u64,
    lead: Option<Lead>,
    stamp: u64,
    on_disk: u64,
    /// Up to where the log is on this machine's disk.
    durable: u64,
    /// Answers that wait for the disk.
    held: Vec<(u64, MemberId, Control)>,
    writes: Vec<Write>,
    /// The place of the log's end at each write that is under way.
    ends: BTreeMap<u64, u64>,
    outbox: Vec<(MemberId, Control)>,
}

impl Replica {
    /// Starts with what the disk has.
    pub fn start(others: Vec<MemberId>, disk: Durable) -> Replica {
        let durable = disk.log.len() as u64;
        Replica {
            others,
            term: disk.term,
            log: disk.log,
            committed: 0,
            taken: 0,
            lead: None,
            stamp: 0,
            on_disk: 0,
            durable,
            held: vec![],
            writes: vec![],
            ends: BTreeMap::new(),
            outbox: vec![],
        }
    }

    /// Messages since this was called last.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, Control)> {
        std::mem::take(&mut self.outbox)
    }

    /// Writes since this was called last, in their order.
    pub fn take_writes(&mut self) -> Vec<Write> {
        std::mem::take(&mut self.writes)
    }

    /// Records that came to be fixed since this was called last.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let from = self.taken as usize;
        self.taken = self.committed;
        self.log[from..self.committed as usize].iter().map(|r| r.entry.clone()).collect()
    }

    /// The term that this machine leads in, once it may append.
    pub fn leads(&self) -> Option<Term> {
        self.lead.as_ref().filter(|l| matches!(l.phase, Phase::Leading)).map(|l| l.term)
    }

    /// Whether everything that this leader has appended is fixed.
    pub fn settled(&self) -> bool {
        self.committed == self.log.len() as u64
    }

    fn last(&self) -> RecordId {
        (self.log.last().map_or(0, |r| r.term), self.log.len() as u64)
    }

    fn term_at(&self, place: u64) -> Option<Term> {
        if place == 0 { Some(0) } else { self.log.get(place as usize - 1).map(|r| r.term) }
    }

    fn write(&mut self, keep: usize, records: Vec<Record>) {
        self.stamp += 1;
        self.log.truncate(keep);
        self.log.extend(records.iter().cloned());
        self.durable = self.durable.min(keep as u64);
        self.ends.values_mut().for_each(|end| *end = (*end).min(keep as u64));
        self.ends.insert(self.stamp, self.log.len() as u64);
        self.writes.push(Write { term: self.term, keep, records, stamp: self.stamp });
    }

    /// Said once all that was handed over so far is on the disk.
    fn say_durable(&mut self, to: MemberId, message: Control) {
        if self.on_disk >= self.stamp {
            self.outbox.push((to, message));
        } else {
            self.held.push((self.stamp, to, message));
        }
    }

    /// All writes up to this stamp are on the disk.
    pub fn written(&mut self, now: Duration, stamp: u64) {
        self.on_disk = self.on_disk.max(stamp);
        let later = self.ends.split_off(&(stamp + 1));
        if let Some((_, end)) = std::mem::replace(&mut self.ends, later).pop_last() {
            self.durable = self.durable.max(end);
        }
        let (ready, later) = std::mem::take(&mut self.held).into_iter().partition(|h| h.0 <= self.on_disk);
        self.held = later;
        let ready: Vec<(u64, MemberId, Control)> = ready;
        self.outbox.extend(ready.into_iter().map(|(_, to, message)| (to, message)));
        self.adopt(now);
        self.commit(now);
    }

    /// This machine leads from now on.
    pub fn lead(&mut self, now: Duration, term: Term) {
        if term < self.term {
            return;
        }
        self.term = term;
        self.write(self.log.len(), vec![]);
        let phase = Phase::Asking { answers: BTreeMap::new() };
        let (matched, sent) = (BTreeMap::new(), BTreeMap::new());
        self.lead = Some(Lead { term, phase, matched, sent, again_at: now });
        self.woken(now);
    }

    /// This machine leads no more.
    pub fn follow(&mut self) {
        self.lead = None;
    }

    /// When [`Replica::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        self.lead.as_ref().map_or(Duration::MAX, |l| l.again_at)
    }

    /// Time has passed: what was not answered is said again.
    pub fn woken(&mut self, now: Duration) {
        let Some(lead) = self.lead.as_mut().filter(|l| now >= l.again_at) else { return };
        lead.again_at = now + AGAIN;
        let term = lead.term;
        match &lead.phase {
            Phase::Asking { answers } => {
                for other in self.others.iter().filter(|o| !answers.contains_key(o)) {
                    self.outbox.push((*other, Control::Recover { term }));
                }
            }
            Phase::Fetching { from, next, .. } => {
                self.outbox.push((*from, Control::Fetch { term, from: *next }));
            }
            Phase::Leading => {
                self.others.clone().into_iter().for_each(|other| self.append_to(now, other, true));
            }
        }
    }

    /// Once a majority has answered and this machine's own disk has the term: goes on with the most advanced log.
    fn adopt(&mut self, now: Duration) {
        let own = self.last();
        let on_disk = self.on_disk >= self.stamp;
        let Some(lead) = &mut self.lead else { return };
        let Phase::Asking { answers } = &lead.phase else { return };
        let enough = (answers.len() + 1) * 2 > self.others.len() + 1;
        if !enough || !on_disk {
            return;
        }
        let best = answers.iter().max_by_key(|(_, last)| **last).map(|(id, last)| (*id, *last));
        match best.filter(|(_, last)| *last > own) {
            Some((from, (_, last))) => {
                // What is fixed is the same in both.
                lead.phase = Phase::Fetching { from, next: self.committed + 1, last };
                lead.again_at = now;
                self.woken(now);
            }
            None => self.begin(now),
        }
    }

    fn begin(&mut self, now: Duration) {
        if let Some(lead) = &mut self.lead {
            lead.phase = Phase::Leading;
            self.append(now, vec![Entry::Begin]);
        }
    }

    /// Appends entries, as the leader.
    pub fn append(&mut self, now: Duration, entries: Vec<Entry>) {
        let Some(term) = self.leads().filter(|_| !entries.is_empty()) else { return };
        let records = entries.into_iter().map(|entry| Record { term, entry }).collect();
        self.write(self.log.len(), records);
        self.others.clone().into_iter().for_each(|other| self.append_to(now, other, false));
        self.commit(now);
    }

    /// Sends another what it lacks; `again` also what was sent before.
    fn append_to(&mut self, now: Duration, other: MemberId, again: bool) {
        let (end, committed) = (self.log.len() as u64, self.committed);
        let Some(lead) = &mut self.lead else { return };
        let matched = lead.matched.get(&other).copied().unwrap_or(committed.min(end));
        let (sent, sent_at) = lead.sent.get(&other).copied().unwrap_or((matched, Duration::ZERO));
        let from = if again && now >= sent_at + AGAIN { matched } else { sent.max(matched) };
        if from == end && !again {
            return;
        }
        let until = end.min(from + MOST_RECORDS as u64);
        lead.sent.insert(other, (until, now));
        let term = lead.term;
        let records = self.log[from as usize..until as usize].to_vec();
        let previous = (self.term_at(from).unwrap_or(0), from);
        self.outbox.push((other, Control::Append { term, previous, records, committed }));
    }

    fn commit(&mut self, now: Duration) {
        let Some(lead) = self.lead.as_ref().filter(|l| matches!(l.phase, Phase::Leading)) else { return };
        let mut ends: Vec<u64> =
            self.others.iter().map(|o| lead.matched.get(o).copied().unwrap_or(0)).collect();
        ends.push(self.durable);
        ends.sort_unstable_by(|a, b| b.cmp(a));
        let place = ends[ends.len() / 2];
        // A record of a former term is fixed only with one of this term.
        if place > self.committed && self.term_at(place) == Some(lead.term) {
            self.committed = place;
            self.others.clone().into_iter().for_each(|other| self.append_to(now, other, true));
        }
    }

    /// A message of another control machine.
    pub fn heard(&mut self, now: Duration, from: MemberId, message: Control) {
        match message {
            Control::Recover { term } => {
                if self.heed(term) {
                    self.say_durable(from, Control::Recovered { term, last: self.last() });
                }
            }
            Control::Recovered { term, last } => {
                if let Some(Lead { phase: Phase::Asking { answers }, .. }) = self.lead_in(term) {
                    answers.insert(from, last);
                    self.adopt(now);
                }
            }
            Control::Fetch { term, from: place } => {
                if term == self.term && place >= 1 && place <= self.log.len() as u64 {
                    let begin = place as usize - 1;
                    let end = self.log.len().min(begin + MOST_RECORDS);
                    let records = self.log[begin..end].to_vec();
                    self.outbox.push((from, Control::Fetched { term, from: place, records }));
                }
            }
            Control::Fetched { term, from: place, records } => self.fetched(now, from, term, place, records),
            Control::Append { term, previous, records, committed } => {
                if self.heed(term) {
                    self.take(from, term, previous, records, committed);
                }
            }
            Control::Appended { term, last } => {
                if let Some(lead) = self.lead_in(term) {
                    let matched = lead.matched.entry(from).or_default();
                    *matched = (*matched).max(last);
                    self.commit(now);
                    self.append_to(now, from, false);
                }
            }
            Control::Missing { term, last } => {
                if let Some(lead) = self.lead_in(term) {
                    lead.matched.insert(from, last);
                    lead.sent.insert(from, (last, Duration::ZERO));
                    self.append_to(now, from, false);
                }
            }
        }
    }

    fn lead_in(&mut self, term: Term) -> Option<&mut Lead> {
        self.lead.as_mut().filter(|l| l.term == term)
    }

    /// Whether a leader is not older than the newest that was heard.
    fn heed(&mut self, term: Term) -> bool {
        if term > self.term {
            self.term = term;
            self.lead = None;
            self.write(self.log.len(), vec![]);
        }
        term == self.term && self.lead.is_none()
    }

    fn fetched(&mut self, now: Duration, from: MemberId, term: Term, place: u64, records: Vec<Record>) {
        let Some(Lead { phase: Phase::Fetching { from: source, next, last }, again_at, .. }) =
            self.lead_in(term)
        else {
            return;
        };
        if *source != from || *next != place || records.is_empty() {
            return;
        }
        *next = place + records.len() as u64;
        *again_at = now;
        let complete = *next > *last;
        self.write(place as usize - 1, records);
        if complete { self.begin(now) } else { self.woken(now) }
    }

    fn take(&mut self, from: MemberId, term: Term, previous: RecordId, records: Vec<Record>, committed: u64) {
        let (previous_term, place) = previous;
        if self.term_at(place) != Some(previous_term) {
            let last = self.committed.min(place.saturating_sub(1));
            return self.outbox.push((from, Control::Missing { term, last }));
        }
        let same = |(i, record): &(usize, &Record)| {
            self.term_at(place + 1 + *i as u64).is_some_and(|own| own == record.term)
        };
        let known = records.iter().enumerate().take_while(same).count();
        let last = place + records.len() as u64;
        if known < records.len() {
            self.write(place as usize + known, records[known..].to_vec());
        }
        self.committed = self.committed.max(committed.min(last));
        self.say_durable(from, Control::Appended { term, last });
    }
}
