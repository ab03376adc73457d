//! A policy under a message limit in simulated time, which checks when each urgent change is sent.

use crate::helpers::*;
use grebespool::host::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The resolution of the simulated time.
pub const STEP: Duration = ms(10);
pub const REPORT_STEPS: u64 = 50;
/// The delay after which a change that does not fit is tried again.
const RETRY_DELAY: Duration = ms(100);

/// The age of a weight up to which the start of a server reduces it: learned weights rise by a quarter in 2 s at most, and a
/// start reduces them to a quarter.
const MAX_WEIGHT_AGE: Duration = Duration::from_secs(8);
/// The factor below which a reduction of a warming server's weight is urgent.
const URGENT_FACTOR: f32 = 0.3;

/// The settings that bound the delay of an urgent change.
#[derive(Clone, Copy, Debug)]
pub struct LimitSettings {
    pub max_messages: usize,
    pub window: Duration,
    pub max_transit: Duration,
    pub drain_grace: Option<Duration>,
    pub max_unserved: Option<Duration>,
}

impl LimitSettings {
    pub fn random(rng: &mut Pcg64Mcg) -> LimitSettings {
        let mut random_ms = |range| Duration::from_millis(rng.random_range(range));
        let (window, max_transit, grace) =
            (random_ms(2_000..15_000), random_ms(50..1200), random_ms(300..5_000));
        let drain_grace = rng.random_bool(0.8).then_some(grace);
        let max_messages = rng.random_range(2..30);
        let max_unserved = rng.random_bool(0.3).then(|| Duration::from_millis(rng.random_range(300..5_000)));
        LimitSettings { max_messages, window, max_transit, drain_grace, max_unserved }
    }

    /// The shortest time within which an urgent change has to take effect.
    fn time_limit(&self) -> Option<Duration> {
        [self.drain_grace, self.max_unserved].into_iter().flatten().min()
    }

    /// The messages that the limit leaves beside a binding and a message that arrives late.
    pub fn available(&self) -> usize {
        self.max_messages.saturating_sub(2).max(1)
    }

    /// The mean interval of the available messages.
    fn mean_interval(&self) -> Duration {
        (self.window + ms(1)) / self.available() as u32
    }

    /// The longest time that an urgent change may wait and take effect in time; without a time limit, until the next message of
    /// the mean interval.
    pub fn longest_wait(&self) -> Duration {
        let by_limit = self.time_limit().map(|limit| limit.saturating_sub(self.max_transit));
        by_limit.unwrap_or(self.mean_interval() + RETRY_DELAY) + STEP * 2
    }

    /// The number of urgent messages within a window that are sent in time whatever else was sent; `None` if the limit admits
    /// them without end.
    pub fn reserved(&self) -> Option<usize> {
        let interval = self.time_limit()?.saturating_sub(self.max_transit + RETRY_DELAY);
        (interval < self.mean_interval()).then_some(self.available().div_ceil(2))
    }

    /// The longest time that an urgent change may wait once urgent ones have used up the limit: until the next message of
    /// the mean interval of the messages that are not reserved.
    fn longest_wait_after_a_burst(&self) -> Duration {
        let unreserved = self.available() - self.reserved().unwrap_or(0);
        (self.window + ms(1)) / unreserved.max(1) as u32 + RETRY_DELAY + STEP * 2
    }
}

/// An urgent change that a table has not shown yet.
struct Obligation {
    table: TableId,
    server: ServerIndex,
    /// The time at which the policy was told.
    told_at: Duration,
    /// The weight of the server in the table at that time; 0 if the table had no usable server and needs one.
    weight: f32,
}

/// A weight in a table.
#[derive(Clone, Copy)]
struct ShownWeight {
    weight: f32,
    set_at: Duration,
}

