//! A host that records the policy's commands, and a harness that runs a policy in simulated time.

use grebespool::host::*;
use grebespool::policy::Policy;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// The number of servers for which [`PolicyHarness::run`] may report a load.
const REPORTED_SERVERS: ServerIndex = 64;
pub const REPORT_INTERVAL: Duration = ms(500);

/// The values of a load report on a server over one interval.
#[derive(Clone, Copy)]
pub struct Observed {
    pub attempts: u32,
    pub failures: u32,
    pub utilization: f32,
    pub pending: f32,
}

pub const fn observed(attempts: u32, failures: u32, utilization: f32, pending: f32) -> Observed {
    Observed { attempts, failures, utilization, pending }
}

/// A report on a server at half of its capacity.
pub const HALF_LOADED: Option<Observed> = Some(observed(5, 0, 0.5, 0.0));

/// A weight that was set.
#[derive(Clone, Copy, Debug)]
pub struct WeightCommand {
    pub at: Duration,
    pub table: TableId,
    pub server: ServerIndex,
    /// The weight that was set before; 0 if there was none.
    pub before: f32,
    pub weight: f32,
}

/// The commands of the policy.
#[derive(Default)]
pub struct Commands {
    /// The weights that were set, oldest first.
    pub weight_commands: Vec<WeightCommand>,
    pub weights: BTreeMap<(TableId, ServerIndex), f32>,
    pub tables_by_proxy: BTreeMap<ProxyId, BTreeSet<TableId>>,
    /// By proxy: the routes and the table of each binding; 0 means all routes.
    pub bindings: BTreeMap<ProxyId, BTreeMap<RouteSet, TableId>>,
    pub admission: BTreeMap<RouteSet, (f32, RetryPolicy)>,
    pub table_admission: BTreeMap<(TableId, RouteSet), (f32, RetryPolicy)>,
    /// The health checks that were requested and not answered.
    pub health_checks: Vec<ServerIndex>,
    /// The acknowledgements that were requested and not answered.
    pub acks: Vec<u16>,
    /// The number of weights set.
    pub weights_set: usize,
    /// The number of polls of the endpoint list.
    pub polls: usize,
    /// The times of the policy calls that set weights or levels.
    pub update_times: BTreeSet<Duration>,
    /// By table: the times of the policy calls that set its weights.
    pub update_times_by_table: BTreeMap<TableId, BTreeSet<Duration>>,
    /// The times of the policy calls that set levels, which go to all tables.
    pub admission_times: BTreeSet<Duration>,
    /// True if levels are requests per second, not shares.
    pub levels_are_rates: bool,
    timers: BTreeSet<(Duration, Timer)>,
    now: Duration,
}

#[derive(Clone, Default)]
pub struct RecordingHost(pub Rc<RefCell<Commands>>);

impl PolicyHost for RecordingHost {
    fn set_timer(&mut self, at: Duration, timer: Timer) {
        self.0.borrow_mut().timers.insert((at, timer));
    }
    fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        assert!(weight.is_finite() && weight >= 0.0, "weight {weight} of server {server}");
        let mut commands = self.0.borrow_mut();
        let now = commands.now;
        commands.update_times.insert(now);
        commands.update_times_by_table.entry(table).or_default().insert(now);
        commands.weights_set += 1;
        let before = commands.weights.insert((table, server), weight).unwrap_or(0.0);
        commands.weight_commands.push(WeightCommand { at: now, table, server, before, weight });
    }
    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        let mut commands = self.0.borrow_mut();
        commands.tables_by_proxy.entry(proxy).or_default().insert(table);
        commands.bindings.entry(proxy).or_default().insert(routes, table);
    }
    fn set_admission(&mut self, routes: RouteSet, level: f32, retries: RetryPolicy) {
        let mut commands = self.0.borrow_mut();
        let max = if commands.levels_are_rates { f32::MAX } else { 1.0 };
        assert!((0.0..=max).contains(&level), "level {level}");
        let now = commands.now;
        commands.update_times.insert(now);
        commands.admission_times.insert(now);
        commands.admission.insert(routes, (level, retries));
    }
    fn set_table_admission(&mut self, table: TableId, routes: RouteSet, level: f32, retries: RetryPolicy) {
        let mut commands = self.0.borrow_mut();
        let max = if commands.levels_are_rates { f32::MAX } else { 1.0 };
        assert!((0.0..=max).contains(&level), "level {level}");
        let now = commands.now;
        commands.update_times.insert(now);
        commands.update_times_by_table.entry(table).or_default().insert(now);
        commands.table_admission.insert((table, routes), (level, retries));
    }
    fn request_ack(&mut self, number: u16) {
        self.0.borrow_mut().acks.push(number);
    }
    fn start_health_check(&mut self, server: ServerIndex) {
        self.0.borrow_mut().health_checks.push(server);
    }
    fn poll_endpoints(&mut self) {
        self.0.borrow_mut().polls += 1;
    }
}

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn route(priority_weight: f64, idempotency: Idempotency) -> Route {
    Route { priority_weight, latency_objective: ms(1500), idempotency, zone_local: false }
}

