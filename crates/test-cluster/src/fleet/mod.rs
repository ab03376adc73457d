//! Several planners over one endpoint list, with proxies and collectors that go on to another planner when theirs is lost.
//! What passes on the sockets is played in the caller's own thread, and the rules are checked as it passes.
//!
//! Servers are arithmetic: what the proxies' tables send to one, by weight, beside what it has capacity for. So a breach
//! shows in what the planners ordered, whichever of them did, and not in what the machine had time for.

mod collector;
mod load;
mod proxy;
mod rules;
mod server;

pub use proxy::RoamingProxy;
pub use rules::RuleLimits;
pub use server::SimulatedServer;

use crate::discovery::{Discovery, endpoint_started_at};
use crate::ms;
use crate::planner_process::PlannerProcess;
use crate::start_file::default_settings;
use collector::Collector;
use load::{AttemptTotals, ServiceSlot};
use serde_json::{Value, json};
use server::ServerState;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The zones; a proxy or server is in one of them by its number.
const ZONES: [&str; 2] = ["north", "south"];
/// Requests a second at each proxy.
const REQUESTS_PER_SECOND: f64 = 10.0;
/// Descriptors of a planner beyond one for each proxy.
const SPARE_DESCRIPTORS: usize = 120;
/// The pause between two steps.
const STEP_INTERVAL: Duration = ms(4);
/// How often load is computed and the rules are checked.
const LOAD_INTERVAL: Duration = ms(20);

/// The size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    /// Planner processes.
    pub planners: usize,
    /// Proxies, which ask 10 requests a second each.
    pub proxies: usize,
    /// Servers.
    pub servers: usize,
    /// The part of the servers' capacity that these requests take.
    pub utilization: f64,
    /// How long a server takes from its start to full capacity.
    pub warm_up: Duration,
}

impl FleetConfig {
    /// A fleet of this size, whose servers warm up in 4 s.
    pub fn new(planners: usize, proxies: usize, servers: usize, utilization: f64) -> Self {
        FleetConfig { planners, proxies, servers, utilization, warm_up: ms(4000) }
    }

    fn settings(&self) -> Value {
        let mut settings = default_settings();
        settings["familyInfo"]["dataPlaneSize"] = json!(self.proxies);
        settings["invariants"]["warmUpMs"] = json!(self.warm_up.as_millis() as u64);
        settings
    }

    /// Requests a second that one server has time for.
    fn server_capacity(&self) -> f64 {
        REQUESTS_PER_SECOND * self.proxies as f64 / self.utilization / self.servers as f64
    }
}

/// Planners, proxies, collectors and servers, played from one thread.
pub struct Fleet {
    began: Instant,
    /// The machines' clock at the start, in Unix milliseconds.
    unix_ms: u64,
    /// The figures of the rules.
    pub limits: RuleLimits,
    /// The endpoint list.
    pub discovery: Discovery,
    /// The address of discovery that each planner has.
    pub planner_discoveries: Vec<Discovery>,
    /// The planners.
    pub planners: Vec<PlannerProcess>,
    /// When each planner first answered after its last start.
    answered_at: Vec<Duration>,
    /// Planners that are cut off: nothing passes to or from them, though their connections stand.
    pub cut_off: Vec<bool>,
    /// The servers, by number.
    pub servers: Vec<SimulatedServer>,
    /// The proxies, by number.
    pub proxies: Vec<RoamingProxy>,
    collectors: Vec<Collector>,
    warm_up: Duration,
    /// What a server that has just started has of its capacity.
    pub cold_capacity: f64,
    load_computed_at: Duration,
    reported_at: Duration,
    attempts: AttemptTotals,
    /// What broke a rule.
    pub breaches: Vec<String>,
    service: Vec<ServiceSlot>,
    /// How long a proxy stays with another planner before it tries its own again.
    pub homing_interval: Duration,
    /// The time between two reports.
    pub report_interval: Duration,
    /// The most that a cold server was sent over the time of the rule, as a multiple of its capacity.
    pub worst_cold_load: f64,
}

