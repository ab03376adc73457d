//! Subsetting.

use crate::helpers::*;
use grebespool::host::*;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

#[rstest]
#[case::few_proxies(40, 4, 1)]
#[case::many_proxies(40, 80, 4)]
#[case::many_more_proxies(120, 360, 10)]
fn splits_pools_where_proxies_exceed_connections(
    #[case] servers: usize,
    #[case] proxies: usize,
    #[case] least: usize,
) {
    let harness = PolicyHarness::with_many_proxies(servers, proxies, CHANNEL, true);
    let tables: BTreeSet<TableId> = harness.bound_tables();
    assert!(tables.len() >= 2 * least && tables.len() <= proxies / 2, "{} tables", tables.len());
    let held: BTreeSet<ServerIndex> = tables.iter().flat_map(|table| harness.servers_in(*table)).collect();
    assert_eq!(held.len(), servers, "every server has a pool");
}

/// On a slow channel, long tables for all proxies at once would delay drains beyond the grace period.
#[rstest]
#[case::slow(3000.0, 8)]
#[case::ample(90_000.0, 40)]
fn tables_fit_into_the_channel_for_all_proxies(#[case] entries_per_s: f64, #[case] lines: usize) {
    let channel = ControlChannelLimits {
        entries_per_s,
        max_queued_entries: 2.0 * entries_per_s,
        max_messages: 0,
        ..CHANNEL
    };
    let (admission_mode, attempt_timeout_factor) = (AdmissionMode::Share, 1.0);
    let capabilities = ProxyCapabilities {
        zones: 3,
        slices: 0,
        admission_mode,
        attempt_timeout_factor,
        proxies: 240,
        min_server_connections: 186.0,
    };
    let mut harness =
        PolicyHarness::on(capabilities, channel, vec![route(1.0, Idempotency::Idempotent)], true);
    let endpoints: Vec<Endpoint> =
        (0..200).map(|server| endpoint(server, (server % 3) as ZoneId, EndpointState::Ready, None)).collect();
    harness.update_endpoints(true, &endpoints);
    (0..240).for_each(|proxy| harness.policy.proxy_joined(harness.now, proxy, proxy % 3, true, 1.0));
    let bound = harness.commands.borrow().tables_by_proxy.clone();
    assert_eq!(bound.len(), 240, "all are bound at once");
    let least = bound.values().flatten().map(|table| harness.servers_in(*table).len()).min();
    assert!(least.is_some_and(|least| least >= lines), "{least:?} lines");
}

#[rstest]
fn pool_replaces_lost_servers_and_returns_replacements() {
    // The first servers that return must not be added to every pool and stay there.
    let mut harness = PolicyHarness::with_many_proxies(40, 80, CHANNEL, true);
    let zone = |harness: &mut PolicyHarness, state, age| {
        let endpoints: Vec<Endpoint> = (0..20).map(|server| endpoint(2 * server, 0, state, age)).collect();
        harness.update_endpoints(false, &endpoints[..3]);
        harness.run(Duration::from_secs(2), |server| QUIET.filter(|_| server < 40));
        harness.update_endpoints(false, &endpoints);
        harness.run(Duration::from_secs(30), |server| QUIET.filter(|_| server < 40));
    };
    zone(&mut harness, EndpointState::Removed, None);
    let tables: BTreeSet<TableId> = harness.bound_tables();
    assert!(tables.iter().all(|table| harness.servers_in(*table).len() >= 3), "lost servers are replaced");
    zone(&mut harness, EndpointState::Ready, Some(ms(1000)));
    let near = tables.iter().take(tables.len() / 2);
    let shares = |server: ServerIndex| {
        near.clone().filter(|table| harness.servers_in(**table).contains(&server)).count()
    };
    let most = (0..20).map(|server| shares(2 * server)).max().unwrap();
    assert!(most < 4, "a server is in all {most} tables of its zone");
}

#[rstest]
fn warming_server_is_added_to_one_pool_of_its_zone() {
    // Pools that have lost servers must not all add the same new ones.
    let mut harness = PolicyHarness::with_many_proxies(40, 80, CHANNEL, true);
    harness.run(Duration::from_secs(12), |server| QUIET.filter(|_| server < 40));
    let new: Vec<Endpoint> =
        (40..44).map(|server| endpoint(2 * server, 0, EndpointState::Ready, Some(ms(500)))).collect();
    harness.update_endpoints(false, &new);
    let draining: Vec<Endpoint> =
        (0..15).map(|server| endpoint(2 * server, 0, EndpointState::Draining, None)).collect();
    harness.update_endpoints(false, &draining);
    harness.run(Duration::from_secs(3), |server| QUIET.filter(|_| server < 40));
    let tables: BTreeSet<TableId> = harness.bound_tables();
    for server in (40..44).map(|server| 2 * server) {
        let holders = tables
            .iter()
            .take(tables.len() / 2)
            .filter(|table| harness.servers_in(**table).contains(&server))
            .count();
        assert!(holders <= 1, "server {server} is in {holders} tables");
    }
}

