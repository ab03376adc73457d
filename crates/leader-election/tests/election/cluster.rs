//! A deterministic cluster: members with a simulated network, disks and clocks that fail. Its guarantees are checked after
//! each step: no term has two leaders, and while the clocks keep within the drift no two members hold the lease.

use grebespool_leader_election::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

pub(crate) const PARAMETERS: LeaseParameters = LeaseParameters {
    heartbeat_interval: Duration::from_millis(150),
    lease: Duration::from_millis(900),
    clock_drift: 0.05,
};

/// The requests of a member to its host.
#[derive(Default)]
pub(crate) struct Requests {
    pub(crate) writes: Vec<HardState>,
    pub(crate) messages: Vec<(MemberId, Message)>,
    pub(crate) led_terms: Vec<u64>,
    pub(crate) stepped_down: Vec<(u64, StepDownReason)>,
}

#[derive(Clone, Default)]
pub(crate) struct TestHost(pub(crate) Rc<RefCell<Requests>>);

impl Host for TestHost {
    fn persist(&mut self, state: &HardState) {
        self.0.borrow_mut().writes.push(state.clone());
    }
    fn send(&mut self, to: MemberId, message: Message) {
        self.0.borrow_mut().messages.push((to, message));
    }
    fn become_leader(&mut self, term: u64) {
        self.0.borrow_mut().led_terms.push(term);
    }
    fn step_down(&mut self, term: u64, reason: StepDownReason) {
        self.0.borrow_mut().stepped_down.push((term, reason));
    }
    fn log(&mut self, _: ElectionEvent) {}
}

/// A process with its clock and its disk.
pub(crate) struct Node {
    /// Unset while the process is not running.
    pub(crate) member: Option<Member<TestHost>>,
    pub(crate) host: TestHost,
    pub(crate) disk: HardState,
    /// The writes in progress, each with the time at which it is durable.
    pub(crate) pending_writes: Vec<(Duration, HardState)>,
    pub(crate) disk_delay: Duration,
    pub(crate) paused: bool,
    /// A true time, and what the node's clock shows at that time.
    pub(crate) clock_base: (Duration, Duration),
    /// The rate of the node's clock from then on, as a multiple of the true rate.
    pub(crate) clock_rate: f64,
}

impl Node {
    /// Returns what the node's clock shows at a true time.
    pub(crate) fn clock(&self, now: Duration) -> Duration {
        self.clock_base.1 + now.saturating_sub(self.clock_base.0).mul_f64(self.clock_rate)
    }

    /// Returns the true time at which the node's clock shows `clock_time`.
    pub(crate) fn real_time(&self, clock_time: Duration) -> Duration {
        self.clock_base.0 + clock_time.saturating_sub(self.clock_base.1).div_f64(self.clock_rate)
    }
}

pub(crate) struct Cluster {
    pub(crate) now: Duration,
    pub(crate) nodes: BTreeMap<MemberId, Node>,
    /// The messages in flight as (receiver, sender, message), by arrival time and sequence number.
    pub(crate) in_flight: BTreeMap<(Duration, u64), (MemberId, MemberId, Message)>,
    pub(crate) messages_sent: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    pub(crate) max_delay: Duration,
    /// The blocked links as (sender, receiver).
    pub(crate) blocked: BTreeSet<(MemberId, MemberId)>,
    /// The leader of each term.
    pub(crate) leaders: BTreeMap<u64, MemberId>,
    /// True if the clocks keep within the drift that the parameters allow.
    pub(crate) clocks_within_drift: bool,
    pub(crate) elections: usize,
}

pub(crate) fn voter(id: MemberId) -> Voter {
    Voter { name: format!("m{id}"), address: format!("127.0.0.1:{}", 7000 + id) }
}

impl Cluster {
    pub(crate) fn new(members: u64, seed: u64) -> Cluster {
        let membership = Membership {
            version: MembershipVersion::default(),
            voters: (1..=members).map(|id| (id, voter(id))).collect(),
        };
        let mut cluster = Cluster {
            now: Duration::from_secs(10),
            nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            max_delay: Duration::from_millis(20),
            blocked: BTreeSet::new(),
            leaders: BTreeMap::new(),
            clocks_within_drift: true,
            elections: 0,
        };
        for id in 1..=members {
            cluster.add_node(
                id,
                HardState {
                    id,
                    fleet: 9,
                    term: 0,
                    voted_for: None,
                    membership: membership.clone(),
                    revision: 0,
                },
            );
        }
        cluster
    }

    pub(crate) fn add_node(&mut self, id: MemberId, disk: HardState) {
        let clock_rate = self.rng.random_range(0.951..1.049);
        let ahead = Duration::from_millis(self.rng.random_range(0..5000));
        let clock_base = (self.now, ahead);
        let (host, disk_delay) = (TestHost::default(), Duration::from_millis(4));
        let node = Node {
            member: None,
            host,
            disk,
            pending_writes: vec![],
            disk_delay,
            paused: false,
            clock_base,
            clock_rate,
        };
        self.nodes.insert(id, node);
        self.boot(id);
    }

    pub(crate) fn boot(&mut self, id: MemberId) {
        let (seed, now) = (self.rng.random(), self.now);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.host = TestHost::default();
        (node.pending_writes, node.paused) = (vec![], false);
        let clock = node.clock(now);
        node.member = Some(Member::new(node.host.clone(), node.disk.clone(), PARAMETERS, seed, clock));
    }

