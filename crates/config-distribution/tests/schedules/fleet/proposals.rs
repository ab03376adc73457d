//! The simulated proposer, such as an operator's tool, which has the id of the first control machine.

use super::network::Event;
use super::{Id, MS, TestFleet};
use grebespool_config_consensus::Change;
use grebespool_config_distribution::*;
use rand::Rng;
use std::time::Duration;

/// A proposal without an answer, and the time at which it was made.
#[derive(Debug)]
pub struct OpenProposal {
    pub since: Duration,
    pub proposal: Proposal,
}

impl TestFleet {
    pub fn propose(&mut self, scope: ScopeId, changes: Vec<Change>) -> u64 {
        self.proposals += 1;
        let proposal = Proposal { proposer: 1, number: self.proposals, scope, changes };
        self.open.insert(self.proposals, OpenProposal { since: self.now, proposal });
        self.propose_at = self.now;
        self.proposals
    }

    /// Retransmits the proposals that are not answered.
    pub(super) fn retransmit_proposals(&mut self) {
        if self.now < self.propose_at {
            return;
        }
        self.propose_at = self.now + MS(500);
        let open: Vec<Proposal> = self.open.values().map(|open| open.proposal.clone()).collect();
        let control: Vec<Id> = self.control().into_iter().filter(|id| self.is_up(*id)).collect();
        for proposal in open {
            if let Some(id) = control.get(self.rng.random_range(0..control.len().max(1))) {
                let message = Message::Propose(proposal);
                self.schedule(self.now + MS(1), Event::Message { to: *id, from: 0, message });
            }
        }
    }
}