impl Fleet {
    /// Starts the planners as processes of `program`.
    ///
    /// # Panics
    ///
    /// One cannot be started.
    pub fn start(program: &str, config: FleetConfig) -> Fleet {
        let discovery = Discovery::new(config.servers);
        let planner_discoveries: Vec<Discovery> =
            (0..config.planners).map(|_| discovery.another_address()).collect();
        let (settings, descriptors) = (config.settings(), config.proxies + SPARE_DESCRIPTORS);
        let planners = planner_discoveries
            .iter()
            .map(|discovery| PlannerProcess::start(program, discovery, descriptors, &settings))
            .collect();
        let capacity = config.server_capacity();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
        Fleet {
            began: Instant::now(),
            unix_ms: unix.as_millis() as u64,
            limits: RuleLimits::default(),
            discovery,
            planner_discoveries,
            planners,
            answered_at: vec![Duration::ZERO; config.planners],
            cut_off: vec![false; config.planners],
            servers: (0..config.servers).map(|_| SimulatedServer::new(capacity, None)).collect(),
            proxies: (0..config.proxies).map(|node| RoamingProxy::new(node, config.planners)).collect(),
            collectors: Collector::for_all(config.planners),
            warm_up: config.warm_up,
            cold_capacity: 0.3,
            load_computed_at: Duration::ZERO,
            reported_at: Duration::ZERO,
            attempts: BTreeMap::new(),
            breaches: vec![],
            service: vec![],
            homing_interval: ms(3000),
            report_interval: ms(500),
            worst_cold_load: 0.0,
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Goes on for so long.
    pub fn run(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end {
            self.step();
            thread::sleep(STEP_INTERVAL);
        }
    }

    /// Goes on until the condition holds. Gives how long that took.
    ///
    /// # Panics
    ///
    /// It does not hold within the limit.
    pub fn run_until(&mut self, what: &str, limit: Duration, holds: impl Fn(&Fleet) -> bool) -> Duration {
        let from = self.now();
        while !holds(self) {
            assert!(self.now() - from < limit, "not within {limit:?}: {what}");
            self.run(ms(5));
        }
        self.now() - from
    }

    fn step(&mut self) {
        let now = self.now();
        for node in 0..self.proxies.len() {
            self.connect_proxy(now, node);
            self.read_proxy(now, node);
        }
        if now - self.load_computed_at >= LOAD_INTERVAL {
            self.compute_load(now, (now - self.load_computed_at).as_secs_f64());
            self.load_computed_at = now;
            self.check_rules(now);
        }
        if now - self.reported_at >= self.report_interval {
            self.send_reports(now);
        }
    }

    /// Whether every proxy has joined some planner and has a table.
    pub fn is_settled(&self) -> bool {
        self.proxies.iter().all(|proxy| proxy.planner().is_some() && !proxy.table.is_empty())
    }

    /// How many proxies have joined a planner.
    pub fn joined_count(&self, planner: usize) -> usize {
        self.proxies.iter().filter(|proxy| proxy.planner() == Some(planner)).count()
    }

    /// Ends a planner as a planned restart does, and starts it again after so long.
    ///
    /// # Panics
    ///
    /// It does not run, or does not start again.
    pub fn restart_planner(&mut self, planner: usize, down: Duration) {
        self.planners[planner].signal("TERM");
        self.run(down);
        self.start_planner_again(planner);
    }

    /// Starts a planner that has ended, or kills and starts it.
    ///
    /// # Panics
    ///
    /// It does not start.
    pub fn start_planner_again(&mut self, planner: usize) {
        self.planners[planner].restart();
        self.answered_at[planner] = self.now();
    }

    /// Starts new servers in place of some, which drain from now on. As many of each zone come as go, where the old ones
    /// are a run of numbers.
    pub fn replace_servers(&mut self, old: &[usize]) {
        let now = self.now();
        let first_new = self.servers.len();
        let capacity = self.servers[0].capacity;
        let mut changes = vec![];
        for number in first_new..first_new + old.len() {
            self.servers.push(SimulatedServer::new(capacity, Some(now)));
            let started_ms = self.unix_ms + now.as_millis() as u64;
            changes.push(endpoint_started_at(number, ServerState::Serving.listed(), started_ms));
        }
        for number in old {
            self.servers[*number].drain(now);
            changes.push(endpoint_started_at(*number, ServerState::Draining.listed(), 0));
        }
        self.discovery.publish(&changes);
    }

    /// Removes the servers that drain.
    pub fn remove_drained_servers(&mut self) {
        self.servers.iter_mut().for_each(SimulatedServer::remove_if_drained);
        let servers = self.servers.iter().enumerate();
        let removed = servers.filter(|(_, server)| server.state() == ServerState::Removed);
        let changes: Vec<Value> = removed
            .map(|(number, _)| endpoint_started_at(number, ServerState::Removed.listed(), 0))
            .collect();
        self.discovery.publish(&changes);
    }
}
