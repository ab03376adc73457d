//! Tests of the use of other zones' servers.

use crate::helpers::*;
use grebespool::host::*;
use rstest::rstest;
use std::time::Duration;

#[rstest]
#[case::one_zone(1, 1.0)]
#[case::three_zones(3, 0.2)]
fn remote_servers_get_a_fifth_of_the_weight(#[case] zones: usize, #[case] weight: f32) {
    let harness = PolicyHarness::with_servers(6, zones);
    assert_eq!((harness.weight(0, 0), harness.weight(0, 1)), (1.0, weight));
}

#[rstest]
#[case::draining(EndpointState::Draining, None, 0.6)]
#[case::warming(EndpointState::Ready, Some(ms(1000)), 0.9)]
fn remote_servers_make_up_for_lost_local_servers(
    #[case] state: EndpointState,
    #[case] age: Option<Duration>,
    #[case] remote_weight: f32,
) {
    // Without remote servers, the zone's requests would overload its warming servers.
    let mut harness = PolicyHarness::with_servers(4, 2);
    harness.update_endpoints(false, &[endpoint(0, 0, state, age), endpoint(2, 0, state, age)]);
    assert!((harness.weight(0, 1) - remote_weight).abs() < 0.11, "{}", harness.weight(0, 1));
}

/// The position of the route that may leave its zone, and of the one that may not.
const FREE_ROUTE: usize = 0;
const ZONE_LOCAL_ROUTE: usize = 1;

/// Creates a harness with a route that may leave its zone and one that may not, and a joined proxy in each zone.
fn with_zone_local_route(servers: usize, zones: usize) -> PolicyHarness {
    let routes = vec![route(1.0, Idempotency::Idempotent), zone_local_route(2.0)];
    PolicyHarness::with_routes(servers, zones, routes)
}

/// Even while all local servers are ejected, a zone-local route must not get servers of other zones, and must not be left
/// without a server.
#[rstest]
#[case::local_servers_fail_all(10, 10)]
#[case::local_servers_fail_most(10, 7)]
fn zone_local_route_never_gets_remote_servers(#[case] attempts: u32, #[case] failures: u32) {
    let mut harness = with_zone_local_route(8, 2);
    harness.healthy = false;
    for second in 0..40 {
        harness.run(Duration::from_secs(1), |server| match server {
            0 | 2 | 4 | 6 => Some(observed(attempts, failures, 0.9, 3.0)),
            _ => HALF_LOADED.filter(|_| server < 8),
        });
        for zone in 0..2 {
            let held = harness.servers_in(harness.table_of(zone, ZONE_LOCAL_ROUTE));
            assert!(!held.is_empty(), "zone {zone} after {second} s");
            assert!(
                held.iter().all(|server| server % 2 == usize::from(zone)),
                "zone {zone} after {second} s: {held:?}"
            );
            assert!(!harness.servers_in(harness.table_of(zone, FREE_ROUTE)).is_empty());
        }
    }
}

/// One table for all routes sent the requests of a zone-local route to other zones while no server of its zone was ready.
#[rstest]
#[case::removed(EndpointState::Removed)]
#[case::draining(EndpointState::Draining)]
fn zone_local_route_has_no_server_while_its_zone_has_none(#[case] state: EndpointState) {
    let mut harness = with_zone_local_route(9, 3);
    harness.run(Duration::from_secs(12), |server| HALF_LOADED.filter(|_| server < 9));
    harness.update_endpoints(false, &[0, 3, 6].map(|server| endpoint(server, 0, state, None)));
    harness.run(Duration::from_secs(5), |server| HALF_LOADED.filter(|_| server < 9 && server % 3 != 0));
    assert_eq!(harness.servers_in(harness.table_of(0, ZONE_LOCAL_ROUTE)), []);
    assert_eq!(harness.servers_in(harness.table_of(0, FREE_ROUTE)), [1, 2, 4, 5, 7, 8]);
    // The first and the last server of a zone are as good as any.
    for server in [6, 0] {
        harness.update_endpoints(false, &[endpoint(server, 0, EndpointState::Ready, Some(ms(100)))]);
        harness.run(Duration::from_secs(2), |server| HALF_LOADED.filter(|_| server < 9 && server % 3 != 0));
        assert!(harness.servers_in(harness.table_of(0, ZONE_LOCAL_ROUTE)).contains(&server));
    }
}

