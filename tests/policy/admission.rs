//! Tests of admission control and of retry policies.

use crate::helpers::*;
use grebespool::host::*;
use rstest::rstest;
use std::time::Duration;

// Invariant 2: retries repeat no effect.
#[rstest]
#[case::no_time_left_for_another_attempt(1.0, Idempotency::Idempotent, RetryPolicy::IfNotExecuted)]
#[case::time_left_for_another_attempt(0.8, Idempotency::Idempotent, RetryPolicy::AfterFailure)]
#[case::non_idempotent(0.8, Idempotency::NonIdempotent, RetryPolicy::IfNotExecuted)]
#[case::keyed_within_a_zone(0.8, Idempotency::Keyed { scope: DeduplicationScope::Zone, window: ms(5000) }, RetryPolicy::IfNotExecuted)]
#[case::keyed_for_all_servers(0.8, Idempotency::Keyed { scope: DeduplicationScope::All, window: ms(5000) }, RetryPolicy::IfNotExecuted)]
fn allows_retries_only_where_safe(
    #[case] factor: f64,
    #[case] idempotency: Idempotency,
    #[case] retries: RetryPolicy,
) {
    let mut harness = PolicyHarness::new(1, CHANNEL, vec![route(1.0, idempotency)], factor);
    harness.update_endpoints(
        true,
        &[endpoint(0, 0, EndpointState::Ready, None), endpoint(1, 0, EndpointState::Ready, None)],
    );
    harness.policy.proxy_joined(harness.now, 0, 0, true, 1.0);
    harness.run(Duration::from_secs(5), |server| HALF_LOADED.filter(|_| server < 2));
    let commands = harness.commands.borrow();
    let sent = commands.admission.get(&1).or(commands.admission.get(&0)).map(|setting| setting.1);
    assert_eq!(sent, Some(retries));
}

#[rstest]
fn sheds_lowest_priority_first_and_admits_it_after_recovery() {
    let mut harness = PolicyHarness::with_servers(4, 1);
    for _ in 0..8 {
        harness.policy.requests_received(harness.now, 0, 0, 60);
        harness.policy.requests_received(harness.now, 0, 1, 20);
        harness.run(Duration::from_secs(1), |server| (server < 4).then_some(observed(10, 4, 1.0, 6.0)));
    }
    let level = |harness: &PolicyHarness, r: RouteSet| harness.commands.borrow().admission[&r];
    assert!(level(&harness, 1).0 < 0.7 && level(&harness, 2).0 == 1.0);
    assert_eq!(level(&harness, 1).1, RetryPolicy::Never);
    for _ in 0..15 {
        harness.policy.requests_received(harness.now, 0, 0, 30);
        harness.policy.requests_received(harness.now, 0, 1, 20);
        harness.run(Duration::from_secs(1), |server| (server < 4).then_some(observed(7, 0, 0.4, 0.0)));
    }
    assert_eq!((level(&harness, 1).0, level(&harness, 2).0), (1.0, 1.0));
}

/// Creates a harness with four servers and two proxies, which receive 12 and 48 requests per second of each route.
fn two_proxies(admission_mode: AdmissionMode) -> PolicyHarness {
    let routes = vec![route(1.0, Idempotency::Idempotent), route(2.0, Idempotency::NonIdempotent)];
    let mut harness = PolicyHarness::with_admission_mode(admission_mode, 1, CHANNEL, routes, 1.2);
    let endpoints: Vec<Endpoint> =
        (0..4).map(|server| endpoint(server, 0, EndpointState::Ready, None)).collect();
    harness.update_endpoints(true, &endpoints);
    (0..2).for_each(|proxy| harness.policy.proxy_joined(harness.now, proxy, 0, true, 1.0));
    harness
}

fn run_with_load(harness: &mut PolicyHarness, seconds: u32, reported: Observed) {
    for _ in 0..seconds {
        for route in 0..2 {
            harness.policy.requests_received(harness.now, 0, route, 12);
            harness.policy.requests_received(harness.now, 1, route, 48);
        }
        harness.run(Duration::from_secs(1), |server| (server < 4).then_some(reported));
    }
}

/// As a share, a level of 1 admits all requests of a route; as a rate, it admits one request per second at each proxy.
#[rstest]
#[case::shares(AdmissionMode::Share, 1.0)]
#[case::rates(AdmissionMode::Rate, 1e6)]
#[case::off(AdmissionMode::Off, 1.0)]
fn admits_everything_below_capacity(#[case] admission_mode: AdmissionMode, #[case] min_level: f32) {
    let mut harness = two_proxies(admission_mode);
    run_with_load(&mut harness, 8, observed(10, 0, 0.5, 0.0));
    let levels: Vec<f32> = harness.commands.borrow().admission.values().map(|setting| setting.0).collect();
    assert!(levels.len() == 2 && levels.iter().all(|level| *level >= min_level), "{levels:?}");
}

