//! Tests of the slow start.

use crate::helpers::*;
use grebespool::host::*;
use rstest::rstest;
use std::time::Duration;

// Invariant 4: warming servers are not overloaded.
#[rstest]
#[case::half_full(observed(5, 0, 0.5, 0.0), 0.2, 0.26)]
#[case::nearly_full(observed(5, 0, 1.0, 1.0), 0.1, 0.22)]
#[case::overloaded(observed(20, 12, 1.0, 9.0), 0.0, 0.0)]
fn new_server_starts_with_low_weight(#[case] reported: Observed, #[case] min: f32, #[case] max: f32) {
    let mut harness = PolicyHarness::with_servers(6, 1);
    harness.run(Duration::from_secs(12), |server| (server < 6).then_some(reported));
    harness.update_endpoints(false, &[endpoint(6, 0, EndpointState::Ready, Some(ms(1000)))]);
    harness.run(Duration::from_secs(2), |server| (server < 6).then_some(reported));
    let (mean, new) =
        ((0..6).map(|server| harness.weight(0, server)).sum::<f32>() / 6.0, harness.weight(0, 6));
    assert!(new >= min * mean && new <= max * mean, "{new}, mean {mean}");
}

#[rstest]
fn withholds_new_servers_until_pressure_is_known() {
    // Even the smallest weight attracts all requests if proxies avoid the full servers.
    let mut harness = PolicyHarness::with_servers(6, 1);
    harness.update_endpoints(false, &[endpoint(6, 0, EndpointState::Ready, Some(ms(1000)))]);
    harness.run(Duration::from_secs(3), |server| HALF_LOADED.filter(|_| server < 6));
    assert_eq!(harness.weight(0, 6), 0.0);
}

#[rstest]
fn restarted_server_repeats_slow_start() {
    let mut harness = PolicyHarness::with_servers(4, 1);
    harness.run(Duration::from_secs(12), |server| HALF_LOADED.filter(|_| server < 4));
    harness.update_endpoints(false, &[endpoint(1, 0, EndpointState::Ready, Some(ms(500)))]);
    let mut steps = vec![];
    for _ in 0..20 {
        steps.push(harness.weight(0, 1));
        harness.run(Duration::from_secs(1), |server| HALF_LOADED.filter(|_| server < 4));
    }
    steps.dedup();
    assert_eq!(steps, [0.25, 0.5, 0.75, 1.0]);
}

/// Age alone does not raise the weight of a warming server without reports, or of one that answers slowly.
#[rstest]
#[case::reported_and_idle(Some(observed(6, 0, 0.4, 0.0)), 200, 0.45, 0.55)]
#[case::unreported(None, 200, 0.2, 0.3)]
#[case::nearly_full(Some(observed(6, 0, 0.9, 0.0)), 200, 0.2, 0.3)]
#[case::slow(Some(observed(6, 0, 0.9, 0.0)), 1000, 0.2, 0.3)]
#[case::fails_half(Some(observed(6, 3, 0.9, 0.0)), 200, 0.0, 0.3)]
fn slow_start_advances_on_reports(
    #[case] reported: Option<Observed>,
    #[case] latency_ms: u64,
    #[case] min: f32,
    #[case] max: f32,
) {
    let mut harness = PolicyHarness::with_servers(4, 1);
    harness.run(Duration::from_secs(11), |server| HALF_LOADED.filter(|_| server < 4));
    harness.update_endpoints(false, &[endpoint(4, 0, EndpointState::Ready, Some(ms(100)))]);
    // After half of the warm-up time, the age allows the second step.
    for _ in 0..9 {
        harness.latency = ms(200);
        harness.run(ms(500), |server| HALF_LOADED.filter(|_| server < 4));
        harness.latency = ms(latency_ms);
        harness.run(ms(1), |server| reported.filter(|_| server == 4));
    }
    let relative_weight = harness.weight(0, 4) / harness.weight(0, 0);
    assert!((min..=max).contains(&relative_weight), "{relative_weight}");
}

#[rstest]
#[case::one_of_five_warming(1, RetryPolicy::IfNotExecuted)]
#[case::two_of_five_warming(2, RetryPolicy::Never)]
fn disables_retries_while_many_servers_warm_up(#[case] warming: usize, #[case] retries: RetryPolicy) {
    let mut harness = PolicyHarness::with_servers(5, 1);
    harness.run(Duration::from_secs(5), |server| HALF_LOADED.filter(|_| server < 5));
    let new: Vec<Endpoint> =
        (0..warming).map(|server| endpoint(server, 0, EndpointState::Ready, Some(ms(500)))).collect();
    harness.update_endpoints(false, &new);
    harness.run(Duration::from_secs(2), |server| HALF_LOADED.filter(|_| server < 5));
    let commands = harness.commands.borrow();
    assert_eq!(commands.admission.get(&2).map(|setting| setting.1), Some(retries));
}
