//! The simulated journal: its owner and its last record.

use super::network::InFlight;
use super::{DisabledGuard, MS, TestCluster};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{FencingToken, StepRecord};
use rand::Rng;
use std::time::Duration;

/// Duration of an ownership after its last renewal.
const OWNERSHIP: Duration = Duration::from_millis(900);

impl TestCluster {
    /// Returns the token under which a member owns the journal now.
    pub(super) fn ownership_token(&self, id: MemberId) -> Option<FencingToken> {
        let (owner, token) = self.owner?;
        let runs = self.now < self.owned_until || self.disabled == DisabledGuard::JournalOwnership;
        (owner == id && runs).then_some(token)
    }

    /// Renews the ownership while the owner is connected to a quorum; grants it to another member after it expired.
    pub(super) fn renew_ownership(&mut self) {
        if let Some((id, _)) = self.owner {
            if self.now < self.owned_until {
                if self.has_quorum(id) && !self.owner_crashed {
                    self.owned_until = self.now + OWNERSHIP;
                }
                return;
            }
            if self.now < self.owned_until + MS(40) {
                return;
            }
            self.end_ownership(id);
        }
        self.grant_ownership();
    }

    fn end_ownership(&mut self, id: MemberId) {
        if self.is_up(id) && self.disabled != DisabledGuard::JournalOwnership {
            self.call(id, |node, now| node.stop_coordinating(now));
        }
        self.owner = None;
        self.owner_crashed = false;
        // The next owner may or may not find a step that was not reported as durable.
        if let Some((token, content)) = self.journal_write.take()
            && self.rng.random_bool(0.5)
        {
            self.append_to_journal(token, content);
        }
    }

    fn grant_ownership(&mut self) {
        let candidates: Vec<MemberId> =
            self.nodes.keys().copied().filter(|id| self.has_quorum(*id)).collect();
        if candidates.is_empty() {
            return;
        }
        let id = candidates[self.rng.random_range(0..candidates.len())];
        self.tokens += 1;
        let token = FencingToken { term: self.tokens, number: 1 };
        self.owner = Some((id, token));
        self.owned_until = self.now + OWNERSHIP;
        let last = self.journal.clone();
        self.call(id, |node, now| node.start_coordinating(now, token, last.as_ref()));
    }

    fn append_to_journal(&mut self, token: FencingToken, content: Vec<u8>) {
        let step = self.journal.as_ref().map_or(0, |last| last.step) + 1;
        self.journal = Some(StepRecord { token, step, completed: false, content });
    }

    /// Returns true if the journal accepts a write of its owner now.
    fn is_writable(&self, id: MemberId) -> bool {
        self.now < self.owned_until && self.has_quorum(id)
    }

    pub(super) fn deliver_journal_write(&mut self, id: MemberId, token: FencingToken, content: Vec<u8>) {
        if self.owner != Some((id, token)) {
            return;
        }
        if self.is_writable(id) {
            self.journal_write = None;
            self.append_to_journal(token, content);
            self.call(id, |node, now| node.journal_durable(now, token));
        } else {
            self.schedule(InFlight::JournalWrite(id, token, content));
        }
    }

    pub(super) fn deliver_journal_finish(&mut self, id: MemberId, token: FencingToken) {
        if self.owner != Some((id, token)) {
            return;
        }
        if self.is_writable(id) {
            self.journal.as_mut().unwrap().completed = true;
            self.call(id, |node, now| node.journal_step_finished(now, token));
        } else {
            self.schedule(InFlight::JournalFinish(id, token));
        }
    }
}
