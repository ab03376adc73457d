//! Random configuration changes and faults.

use super::{MS, TestCluster};
use grebespool_config_consensus::*;
use grebespool_leader_election::MemberId;
use rand::Rng;
use std::collections::BTreeSet;

impl TestCluster {
    /// Returns a random change for a member to propose.
    pub fn random_change(&mut self) -> Vec<Change> {
        let (r, s) = (self.rng.random_range(0..3), self.rng.random_range(0..4));
        let change = match self.rng.random_range(0..6) {
            0 => Change::State(format!("s{r}{s}"), ServerState::Draining),
            1 => Change::State(format!("s{r}{s}"), ServerState::Ready),
            2 => Change::Limit("draw".into(), Some(Limit::AtMost(self.rng.random_range(50.0..150.0)))),
            3 => Change::Limit("reserve".into(), Some(Limit::AtLeast(self.rng.random_range(0.0..0.5)))),
            4 => {
                let importance = self.rng.random_range(0..5).into();
                let max_share = self.rng.random_range(0.2..1.0);
                Change::Route("read".into(), Some(Route { importance, max_share }))
            }
            _ => {
                let feed = format!("f{}", self.rng.random_range(0..3));
                let power_cap = self.rng.random_range(500.0..1000.0);
                Change::Rack(format!("r{r}"), Some(Rack { site: "east".into(), feed, power_cap }))
            }
        };
        vec![change]
    }

    /// Starts or ends a random fault.
    pub fn random_fault(&mut self) {
        let ids: Vec<MemberId> = self.nodes.keys().copied().collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        match self.rng.random_range(0..13) {
            0 => self.crash(id),
            1 => {
                if self.nodes[&id].consensus.is_none() {
                    self.start(id);
                }
            }
            2 => self.set_suspended(id, true),
            3 => ids.iter().for_each(|id| self.set_suspended(*id, false)),
            4 => {
                let (outgoing, incoming) = (self.rng.random(), self.rng.random());
                self.cut_off(id, outgoing, incoming);
            }
            5 => self.cut.clear(),
            6 => {
                self.loss = self.rng.random_range(0.0..0.4);
                self.duplication = self.rng.random_range(0.0..0.3);
            }
            7 => self.max_delay = MS(self.rng.random_range(3..500)),
            8 => self.nodes.get_mut(&id).unwrap().write_time = MS(self.rng.random_range(1..300)),
            9 => self.nodes.get_mut(&id).unwrap().disk_full = true,
            10 => self.nodes.values_mut().for_each(|node| node.disk_full = false),
            11 => self.partition(&ids),
            _ => {
                if let Some((owner, _)) = self.owner {
                    self.crash(owner);
                }
            }
        }
    }

    /// Cuts the network into two parts.
    fn partition(&mut self, ids: &[MemberId]) {
        let first_part: BTreeSet<MemberId> = ids.iter().copied().filter(|_| self.rng.random()).collect();
        for (a, b) in ids.iter().flat_map(|a| ids.iter().map(move |b| (*a, *b))) {
            if first_part.contains(&a) != first_part.contains(&b) {
                self.cut.insert((a, b));
            }
        }
    }

    pub fn set_suspended(&mut self, id: MemberId, suspended: bool) {
        self.nodes.get_mut(&id).unwrap().suspended = suspended;
    }

    /// Ends all faults, and starts the crashed members.
    pub fn heal(&mut self) {
        (self.loss, self.duplication, self.max_delay) = (0.0, 0.0, MS(10));
        self.cut.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&id).unwrap();
            node.suspended = false;
            node.write_time = MS(3);
            node.disk_full = false;
            if node.consensus.is_none() {
                self.start(id);
            }
        }
    }
}