/// A pool full of newly started servers must not count as full: all of its requests would go to these.
#[rstest]
#[case::one_pool_loses_its_warm_servers(1)]
#[case::half_of_the_pools_do(2)]
fn pool_of_new_servers_gets_warm_ones(#[case] every: usize) {
    const OLD: usize = 64;
    let mut harness = PolicyHarness::with_many_proxies(OLD, 400, CHANNEL, true);
    harness.run(Duration::from_secs(3), |server| QUIET.filter(|_| server < OLD));
    let new: Vec<Endpoint> = (OLD..2 * OLD)
        .map(|server| endpoint(server, (server % 2) as ZoneId, EndpointState::Ready, Some(ms(1000))))
        .collect();
    harness.update_endpoints(false, &new);
    harness.run(Duration::from_secs(4), |server| QUIET.filter(|_| server < OLD));
    let tables: BTreeSet<TableId> = harness.bound_tables();
    let zone = |server: &ServerIndex| server % 2;
    let near_of = |harness: &PolicyHarness, table: TableId| {
        let held = harness.servers_in(table);
        let most = (0..2).max_by_key(|z| held.iter().filter(|server| zone(server) == *z).count());
        held.into_iter().filter(|server| Some(zone(server)) == most).collect::<Vec<ServerIndex>>()
    };
    let step = if every == 1 { tables.len() } else { every };
    let losing: Vec<TableId> = tables.iter().copied().step_by(step).collect();
    let drained: BTreeSet<ServerIndex> =
        losing.iter().flat_map(|table| near_of(&harness, *table)).filter(|server| *server < OLD).collect();
    let endpoints: Vec<Endpoint> = drained
        .iter()
        .map(|server| endpoint(*server, zone(server) as ZoneId, EndpointState::Draining, None))
        .collect();
    harness.update_endpoints(false, &endpoints);
    harness
        .run(Duration::from_secs(2), |server| QUIET.filter(|_| server < OLD && !drained.contains(&server)));
    for table in losing {
        let near = near_of(&harness, table);
        let warm = near.iter().filter(|server| **server < OLD && !drained.contains(server)).count();
        let new = near.iter().filter(|server| **server >= OLD).count();
        assert!(warm > 0 && new > 0, "table {table} holds {near:?}");
    }
}

/// A returning server counts for a quarter at first, so a pool is not full by such alone.
#[rstest]
fn pool_of_returning_servers_gets_others() {
    const SERVERS: usize = 64;
    let mut harness = PolicyHarness::with_many_proxies(SERVERS, 400, CHANNEL, true);
    harness.run(Duration::from_secs(3), |_| QUIET);
    let table = *harness.commands.borrow().tables_by_proxy[&0].iter().next().unwrap();
    let own: Vec<ServerIndex> =
        harness.servers_in(table).into_iter().filter(|server| server % 2 == 0).collect();
    let near = |harness: &PolicyHarness| {
        harness.servers_in(table).into_iter().filter(|server| server % 2 == 0).collect::<Vec<ServerIndex>>()
    };
    let back = |harness: &PolicyHarness| near(harness).iter().filter(|server| own.contains(server)).count();
    let others =
        |harness: &PolicyHarness| near(harness).iter().filter(|server| !own.contains(server)).count();
    harness.run(Duration::from_secs(4), |server| {
        if own.contains(&server) { Some(observed(10, 10, 0.9, 3.0)) } else { QUIET }
    });
    assert!(back(&harness) == 0 && others(&harness) > 0, "ejected and replaced: {:?}", near(&harness));
    let made_up = others(&harness);
    for _ in 0..40 {
        harness.run(ms(500), |server| QUIET.filter(|_| !own.contains(&server)));
        if back(&harness) == own.len() {
            break;
        }
    }
    harness.run(Duration::from_secs(1), |server| QUIET.filter(|_| !own.contains(&server)));
    assert!(
        back(&harness) == own.len() && 2 * others(&harness) >= made_up,
        "{:?} of {own:?}",
        near(&harness)
    );
}
