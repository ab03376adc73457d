//! Who leads the control machines.

use super::{DisabledGuard, Id, MS, TestFleet};
use grebespool_config_distribution::*;
use rand::Rng;
use std::time::Duration;

/// How long a leader's lease lasts after it was renewed.
const LEADER_LEASE: Duration = Duration::from_millis(900);

impl TestFleet {
    pub(super) fn authority(&self, id: Id) -> Authority {
        let Some((leader, term)) = self.leader else { return Authority::default() };
        let runs = self.now < self.leads_until || self.disabled == DisabledGuard::Authority;
        Authority { term: (leader == id && runs).then_some(term), leader: Some(leader) }
    }

    /// Whether a control machine reaches a quorum whose disks take writes.
    fn has_quorum(&self, id: Id) -> bool {
        let control = self.control();
        let writable = |other: &&Id| self.is_connected(id, **other) && !self.nodes[*other].disk_full;
        self.is_up(id) && control.iter().filter(writable).count() * 2 > control.len()
    }

    /// Renews the leader's lease while it reaches a quorum; another machine is elected once it is over.
    pub(super) fn renew_leadership(&mut self) {
        if let Some((id, _)) = self.leader {
            if self.now < self.leads_until {
                if self.has_quorum(id) {
                    self.leads_until = self.now + LEADER_LEASE;
                }
                return;
            }
            if self.now < self.leads_until + MS(30) {
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
        self.leads_until = self.now + LEADER_LEASE;
        self.call(id, |_, _| ());
    }

    /// The leader's lease is over at once.
    pub(super) fn end_leadership_of(&mut self, id: Id) {
        if self.leader.is_some_and(|(leader, _)| leader == id) {
            self.leads_until = self.now;
        }
    }
}