/// While a zone-local route shared its table with the other routes, one ready server of a zone took all remote servers out of
/// it: a zone that returned cold got all its requests back at once, and its servers fell over.
#[rstest]
fn zone_that_returns_cold_shares_its_load_despite_a_zone_local_route() {
    let mut harness = with_zone_local_route(9, 3);
    harness.run(Duration::from_secs(12), |server| HALF_LOADED.filter(|_| server < 9));
    let zone = |state, age| [0, 3, 6].map(|server| endpoint(server, 0, state, age));
    harness.update_endpoints(false, &zone(EndpointState::Removed, None));
    harness.run(Duration::from_secs(4), |server| HALF_LOADED.filter(|_| server < 9 && server % 3 != 0));
    harness.update_endpoints(false, &zone(EndpointState::Ready, Some(ms(1000))));
    for _ in 0..8 {
        harness.run(ms(500), |server| HALF_LOADED.filter(|_| server < 9));
        let weights = harness.weights_in(harness.table_of(0, FREE_ROUTE));
        let cold: f32 =
            weights.iter().filter(|(server, _)| **server % 3 == 0).map(|(_, weight)| weight).sum();
        let share = cold / weights.values().sum::<f32>();
        assert!(share < 0.35, "the cold servers have {share} of the weight");
    }
}

#[rstest]
#[case::healthy((10, 0), 0.5, 200, 0.15, 0.25)]
#[case::lossy((10, 6), 0.5, 200, 0.0, 0.01)]
#[case::slow((10, 0), 0.5, 1200, 0.0, 0.05)]
#[case::lossy_but_full((10, 6), 0.99, 200, 0.02, 0.25)]
fn bad_link_gets_little_weight(
    #[case] remote: (u32, u32),
    #[case] utilization: f32,
    #[case] latency_ms: u64,
    #[case] min: f32,
    #[case] max: f32,
) {
    let mut harness = PolicyHarness::with_servers(6, 2);
    for _ in 0..8 {
        harness.latency = ms(200);
        harness.run(ms(500), |server| (server < 6 && server % 2 == 0).then_some(observed(10, 0, 0.5, 0.0)));
        harness.latency = ms(latency_ms);
        harness.run(ms(500), |server| {
            (server < 6 && server % 2 == 1).then_some(observed(remote.0, remote.1, utilization, 0.0))
        });
    }
    let weight = harness.weight(0, 1);
    assert!((min..=max).contains(&weight), "{weight}");
}

#[rstest]
#[case::other_zone_has_capacity(0.2, 0.5, 9.0)]
#[case::other_zone_is_full(0.97, 0.1, 0.3)]
fn full_zone_uses_servers_of_zone_with_capacity(
    #[case] remote_utilization: f32,
    #[case] min: f32,
    #[case] max: f32,
) {
    let mut harness = PolicyHarness::with_servers(6, 2);
    harness.run(Duration::from_secs(8), |server| {
        (server < 6).then_some(observed(10, 0, if server % 2 == 0 { 0.98 } else { remote_utilization }, 0.0))
    });
    let weight = harness.weight(0, 1) / harness.weight(0, 0);
    assert!((min..=max).contains(&weight), "{weight}");
}

/// A zone that returns looks idle while its servers warm up. Other zones must not send their requests to it.
#[rstest]
fn warming_zone_gets_no_spillover() {
    let mut harness = PolicyHarness::with_servers(6, 2);
    let load = |remote_utilization: f32| {
        move |server: ServerIndex| {
            (server < 6).then_some(observed(
                10,
                0,
                if server.is_multiple_of(2) { 0.97 } else { remote_utilization },
                0.0,
            ))
        }
    };
    harness.run(Duration::from_secs(3), load(0.95));
    let zone = |state, age| [1, 3, 5].map(|server| endpoint(server, 1, state, age));
    harness.update_endpoints(false, &zone(EndpointState::Removed, None));
    harness.run(ms(1000), |server| load(0.0)(server).filter(|_| server % 2 == 0));
    harness.update_endpoints(false, &zone(EndpointState::Ready, Some(ms(100))));
    harness.run(Duration::from_secs(4), load(0.05));
    let weight = harness.weight(0, 1) / harness.weight(0, 0);
    assert!(weight < 0.07, "{weight}");
}
