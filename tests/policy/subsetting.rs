//! Tests of subsetting.

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
    #[case] min_pools_per_zone: usize,
) {
    let harness = PolicyHarness::with_many_proxies(servers, proxies, CHANNEL, true);
    let tables: BTreeSet<TableId> = harness.bound_tables();
    assert!(tables.len() >= 2 * min_pools_per_zone && tables.len() <= proxies / 2, "{} tables", tables.len());
    let held: BTreeSet<ServerIndex> = tables.iter().flat_map(|table| harness.servers_in(*table)).collect();
    assert_eq!(held.len(), servers, "every server is in a pool");
}

/// On a slow channel, long tables for all proxies at once would delay drains beyond the grace period.
#[rstest]
#[case::slow_channel(3000.0, 8)]
#[case::fast_channel(90_000.0, 40)]
fn tables_fit_into_the_channel_for_all_proxies(#[case] entries_per_s: f64, #[case] min_entries: usize) {
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
    let mut harness = PolicyHarness::with_capabilities(
        capabilities,
        channel,
        vec![route(1.0, Idempotency::Idempotent)],
        true,
    );
    let endpoints: Vec<Endpoint> =
        (0..200).map(|server| endpoint(server, (server % 3) as ZoneId, EndpointState::Ready, None)).collect();
    harness.update_endpoints(true, &endpoints);
    (0..240).for_each(|proxy| harness.policy.proxy_joined(harness.now, proxy, proxy % 3, true, 1.0));
    let bound = harness.commands.borrow().tables_by_proxy.clone();
    assert_eq!(bound.len(), 240, "all proxies are bound at once");
    let shortest = bound.values().flatten().map(|table| harness.servers_in(*table).len()).min();
    assert!(shortest.is_some_and(|entries| entries >= min_entries), "{shortest:?} entries");
}

#[rstest]
fn pool_replaces_lost_servers_and_retires_replacements() {
    // The servers that return first must not be added to every pool and stay there.
    let mut harness = PolicyHarness::with_many_proxies(40, 80, CHANNEL, true);
    let update_zone = |harness: &mut PolicyHarness, state, age| {
        let endpoints: Vec<Endpoint> = (0..20).map(|server| endpoint(2 * server, 0, state, age)).collect();
        harness.update_endpoints(false, &endpoints[..3]);
        harness.run(Duration::from_secs(2), |server| HALF_LOADED.filter(|_| server < 40));
        harness.update_endpoints(false, &endpoints);
        harness.run(Duration::from_secs(30), |server| HALF_LOADED.filter(|_| server < 40));
    };
    update_zone(&mut harness, EndpointState::Removed, None);
    let tables: BTreeSet<TableId> = harness.bound_tables();
    assert!(tables.iter().all(|table| harness.servers_in(*table).len() >= 3), "lost servers are replaced");
    update_zone(&mut harness, EndpointState::Ready, Some(ms(1000)));
    let local_tables = tables.iter().take(tables.len() / 2);
    let holders = |server: ServerIndex| {
        local_tables.clone().filter(|table| harness.servers_in(**table).contains(&server)).count()
    };
    let max_holders = (0..20).map(|server| holders(2 * server)).max().unwrap();
    assert!(max_holders < 4, "a server is in {max_holders} tables of its zone");
}

