//! Tests of the limit on messages to one proxy, and of the time for which it delays drains.

use crate::helpers::*;
use grebespool::host::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// The resolution of the simulated time.
const STEP: Duration = ms(10);
const REPORT_STEPS: u64 = 50;
/// The delay after which a change that does not fit is tried again.
const RETRY_DELAY: Duration = ms(100);

/// The settings that bound the delay of a drain.
#[derive(Clone, Copy, Debug)]
struct LimitSettings {
    max_messages: usize,
    window: Duration,
    max_transit: Duration,
    drain_grace: Option<Duration>,
}

impl LimitSettings {
    fn random(rng: &mut Pcg64Mcg) -> LimitSettings {
        let mut random_ms = |range| Duration::from_millis(rng.random_range(range));
        let (window, max_transit, grace) =
            (random_ms(2_000..15_000), random_ms(50..800), random_ms(300..5_000));
        let drain_grace = rng.random_bool(0.8).then_some(grace);
        LimitSettings { max_messages: rng.random_range(2..30), window, max_transit, drain_grace }
    }

    /// The longest time that a drain may wait: until it can just take effect within the grace, or the mean interval of the
    /// messages that the limit leaves beside a binding and a message that arrives late.
    fn longest_wait(&self) -> Duration {
        let available = self.max_messages.saturating_sub(2).max(1) as u32;
        let interval = (self.window + ms(1)) / available + RETRY_DELAY;
        let by_grace = self.drain_grace.map(|grace| grace.saturating_sub(self.max_transit));
        by_grace.unwrap_or_default().max(interval) + STEP * 2
    }
}

/// A policy under a message limit, and what its proxies were sent.
struct LimitedPolicy {
    harness: PolicyHarness,
    settings: LimitSettings,
    zones: usize,
    servers: usize,
    /// By joined proxy: the time at which it joined.
    joined_at: BTreeMap<ProxyId, Duration>,
    /// By server that must not be used: the time at which the policy was told.
    told_at: BTreeMap<ServerIndex, Duration>,
}

impl LimitedPolicy {
    fn new(settings: LimitSettings, zones: usize, servers: usize, proxies: u16) -> LimitedPolicy {
        let LimitSettings { max_messages, window, max_transit, drain_grace } = settings;
        let channel = ControlChannelLimits {
            entries_per_s: 1e6,
            max_queued_entries: 1e9,
            max_messages,
            window,
            max_transit,
            ..CHANNEL
        };
        let timeouts = Timeouts { warm_up: WARM_UP, removal_is_final: true, drain_grace, cold_start: None };
        let routes = vec![route(1.0, Idempotency::Idempotent), route(2.0, Idempotency::Idempotent)];
        let mut harness = PolicyHarness::with_timeouts(
            capabilities(zones, proxies.into(), 200.0),
            channel,
            routes,
            timeouts,
        );
        harness.update_endpoints(true, &warm_endpoints(0..servers, zones));
        let (joined_at, told_at) = (BTreeMap::new(), BTreeMap::new());
        let mut limited = LimitedPolicy { harness, settings, zones, servers, joined_at, told_at };
        (0..proxies).for_each(|proxy| limited.join(proxy, true));
        limited
    }

    fn join(&mut self, proxy: ProxyId, restarted: bool) {
        let zone = (usize::from(proxy) % self.zones) as ZoneId;
        self.harness.commands.borrow_mut().tables_by_proxy.remove(&proxy);
        self.joined_at.insert(proxy, self.harness.now);
        self.harness.policy.proxy_joined(self.harness.now, proxy, zone, restarted, 1.0);
    }

    fn leave(&mut self, proxy: ProxyId) {
        self.joined_at.remove(&proxy);
        self.harness.policy.proxy_left(proxy);
    }

    fn list(&mut self, server: ServerIndex, state: EndpointState, age: Option<Duration>) {
        let zone = (server % self.zones) as ZoneId;
        if state == EndpointState::Ready {
            self.told_at.remove(&server);
        } else {
            self.told_at.entry(server).or_insert(self.harness.now);
        }
        self.harness.update_endpoints(false, &[endpoint(server, zone, state, age)]);
    }

