//! Tests of the takeover from another policy.

use crate::helpers::*;
use grebespool::host::*;
use rstest::rstest;

#[rstest]
#[case::within_the_bounds([1.6, 0.4, 1.0], [1.6, 0.4, 1.0])]
#[case::above_the_maximum([9.0, 1.0, 1.0], [3.0, 1.0, 1.0])]
#[case::zero([0.0, 1.0, 1.0], [0.06, 1.0, 1.0])]
fn restores_learned_weights_within_bounds(#[case] former: [f64; 3], #[case] restored: [f32; 3]) {
    let routes = vec![route(1.0, Idempotency::Idempotent)];
    let mut harness = PolicyHarness::new(1, CHANNEL, routes, 1.2);
    let mut endpoints: Vec<Endpoint> =
        (0..3).map(|server| endpoint(server, 0, EndpointState::Ready, None)).collect();
    // A server that has just started has no learned weight to restore, and rises by the steps of its slow start.
    endpoints.push(endpoint(3, 0, EndpointState::Ready, Some(ms(1))));
    harness.update_endpoints(true, &endpoints);
    for (server, weight) in former.iter().enumerate() {
        harness.policy.restore_weight(server, *weight);
    }
    harness.policy.proxy_joined(harness.now, 0, 0, false, 1.0);
    for (server, weight) in restored.iter().enumerate() {
        assert!(
            (harness.weight(0, server) - weight).abs() < 1e-6,
            "server {server} at {}",
            harness.weight(0, server)
        );
    }
    assert!(harness.weight(0, 3) < 0.3);
    let learned = harness.policy.learned_weights();
    assert!((learned[&0] / learned[&1] - f64::from(restored[0] / restored[1])).abs() < 1e-3, "{learned:?}");
}

/// Without the restored assignments, every proxy would change most of its connections at once.
#[rstest]
#[case::same_servers(30)]
#[case::one_server_removed(29)]
fn restores_pool_assignments(#[case] servers: usize) {
    let capabilities = ProxyCapabilities {
        zones: 2,
        slices: 0,
        admission_mode: AdmissionMode::Share,
        attempt_timeout_factor: 0.8,
        proxies: 400,
        min_server_connections: 200.0,
    };
    let all: Vec<Endpoint> =
        (0..30).map(|server| endpoint(server, (server % 2) as ZoneId, EndpointState::Ready, None)).collect();
    let new = || {
        PolicyHarness::with_capabilities(
            capabilities,
            CHANNEL,
            vec![route(1.0, Idempotency::NonIdempotent)],
            true,
        )
    };
    let mut former = new();
    former.update_endpoints(true, &all[..22]);
    former.update_endpoints(true, &all);
    (0..12).for_each(|proxy| former.policy.proxy_joined(former.now, proxy, proxy % 2, true, 1.0));
    let PoolAssignments { pools, pool_by_proxy } = former.policy.pool_assignments();
    assert!(pools.len() > 2 && pool_by_proxy.len() == 12, "{pools:?}");
    let mut next = new();
    next.update_endpoints(true, &all[..servers]);
    let initial = next.policy.pool_assignments().pools;
    assert_ne!(initial, pools, "the assignments are equal by chance, so the test shows nothing");
    let former_binding = |proxy, pool| FormerBinding { zone: proxy % 2, pool };
    let bindings =
        pool_by_proxy.iter().map(|(proxy, pool)| (*proxy, former_binding(*proxy, *pool))).collect();
    next.policy.restore_pool_assignments(&pools, &bindings);
    for (restored, before) in next.policy.pool_assignments().pools.iter().zip(&pools) {
        let mut remaining = before.servers.iter().filter(|server| **server < servers);
        let all_held = remaining.all(|server| restored.servers.contains(server));
        assert!(restored.zone == before.zone && all_held, "{restored:?}, before {before:?}");
    }
    for proxy in (0..12).rev() {
        next.policy.proxy_joined(next.now, proxy, proxy % 2, false, 1.0);
    }
    let restored = next.policy.pool_assignments().pool_by_proxy;
    assert_eq!(restored, pool_by_proxy, "each proxy keeps its pool");
    // Unknown pools and unknown servers are ignored.
    let mut with_unknown = new();
    with_unknown.update_endpoints(true, &all);
    let with_unknown_server =
        [PoolSubset { zone: 0, servers: vec![0, 99] }, PoolSubset { zone: 1, servers: vec![1] }];
    let unknown_pool = FormerBinding { zone: 0, pool: 7 };
    with_unknown.policy.restore_pool_assignments(&with_unknown_server, &[(0, unknown_pool)].into());
    with_unknown.policy.proxy_joined(with_unknown.now, 0, 0, false, 1.0);
    assert_eq!(with_unknown.policy.pool_assignments().pool_by_proxy[&0], 0);
}
