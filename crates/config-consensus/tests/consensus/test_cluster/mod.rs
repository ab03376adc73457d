//! A cluster of members with a simulated network, disks and clocks that can fail. The cluster chooses the owner of the
//! journal as `grebespool-singleton-tasks` does: one member at a time owns the journal, tokens rise, and the next owner finds
//! a step that is durable on a quorum.

mod faults;
mod invariants;
mod journal;
mod network;
mod node;

use grebespool_config_consensus::*;
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{FencingToken, StepRecord};
use network::InFlight;
use node::{Requests, TestHost, TestNode};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const S: fn(u64) -> Duration = Duration::from_secs;
pub const MS: fn(u64) -> Duration = Duration::from_millis;

/// Longest and shortest time by which one step of the simulation advances.
const MAX_STEP: Duration = Duration::from_millis(20);
const MIN_STEP: Duration = Duration::from_micros(50);

pub const LIMITS: [&str; 2] = ["draw", "reserve"];

pub fn rules(max_withdrawn_share: f64) -> ValidationRules<'static> {
    ValidationRules { max_withdrawn_share, known_limits: LIMITS.to_vec() }
}

fn settings() -> ConsensusSettings {
    let lease = LeaseParameters { duration: MS(900), renew_interval: MS(120), clock_drift: 0.05 };
    ConsensusSettings { lease, validation: rules(0.5) }
}

pub fn server(rack: &str, capacity: f64, state: ServerState) -> Server {
    Server { rack: rack.into(), capacity, state }
}

pub fn draw_limit(watts: f64) -> Change {
    Change::Limit("draw".into(), Some(Limit::AtMost(watts)))
}

/// Returns a configuration of three racks with four servers each.
pub fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    for (r, site) in ["east", "east", "west"].into_iter().enumerate() {
        let rack = Rack { site: site.into(), feed: format!("f{r}"), power_cap: 900.0 };
        configuration.racks.insert(format!("r{r}"), rack);
        for s in 0..4 {
            let ready = server(&format!("r{r}"), 10.0, ServerState::Ready);
            configuration.servers.insert(format!("s{r}{s}"), ready);
        }
    }
    configuration.routes.insert("read".into(), Route { importance: 1.0, max_share: 1.0 });
    configuration.routes.insert("order".into(), Route { importance: 3.0, max_share: 1.0 });
    configuration.limits.insert("draw".into(), Limit::AtMost(100.0));
    configuration.limits.insert("reserve".into(), Limit::AtLeast(0.2));
    configuration
}

/// A guard that a test disables, to show that the invariants detect its absence.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum DisabledGuard {
    None,
    /// A replica activates a version as soon as it is prepared.
    ActivationWait,
    /// Leases count from the answer instead of the sending of the renewal.
    LeaseFromSending,
    /// A replica applies the limits of the pending version instead of the stricter ones.
    StricterLimit,
    /// A coordinator whose ownership has expired continues to grant leases.
    JournalOwnership,
}

pub struct TestCluster {
    pub now: Duration,
    pub nodes: BTreeMap<MemberId, TestNode>,
    pub rng: Pcg64Mcg,
    disabled: DisabledGuard,
    // State of the network.
    in_flight: BTreeMap<(Duration, u64), InFlight>,
    sent: u64,
    pub loss: f64,
    pub duplication: f64,
    pub max_delay: Duration,
    /// Bandwidth of each link in bytes per second; a message waits until the previous ones are transmitted.
    pub bandwidth: f64,
    link_free_at: BTreeMap<(MemberId, MemberId), Duration>,
    cut: BTreeSet<(MemberId, MemberId)>,
    // State of the journal.
    pub owner: Option<(MemberId, FencingToken)>,
    owned_until: Duration,
    /// True if the owner has crashed, so that its ownership is not renewed.
    owner_crashed: bool,
    tokens: u64,
    journal: Option<StepRecord>,
    journal_write: Option<(FencingToken, Vec<u8>)>,
    // State of the invariants.
    /// Hash of every version that any member has committed, by number.
    committed_hashes: BTreeMap<u64, ContentHash>,
    /// Members to which a test has given another history.
    pub conflicting: BTreeSet<MemberId>,
    /// Time at which each version was first applied alone, by number.
    pub activated_at: BTreeMap<u64, Duration>,
    pub violations: Vec<String>,
    pub exempted: usize,
}

impl TestCluster {
    pub fn new(members: u64, seed: u64, disabled: DisabledGuard) -> TestCluster {
        let mut cluster = TestCluster {
            now: S(10),
            nodes: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            disabled,
            in_flight: BTreeMap::new(),
            sent: 0,
            loss: 0.0,
            duplication: 0.0,
            max_delay: MS(10),
            bandwidth: f64::INFINITY,
            link_free_at: BTreeMap::new(),
            cut: BTreeSet::new(),
            owner: None,
            owned_until: Duration::ZERO,
            owner_crashed: false,
            tokens: 0,
            journal: None,
            journal_write: None,
            committed_hashes: BTreeMap::new(),
            conflicting: BTreeSet::new(),
            activated_at: BTreeMap::new(),
            violations: vec![],
            exempted: 0,
        };
        for id in 1..=members {
            let rate = cluster.rng.random_range(0.951..1.049);
            let offset = MS(cluster.rng.random_range(0..5000));
            cluster.nodes.insert(id, TestNode::new(cluster.now, offset, rate));
        }
        (1..=members).for_each(|id| cluster.start(id));
        cluster
    }