/// A policy under a message limit, and what its proxies were sent.
pub struct LimitedPolicy {
    pub harness: PolicyHarness,
    settings: LimitSettings,
    zones: usize,
    pub servers: usize,
    /// By joined proxy: the time at which it joined.
    joined_at: BTreeMap<ProxyId, Duration>,
    /// The servers that must not be used.
    unusable: BTreeSet<ServerIndex>,
    /// By server: the time of its last start.
    started_at: BTreeMap<ServerIndex, Duration>,
    obligations: Vec<Obligation>,
    /// The weights in the tables.
    weights: BTreeMap<(TableId, ServerIndex), ShownWeight>,
    /// By table: the times of the messages that carried an urgent change.
    urgent_times: BTreeMap<TableId, BTreeSet<Duration>>,
    /// The number of checks in which an urgent change was late because urgent ones before it had used up the limit.
    pub excused: usize,
}

impl LimitedPolicy {
    pub fn new(settings: LimitSettings, zones: usize, servers: usize, proxies: u16) -> LimitedPolicy {
        let LimitSettings { max_messages, window, max_transit, drain_grace, max_unserved } = settings;
        let channel = ControlChannelLimits {
            entries_per_s: 1e6,
            max_queued_entries: 1e9,
            max_messages,
            window,
            max_transit,
            ..CHANNEL
        };
        let timeouts = Timeouts {
            warm_up: WARM_UP,
            removal_is_final: true,
            drain_grace,
            max_unserved,
            cold_start: None,
        };
        let routes = vec![route(1.0, Idempotency::Idempotent), route(2.0, Idempotency::Idempotent)];
        let mut harness = PolicyHarness::with_timeouts(
            capabilities(zones, proxies.into(), 200.0),
            channel,
            routes,
            timeouts,
        );
        harness.update_endpoints(true, &warm_endpoints(0..servers, zones));
        let mut limited = LimitedPolicy {
            harness,
            settings,
            zones,
            servers,
            joined_at: BTreeMap::new(),
            unusable: BTreeSet::new(),
            started_at: BTreeMap::new(),
            obligations: vec![],
            weights: BTreeMap::new(),
            urgent_times: BTreeMap::new(),
            excused: 0,
        };
        (0..proxies).for_each(|proxy| limited.join(proxy, true));
        limited
    }

    fn join(&mut self, proxy: ProxyId, restarted: bool) {
        let zone = (usize::from(proxy) % self.zones) as ZoneId;
        self.harness.commands.borrow_mut().tables_by_proxy.remove(&proxy);
        self.joined_at.insert(proxy, self.harness.now);
        self.harness.policy.proxy_joined(self.harness.now, proxy, zone, restarted, 1.0);
        self.record_commands();
    }

    fn leave(&mut self, proxy: ProxyId) {
        self.joined_at.remove(&proxy);
        self.harness.policy.proxy_left(proxy);
    }

    /// Lists a server in a state. A drain, and the start of a server that was warm, have to show in all tables in time.
    pub fn list(&mut self, server: ServerIndex, state: EndpointState, age: Option<Duration>) {
        let now = self.harness.now;
        let is_ready = state == EndpointState::Ready;
        if is_ready {
            self.obligations.retain(|obligation| obligation.server != server);
        }
        if !is_ready && self.unusable.insert(server) {
            self.oblige(server, |_, _, shown| shown.weight > 0.0);
        } else if is_ready && self.unusable.contains(&server) {
            self.oblige(server, |limited, table, shown| {
                shown.weight == 0.0 && !limited.has_usable_server(table)
            });
            self.unusable.remove(&server);
        } else if is_ready && age.is_some() && self.is_warm(server) {
            self.oblige(server, |limited, table, shown| limited.start_reduces(server, table, shown));
        }
        if age.is_some() {
            self.started_at.insert(server, now);
        }
        let zone = (server % self.zones) as ZoneId;
        self.harness.update_endpoints(false, &[endpoint(server, zone, state, age)]);
        self.record_commands();
    }

