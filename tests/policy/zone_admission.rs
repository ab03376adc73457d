//! Tests of the admission of zone-local routes while the servers of their zone are newly started.

use crate::helpers::*;
use grebespool::host::*;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = ms(500);
const ZONES: usize = 3;
const ZONE_LOCAL_ROUTE: usize = 1;
/// The requests that a warm server answers per second: half of it are answered at a utilization of a half.
const CAPACITY_PER_S: f64 = 40.0;
/// The usual requests per second of a proxy.
const USUAL_RATE: f64 = 10.0;
/// The estimates of capacity and requests are means over a few seconds.
const TOLERANCE: f64 = 1.1;

/// A deployment whose first zone is lost and returns cold.
struct ReturningZone {
    harness: PolicyHarness,
    cold_start: ColdStart,
    servers: usize,
    /// The requests of the zone-local route that the zone's proxy receives per second.
    requests_per_s: u32,
    started_at: BTreeMap<ServerIndex, Duration>,
}

impl ReturningZone {
    /// Starts the deployment, and removes the zone after some time.
    fn new(cold_start: ColdStart, servers: usize, requests_per_s: u32) -> ReturningZone {
        let timeouts = Timeouts {
            warm_up: WARM_UP,
            removal_is_final: true,
            drain_grace: None,
            max_unserved: None,
            cold_start: Some(cold_start),
        };
        let channel = ControlChannelLimits { max_messages: 0, ..CHANNEL };
        let routes = vec![route(1.0, Idempotency::Idempotent), zone_local_route(2.0)];
        let capabilities = capabilities(ZONES, ZONES, 1000.0);
        let mut harness = PolicyHarness::with_timeouts(capabilities, channel, routes, timeouts);
        harness.start(servers, ZONES, ZONES);
        let mut zone =
            ReturningZone { harness, cold_start, servers, requests_per_s, started_at: BTreeMap::new() };
        (0..24).for_each(|_| zone.step());
        let removed: Vec<Endpoint> = zone
            .local()
            .into_iter()
            .map(|server| endpoint(server, 0, EndpointState::Removed, None))
            .collect();
        zone.harness.update_endpoints(false, &removed);
        (0..8).for_each(|_| zone.step());
        zone
    }

    fn local(&self) -> Vec<ServerIndex> {
        (0..self.servers).filter(|server| server % ZONES == 0).collect()
    }

    /// Lists the cold start of servers, which happened `age` ago.
    fn start(&mut self, servers: &[ServerIndex], age: Duration) {
        let now = self.harness.now;
        self.started_at.extend(servers.iter().map(|server| (*server, now - age)));
        let started: Vec<Endpoint> =
            servers.iter().map(|server| endpoint(*server, 0, EndpointState::Ready, Some(age))).collect();
        self.harness.update_endpoints(false, &started);
    }

    fn step(&mut self) {
        self.harness.policy.requests_received(self.harness.now, 0, 0, 10);
        self.harness.policy.requests_received(self.harness.now, 0, ZONE_LOCAL_ROUTE, self.requests_per_s / 2);
        for server in (0..self.servers).filter(|server| server % ZONES != 0) {
            self.harness.report(server, observed((CAPACITY_PER_S / 4.0) as u32, 0, 0.5, 0.0));
        }
        self.harness.advance(STEP);
    }

    fn level(&self, table: TableId) -> f64 {
        let commands = self.harness.commands.borrow();
        let level = commands.table_admission.get(&(table, 1 << ZONE_LOCAL_ROUTE));
        level.map_or(1.0, |(level, _)| f64::from(*level))
    }

    /// Checks that no cold server gets more of the zone-local route than it can bear.
    fn check(&self) {
        let table = self.harness.table_of(0, ZONE_LOCAL_ROUTE);
        let weights = self.harness.weights_in(table);
        let sum: f64 = weights.values().copied().map(f64::from).sum();
        for (server, started_at) in &self.started_at {
            let warm = ((self.harness.now - *started_at).as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0);
            let ColdStart { capacity, overload_multiple } = self.cold_start;
            let present = CAPACITY_PER_S * (capacity + (1.0 - capacity) * warm);
            let part = weights.get(server).map_or(0.0, |weight| f64::from(*weight) / sum);
            let sent = self.level(table) * f64::from(self.requests_per_s) * part;
            assert!(
                warm >= 1.0 || sent <= TOLERANCE * overload_multiple * present,
                "server {server} is sent {sent} per second and can do {present}, {:?}, {} servers, {} requests/s",
                self.cold_start,
                self.servers,
                self.requests_per_s
            );
        }
    }
}

