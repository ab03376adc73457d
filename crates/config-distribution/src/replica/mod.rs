//! The replicated log of the control machines: a record is committed once a quorum has it on disk, in the same order on
//! all machines.
//!
//! `grebespool-leader-election` elects the leader, one per term. A new leader asks the other machines for the ends of
//! their logs and continues with the most advanced log of a quorum. It commits the records before its own first record
//! together with that record.

mod follower;
mod leader;

use crate::message::{LogEntry, LogMessage, LogPosition, LogRecord, Term};
use grebespool_leader_election::MemberId;
use leader::Leadership;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of records in one message.
const MAX_RECORDS: usize = 256;
/// Time after which an unanswered message is retransmitted.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(400);

/// The state that a control machine has on disk before it answers others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoredLog {
    /// The highest term that the machine has seen.
    pub term: Term,
    /// The log.
    pub records: Vec<LogRecord>,
}

/// A change of the stored log, to be written to disk.
#[derive(Debug, Clone, PartialEq)]
pub struct LogWrite {
    /// The highest term that the machine has seen.
    pub term: Term,
    /// Number of records before the new ones; any later records are removed.
    pub keep: usize,
    /// The new records.
    pub records: Vec<LogRecord>,
    /// Number of this write, for [`LogReplica::persisted`] once the write is on disk.
    pub stamp: u64,
}

impl StoredLog {
    /// Applies a write.
    pub fn apply(&mut self, write: &LogWrite) {
        self.term = write.term;
        self.records.truncate(write.keep);
        self.records.extend(write.records.iter().cloned());
    }
}

/// A message that is sent once a write is on disk.
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
    /// Number of committed records that the caller has taken.
    taken: u64,
    leadership: Option<Leadership>,
    /// Stamp of the last write that was started.
    started_stamp: u64,
    /// Stamp of the last write that is on disk.
    persisted_stamp: u64,
    /// The index up to which the log is on this machine's disk.
    durable: u64,
    deferred: Vec<Deferred>,
    writes: Vec<LogWrite>,
    /// Last index of the log after each write that is not on disk yet, by stamp.
    write_ends: BTreeMap<u64, u64>,
    outbox: Vec<(MemberId, LogMessage)>,
}

impl LogReplica {
    /// Returns a replica that starts with the stored log.
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

    /// Returns the messages to send since the last call.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, LogMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the writes to carry out since the last call, in order.
    pub fn take_writes(&mut self) -> Vec<LogWrite> {
        std::mem::take(&mut self.writes)
    }

    /// Returns the entries that were committed since the last call.
    pub fn take_committed(&mut self) -> Vec<LogEntry> {
        let from = self.taken as usize;
        self.taken = self.committed;
        self.log[from..self.committed as usize].iter().map(|record| record.entry.clone()).collect()
    }

    /// Returns true if all records of the log are committed.
    pub fn all_committed(&self) -> bool {
        self.committed == self.log.len() as u64
    }

    fn last(&self) -> LogPosition {
        let term = self.log.last().map_or(0, |record| record.term);
        LogPosition { term, index: self.log.len() as u64 }
    }

    /// Returns the term of the record at an index; zero before the first record.
    fn term_at(&self, index: u64) -> Option<Term> {
        if index == 0 { Some(0) } else { self.log.get(index as usize - 1).map(|record| record.term) }
    }

    /// Truncates the log to `keep` records, appends new ones, and starts the write of this change.
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

    /// Handles the completion of all writes up to this stamp.
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

    /// Returns the time at which [`LogReplica::timer_fired`] has to be called.
    pub fn next_timer(&self) -> Duration {
        self.leadership.as_ref().map_or(Duration::MAX, Leadership::retransmit_at)
    }

    /// Handles a message from another control machine.
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