    /// Stops the process; writes that are not durable are lost.
    pub(crate) fn crash(&mut self, id: MemberId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.member = None;
            node.pending_writes.clear();
        }
    }

    /// Blocks the links from the node to all others, from all others to the node, or both.
    pub(crate) fn partition(&mut self, id: MemberId, directions: (bool, bool)) {
        for other in self.nodes.keys().copied().filter(|o| *o != id) {
            if directions.0 {
                self.blocked.insert((id, other));
            }
            if directions.1 {
                self.blocked.insert((other, id));
            }
        }
    }

    /// Calls a member and executes its requests. Returns the result of the call; `None` if the process is not running.
    pub(crate) fn call<T>(
        &mut self,
        id: MemberId,
        operation: impl FnOnce(&mut Member<TestHost>, Duration) -> T,
    ) -> Option<T> {
        let now = self.now;
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let result = operation(node.member.as_mut()?, clock);
        let requests = std::mem::take(&mut *node.host.0.borrow_mut());
        let disk_idle_at = node.pending_writes.last().map_or(now, |w| w.0.max(now));
        for (i, state) in requests.writes.into_iter().enumerate() {
            let at = disk_idle_at + node.disk_delay * (i as u32 + 1);
            node.pending_writes.push((at, state));
        }
        for term in requests.led_terms {
            self.elections += 1;
            let first = *self.leaders.entry(term).or_insert(id);
            assert_eq!(first, id, "two leaders in term {term}");
        }
        for (to, message) in requests.messages {
            self.send(id, to, message);
        }
        Some(result)
    }

    pub(crate) fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if self.blocked.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.max_delay.mul_f64(self.rng.random_range(0.01..1.0));
            self.messages_sent += 1;
            self.in_flight.insert((self.now + delay, self.messages_sent), (to, from, message.clone()));
        }
    }

    /// Returns the members that hold the lease now, each by its own clock.
    pub(crate) fn lease_holders(&self) -> Vec<MemberId> {
        let holds_lease = |n: &Node| n.member.as_ref().is_some_and(|m| m.holds_lease(n.clock(self.now)));
        self.nodes.iter().filter(|(_, n)| holds_lease(n)).map(|(id, _)| *id).collect()
    }

    pub(crate) fn leader(&self) -> Option<MemberId> {
        self.lease_holders().first().copied()
    }

    pub(crate) fn next_event_at(&self) -> Duration {
        let next_of_node = |n: &Node| {
            let timer = n.member.as_ref().filter(|_| !n.paused).map(|m| n.real_time(m.next_deadline()));
            let write = n.pending_writes.first().map(|w| w.0);
            timer.into_iter().chain(write).min()
        };
        let nodes = self.nodes.values().filter_map(next_of_node);
        let in_flight = self.in_flight.keys().next().map(|k| k.0);
        nodes.chain(in_flight).min().unwrap_or(self.now + Duration::from_millis(5))
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let step = self.next_event_at().max(self.now + Duration::from_micros(50)).min(end);
            self.now = step;
            let arrived: Vec<(Duration, u64)> =
                self.in_flight.range(..=(self.now, u64::MAX)).map(|f| *f.0).collect();
            for key in arrived {
                let Some((to, from, message)) = self.in_flight.remove(&key) else { continue };
                if self.nodes.get(&to).is_some_and(|n| n.paused) {
                    // The message waits until the process is resumed.
                    self.in_flight.insert((self.now + Duration::from_millis(20), key.1), (to, from, message));
                } else {
                    self.call(to, |m, now| m.receive(now, from, message));
                }
            }
            for id in self.nodes.keys().copied().collect::<Vec<_>>() {
                let node = self.nodes.get_mut(&id).unwrap();
                let durable = node.pending_writes.iter().take_while(|w| w.0 <= self.now).count();
                let written: Vec<HardState> = node.pending_writes.drain(..durable).map(|w| w.1).collect();
                if let Some(last) = written.last() {
                    node.disk = last.clone();
                    let revision = last.revision;
                    self.call(id, |m, now| m.persisted(now, revision));
                }
                let node = &self.nodes[&id];
                let deadline = node.member.as_ref().filter(|_| !node.paused).map(|m| m.next_deadline());
                if deadline.is_some_and(|deadline| deadline <= node.clock(self.now)) {
                    self.call(id, |m, now| m.timer_fired(now));
                }
            }
            if self.clocks_within_drift {
                let lease_holders = self.lease_holders();
                assert!(
                    lease_holders.len() <= 1,
                    "{lease_holders:?} hold the lease at once at {:?}",
                    self.now
                );
            }
        }
    }

    pub(crate) fn set_paused(&mut self, id: MemberId, paused: bool) {
        self.nodes.get_mut(&id).unwrap().paused = paused;
    }

    /// Ends all faults except those of the clocks, and restarts the processes that are not running.
    pub(crate) fn heal(&mut self) {
        (self.loss, self.duplication, self.max_delay) = (0.0, 0.0, Duration::from_millis(20));
        self.blocked.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&id).unwrap();
            (node.paused, node.disk_delay) = (false, Duration::from_millis(4));
            if node.member.is_none() {
                self.boot(id);
            }
        }
    }
}

pub(crate) const S: fn(u64) -> Duration = Duration::from_secs;

pub(crate) fn version(term: u64, number: u64) -> MembershipVersion {
    MembershipVersion { term, number }
}
