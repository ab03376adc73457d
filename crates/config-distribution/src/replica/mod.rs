//! The log of a control machine: records that a quorum has on its disks are committed, in one order for all.
//!
//! Who leads is decided elsewhere (`grebespool-leader-election`): one leader a term. A leader that begins asks the others for
//! their logs, continues with the most advanced one of a quorum, and commits what is before its own first record with that
//! one.

mod follower;
mod leader;

use crate::message::{LogEntry, LogMessage, LogPosition, LogRecord, Term};
use grebespool_leader_election::MemberId;
use leader::Leadership;
use std::collections::BTreeMap;
use std::time::Duration;

/// Records of one message.
const MAX_RECORDS: usize = 256;
/// Unanswered messages are retransmitted after so long.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(400);

/// What a control machine stores before it answers others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoredLog {
    /// The newest term that was heard of.
    pub term: Term,
    /// The log.
    pub records: Vec<LogRecord>,
}

/// A change of what is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct LogWrite {
    /// The newest term.
    pub term: Term,
    /// So many records stay.
    pub keep: usize,
    /// These follow them.
    pub records: Vec<LogRecord>,
    /// Counts writes: [`LogReplica::persisted`] reports this one once it is on disk.
    pub stamp: u64,
}

impl StoredLog {
    /// Carries out a write.
    pub fn apply(&mut self, write: &LogWrite) {
        self.term = write.term;
        self.records.truncate(write.keep);
        self.records.extend(write.records.iter().cloned());
    }
}

/// An answer that waits for a write.
#[derive(Debug, Clone)]
struct Deferred {
    stamp: u64,
    to: MemberId,
    message: LogMessage,
}

/// The log of one control machine.
#[derive(Debug, Clone)]
pub struct LogReplica {
    others: Vec<MemberId>,
    term: Term,
    log: Vec<LogRecord>,
    committed: u64,
    /// Committed records that were taken.
    taken: u64,
    leadership: Option<Leadership>,
    /// The last write that was started, and the last that is on disk.
    started_stamp: u64,
    persisted_stamp: u64,
    /// Up to which index the log is on this machine's disk.
    durable: u64,
    deferred: Vec<Deferred>,
    writes: Vec<LogWrite>,
    /// The end of the log at each write that is not on disk yet.
    write_ends: BTreeMap<u64, u64>,
    outbox: Vec<(MemberId, LogMessage)>,
}

impl LogReplica {
    /// Starts with what is stored.
    pub fn new(others: Vec<MemberId>, stored: StoredLog) -> LogReplica {
        let durable = stored.records.len() as u64;
        LogReplica {
            others,
            term: stored.term,
            log: stored.records,
            committed: 0,
            taken: 0,
            leadership: None,
            started_stamp: 0,
            persisted_stamp: 0,
            durable,
            deferred: vec![],
            writes: vec![],
            write_ends: BTreeMap::new(),
            outbox: vec![],
        }
    }

    /// Messages since this was called last.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, LogMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Writes since this was called last, in their order.
    pub fn take_writes(&mut self) -> Vec<LogWrite> {
        std::mem::take(&mut self.writes)
    }

    /// Entries that were committed since this was called last.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let from = self.taken as usize;
        self.taken = self.committed;
        self.log[from..self.committed as usize].iter().map(|record| record.entry.clone()).collect()
    }

    /// Whether everything in the log is committed.
    pub fn all_committed(&self) -> bool {
        self.committed == self.log.len() as u64
    }

    fn last(&self) -> LogPosition {
        let term = self.log.last().map_or(0, |record| record.term);
        LogPosition { term, index: self.log.len() as u64 }
    }

    /// The term of the record at an index; zero before the first.
    fn term_at(&self, index: u64) -> Option<Term> {
        if index == 0 { Some(0) } else { self.log.get(index as usize - 1).map(|record| record.term) }
    }

    /// Keeps so many records, appends these, and starts to write that.
    fn write(&mut self, keep: usize, records: Vec<LogRecord>) {
        self.started_stamp += 1;
        self.log.truncate(keep);
        self.log.extend(records.iter().cloned());
        self.durable = self.durable.min(keep as u64);
        self.write_ends.values_mut().for_each(|end| *end = (*end).min(keep as u64));
        self.write_ends.insert(self.started_stamp, self.log.len() as u64);
        self.writes.push(LogWrite { term: self.term, keep, records, stamp: self.started_stamp });
    }

    fn all_persisted(&self) -> bool {
        self.persisted_stamp >= self.started_stamp
    }

    /// Sends a message once all writes so far are on disk.
    fn send_when_persisted(&mut self, to: MemberId, message: LogMessage) {
        if self.all_persisted() {
            self.outbox.push((to, message));
        } else {
            self.deferred.push(Deferred { stamp: self.started_stamp, to, message });
        }
    }

    /// All writes up to this stamp are on disk.
    pub fn persisted(&mut self, now: Duration, stamp: u64) {
        self.persisted_stamp = self.persisted_stamp.max(stamp);
        let later = self.write_ends.split_off(&(stamp + 1));
        if let Some((_, end)) = std::mem::replace(&mut self.write_ends, later).pop_last() {
            self.durable = self.durable.max(end);
        }
        let persisted = self.persisted_stamp;
        let (ready, deferred): (Vec<Deferred>, Vec<Deferred>) =
            std::mem::take(&mut self.deferred).into_iter().partition(|deferred| deferred.stamp <= persisted);
        self.deferred = deferred;
        self.outbox.extend(ready.into_iter().map(|ready| (ready.to, ready.message)));
        self.choose_log(now);
        self.commit(now);
    }

    /// When [`LogReplica::timer_fired`] is to be called next.
    pub fn next_timer(&self) -> Duration {
        self.leadership.as_ref().map_or(Duration::MAX, Leadership::retransmit_at)
    }

    /// A message of another control machine was received.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: LogMessage) {
        match message {
            LogMessage::Recover { term } => self.recover_received(from, term),
            LogMessage::Recovered { term, last } => self.recovered_received(now, from, term, last),
            LogMessage::Fetch { term, from: index } => self.fetch_received(from, term, index),
            LogMessage::Fetched { term, from: index, records } => {
                self.fetched_received(now, from, term, index, records);
            }
            LogMessage::Append { term, previous, records, committed } => {
                self.append_received(from, term, previous, records, committed);
            }
            LogMessage::Appended { term, last } => self.appended_received(now, from, term, last),
            LogMessage::Missing { term, last } => self.missing_received(now, from, term, last),
        }
    }
}