pub fn endpoint(server: ServerIndex, zone: ZoneId, state: EndpointState, age: Option<Duration>) -> Endpoint {
    Endpoint { server, zone, kind: 0, state, age }
}

/// Returns ready, warm servers, distributed round-robin over the zones.
pub fn warm_endpoints(servers: std::ops::Range<ServerIndex>, zones: usize) -> Vec<Endpoint> {
    servers.map(|server| endpoint(server, (server % zones) as ZoneId, EndpointState::Ready, None)).collect()
}

/// A route that may not leave its zone.
pub fn zone_local_route(priority_weight: f64) -> Route {
    Route { zone_local: true, ..route(priority_weight, Idempotency::Idempotent) }
}

pub const WARM_UP: Duration = Duration::from_secs(16);

/// Returns proxies with levels as shares, which start no retry that could be in time.
pub fn capabilities(zones: usize, proxies: usize, min_server_connections: f64) -> ProxyCapabilities {
    ProxyCapabilities {
        zones,
        slices: 0,
        admission_mode: AdmissionMode::Share,
        attempt_timeout_factor: 1.2,
        proxies,
        min_server_connections,
    }
}

pub const CHANNEL: ControlChannelLimits = ControlChannelLimits {
    entries_per_s: 10_000.0,
    max_queued_entries: 15_000.0,
    message_overhead: 4.0,
    max_messages: 12,
    window: Duration::from_secs(10),
    max_transit: Duration::from_millis(500),
};

/// A policy, its commands and the simulated time.
pub struct PolicyHarness {
    pub policy: Policy<RecordingHost>,
    pub commands: Rc<RefCell<Commands>>,
    pub observability: Observability,
    pub now: Duration,
    /// True if servers pass health checks.
    pub healthy: bool,
    /// True if proxies send acknowledgements.
    pub acknowledging: bool,
    /// The latency of answered attempts.
    pub latency: Duration,
}

impl PolicyHarness {
    pub fn new(
        zones: usize,
        channel: ControlChannelLimits,
        routes: Vec<Route>,
        attempt_timeout_factor: f64,
    ) -> PolicyHarness {
        PolicyHarness::with_admission_mode(
            AdmissionMode::Share,
            zones,
            channel,
            routes,
            attempt_timeout_factor,
        )
    }

    pub fn with_admission_mode(
        admission_mode: AdmissionMode,
        zones: usize,
        channel: ControlChannelLimits,
        routes: Vec<Route>,
        attempt_timeout_factor: f64,
    ) -> PolicyHarness {
        let capabilities =
            ProxyCapabilities { admission_mode, attempt_timeout_factor, ..capabilities(zones, 4, 200.0) };
        let harness = PolicyHarness::with_capabilities(capabilities, channel, routes, true);
        harness.commands.borrow_mut().levels_are_rates = admission_mode == AdmissionMode::Rate;
        harness
    }

    pub fn with_capabilities(
        capabilities: ProxyCapabilities,
        channel: ControlChannelLimits,
        routes: Vec<Route>,
        removal_is_final: bool,
    ) -> PolicyHarness {
        let drain_grace = Some(ms(2000));
        let cold_start = Some(ColdStart { capacity: 0.2, overload_multiple: 3.0 });
        let timeouts =
            Timeouts { warm_up: WARM_UP, removal_is_final, drain_grace, max_unserved: None, cold_start };
        PolicyHarness::with_timeouts(capabilities, channel, routes, timeouts)
    }

    pub fn with_timeouts(
        capabilities: ProxyCapabilities,
        channel: ControlChannelLimits,
        routes: Vec<Route>,
        timeouts: Timeouts,
    ) -> PolicyHarness {
        let host = RecordingHost::default();
        let commands = host.0.clone();
        let observability = Observability {
            metrics: vec![LoadMetric::Utilization, LoadMetric::Pending],
            report_interval: REPORT_INTERVAL,
            health_checks: true,
            endpoint_poll_interval: Some(Duration::from_secs(10)),
        };
        let policy = Policy::new(host, 7, routes, capabilities, timeouts, channel, observability.clone());
        PolicyHarness {
            policy,
            commands,
            observability,
            now: Duration::ZERO,
            healthy: true,
            acknowledging: true,
            latency: ms(200),
        }
    }

    /// Creates a harness with two zones and more proxies than the servers have connections for.
    pub fn with_many_proxies(
        servers: usize,
        proxies: usize,
        channel: ControlChannelLimits,
        removal_is_final: bool,
    ) -> PolicyHarness {
        let routes = vec![route(1.0, Idempotency::Idempotent)];
        let mut harness = PolicyHarness::with_capabilities(
            capabilities(2, proxies, 20.0),
            channel,
            routes,
            removal_is_final,
        );
        harness.start(servers, 2, proxies);
        harness
    }

    /// Creates a harness with warm servers, distributed round-robin over the zones, and a joined proxy in each zone.
    pub fn with_servers(servers: usize, zones: usize) -> PolicyHarness {
        let routes = vec![route(1.0, Idempotency::Idempotent), route(2.0, Idempotency::NonIdempotent)];
        PolicyHarness::with_routes(servers, zones, routes)
    }

