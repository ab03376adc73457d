//! Zone spill.

use crate::helpers::*;
use grebespool::host::*;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::one_zone(1, 1.0)]
#[case::three_zones(3, 0.2)]
fn far_servers_count_for_a_fifth(#[case] zones: usize, #[case] far: f32) {
    let harness = PolicyHarness::with_servers(6, zones);
    assert_eq!((harness.weight(0, 0), harness.weight(0, 1)), (1.0, far));
}

#[rstest]
#[case::draining(EndpointState::Draining, None, 0.6)]
#[case::warming(EndpointState::Ready, Some(ms(1000)), 0.9)]
fn far_servers_make_up_for_lost_near_servers(
    #[case] state: EndpointState,
    #[case] age: Option<Duration>,
    #[case] far: f32,
) {
    // Otherwise a zone's warming servers would be overloaded by the zone's own requests.
    let mut harness = PolicyHarness::with_servers(4, 2);
    harness.update_endpoints(false, &[endpoint(0, 0, state, age), endpoint(2, 0, state, age)]);
    assert!((harness.weight(0, 1) - far).abs() < 0.11, "{}", harness.weight(0, 1));
}

/// A zone-local route shares its table with the others, so far servers stay out of it even when all near ones are ejected.
#[rstest]
#[case::silent_and_dropping(10, 10)]
#[case::ejected_one_after_another(10, 7)]
fn zone_local_route_never_gets_far_servers(#[case] attempts: u32, #[case] failures: u32) {
    let local = Route { zone_local: true, ..route(2.0, Idempotency::Idempotent) };
    let mut harness = PolicyHarness::new(2, CHANNEL, vec![route(1.0, Idempotency::Idempotent), local], 1.2);
    let endpoints: Vec<Endpoint> =
        (0..8).map(|server| endpoint(server, (server % 2) as ZoneId, EndpointState::Ready, None)).collect();
    harness.update_endpoints(true, &endpoints);
    (0..2).for_each(|proxy| harness.policy.proxy_joined(harness.now, proxy, proxy, true, 1.0));
    harness.healthy = false;
    let table = |harness: &PolicyHarness, p: ProxyId| {
        *harness.commands.borrow().tables_by_proxy[&p].iter().next().unwrap()
    };
    for second in 0..40 {
        harness.run(Duration::from_secs(1), |server| match server {
            0 | 2 | 4 | 6 => Some(observed(attempts, failures, 0.9, 3.0)),
            _ => QUIET.filter(|_| server < 8),
        });
        for zone in 0..2 {
            let held = harness.servers_in(table(&harness, zone));
            assert!(!held.is_empty(), "zone {zone} after {second} s");
            assert!(
                held.iter().all(|server| server % 2 == usize::from(zone)),
                "zone {zone} after {second} s: {held:?}"
            );
        }
    }
}

#[rstest]
#[case::healthy((10, 0), 0.5, 200, 0.15, 0.25)]
#[case::lossy((10, 6), 0.5, 200, 0.0, 0.01)]
#[case::slow((10, 0), 0.5, 1200, 0.0, 0.05)]
#[case::lossy_but_full((10, 6), 0.99, 200, 0.02, 0.25)]
fn bad_link_gets_a_trickle(
    #[case] far: (u32, u32),
    #[case] busy: f32,
    #[case] wait: u64,
    #[case] least: f32,
    #[case] most: f32,
) {
    let mut harness = PolicyHarness::with_servers(6, 2);
    for _ in 0..8 {
        harness.latency = ms(200);
        harness.run(ms(500), |server| (server < 6 && server % 2 == 0).then_some(observed(10, 0, 0.5, 0.0)));
        harness.latency = ms(wait);
        harness.run(ms(500), |server| {
            (server < 6 && server % 2 == 1).then_some(observed(far.0, far.1, busy, 0.0))
        });
    }
    let weight = harness.weight(0, 1);
    assert!((least..=most).contains(&weight), "{weight}");
}

#[rstest]
#[case::other_zone_has_capacity(0.2, 0.5, 9.0)]
#[case::other_zone_is_full(0.97, 0.1, 0.3)]
fn full_zone_leans_on_zone_with_capacity(#[case] far: f32, #[case] least: f32, #[case] most: f32) {
    let mut harness = PolicyHarness::with_servers(6, 2);
    harness.run(Duration::from_secs(8), |server| {
        (server < 6).then_some(observed(10, 0, if server % 2 == 0 { 0.98 } else { far }, 0.0))
    });
    let weight = harness.weight(0, 1) / harness.weight(0, 0);
    assert!((least..=most).contains(&weight), "{weight}");
}

/// A zone that returns looks idle while its servers warm up.
#[rstest]
fn warming_zone_is_not_leaned_on() {
    let mut harness = PolicyHarness::with_servers(6, 2);
    let busy = |warming: f32| {
        move |server: ServerIndex| {
            (server < 6).then_some(observed(
                10,
                0,
                if server.is_multiple_of(2) { 0.97 } else { warming },
                0.0,
            ))
        }
    };
    harness.run(Duration::from_secs(3), busy(0.95));
    let zone = |state, age| [1, 3, 5].map(|server| endpoint(server, 1, state, age));
    harness.update_endpoints(false, &zone(EndpointState::Removed, None));
    harness.run(ms(1000), |server| busy(0.0)(server).filter(|_| server % 2 == 0));
    harness.update_endpoints(false, &zone(EndpointState::Ready, Some(ms(100))));
    harness.run(Duration::from_secs(4), busy(0.05));
    let weight = harness.weight(0, 1) / harness.weight(0, 0);
    assert!(weight < 0.07, "{weight}");
}
