//! Takes snapshots of the controller for the next leader, and restores the snapshot of a former leader.

use crate::effects::SocketEffects;
use crate::shared::Shared;
use grebespool_controller::{Controller, FleetPools, PoolSnapshot, ProxyPool};
use grebespool_leader_election::{
    AppliedOrders, EndpointPhase, EndpointRecord, KnownDrain, LearnedWeight, PoolRecord, ProxyBinding,
    Snapshot,
};
use grebespool_wire::{EndpointEntry, EndpointList, EndpointState, ServerId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Restores a former leader's snapshot in a controller that has just started. The endpoint list comes first, because pools
/// and weights refer to its servers. The discovery service is polled nevertheless. Does nothing if the snapshot has no
/// endpoint list.
pub(crate) fn restore(controller: &mut Controller<SocketEffects>, snapshot: &Snapshot) {
    if snapshot.list_version == 0 {
        return;
    }
    let list = EndpointList {
        version: snapshot.list_version,
        base_version: 0,
        now_ms: snapshot.list_ms,
        entries: snapshot.endpoints.iter().map(wire_entry).collect(),
    };
    controller.endpoints_received(Duration::ZERO, &list);
    controller.restore_pools(&fleet_pools(snapshot));
    controller.restore_weights(&snapshot.weights_by_server());
}

fn wire_entry(listed: &EndpointRecord) -> EndpointEntry {
    let state = match listed.phase {
        EndpointPhase::Ready => EndpointState::Ready,
        EndpointPhase::Draining => EndpointState::Draining,
    };
    EndpointEntry { server: listed.server(), zone: listed.zone.clone(), state, started_ms: listed.started_ms }
}

fn fleet_pools(snapshot: &Snapshot) -> FleetPools {
    let server = |position: &u32| snapshot.endpoints.get(*position as usize).map(EndpointRecord::server);
    let pool = |pool: &PoolRecord| PoolSnapshot {
        zone: pool.zone.clone(),
        servers: pool.endpoints.iter().filter_map(server).collect(),
    };
    let proxy_pool =
        |binding: &ProxyBinding| ProxyPool { proxy: binding.proxy.clone(), pool: binding.pool as usize };
    FleetPools {
        pools: snapshot.pools.iter().map(pool).collect(),
        proxies: snapshot.bindings.iter().map(proxy_pool).collect(),
    }
}

/// Takes a snapshot of the controller. The observer has to set its term and number.
fn take(controller: &Controller<SocketEffects>, now: Duration) -> Snapshot {
    let endpoints = controller.endpoint_list(now);
    let list: Vec<EndpointRecord> = endpoints.entries.into_iter().filter_map(record).collect();
    let positions: BTreeMap<ServerId, u32> =
        list.iter().enumerate().map(|(position, listed)| (listed.server(), position as u32)).collect();
    let FleetPools { pools, proxies } = controller.fleet_pools();
    let pool = |pool: PoolSnapshot| {
        let servers = pool.servers.iter().filter_map(|server| positions.get(server).copied());
        PoolRecord { zone: pool.zone, endpoints: servers.collect() }
    };
    let acknowledged = controller.acknowledged_sequences().into_iter();
    Snapshot {
        term: 0,
        number: 0,
        list_version: endpoints.version,
        list_ms: endpoints.now_ms,
        endpoints: list,
        weights: controller.learned_weights().into_iter().map(weight).collect(),
        drains: controller.draining_servers().map(|(server, since)| drain(server, now, since)).collect(),
        applied_orders: acknowledged.map(|(proxy, sequence)| AppliedOrders { proxy, sequence }).collect(),
        pools: pools.into_iter().map(pool).collect(),
        bindings: proxies.into_iter().map(proxy_binding).collect(),
    }
}

fn proxy_binding(proxy: ProxyPool) -> ProxyBinding {
    ProxyBinding { proxy: proxy.proxy, pool: proxy.pool as u32 }
}

/// Returns the record of an endpoint; `None` if the server was removed.
fn record(entry: EndpointEntry) -> Option<EndpointRecord> {
    let phase = match entry.state {
        EndpointState::Ready => EndpointPhase::Ready,
        EndpointState::Draining => EndpointPhase::Draining,
        EndpointState::Removed => return None,
    };
    let ServerId { addr, number } = entry.server;
    Some(EndpointRecord { addr, number, zone: entry.zone, phase, started_ms: entry.started_ms })
}

fn weight((server, weight): (ServerId, f64)) -> LearnedWeight {
    LearnedWeight { addr: server.addr, number: server.number, weight: weight as f32 }
}

fn drain(server: ServerId, now: Duration, since: Duration) -> KnownDrain {
    let known_for_ms = now.saturating_sub(since).as_millis() as u64;
    KnownDrain { addr: server.addr, number: server.number, known_for_ms }
}

/// Passes a snapshot to the observer at every interval, between two turns of the controller. Skips the snapshot while the
/// controller has no endpoint list.
pub(crate) async fn take_regularly(shared: Rc<Shared>, interval: Duration) {
    let mut next = Instant::now() + interval;
    loop {
        sleep(next.saturating_duration_since(Instant::now())).await;
        next = Instant::now() + interval;
        let snapshot = take(&shared.controller.borrow(), shared.now());
        if snapshot.list_version > 0 {
            shared.observer.borrow_mut().snapshot_taken(snapshot);
        }
    }
}
