//! A fleet of control machines and planners with a simulated network, disks and clocks, all of which can fail. The
//! fleet elects the leader in place of `grebespool-leader-election`: one machine at a time, with increasing terms.

mod faults;
mod figures;
mod invariants;
mod leadership;
mod network;
mod node;
mod proposals;

use grebespool_config_consensus::{Change, Configuration, Limit, Rack, Server, ServerState};
use grebespool_config_distribution::*;
use network::Event;
use node::{Machine, TestNode};
use proposals::OpenProposal;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub type Id = u64;
pub const S: fn(u64) -> Duration = Duration::from_secs;
pub const MS: fn(u64) -> Duration = Duration::from_millis;

/// First id of a planner; the ids of control machines are below it.
const FIRST_PLANNER: Id = 1000;
const SERVICES: u32 = 4;
/// First scope of a service; the scopes of zones are below it.
const FIRST_SERVICE: u32 = 100;
/// Time between two checks of the leader's lease and of unanswered proposals.
const STEP: Duration = Duration::from_millis(10);

/// A guard that is disabled, to check that the invariants detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledGuard {
    None,
    /// A relay reports its planners as ready without waiting for them.
    ReadinessWait,
    /// A link over a gap is altered to fit the receiver's chain.
    ChainCheck,
    /// A lease counts from the last renewal that was sent instead of the one that is answered.
    LeaseFromSending,
    /// A leader continues to grant leases after its own lease has ended.
    Authority,
}

pub struct TestFleet {
    pub now: Duration,
    nodes: BTreeMap<Id, TestNode>,
    pub rng: Pcg64Mcg,
    pub settings: Settings,
    disabled: DisabledGuard,
    // Network.
    events: BTreeMap<(Duration, u64), Event>,
    scheduled: u64,
    pub loss: f64,
    pub duplication: f64,
    pub max_delay: Duration,
    cut: BTreeSet<(Id, Id)>,
    /// Number of the last renewal that each node sent to each other node.
    renewals: BTreeMap<(Id, Id), u64>,
    // Election.
    pub leader: Option<(Id, Term)>,
    leader_lease_end: Duration,
    terms: Term,
    // Proposals.
    proposals: u64,
    propose_at: Duration,
    pub open: BTreeMap<u64, OpenProposal>,
    /// Each answered proposal, with the reason if it was rejected.
    pub answered: BTreeMap<u64, Option<String>>,
    /// Time from each proposal to its answer, in the order of the answers.
    pub answer_durations: Vec<Duration>,
    // State of the invariants.
    /// Content of each version of a scope that any node has ever had.
    contents: BTreeMap<(ScopeId, u64), Digest>,
    /// Highest revision of a scope that each node has had since each of its starts.
    highest: BTreeMap<(Id, u32, ScopeId), Revision>,
    /// The versions that each node applied at the last check, and the end of its lease by its own clock.
    applied: BTreeMap<(Id, ScopeId), (ActiveVersions, Duration)>,
    pub violations: Vec<String>,
    /// Bytes that each node has sent, while bytes are counted.
    sent_bytes: Option<BTreeMap<Id, u64>>,
}

pub fn draw_limit(watts: f64) -> Vec<Change> {
    vec![Change::Limit("draw".into(), Some(Limit::AtMost(watts)))]
}

fn first_configuration() -> Vec<Change> {
    let rack = Rack { site: "site".into(), feed: "feed".into(), power_cap: 900.0 };
    let mut configuration = Configuration::default();
    configuration.racks.insert("rack".into(), rack);
    for k in 0..4 {
        let server = Server { rack: "rack".into(), capacity: 10.0, state: ServerState::Ready };
        configuration.servers.insert(format!("s{k}"), server);
    }
    configuration.limits.insert("draw".into(), Limit::AtMost(100.0));
    vec![Change::Replace(Box::new(configuration))]
}

impl TestFleet {
    pub fn new(control: usize, zones: u32, planners: usize, seed: u64, disabled: DisabledGuard) -> TestFleet {
        let settings = Settings { fan_out: 3, most_planners: 12, ..Settings::default() };
        TestFleet::with_settings(control, zones, planners, seed, disabled, settings)
    }

