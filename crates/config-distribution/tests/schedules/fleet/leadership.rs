//! The simulated election of the leader among the control machines.

use super::{DisabledGuard, Id, MS, TestFleet};
use grebespool_config_distribution::*;
use rand::Rng;
use std::time::Duration;

/// Duration of a leader's lease after a renewal.
const LEADER_LEASE: Duration = Duration::from_millis(900);

impl TestFleet {
    pub(super) fn authority(&self, id: Id) -> Authority {
        let Some((leader, term)) = self.leader else { return Authority::default() };
        let is_leased = self.now < self.leader_lease_end || self.disabled == DisabledGuard::Authority;
        Authority { term: (leader == id && is_leased).then_some(term), leader: Some(leader) }
    }

    /// Returns true if a control machine reaches a quorum of machines whose disks accept writes.
    fn has_quorum(&self, id: Id) -> bool {
        let control = self.control();
        let writable = |other: &&Id| self.is_connected(id, **other) && !self.nodes[*other].disk_full;
        self.is_up(id) && control.iter().filter(writable).count() * 2 > control.len()
    }

    /// Renews the leader's lease while the leader reaches a quorum, and elects a leader after the lease has ended.
    pub(super) fn renew_leadership(&mut self) {
        if let Some((id, _)) = self.leader {
            if self.now < self.leader_lease_end {
                if self.has_quorum(id) {
                    self.leader_lease_end = self.now + LEADER_LEASE;
                }
                return;
            }
            if self.now < self.leader_lease_end + MS(30) {
                return;
            }
            self.leader = None;
            if self.is_up(id) && self.disabled != DisabledGuard::Authority {
                self.call(id, |_, _| ());
            }
        }
        self.elect();
    }

    fn elect(&mut self) {
        let candidates: Vec<Id> = self.control().into_iter().filter(|id| self.has_quorum(*id)).collect();
        if candidates.is_empty() {
            return;
        }
        let id = candidates[self.rng.random_range(0..candidates.len())];
        self.terms += 1;
        self.leader = Some((id, self.terms));
        self.leader_lease_end = self.now + LEADER_LEASE;
        self.call(id, |_, _| ());
    }

    /// Ends the lease of a node at once, if the node is the leader.
    pub(super) fn end_leadership_of(&mut self, id: Id) {
        if self.leader.is_some_and(|(leader, _)| leader == id) {
            self.leader_lease_end = self.now;
        }
    }
}