    /// Creates a harness like [`PolicyHarness::with_servers`] with other routes.
    pub fn with_routes(servers: usize, zones: usize, routes: Vec<Route>) -> PolicyHarness {
        let mut harness = PolicyHarness::new(zones, CHANNEL, routes, 1.2);
        harness.start(servers, zones, zones);
        harness
    }

    /// Lists warm servers and lets proxies join, both distributed round-robin over the zones.
    pub fn start(&mut self, servers: usize, zones: usize, proxies: usize) {
        self.update_endpoints(true, &warm_endpoints(0..servers, zones));
        for proxy in 0..proxies {
            let zone = (proxy % zones) as ZoneId;
            self.policy.proxy_joined(self.now, proxy as ProxyId, zone, true, 1.0);
        }
    }

    pub fn update_endpoints(&mut self, complete: bool, endpoints: &[Endpoint]) {
        self.commands.borrow_mut().now = self.now;
        self.policy.endpoints_updated(self.now, complete, endpoints);
    }

    /// Advances the time by `length`. Reports the values that `observe` returns for each server at every report interval.
    pub fn run(&mut self, length: Duration, observe: impl Fn(ServerIndex) -> Option<Observed>) {
        let end = self.now + length;
        while self.now < end {
            self.now += REPORT_INTERVAL;
            self.acknowledge();
            self.fire_due_timers();
            for server in 0..REPORTED_SERVERS {
                if let Some(observed) = observe(server) {
                    self.report(server, observed);
                }
            }
        }
    }

    /// Advances the time by `length` without reports.
    pub fn advance(&mut self, length: Duration) {
        self.now += length;
        self.acknowledge();
        self.fire_due_timers();
        self.commands.borrow_mut().now = self.now;
    }

    fn acknowledge(&mut self) {
        let acks = std::mem::take(&mut self.commands.borrow_mut().acks);
        for number in acks.into_iter().filter(|_| self.acknowledging) {
            self.policy.acknowledged(self.now, number);
        }
    }

    fn fire_due_timers(&mut self) {
        loop {
            let first = self.commands.borrow().timers.first().copied();
            let Some((at, timer)) = first.filter(|(at, _)| *at <= self.now) else { break };
            let health_checks = {
                let mut commands = self.commands.borrow_mut();
                commands.timers.remove(&(at, timer));
                commands.now = at;
                std::mem::take(&mut commands.health_checks)
            };
            let result = if self.healthy { HealthCheckResult::Healthy } else { HealthCheckResult::Failed };
            for server in health_checks {
                self.policy.health_check_finished(server, result);
            }
            self.policy.timer_fired(at, timer);
        }
    }

    pub fn report(&mut self, server: ServerIndex, observed: Observed) {
        // A reported load that does not change is invalid, so the utilization varies a little. Only 0 stays 0.
        let variation = 1.0 + (self.now.as_millis() / 500 % 7) as f32 * 0.002;
        let metrics = [observed.utilization * variation, observed.pending];
        let answered = observed.attempts > observed.failures;
        let report = LoadReport {
            client_zone: 0,
            attempts: observed.attempts,
            failures: observed.failures,
            latency: answered.then_some(self.latency),
            metrics: if answered { &metrics } else { &[] },
        };
        self.policy.load_reported(self.now, server, &report);
    }

    pub fn weight(&self, table: TableId, server: ServerIndex) -> f32 {
        self.commands.borrow().weights.get(&(table, server)).copied().unwrap_or(0.0)
    }

    /// Returns the table that a proxy uses for the route at a position.
    pub fn table_of(&self, proxy: ProxyId, route: usize) -> TableId {
        let commands = self.commands.borrow();
        let bindings = &commands.bindings[&proxy];
        let has_route = |routes: RouteSet| routes == 0 || routes & (1 << route) != 0;
        let tables: Vec<TableId> =
            bindings.iter().filter(|(routes, _)| has_route(**routes)).map(|(_, table)| *table).collect();
        assert_eq!(tables.len(), 1, "proxy {proxy} needs one table for route {route}: {bindings:?}");
        tables[0]
    }

    /// Returns the weights of a table, without those that are 0.
    pub fn weights_in(&self, table: TableId) -> BTreeMap<ServerIndex, f32> {
        let commands = self.commands.borrow();
        let weights = commands.weights.iter().filter(|((of, _), weight)| *of == table && **weight > 0.0);
        weights.map(|((_, server), weight)| (*server, *weight)).collect()
    }

    /// Returns the servers with a weight above 0 in a table.
    pub fn servers_in(&self, table: TableId) -> Vec<ServerIndex> {
        self.weights_in(table).into_keys().collect()
    }

    /// Returns the tables that proxies are bound to.
    pub fn bound_tables(&self) -> BTreeSet<TableId> {
        self.commands.borrow().tables_by_proxy.values().flatten().copied().collect()
    }

    /// Returns the admission level of a set of routes.
    pub fn level(&self, routes: RouteSet) -> f32 {
        self.commands.borrow().admission[&routes].0
    }
}