    /// Advances the time by a step, and checks that no proxy sends to a draining server for longer than allowed.
    fn step(&mut self) {
        self.harness.advance(STEP);
        let longest = self.settings.longest_wait();
        let commands = self.harness.commands.borrow();
        for (proxy, joined_at) in &self.joined_at {
            for (server, told_at) in &self.told_at {
                let waits = self.harness.now - *told_at.max(joined_at);
                let sends =
                    |table| commands.weights.get(&(table, *server)).is_some_and(|weight| *weight > 0.0);
                let tables = commands.tables_by_proxy.get(proxy);
                assert!(
                    waits <= longest || !tables.into_iter().flatten().any(|table| sends(*table)),
                    "proxy {proxy} sends to server {server} {waits:?} after the drain; {longest:?} allowed by {:?}",
                    self.settings
                );
            }
        }
    }

    /// Checks that no proxy got more messages within a window since it joined than the limit allows.
    fn check_limit(&self) {
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

/// In a rolling deploy, early drains went out in a burst and the next ones at the mean interval of the limit, which used it
/// up before the end of the window: drains after that waited 2.4 s, longer than the grace.
#[rstest]
#[case::after_a_burst(
    &[2000, 2100, 2200, 3250, 4500, 5510, 6520, 7530, 8540, 9550, 9560, 10_040, 12_000, 13_000, 14_000]
)]
#[case::evenly_spaced(
    &[2000, 3010, 4020, 5030, 6040, 7050, 8060, 9070, 10_080, 11_090, 12_100, 13_110, 14_120]
)]
fn drains_spread_over_a_window_are_published_within_the_grace(#[case] drains_ms: &[u128]) {
    let settings = LimitSettings {
        max_messages: 12,
        window: Duration::from_secs(10),
        max_transit: ms(250),
        drain_grace: Some(ms(1500)),
    };
    let mut limited = LimitedPolicy::new(settings, 3, 24, 12);
    for step in 0..2000 {
        if let Some(server) = drains_ms.iter().position(|at| *at == step * STEP.as_millis()) {
            limited.list(server, EndpointState::Draining, None);
        }
        limited.step();
    }
    limited.check_limit();
}

/// Whatever was sent before, a drain waits no longer than the settings allow, and no proxy gets more messages than the limit.
#[rstest]
fn delay_of_a_drain_is_bounded_by_the_settings_alone() {
    for seed in 0..150 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let settings = LimitSettings::random(&mut rng);
        let (zones, proxies) = (rng.random_range(1..4), rng.random_range(1..8));
        let servers = rng.random_range(2..16);
        let mut limited = LimitedPolicy::new(settings, zones, servers, proxies);
        let events_per_s = [0.2, 1.0, 4.0][rng.random_range(0..3)];
        for step in 0..4000 {
            if rng.random_bool(events_per_s * STEP.as_secs_f64()) {
                random_event(&mut limited, &mut rng, proxies);
            }
            if step % REPORT_STEPS == 0 {
                report_random_loads(&mut limited, &mut rng);
            }
            limited.step();
        }
        limited.check_limit();
    }
}

fn random_event(limited: &mut LimitedPolicy, rng: &mut Pcg64Mcg, proxies: u16) {
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

fn report_random_loads(limited: &mut LimitedPolicy, rng: &mut Pcg64Mcg) {
    for server in 0..limited.servers {
        let failures = if rng.random_bool(0.1) { 8 } else { 0 };
        limited.harness.report(server, observed(10, failures, rng.random_range(0.1..1.0), 0.0));
    }
    for route in 0..2 {
        limited.harness.policy.requests_received(limited.harness.now, 0, route, rng.random_range(0..60));
    }
}

/// The cost of a decision grows with the messages that were sent, not with the limit.
#[rstest]
fn large_limit_is_checked_quickly() {
    let settings = LimitSettings {
        max_messages: 100_000_000,
        window: Duration::from_secs(10),
        max_transit: ms(250),
        drain_grace: None,
    };
    let mut limited = LimitedPolicy::new(settings, 2, 8, 4);
    for step in 0..300 {
        if step % 20 == 0 {
            limited.list(step / 20 % 8, EndpointState::Draining, None);
        }
        limited.step();
    }
    limited.check_limit();
}
