//! The log of a control machine while another machine leads.

use super::{LogReplica, MAX_RECORDS};
use crate::message::{LogMessage, LogPosition, LogRecord, Term};
use grebespool_leader_election::MemberId;

impl LogReplica {
    /// Returns true if a leader's term is the highest one that this machine has seen, and this machine doesn't lead in
    /// it. A higher term ends this machine's own leadership.
    fn accept_term(&mut self, term: Term) -> bool {
        if term > self.term {
            self.term = term;
            self.leadership = None;
            self.write(self.log.len(), vec![]);
        }
        term == self.term && self.leadership.is_none()
    }

    pub(super) fn recover_received(&mut self, from: MemberId, term: Term) {
        if self.accept_term(term) {
            self.send_when_persisted(from, LogMessage::Recovered { term, last: self.last() });
        }
    }

    pub(super) fn fetch_received(&mut self, from: MemberId, term: Term, index: u64) {
        if term == self.term && index >= 1 && index <= self.log.len() as u64 {
            let begin = index as usize - 1;
            let end = self.log.len().min(begin + MAX_RECORDS);
            let records = self.log[begin..end].to_vec();
            self.outbox.push((from, LogMessage::Fetched { term, from: index, records }));
        }
    }

    pub(super) fn append_received(
        &mut self,
        from: MemberId,
        term: Term,
        previous: LogPosition,
        records: Vec<LogRecord>,
        committed: u64,
    ) {
        if !self.accept_term(term) {
            return;
        }
        let index = previous.index;
        if self.term_at(index) != Some(previous.term) {
            let last = self.committed.min(index.saturating_sub(1));
            return self.outbox.push((from, LogMessage::Missing { term, last }));
        }
        let is_known = |(index, record): &(u64, &LogRecord)| self.term_at(*index) == Some(record.term);
        let known = (index + 1..).zip(&records).take_while(is_known).count();
        let last = index + records.len() as u64;
        if known < records.len() {
            self.write(index as usize + known, records[known..].to_vec());
        }
        self.committed = self.committed.max(committed.min(last));
        self.send_when_persisted(from, LogMessage::Appended { term, last });
    }
}