    /// Returns a fleet with the default settings, in which a first version of each scope is active on all planners.
    pub fn sized(control: usize, zones: u32, planners: usize, seed: u64) -> TestFleet {
        TestFleet::with_settings(control, zones, planners, seed, DisabledGuard::None, Settings::default())
            .with_first_versions(zones)
    }

    /// Returns a fleet with a small fan-out, in which a first version of each scope is active on all planners.
    pub fn settled(
        control: usize,
        zones: u32,
        planners: usize,
        seed: u64,
        disabled: DisabledGuard,
    ) -> TestFleet {
        TestFleet::new(control, zones, planners, seed, disabled).with_first_versions(zones)
    }

    fn with_settings(
        control: usize,
        zones: u32,
        planners: usize,
        seed: u64,
        disabled: DisabledGuard,
        settings: Settings,
    ) -> TestFleet {
        settings.check().unwrap();
        let mut fleet = TestFleet::empty(seed, disabled, settings);
        for id in 1..=control as Id {
            fleet.add_node(id, 0, BTreeSet::new());
        }
        for k in 0..planners {
            let zone = k as u32 % zones;
            let service = |s: u32| ScopeId(FIRST_SERVICE + (k as u32 / zones + s) % SERVICES);
            let scopes = BTreeSet::from([ScopeId(zone), service(0), service(1)]);
            fleet.add_node(FIRST_PLANNER + k as Id, zone, scopes);
        }
        let ids: Vec<Id> = fleet.nodes.keys().copied().collect();
        ids.into_iter().for_each(|id| fleet.start(id));
        fleet
    }

    fn empty(seed: u64, disabled: DisabledGuard, settings: Settings) -> TestFleet {
        TestFleet {
            now: S(10),
            nodes: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            settings,
            disabled,
            events: BTreeMap::new(),
            scheduled: 0,
            loss: 0.0,
            duplication: 0.0,
            max_delay: MS(20),
            cut: BTreeSet::new(),
            renewals: BTreeMap::new(),
            leader: None,
            leader_lease_end: Duration::ZERO,
            terms: 0,
            proposals: 0,
            propose_at: Duration::ZERO,
            open: BTreeMap::new(),
            answered: BTreeMap::new(),
            answer_durations: vec![],
            contents: BTreeMap::new(),
            highest: BTreeMap::new(),
            applied: BTreeMap::new(),
            violations: vec![],
            sent_bytes: None,
        }
    }

    fn with_first_versions(mut self, zones: u32) -> TestFleet {
        let services = (0..SERVICES).map(|s| ScopeId(FIRST_SERVICE + s));
        let scopes: Vec<ScopeId> = (0..zones).map(ScopeId).chain(services).collect();
        for scope in scopes {
            self.propose(scope, first_configuration());
        }
        self.run(S(8));
        self
    }

    fn add_node(&mut self, id: Id, zone: u32, scopes: BTreeSet<ScopeId>) {
        let rate = self.rng.random_range(0.991..1.009);
        let offset = MS(self.rng.random_range(0..5000));
        self.nodes.insert(id, TestNode::new(self.now, offset, rate, zone, scopes));
    }

    pub fn control(&self) -> Vec<Id> {
        self.nodes.keys().copied().filter(|id| *id < FIRST_PLANNER).collect()
    }

    pub fn planners(&self) -> Vec<Id> {
        self.nodes.keys().copied().filter(|id| *id >= FIRST_PLANNER).collect()
    }

    fn planners_of(&self, zone: u32) -> Vec<Id> {
        self.planners().into_iter().filter(|id| self.nodes[id].zone == zone).collect()
    }