    /// Creates a cluster in which a first configuration is active on all members.
    pub fn settled(members: u64, seed: u64, disabled: DisabledGuard) -> TestCluster {
        let mut cluster = TestCluster::new(members, seed, disabled);
        cluster.run(S(2));
        cluster.propose(1, vec![Change::Replace(Box::new(configuration()))], false);
        cluster.run(S(4));
        cluster
    }

    pub fn start(&mut self, id: MemberId) {
        let voters: Vec<MemberId> = self.nodes.keys().copied().collect();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.start_count += 1;
        node.writes.clear();
        node.suspended = false;
        node.renewals = 0;
        let (stored, start_count) = (node.disk.clone(), node.start_count);
        node.consensus = Some(ConsensusNode::new(TestHost::default(), id, settings(), stored, start_count));
        self.call(id, |node, now| node.set_voters(now, voters));
    }

    pub fn crash(&mut self, id: MemberId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.consensus = None;
            node.writes.clear();
        }
        // A restarted member does not know that it owned the journal.
        self.owner_crashed |= self.owner.is_some_and(|(owner, _)| owner == id);
    }

    /// Restarts a member with an older copy of its disk.
    pub fn restore_disk(&mut self, id: MemberId, disk: StoredState) {
        self.crash(id);
        self.nodes.get_mut(&id).unwrap().disk = disk;
        self.start(id);
    }

    /// Calls a member, and executes the requests that it makes to its host.
    pub fn call<T>(
        &mut self,
        id: MemberId,
        call: impl FnOnce(&mut ConsensusNode<TestHost>, Duration) -> T,
    ) -> Option<T> {
        let (now, owned) = (self.now, self.ownership_token(id));
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let consensus = node.consensus.as_mut()?;
        // While this guard is disabled, a former coordinator does not learn that its ownership has ended.
        if self.disabled != DisabledGuard::JournalOwnership || owned.is_some() {
            consensus.set_journal_token(owned);
        }
        let returned = call(consensus, clock);
        let requests = std::mem::take(&mut *consensus.host().0.borrow_mut());
        self.execute(id, requests);
        Some(returned)
    }

    fn execute(&mut self, id: MemberId, requests: Requests) {
        let node = self.nodes.get_mut(&id).unwrap();
        for (state, stamp) in requests.persist {
            node.start_write(self.now, state, stamp);
        }
        node.events.extend(requests.events);
        for (proposal, outcome) in requests.decided {
            if node.outcomes.insert(proposal, outcome).is_some() {
                self.violations.push(format!("proposal {proposal} of {id} was answered twice"));
            }
        }
        for (to, message) in requests.send {
            self.send(id, to, message);
        }
        if let Some((token, content)) = requests.write_journal {
            self.journal_write = Some((token, content.clone()));
            self.schedule(InFlight::JournalWrite(id, token, content));
        }
        if let Some(token) = requests.finish_journal_step {
            self.schedule(InFlight::JournalFinish(id, token));
        }
    }

    pub fn propose(&mut self, id: MemberId, changes: Vec<Change>, forced: bool) -> Option<ProposalId> {
        self.call(id, |node, now| node.propose(now, changes, forced))?.ok()
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.next_event().max(self.now + MIN_STEP).min(end);
            self.renew_ownership();
            self.deliver_due();
            for id in self.nodes.keys().copied().collect::<Vec<_>>() {
                self.complete_writes(id);
                self.fire_timer(id);
            }
            self.check_invariants();
            let invariants_hold = self.disabled != DisabledGuard::None || self.violations.is_empty();
            assert!(invariants_hold, "{:?} at {:?}", self.violations, self.now);
        }
    }

    fn complete_writes(&mut self, id: MemberId) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        if let Some(stamp) = node.complete_writes(now) {
            self.call(id, |node, now| node.persisted(now, stamp));
        }
    }

    fn fire_timer(&mut self, id: MemberId) {
        let node = &self.nodes[&id];
        let due = node.consensus.as_ref().is_some_and(|c| c.next_timer() <= node.clock(self.now));
        if due && !node.suspended {
            self.call(id, |node, now| node.timer_fired(now));
        }
    }

    fn next_event(&self) -> Duration {
        let in_flight = self.in_flight.keys().next().map(|(at, _)| *at);
        let nodes = self.nodes.values().filter_map(TestNode::next_event);
        nodes.chain(in_flight).min().unwrap_or(Duration::MAX).min(self.now + MAX_STEP)
    }

    /// Describes the state of all members, for assertion messages.
    pub fn describe(&self) -> String {
        let status = |node: &TestNode| node.consensus.as_ref().map(|c| c.status(node.clock(self.now)));
        let nodes: Vec<String> = self
            .nodes
            .iter()
            .map(|(id, node)| format!("{id}: {:?} {:?}", status(node), node.events))
            .collect();
        let journal = self.journal.as_ref().map(|record| (record.token, record.step, record.completed));
        format!("owner {:?}, journal {journal:?}\n{}", self.owner, nodes.join("\n"))
    }

    /// Returns the version that all members apply alone, if there is one.
    pub fn active_everywhere(&self) -> Option<u64> {
        let active: Vec<ActiveVersions> = self
            .nodes
            .values()
            .filter_map(|node| Some(node.consensus.as_ref()?.active_versions(node.clock(self.now))))
            .collect();
        match active.first() {
            Some(ActiveVersions::Single(number))
                if active.len() == self.nodes.len() && active.iter().all(|other| *other == active[0]) =>
            {
                Some(*number)
            }
            _ => None,
        }
    }
}
