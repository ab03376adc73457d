//! Several planners over one endpoint list, with proxies that connect to another planner when theirs is lost, and collectors.
//! Proxies and collectors run in the caller's thread, which checks the rules after each step.
//!
//! Servers are only computed: the load that the proxies' tables send to a server, by weight, is compared with its capacity. A
//! breach therefore follows from the planners' updates and not from the speed of the machine that runs the test.

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

/// Names of the zones; a proxy's or server's number decides its zone.
const ZONES: [&str; 2] = ["north", "south"];
/// Requests per second at each proxy.
const REQUESTS_PER_SECOND: f64 = 10.0;
/// Number of file descriptors that a planner gets beyond one for each proxy.
const SPARE_DESCRIPTORS: usize = 120;
/// Pause between two steps.
const STEP_INTERVAL: Duration = ms(4);
/// Time between two computations of the load and checks of the rules.
const LOAD_INTERVAL: Duration = ms(20);

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    /// Number of planner processes.
    pub planners: usize,
    /// Number of proxies, each with 10 requests per second.
    pub proxies: usize,
    /// Number of servers.
    pub servers: usize,
    /// Share of the servers' capacity that these requests take, 0 to 1.
    pub utilization: f64,
    /// Time from a server's start to its full capacity.
    pub warm_up: Duration,
}

impl FleetConfig {
    /// Returns the configuration of a fleet of this size whose servers warm up in 4 s.
    pub fn new(planners: usize, proxies: usize, servers: usize, utilization: f64) -> Self {
        FleetConfig { planners, proxies, servers, utilization, warm_up: ms(4000) }
    }

    fn settings(&self) -> Value {
        let mut settings = default_settings();
        settings["familyInfo"]["dataPlaneSize"] = json!(self.proxies);
        settings["invariants"]["warmUpMs"] = json!(self.warm_up.as_millis() as u64);
        settings
    }

    /// Returns the capacity of one server, in requests per second.
    fn server_capacity(&self) -> f64 {
        REQUESTS_PER_SECOND * self.proxies as f64 / self.utilization / self.servers as f64
    }
}

/// Planners, proxies, collectors and servers, driven from one thread.
pub struct Fleet {
    started_at: Instant,
    /// System time at the start, in Unix milliseconds.
    unix_ms: u64,
    /// Limits of the rules.
    pub limits: RuleLimits,
    /// Discovery service with the endpoint list.
    pub discovery: Discovery,
    /// Address of the discovery service that each planner uses.
    pub planner_discoveries: Vec<Discovery>,
    /// Planners, by number.
    pub planners: Vec<PlannerProcess>,
    /// Time at which each planner first answered after its last start.
    answered_at: Vec<Duration>,
    /// True for each planner that is cut off: its connections stay open, but no message is sent or read on them.
    pub cut_off: Vec<bool>,
    /// Servers, by number.
    pub servers: Vec<SimulatedServer>,
    /// Proxies, by number.
    pub proxies: Vec<RoamingProxy>,
    collectors: Vec<Collector>,
    warm_up: Duration,
    /// Fraction of its full capacity that a server has right after its start.
    pub cold_capacity: f64,
    load_computed_at: Duration,
    reported_at: Duration,
    /// Attempts since the last report.
    attempts: AttemptTotals,
    /// Descriptions of the breaches of rules.
    pub breaches: Vec<String>,
    /// Requests of each slot since the start.
    service: Vec<ServiceSlot>,
    /// Time for which a proxy stays with another planner before it tries its home planner again.
    pub homing_interval: Duration,
    /// Time between two reports.
    pub report_interval: Duration,
    /// Greatest load of a cold server over [`RuleLimits::overload_window`], as a multiple of its capacity.
    pub worst_cold_load: f64,
}

impl Fleet {
    /// Starts the planners as processes of `program` (a path).
    ///
    /// # Panics
    ///
    /// Panics if a planner cannot be started.
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
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("the system time is after 1970");
        Fleet {
            started_at: Instant::now(),
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

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Runs the fleet for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.now() + span;
        while self.now() < end {
            self.step();
            thread::sleep(STEP_INTERVAL);
        }
    }

    /// Runs the fleet until the condition holds, and returns how long that took. `what` names the condition in the panic
    /// message.
    ///
    /// # Panics
    ///
    /// Panics if the condition does not hold within the limit.
    pub fn run_until(&mut self, what: &str, limit: Duration, holds: impl Fn(&Fleet) -> bool) -> Duration {
        let from = self.now();
        while !holds(self) {
            assert!(self.now() - from < limit, "condition not met within {limit:?}: {what}");
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

    /// Returns true if every proxy has joined a planner and has a table.
    pub fn is_settled(&self) -> bool {
        self.proxies.iter().all(|proxy| proxy.planner().is_some() && !proxy.table.is_empty())
    }

    /// Returns the number of proxies that have joined a planner.
    pub fn joined_count(&self, planner: usize) -> usize {
        self.proxies.iter().filter(|proxy| proxy.planner() == Some(planner)).count()
    }

    /// Ends a planner by SIGTERM as a planned restart does, and starts it again after `down`.
    ///
    /// # Panics
    ///
    /// Panics if the planner does not run or does not start again.
    pub fn restart_planner(&mut self, planner: usize, down: Duration) {
        self.planners[planner].signal("TERM");
        self.run(down);
        self.start_planner_again(planner);
    }

    /// Starts a planner again, and kills it first if it still runs.
    ///
    /// # Panics
    ///
    /// Panics if the planner does not start.
    pub fn start_planner_again(&mut self, planner: usize) {
        self.planners[planner].restart();
        self.answered_at[planner] = self.now();
    }

    /// Starts a new server for each of the servers `old`, and drains those. Each zone keeps its number of servers if the
    /// numbers in `old` are consecutive.
    pub fn replace_servers(&mut self, old: &[usize]) {
        let now = self.now();
        let first_new = self.servers.len();
        let capacity = self.servers[0].capacity;
        let mut changes = vec![];
        for number in first_new..first_new + old.len() {
            self.servers.push(SimulatedServer::new(capacity, Some(now)));
            let started_ms = self.unix_ms + now.as_millis() as u64;
            changes.push(endpoint_started_at(number, ServerState::Serving.wire_name(), started_ms));
        }
        for number in old {
            self.servers[*number].drain(now);
            changes.push(endpoint_started_at(*number, ServerState::Draining.wire_name(), 0));
        }
        self.discovery.publish(&changes);
    }

    /// Removes the servers that are draining from the endpoint list.
    pub fn remove_drained_servers(&mut self) {
        self.servers.iter_mut().for_each(SimulatedServer::remove_if_drained);
        let servers = self.servers.iter().enumerate();
        let removed = servers.filter(|(_, server)| server.state() == ServerState::Removed);
        let changes: Vec<Value> = removed
            .map(|(number, _)| endpoint_started_at(number, ServerState::Removed.wire_name(), 0))
            .collect();
        self.discovery.publish(&changes);
    }
}