    /// Returns the planners that serve others as relays, the busiest first.
    pub fn relays(&self) -> Vec<Id> {
        let planners = self.planners().into_iter();
        let mut relays: Vec<(usize, Id)> =
            planners.filter_map(|id| Some((self.nodes[&id].planner()?.planner_count(), id))).collect();
        relays.retain(|(planners, _)| *planners > 0);
        relays.sort_by(|a, b| b.cmp(a));
        relays.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the busiest relay of a zone.
    pub fn relay_of(&self, zone: u32) -> Option<Id> {
        self.relays().into_iter().find(|id| self.nodes[id].zone == zone)
    }

    /// Returns the planners that are not regular relays and don't serve others either.
    pub fn leaves(&self) -> Vec<Id> {
        let relays = self.relays();
        let is_leaf = |id: &Id| {
            let zone = self.nodes[id].zone;
            !is_relay(zone, &self.planners_of(zone), *id, self.settings.fan_out)
        };
        self.planners().into_iter().filter(|id| is_leaf(id) && !relays.contains(id)).collect()
    }

    pub fn start(&mut self, id: Id) {
        let (control, settings, now) = (self.control(), self.settings, self.now);
        let Some(zone) = self.nodes.get(&id).map(|node| node.zone) else { return };
        let zone_planners = self.planners_of(zone);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.prepare_start();
        node.machine = Some(if id < FIRST_PLANNER {
            let others = control.into_iter().filter(|other| *other != id).collect();
            Machine::Control(Box::new(ControlMachine::new(id, others, settings, node.log.clone())))
        } else {
            let (scopes, start) = (node.scopes.clone(), node.starts);
            let config = PlannerConfig { own: id, zone, zone_planners, control, scopes, start, settings };
            let stored = node.chains.values().cloned().collect();
            Machine::Planner(Box::new(Planner::new(config, stored, node.clock(now))))
        });
        self.call(id, |_, _| ());
    }

    /// Calls a node that is running, and carries out the writes, messages and timers that it requests.
    fn call<T>(&mut self, id: Id, call: impl FnOnce(&mut Machine, Duration) -> T) -> Option<T> {
        let (now, authority) = (self.now, self.authority(id));
        // With this guard disabled, a former leader is never notified that it has lost its leadership.
        let is_notified = self.disabled != DisabledGuard::Authority || authority.term.is_some();
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let machine = node.machine.as_mut()?;
        if let Machine::Control(control) = machine
            && is_notified
        {
            control.set_authority(clock, authority);
        }
        let returned = call(machine, clock);
        let requests = node.take_requests();
        if let Some(at) = node.set_timer(now, requests.next_timer) {
            self.schedule(at, Event::Timer(id));
        }
        for write in requests.writes {
            self.write(id, write);
        }
        for (to, message) in requests.messages {
            self.send(id, to, message);
        }
        self.check_node(id);
        Some(returned)
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.renew_leadership();
            self.retransmit_proposals();
            let step = (self.now + STEP).min(end);
            while let Some(first) = self.events.first_entry().filter(|first| first.key().0 <= step) {
                let ((at, _), event) = first.remove_entry();
                self.now = self.now.max(at);
                self.handle(event);
            }
            self.now = step;
        }
    }

    /// Returns the version of each scope that all planners apply alone; `None` if any planner of any scope doesn't.
    pub fn active_everywhere(&self) -> Option<BTreeMap<ScopeId, u64>> {
        let mut active: BTreeMap<ScopeId, u64> = BTreeMap::new();
        for node in self.nodes.values() {
            for scope in &node.scopes {
                let versions = node.planner()?.active_versions(node.clock(self.now), *scope);
                let ActiveVersions::Single(number) = versions else { return None };
                if *active.entry(*scope).or_insert(number) != number {
                    return None;
                }
            }
        }
        Some(active)
    }

    /// Returns the version of a scope that all planners apply alone, if that holds for all scopes.
    pub fn active_version(&self, scope: ScopeId) -> Option<u64> {
        self.active_everywhere()?.get(&scope).copied()
    }

    /// Describes the state of all nodes, for assertion messages.
    pub fn describe(&self) -> String {
        let mut text = format!("leader {:?}\n", self.leader);
        for (id, node) in &self.nodes {
            text += &format!("{id}: {}\n", node.describe(self.now));
        }
        text
    }
}