/// The first server that the list told of a returning zone got the zone-local requests of the whole zone, and fell over.
#[rstest]
#[case::one_by_one(1, 2)]
#[case::two_by_two(2, 2)]
#[case::all_at_once(5, 2)]
fn returning_servers_get_no_more_zone_local_requests_than_they_can_bear(
    #[case] at_once: usize,
    #[case] steps_between: usize,
) {
    let cold_start = ColdStart { capacity: 0.2, overload_multiple: 3.0 };
    let mut zone = ReturningZone::new(cold_start, 5 * ZONES, 60);
    for servers in zone.local().chunks(at_once) {
        zone.start(servers, ms(1000));
        zone.check();
        for _ in 0..steps_between {
            zone.step();
            zone.check();
        }
    }
    for _ in 0..40 {
        zone.step();
        zone.check();
    }
    assert_eq!(zone.level(zone.harness.table_of(0, ZONE_LOCAL_ROUTE)), 1.0, "a warm zone admits everything");
}

/// Whatever the settings, the size of the zone, its requests and the order of the starts.
#[rstest]
fn load_of_newly_started_servers_is_bounded_by_the_settings_alone() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let cold_start = ColdStart {
            capacity: rng.random_range(0.05..0.6),
            overload_multiple: rng.random_range(1.2..6.0),
        };
        let local = rng.random_range(1..9);
        let requests_per_s = rng.random_range(2..50 * local as u32);
        let mut zone = ReturningZone::new(cold_start, local * ZONES, requests_per_s);
        let mut order = zone.local();
        order.shuffle(&mut rng);
        while !order.is_empty() {
            let at_once = rng.random_range(1..=order.len());
            let servers: Vec<ServerIndex> = order.drain(..at_once).collect();
            zone.start(&servers, Duration::from_millis(rng.random_range(100..4000)));
            zone.check();
            for _ in 0..rng.random_range(0..12) {
                zone.step();
                zone.check();
            }
        }
        for _ in 0..40 {
            zone.step();
            zone.check();
        }
    }
}

/// Routes of other zones, and routes that may leave the zone, are not limited.
#[rstest]
fn only_zone_local_routes_of_the_returning_zone_are_limited() {
    let cold_start = ColdStart { capacity: 0.2, overload_multiple: 3.0 };
    let mut zone = ReturningZone::new(cold_start, 5 * ZONES, 60);
    zone.start(&[0], ms(100));
    let limited_table = zone.harness.table_of(0, ZONE_LOCAL_ROUTE);
    assert!(zone.level(limited_table) < 0.5);
    let commands = zone.harness.commands.borrow();
    let limited: Vec<_> = commands.table_admission.keys().copied().collect();
    assert_eq!(limited, [(limited_table, 1 << ZONE_LOCAL_ROUTE)]);
}

/// A planner that restarts while a zone is cold knows neither capacities nor requests. It must not admit everything until the
/// first reports.
#[rstest]
#[case::shares(AdmissionMode::Share, 1.0)]
#[case::rates(AdmissionMode::Rate, USUAL_RATE)]
fn restarted_planner_limits_a_cold_zone_before_the_first_reports(
    #[case] admission_mode: AdmissionMode,
    #[case] full_level: f64,
) {
    // Half of the allowed overload, 3, at the capacity of the servers' age of 2.1 s: 0.2 at the start, rising evenly. Rates are
    // rounded to steps of a tenth.
    let bearable = 0.5 * 3.0 * (0.2 + 0.8 * 2.1 / WARM_UP.as_secs_f64());
    let max_level = 1.05 * bearable * full_level;
    let routes = vec![route(1.0, Idempotency::Idempotent), zone_local_route(2.0)];
    let mut harness = PolicyHarness::with_admission_mode(admission_mode, ZONES, CHANNEL, routes, 1.2);
    let listed = (0..15).map(|server| {
        let zone = (server % ZONES) as ZoneId;
        endpoint(server, zone, EndpointState::Ready, (zone == 0).then_some(ms(100)))
    });
    harness.update_endpoints(true, &listed.collect::<Vec<_>>());
    for zone in 0..ZONES as ZoneId {
        harness.policy.proxy_joined(harness.now, zone, zone, false, USUAL_RATE);
    }
    harness.advance(Duration::from_secs(2));
    let table = harness.table_of(0, ZONE_LOCAL_ROUTE);
    assert!(!harness.servers_in(table).is_empty());
    let level = harness.commands.borrow().table_admission.get(&(table, 1 << ZONE_LOCAL_ROUTE)).unwrap().0;
    assert!(f64::from(level) <= max_level, "{level}");
}
