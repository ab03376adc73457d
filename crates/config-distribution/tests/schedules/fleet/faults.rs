//! Faults and random changes of the simulated fleet.

use super::{FIRST_PLANNER, Id, MS, TestFleet};
use grebespool_config_consensus::{Change, Limit, ServerState};
use grebespool_config_distribution::*;
use rand::Rng;
use std::collections::BTreeSet;

impl TestFleet {
    /// Stops a node without notice.
    pub fn crash(&mut self, id: Id) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.machine = None;
            node.stalled_writes.clear();
        }
        self.end_leadership_of(id);
    }

    /// Stops a node as planned, after it has released its leases.
    pub fn shut_down(&mut self, id: Id) {
        self.call(id, |machine, _| machine.shut_down());
        self.crash(id);
    }

    /// Restarts a planner with an older copy of its disk.
    pub fn restore_older_disk(&mut self, id: Id) {
        self.crash(id);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.chains = node.older_chains.iter().cloned().map(|chain| (chain.scope(), chain)).collect();
        }
        self.start(id);
    }

    /// Suspends or resumes the process of a node.
    pub fn set_suspended(&mut self, id: Id, suspended: bool) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.suspended = suspended;
        }
    }

    /// Ends all faults and starts the nodes that are down.
    pub fn heal(&mut self) {
        self.reset_network();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.set_suspended(id, false);
            self.set_disk_full(id, false);
            if self.nodes[&id].machine.is_none() {
                self.start(id);
            }
        }
    }

    pub fn random_scope(&mut self) -> ScopeId {
        let scopes = self.nodes.values().flat_map(|node| node.scopes.iter().copied());
        let scopes: BTreeSet<ScopeId> = scopes.collect();
        let at = self.rng.random_range(0..scopes.len());
        *scopes.iter().nth(at).unwrap()
    }

    pub fn random_change(&mut self) -> Vec<Change> {
        let server = format!("s{}", self.rng.random_range(0..4));
        vec![match self.rng.random_range(0..3) {
            0 => Change::State(server, ServerState::Draining),
            1 => Change::State(server, ServerState::Ready),
            _ => Change::Limit("draw".into(), Some(Limit::AtMost(self.rng.random_range(50.0..150.0)))),
        }]
    }

    fn cut_off_randomly(&mut self, id: Id) {
        let (outgoing, incoming) = (self.rng.random(), self.rng.random());
        self.cut_off(id, outgoing, incoming);
    }

    fn change_disk_of_random_control_machine(&mut self) {
        let control = self.control();
        let id = control[self.rng.random_range(0..control.len())];
        let full = self.rng.random();
        self.set_disk_full(id, full);
    }

    /// Copies a planner's disk, as the older copy that a later fault may restore.
    fn copy_disk(&mut self, id: Id) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.older_chains = node.chains.values().cloned().collect();
        }
    }

    /// Crashes or suspends the leader.
    fn lose_leader(&mut self) {
        if let Some((leader, _)) = self.leader {
            if self.rng.random() { self.crash(leader) } else { self.set_suspended(leader, true) }
        }
    }

    /// Causes a random fault, or ends one.
    pub fn random_fault(&mut self) {
        let ids: Vec<Id> = self.nodes.keys().copied().collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        let is_planner = id >= FIRST_PLANNER;
        let relay = self.relays().first().copied().unwrap_or(id);
        match self.rng.random_range(0..18) {
            0 => self.crash(id),
            1 => self.crash(relay),
            2 | 3 => {
                let down: Vec<Id> = ids.into_iter().filter(|id| self.nodes[id].machine.is_none()).collect();
                down.into_iter().for_each(|id| self.start(id));
            }
            4 => self.set_suspended(id, true),
            5 => self.set_suspended(relay, true),
            6 => ids.into_iter().for_each(|id| self.set_suspended(id, false)),
            7 => self.cut_off_randomly(id),
            8 => self.cut_off_randomly(relay),
            9 => self.cut.clear(),
            10 => {
                self.loss = self.rng.random_range(0.0..0.3);
                self.duplication = self.rng.random_range(0.0..0.3);
            }
            11 => self.max_delay = MS(self.rng.random_range(5..400)),
            12 => self.change_disk_of_random_control_machine(),
            13 if is_planner => {
                self.shut_down(id);
                self.start(id);
            }
            14 => self.copy_disk(id),
            15 if is_planner => self.restore_older_disk(id),
            13 | 15 => {}
            16 => self.cut_zone(self.nodes[&id].zone),
            _ => self.lose_leader(),
        }
    }
}