#[rstest]
fn warming_server_is_added_to_one_pool_of_its_zone() {
    // Pools that have lost servers must not all add the same new servers.
    let mut harness = PolicyHarness::with_many_proxies(40, 80, CHANNEL, true);
    harness.run(Duration::from_secs(12), |server| HALF_LOADED.filter(|_| server < 40));
    let new: Vec<Endpoint> =
        (40..44).map(|server| endpoint(2 * server, 0, EndpointState::Ready, Some(ms(500)))).collect();
    harness.update_endpoints(false, &new);
    let draining: Vec<Endpoint> =
        (0..15).map(|server| endpoint(2 * server, 0, EndpointState::Draining, None)).collect();
    harness.update_endpoints(false, &draining);
    harness.run(Duration::from_secs(3), |server| HALF_LOADED.filter(|_| server < 40));
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

/// A pool that holds only newly started servers must not count as full, because all of its requests would go to them.
#[rstest]
#[case::one_pool_loses_its_warm_servers(1)]
#[case::half_of_the_pools_lose_their_warm_servers(2)]
fn pool_of_new_servers_gets_warm_ones(#[case] every: usize) {
    const OLD: usize = 64;
    let mut harness = PolicyHarness::with_many_proxies(OLD, 400, CHANNEL, true);
    harness.run(Duration::from_secs(3), |server| HALF_LOADED.filter(|_| server < OLD));
    let new: Vec<Endpoint> = (OLD..2 * OLD)
        .map(|server| endpoint(server, (server % 2) as ZoneId, EndpointState::Ready, Some(ms(1000))))
        .collect();
    harness.update_endpoints(false, &new);
    harness.run(Duration::from_secs(4), |server| HALF_LOADED.filter(|_| server < OLD));
    let tables: BTreeSet<TableId> = harness.bound_tables();
    let zone = |server: &ServerIndex| server % 2;
    let local_servers = |harness: &PolicyHarness, table: TableId| {
        let held = harness.servers_in(table);
        // The zone of a table is the zone of most of its servers.
        let own_zone = (0..2).max_by_key(|z| held.iter().filter(|server| zone(server) == *z).count());
        held.into_iter().filter(|server| Some(zone(server)) == own_zone).collect::<Vec<ServerIndex>>()
    };
    let step = if every == 1 { tables.len() } else { every };
    let losing: Vec<TableId> = tables.iter().copied().step_by(step).collect();
    let drained: BTreeSet<ServerIndex> = losing
        .iter()
        .flat_map(|table| local_servers(&harness, *table))
        .filter(|server| *server < OLD)
        .collect();
    let endpoints: Vec<Endpoint> = drained
        .iter()
        .map(|server| endpoint(*server, zone(server) as ZoneId, EndpointState::Draining, None))
        .collect();
    harness.update_endpoints(false, &endpoints);
    harness.run(Duration::from_secs(2), |server| {
        HALF_LOADED.filter(|_| server < OLD && !drained.contains(&server))
    });
    for table in losing {
        let local = local_servers(&harness, table);
        let warm = local.iter().filter(|server| **server < OLD && !drained.contains(server)).count();
        let new = local.iter().filter(|server| **server >= OLD).count();
        assert!(warm > 0 && new > 0, "table {table} holds {local:?}");
    }
}

/// A returning server counts as a quarter of a server at first, so a pool of returning servers is not full.
#[rstest]
fn pool_of_returning_servers_gets_others() {
    const SERVERS: usize = 64;
    let mut harness = PolicyHarness::with_many_proxies(SERVERS, 400, CHANNEL, true);
    harness.run(Duration::from_secs(3), |_| HALF_LOADED);
    let table = *harness.commands.borrow().tables_by_proxy[&0].iter().next().unwrap();
    let own: Vec<ServerIndex> =
        harness.servers_in(table).into_iter().filter(|server| server % 2 == 0).collect();
    let local = |harness: &PolicyHarness| {
        harness.servers_in(table).into_iter().filter(|server| server % 2 == 0).collect::<Vec<ServerIndex>>()
    };
    let returned =
        |harness: &PolicyHarness| local(harness).iter().filter(|server| own.contains(server)).count();
    let others =
        |harness: &PolicyHarness| local(harness).iter().filter(|server| !own.contains(server)).count();
    harness.run(Duration::from_secs(4), |server| {
        if own.contains(&server) { Some(observed(10, 10, 0.9, 3.0)) } else { HALF_LOADED }
    });
    assert!(
        returned(&harness) == 0 && others(&harness) > 0,
        "not ejected and replaced: {:?}",
        local(&harness)
    );
    let replacements = others(&harness);
    for _ in 0..40 {
        harness.run(ms(500), |server| HALF_LOADED.filter(|_| !own.contains(&server)));
        if returned(&harness) == own.len() {
            break;
        }
    }
    harness.run(Duration::from_secs(1), |server| HALF_LOADED.filter(|_| !own.contains(&server)));
    assert!(
        returned(&harness) == own.len() && 2 * others(&harness) >= replacements,
        "{:?}, own servers {own:?}",
        local(&harness)
    );
}