    /// Adds an obligation for each table that contains the server and that `is_due` accepts.
    fn oblige(&mut self, server: ServerIndex, is_due: impl Fn(&LimitedPolicy, TableId, ShownWeight) -> bool) {
        self.obligations.retain(|obligation| obligation.server != server);
        let told_at = self.harness.now;
        let holding = self.weights.iter().filter(|((_, other), _)| *other == server);
        let due = holding.filter(|((table, _), shown)| is_due(self, *table, **shown));
        let new: Vec<Obligation> = due
            .map(|((table, _), shown)| Obligation { table: *table, server, told_at, weight: shown.weight })
            .collect();
        self.obligations.extend(new);
    }

    /// Returns true if the start of a server has to reduce its weight in a table: the weight is recent, and none of the
    /// table's other servers, of which at least two are warm, has a higher one.
    fn start_reduces(&self, server: ServerIndex, table: TableId, shown: ShownWeight) -> bool {
        let others: Vec<(ServerIndex, f32)> = (self.weights.iter())
            .filter(|((of, other), _)| *of == table && *other != server && !self.unusable.contains(other))
            .map(|((_, other), shown)| (*other, shown.weight))
            .collect();
        let warm = others.iter().filter(|(other, weight)| *weight > 0.0 && self.is_warm(*other)).count();
        let is_highest = others.iter().all(|(_, weight)| *weight <= shown.weight);
        shown.weight > 0.0 && warm >= 2 && is_highest && self.harness.now - shown.set_at <= MAX_WEIGHT_AGE
    }

    /// Returns true if a table has a server that may be used.
    fn has_usable_server(&self, table: TableId) -> bool {
        let is_usable = |((of, other), shown): (&(TableId, ServerIndex), &ShownWeight)| {
            *of == table && shown.weight > 0.0 && !self.unusable.contains(other)
        };
        self.weights.iter().any(is_usable)
    }

    fn is_warm(&self, server: ServerIndex) -> bool {
        self.started_at.get(&server).is_none_or(|at| self.harness.now > *at + WARM_UP)
    }

    /// Returns true if the table shows an urgent change.
    fn is_met(&self, obligation: &Obligation) -> bool {
        let weight = self.weights[&(obligation.table, obligation.server)].weight;
        if self.unusable.contains(&obligation.server) {
            weight == 0.0
        } else if obligation.weight == 0.0 {
            self.has_usable_server(obligation.table)
        } else {
            weight < obligation.weight
        }
    }

    /// Removes the obligations that the tables show, and records the messages that carried urgent changes.
    fn record_commands(&mut self) {
        let recorded = std::mem::take(&mut self.harness.commands.borrow_mut().weight_commands);
        for command in &recorded {
            if self.is_urgent(command) {
                self.urgent_times.entry(command.table).or_default().insert(command.at);
            }
        }
        for WeightCommand { at, table, server, weight, .. } in recorded {
            self.weights.insert((table, server), ShownWeight { weight, set_at: at });
        }
        let obligations = std::mem::take(&mut self.obligations);
        self.obligations = obligations.into_iter().filter(|obligation| !self.is_met(obligation)).collect();
    }

    /// Returns true if a weight may not wait: it removes a server that must not be used, is the first reduction since a
    /// server's start or a large one while it warms up, or is the first weight of a table without usable servers.
    fn is_urgent(&self, command: &WeightCommand) -> bool {
        let WeightCommand { at, table, server, before, weight } = *command;
        let started_at = self.started_at.get(&server);
        let is_cold = started_at.is_some_and(|started_at| at <= *started_at + WARM_UP);
        let shown = self.weights.get(&(table, server));
        let knows_start =
            shown.is_none_or(|shown| started_at.is_none_or(|started_at| shown.set_at > *started_at));
        let drains = self.unusable.contains(&server) && before > 0.0 && weight == 0.0;
        let protects = is_cold && weight < if knows_start { URGENT_FACTOR * before } else { before };
        drains || protects || (weight > 0.0 && !self.has_usable_server(table))
    }