/// Rates admit as many requests as shares. Rates are shared max-min fairly: the busy proxy sheds before the other one.
#[rstest]
#[case::overloaded(4)]
#[case::more_overloaded(7)]
fn rates_admit_as_much_as_shares(#[case] failures: u32) {
    let [share, rate] = [AdmissionMode::Share, AdmissionMode::Rate].map(|admission_mode| {
        let mut harness = two_proxies(admission_mode);
        run_with_load(&mut harness, 10, observed(10, failures, 1.0, 6.0));
        [1, 2].map(|route| harness.level(route))
    });
    let admitted = |rate: f32| rate.min(12.0) + rate.min(48.0);
    assert!((0.1..0.8).contains(&share[1]) && share[0] == 0.0, "{share:?}");
    assert!(
        (admitted(rate[1]) / (60.0 * share[1]) - 1.0).abs() < 0.15 && rate[0] == 0.0,
        "{share:?} {rate:?}"
    );
}

/// After the requests of a shed route stop, its next requests are admitted. A share of no requests gives no finite rate; the
/// policy must not send an infinite level.
#[rstest]
#[case::without_counts(None)]
#[case::with_counts_of_zero(Some(0))]
fn admits_shed_route_after_its_requests_stop(#[case] reported: Option<u32>) {
    let mut harness = two_proxies(AdmissionMode::Rate);
    run_with_load(&mut harness, 10, observed(10, 4, 1.0, 6.0));
    assert!(harness.level(2) < 48.0);
    for _ in 0..12 {
        harness.policy.requests_received(harness.now, 1, 0, 200);
        (reported.into_iter())
            .for_each(|requests| harness.policy.requests_received(harness.now, 1, 1, requests));
        harness.run(Duration::from_secs(1), |server| (server < 4).then_some(observed(10, 4, 1.0, 6.0)));
    }
    let levels = [1, 2].map(|route| harness.level(route));
    assert!(levels[0] < 200.0 && levels[1] > 1e6 && levels[1].is_finite(), "{levels:?}");
}

/// If proxies ignore levels, the policy sends no lower levels under overload.
#[rstest]
fn keeps_levels_under_overload_if_proxies_ignore_them() {
    let mut harness = two_proxies(AdmissionMode::Off);
    run_with_load(&mut harness, 10, observed(10, 4, 1.0, 6.0));
    assert!(harness.commands.borrow().admission.values().all(|setting| setting.0 == 1.0));
}

#[rstest]
#[case::low_latency(200, true)]
#[case::high_latency(900, false)]
fn sheds_load_on_high_latency_alone(#[case] latency_ms: u64, #[case] admits_all: bool) {
    // Queues that have built up do not shrink while the load just fits the capacity.
    let mut harness = PolicyHarness::with_servers(4, 1);
    harness.latency = ms(latency_ms);
    for _ in 0..8 {
        harness.policy.requests_received(harness.now, 0, 0, 60);
        harness.policy.requests_received(harness.now, 0, 1, 20);
        harness.run(Duration::from_secs(1), |server| (server < 4).then_some(observed(10, 0, 0.95, 2.0)));
    }
    assert_eq!(harness.commands.borrow().admission.values().all(|setting| setting.0 == 1.0), admits_all);
}

/// The requests of draining servers move to the others before load reports show that.
#[rstest]
#[case::half_drains(4, None, true)]
#[case::one_of_eight_drains(1, None, false)]
#[case::half_drains_and_warm_servers_join(4, Some(Duration::from_secs(60)), false)]
#[case::half_drains_and_cold_servers_join(4, Some(ms(100)), true)]
fn sheds_load_before_reports_show_draining_servers(
    #[case] draining: usize,
    #[case] replacement_age: Option<Duration>,
    #[case] sheds: bool,
) {
    let mut harness = PolicyHarness::with_servers(8, 1);
    let report = |server: ServerIndex| (server < 8).then_some(observed(20, 0, 0.75, 0.0));
    for _ in 0..24 {
        harness.run(ms(500), report);
        (0..2).for_each(|route| harness.policy.requests_received(harness.now, 0, route, 60));
    }
    assert!(harness.commands.borrow().admission.values().all(|setting| setting.0 == 1.0));
    let mut endpoints: Vec<Endpoint> =
        (0..draining).map(|server| endpoint(server, 0, EndpointState::Draining, None)).collect();
    endpoints.extend(
        (8..12).filter_map(|server| Some(endpoint(server, 0, EndpointState::Ready, Some(replacement_age?)))),
    );
    harness.update_endpoints(false, &endpoints);
    for _ in 0..2 {
        harness.run(ms(500), |server| report(server).filter(|_| server >= draining));
        // The request rate stays the same.
        (0..2).for_each(|route| harness.policy.requests_received(harness.now, 0, route, 60));
    }
    assert_eq!(harness.level(1) < 0.9, sheds);
    assert_eq!(harness.level(2), 1.0);
}

