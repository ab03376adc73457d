//! What the next leader is to know of this controller, and what this one begins with.

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

/// Hands a former leader's snapshot to a controller that has just started: the endpoint list first, so that weights have
/// servers to belong to. The list's own service is polled all the same.
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
    let server = |place: &u32| snapshot.endpoints.get(*place as usize).map(EndpointRecord::server);
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

/// What the controller knows at this moment. Term and number are the observer's to set.
fn take(controller: &Controller<SocketEffects>, now: Duration) -> Snapshot {
    let endpoints = controller.endpoint_list(now);
    let list: Vec<EndpointRecord> = endpoints.entries.into_iter().filter_map(record).collect();
    let places: BTreeMap<ServerId, u32> =
        list.iter().enumerate().map(|(place, listed)| (listed.server(), place as u32)).collect();
    let FleetPools { pools, proxies } = controller.fleet_pools();
    let pool = |pool: PoolSnapshot| {
        let servers = pool.servers.iter().filter_map(|server| places.get(server).copied());
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

/// `None` for a server that was removed.
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

/// Hands a snapshot to the observer again and again, between two turns of the controller.
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