    /// Advances the time by a step, and checks that no urgent change is late, unless urgent ones have used up the limit.
    pub fn step(&mut self) {
        self.harness.advance(STEP);
        self.record_commands();
        let commands = self.harness.commands.borrow();
        let longest = self.settings.longest_wait();
        for (proxy, joined_at) in &self.joined_at {
            let Some(tables) = commands.tables_by_proxy.get(proxy) else { continue };
            for obligation in self.obligations.iter().filter(|one| tables.contains(&one.table)) {
                let waits = self.harness.now - obligation.told_at.max(*joined_at);
                if waits <= longest {
                    continue;
                }
                assert!(
                    self.is_used_up_by_urgent(obligation.table)
                        && waits <= self.settings.longest_wait_after_a_burst(),
                    "proxy {proxy}, server {}: an urgent change waits {waits:?}, {longest:?} allowed by {:?}",
                    obligation.server,
                    self.settings
                );
                self.excused += 1;
            }
        }
    }

    /// Returns true if as many urgent messages as are reserved were sent to the proxies of a table within the window.
    fn is_used_up_by_urgent(&self, table: TableId) -> bool {
        let Some(reserved) = self.settings.reserved() else { return false };
        // The change is tried again some time after a message has left the window.
        let from = self.harness.now.saturating_sub(self.settings.window + RETRY_DELAY + STEP);
        let urgent = self.urgent_times.get(&table).into_iter().flatten().filter(|at| **at >= from).count();
        urgent >= reserved
    }

    /// Advances the time by `length`, with reports of random loads.
    pub fn run(&mut self, length: Duration, rng: &mut Pcg64Mcg) {
        for _ in 0..length.as_millis() / STEP.as_millis() {
            if (self.harness.now.as_millis() / STEP.as_millis()).is_multiple_of(u128::from(REPORT_STEPS)) {
                report_random_loads(self, rng);
            }
            self.step();
        }
    }

    /// Returns the number of messages that changed a table.
    pub fn messages_to(&self, table: TableId) -> usize {
        self.harness.commands.borrow().update_times_by_table.get(&table).map_or(0, BTreeSet::len)
    }

    /// Checks that no proxy got more messages within a window since it joined than the limit allows.
    pub fn check_limit(&self) {
        let commands = self.harness.commands.borrow();
        for (proxy, joined_at) in &self.joined_at {
            let Some(tables) = commands.tables_by_proxy.get(proxy) else { continue };
            let updates = tables.iter().filter_map(|table| commands.update_times_by_table.get(table));
            let mut sent: Vec<Duration> =
                updates.flatten().chain(&commands.admission_times).copied().collect();
            sent.retain(|at| at > joined_at);
            sent.push(*joined_at);
            sent.sort();
            sent.dedup();
            for (i, from) in sent.iter().enumerate() {
                let within = sent[i..].iter().filter(|at| **at <= *from + self.settings.window).count();
                assert!(
                    within <= self.settings.max_messages,
                    "{within} messages to proxy {proxy}, {:?}",
                    self.settings
                );
            }
        }
    }
}

pub fn random_event(limited: &mut LimitedPolicy, rng: &mut Pcg64Mcg, proxies: u16) {
    let server = rng.random_range(0..limited.servers);
    let proxy = rng.random_range(0..proxies);
    match rng.random_range(0..8) {
        0..4 => limited.list(server, EndpointState::Draining, None),
        4 => limited.list(server, EndpointState::Removed, None),
        5 => limited.list(server, EndpointState::Ready, rng.random_bool(0.5).then_some(ms(100))),
        6 => limited.leave(proxy),
        _ => {
            let restarted = rng.random_bool(0.5);
            limited.join(proxy, restarted);
        }
    }
}

pub fn report_random_loads(limited: &mut LimitedPolicy, rng: &mut Pcg64Mcg) {
    for server in 0..limited.servers {
        let failures = if rng.random_bool(0.1) { 8 } else { 0 };
        limited.harness.report(server, observed(10, failures, rng.random_range(0.1..1.0), 0.0));
    }
    for route in 0..2 {
        limited.harness.policy.requests_received(limited.harness.now, 0, route, rng.random_range(0..60));
    }
}