/// A zone's load reports may be cut off while its request counts still arrive. The policy must not take the missing reports
/// for missing capacity.
#[rstest]
#[case::all_zones_report(false, false)]
#[case::reports_of_a_zone_stop(true, false)]
#[case::reports_of_a_zone_stop_under_overload(true, true)]
fn admission_allows_for_missing_reports(#[case] reports_stop: bool, #[case] overloaded: bool) {
    let mut harness = PolicyHarness::with_servers(8, 2);
    harness.latency = ms(600);
    let utilization = if overloaded { 1.0 } else { 0.75 };
    for step in 0..40 {
        harness.run(ms(500), |server| {
            (server < 8).then_some(observed(20, if overloaded { 8 } else { 0 }, utilization, 0.0))
        });
        for server in (0..8).filter(|_| step < 20 || !reports_stop) {
            let metrics = [utilization - 0.001 * (step % 7) as f32, 0.0];
            let report = LoadReport {
                client_zone: 1,
                attempts: 20,
                failures: if overloaded { 8 } else { 0 },
                latency: Some(ms(600)),
                metrics: &metrics,
            };
            harness.policy.load_reported(harness.now, server, &report);
        }
        (0..2).for_each(|route| harness.policy.requests_received(harness.now, route as ProxyId, route, 160));
    }
    assert_eq!(harness.level(1) < 0.8, overloaded);
    assert!(harness.level(2) > 0.9);
}

#[rstest]
fn late_reports_alone_shed_nothing() {
    // Request counts arrive in bursts.
    let mut harness = PolicyHarness::with_servers(4, 1);
    for second in 0..10 {
        harness.policy.requests_received(harness.now, 0, 0, 400 * (second % 3));
        harness.run(Duration::from_secs(1), |server| (server < 4).then_some(observed(5, 0, 0.6, 0.0)));
    }
    assert!(harness.commands.borrow().admission.values().all(|setting| setting.0 == 1.0));
}

#[rstest]
fn route_shed_entirely_is_admitted_again() {
    // A share of 0 does not grow by a factor.
    let mut harness = PolicyHarness::with_servers(4, 1);
    let run = |harness: &mut PolicyHarness, seconds, reported: Observed| {
        for _ in 0..seconds {
            harness.policy.requests_received(harness.now, 0, 0, 400);
            harness.policy.requests_received(harness.now, 0, 1, 40);
            harness.run(Duration::from_secs(1), |server| (server < 4).then_some(reported));
        }
    };
    run(&mut harness, 8, observed(10, 8, 1.0, 9.0));
    assert!(harness.level(1) <= 0.05);
    run(&mut harness, 12, observed(12, 0, 0.2, 0.0));
    assert!(harness.level(1) > 0.2);
}

/// The capacity of removed servers must be subtracted from the total only once.
#[rstest]
fn counts_lost_capacity_once() {
    let mut harness = PolicyHarness::with_servers(8, 1);
    let report = |server: ServerIndex| (server < 8).then_some(observed(20, 0, 0.75, 0.0));
    for _ in 0..24 {
        harness.run(ms(500), report);
        (0..2).for_each(|route| harness.policy.requests_received(harness.now, 0, route, 60));
    }
    harness.update_endpoints(
        false,
        &[0, 1, 2, 3].map(|server| endpoint(server, 0, EndpointState::Removed, None)),
    );
    for _ in 0..3 {
        harness.run(ms(500), |server| report(server).filter(|_| server >= 4));
        (0..2).for_each(|route| harness.policy.requests_received(harness.now, 0, route, 60));
    }
    // Four servers can answer 213 requests per second. The target is 192, of which the route with the higher priority needs
    // 120.
    let level = harness.level(1);
    assert!((0.5..0.75).contains(&level), "{level}");
}

/// The external limits on a zone's share and on admission are applied, and change nothing else.
#[rstest]
fn applies_limits_on_zone_share_and_admission() {
    let mut harness = PolicyHarness::with_servers(6, 2);
    let report = |server: ServerIndex| (server < 6).then_some(observed(10, 0, 0.6, 0.0));
    harness.run(Duration::from_secs(3), report);
    harness.policy.limit_zone_share(harness.now, 1, 0.0);
    harness.policy.limit_admission(harness.now, &[0.4, 1.0]);
    harness.run(Duration::from_secs(2), report);
    assert_eq!((harness.weight(0, 1), harness.weight(0, 0) > 0.5), (0.0, true));
    assert_eq!(harness.level(1), 0.4);
    harness.policy.limit_zone_share(harness.now, 1, 0.1);
    harness.run(Duration::from_secs(2), report);
    // The weight is that of server 1 in the table of its own zone.
    assert!((0.05..=0.15).contains(&harness.weight(1, 1)), "{}", harness.weight(1, 1));
    harness.policy.limit_zone_share(harness.now, 1, 1.0);
    harness.policy.limit_admission(harness.now, &[1.0, 1.0]);
    harness.run(Duration::from_secs(2), report);
    assert!(harness.weight(1, 1) > 0.5);
    assert_eq!(harness.level(1), 1.0);
}
