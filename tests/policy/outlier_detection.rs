//! Tests of outlier detection.

use crate::helpers::*;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::fails_all((10, 10), 0.0)]
#[case::fails_most((10, 8), 0.25)]
#[case::fails_half((10, 5), 0.5)]
#[case::fails_few((10, 1), 1.0)]
fn reduces_weight_by_failure_share(#[case] reported: (u32, u32), #[case] weight: f32) {
    let mut harness = PolicyHarness::with_servers(6, 1);
    let report = |server| match server {
        0 => Some(observed(reported.0, reported.1, 0.5, 0.0)),
        1..6 => Some(observed(10, 0, 0.5, 0.0)),
        _ => None,
    };
    harness.healthy = false;
    harness.run(Duration::from_secs(5), report);
    assert_eq!(harness.weight(0, 0), weight);
}

#[rstest]
fn ejects_no_server_if_all_fail() {
    let mut harness = PolicyHarness::with_servers(6, 1);
    harness.run(Duration::from_secs(12), |server| (server < 6).then_some(observed(10, 9, 0.5, 0.0)));
    assert!((0..6).all(|server| harness.weight(0, server) > 0.0));
}

#[rstest]
fn checks_silent_server_before_ejecting_it() {
    let mut harness = PolicyHarness::with_servers(6, 1);
    harness.run(Duration::from_secs(8), |server| HALF_LOADED.filter(|_| (1..6).contains(&server)));
    assert!(harness.weight(0, 0) > 0.5, "a silent server that passes health checks keeps its weight");
    harness.healthy = false;
    harness.run(Duration::from_secs(8), |server| HALF_LOADED.filter(|_| (1..6).contains(&server)));
    assert_eq!(harness.weight(0, 0), 0.0);
}

#[rstest]
fn ejected_server_returns_at_a_quarter_after_passing_checks() {
    let mut harness = PolicyHarness::with_servers(6, 1);
    let failing = |server| {
        if server == 0 { Some(observed(10, 10, 0.0, 0.0)) } else { HALF_LOADED.filter(|_| server < 6) }
    };
    harness.healthy = false;
    harness.run(Duration::from_secs(12), failing);
    assert_eq!(harness.weight(0, 0), 0.0);
    harness.healthy = true;
    let mut first = 0.0;
    for _ in 0..20 {
        harness.run(ms(500), |server| HALF_LOADED.filter(|_| server < 6));
        first = if first > 0.0 { first } else { harness.weight(0, 0) };
    }
    assert!((0.2..0.3).contains(&first), "first weight after the return: {first}");
    assert!(harness.weight(0, 0) > 0.9);
}

#[rstest]
#[case::partitioned(false, true)]
#[case::restarted(true, false)]
fn discards_evidence_after_partition(#[case] restarted: bool, #[case] usable: bool) {
    // A network partition may have caused evidence that was gathered while no proxy of the zone was joined.
    let mut harness = PolicyHarness::with_servers(6, 2);
    harness.healthy = false;
    harness.policy.proxy_left(1);
    harness.run(Duration::from_secs(8), |server| {
        (server < 6).then_some(observed(10, 10 * (server as u32 % 2) * (server / 3) as u32, 0.5, 0.0))
    });
    harness.policy.proxy_joined(harness.now, 1, 1, restarted, 1.0);
    assert_eq!(harness.weight(1, 5) > 0.5, usable);
}
