//! Tests of the weight algorithm and of the initial weights of new servers.

use crate::helpers::*;
use grebespool::host::*;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::even_loads([0.5, 0.5, 0.5], [1.0, 1.0, 1.0], [1.0, 1.0, 1.0])]
#[case::inside_the_dead_band([0.52, 0.5, 0.48], [1.0, 1.0, 1.0], [1.0, 1.0, 1.0])]
#[case::full_server_loses([0.95, 0.4, 0.4], [0.05, 1.0, 1.0], [0.1, 1.9, 1.9])]
#[case::idle_server_gains([0.1, 0.6, 0.6], [2.5, 0.05, 0.05], [3.1, 0.5, 0.5])]
#[case::frozen_at_zero_is_ignored([0.0, 0.6, 0.6], [0.9, 0.9, 0.9], [1.1, 1.1, 1.1])]
#[case::all_at_zero([0.0, 0.0, 0.0], [1.0, 1.0, 1.0], [1.0, 1.0, 1.0])]
#[case::not_a_number_is_ignored([f32::NAN, 0.5, 0.5], [1.0, 1.0, 1.0], [1.0, 1.0, 1.0])]
#[case::negative_is_ignored([-3.0, 0.5, 0.5], [1.0, 1.0, 1.0], [1.0, 1.0, 1.0])]
fn weights_follow_inverse_load(#[case] loads: [f32; 3], #[case] min: [f32; 3], #[case] max: [f32; 3]) {
    let mut harness = PolicyHarness::with_servers(3, 1);
    harness.run(Duration::from_secs(40), |server| loads.get(server).map(|load| observed(5, 0, *load, 0.0)));
    let mean = (0..3).map(|server| harness.weight(0, server)).sum::<f32>() / 3.0;
    for server in 0..3 {
        let weight = harness.weight(0, server) / mean;
        assert!(
            weight >= min[server] * 0.99 && weight <= max[server] * 1.01,
            "server {server}: {weight} times the mean"
        );
    }
    assert!((0.75..=1.25).contains(&mean), "the mean weight of the table drifted to {mean}");
}

#[rstest]
fn keeps_weights_without_new_reports() {
    let mut harness = PolicyHarness::with_servers(3, 1);
    harness.run(Duration::from_secs(3), |server| {
        (server < 3).then_some(observed(5, 0, 0.2 + 0.3 * server as f32, 0.0))
    });
    harness.run(Duration::from_secs(12), |_| None);
    let before: Vec<f32> = (0..3).map(|server| harness.weight(0, server)).collect();
    harness.run(Duration::from_secs(12), |_| None);
    assert_eq!(before, (0..3).map(|server| harness.weight(0, server)).collect::<Vec<f32>>());
}

#[rstest]
#[case::slow_kind(2, 0.25, 0.75)]
#[case::unknown_kind(7, 0.9, 1.1)]
fn new_server_starts_with_learned_weight_of_its_kind(
    #[case] kind: ServerKind,
    #[case] min: f32,
    #[case] max: f32,
) {
    // With the pool's mean weight, servers of a slow kind would get twice the requests that they can answer.
    let mut harness = PolicyHarness::with_servers(0, 1);
    let kind_of = |server: ServerIndex| if server.is_multiple_of(2) { 1 } else { 2 };
    let endpoints: Vec<Endpoint> = (0..6)
        .map(|server| Endpoint { kind: kind_of(server), ..endpoint(server, 0, EndpointState::Ready, None) })
        .collect();
    harness.update_endpoints(true, &endpoints);
    harness.policy.proxy_joined(harness.now, 0, 0, true, 1.0);
    let reported = |server: ServerIndex| {
        (server < 6).then_some(observed(5, 0, if server.is_multiple_of(2) { 0.3 } else { 0.9 }, 0.0))
    };
    harness.run(Duration::from_secs(12), reported);
    let mean = (0..6).map(|server| harness.weight(0, server)).sum::<f32>() / 6.0;
    harness
        .update_endpoints(false, &[Endpoint { kind, ..endpoint(6, 0, EndpointState::Ready, Some(ms(500))) }]);
    harness.run(Duration::from_secs(3), reported);
    let new = 4.0 * harness.weight(0, 6) / mean;
    assert!((min..max).contains(&new), "four times the first weight is {new} times the mean");
}
