//! What the next leader is to know of this planner, and what this one begins with.

use crate::{Shared, Shell};
use grebespool_controller::{Dealt, Engine};
use grebespool_leader_election::{
    AppliedOrders, EndpointPhase, EndpointRecord, KnownDrain, LearnedWeight, PoolRecord, ProxyBinding,
    Snapshot,
};
use grebespool_wire::{Entry, Phase as WirePhase, ServerId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The list first, so that weights have servers to belong to; the list's own service is asked all the same.
pub(crate) fn recall(engine: &mut Engine<Shell>, memory: &Snapshot) {
    if memory.list_version == 0 {
        return;
    }
    let entry = |l: &EndpointRecord| Entry {
        server: l.server(),
        zone: l.zone.clone(),
        phase: match l.phase {
            EndpointPhase::Ready => WirePhase::Ready,
            EndpointPhase::Draining => WirePhase::Draining,
        },
        started_ms: l.started_ms,
    };
    let entries: Vec<Entry> = memory.endpoints.iter().map(entry).collect();
    engine.list(Duration::ZERO, memory.list_version, 0, memory.list_ms, &entries);
    let server = |place: &u32| memory.endpoints.get(*place as usize).map(EndpointRecord::server);
    let pool = |pool: &PoolRecord| (pool.zone.clone(), pool.endpoints.iter().filter_map(server).collect());
    engine.recall_dealt(&Dealt {
        pools: memory.pools.iter().map(pool).collect(),
        bound: memory.bindings.iter().map(|binding| (binding.proxy.clone(), binding.pool as usize)).collect(),
    });
    engine.recall(&memory.weights_by_server());
}

fn taken(engine: &Engine<Shell>, now: Duration) -> Snapshot {
    let (list_version, list_ms, entries) = engine.believed(now);
    let listed = |e: Entry| {
        let phase = match e.phase {
            WirePhase::Ready => EndpointPhase::Ready,
            WirePhase::Draining => EndpointPhase::Draining,
            WirePhase::Gone => return None,
        };
        let (addr, number) = (e.server.addr, e.server.number);
        Some(EndpointRecord { addr, number, zone: e.zone, phase, started_ms: e.started_ms })
    };
    let weight = |(id, w): (grebespool_wire::ServerId, f64)| LearnedWeight {
        addr: id.addr,
        number: id.number,
        weight: w as f32,
    };
    let drain = |(id, since): (grebespool_wire::ServerId, Duration)| KnownDrain {
        addr: id.addr,
        number: id.number,
        known_for_ms: now.saturating_sub(since).as_millis() as u64,
    };
    let list: Vec<EndpointRecord> = entries.into_iter().filter_map(listed).collect();
    let places: BTreeMap<ServerId, u32> =
        list.iter().enumerate().map(|(i, l)| (l.server(), i as u32)).collect();
    let Dealt { pools, bound } = engine.dealt();
    let held = |ids: Vec<ServerId>| ids.iter().filter_map(|id| places.get(id).copied()).collect();
    Snapshot {
        term: 0,
        number: 0,
        list_version,
        list_ms,
        endpoints: list,
        weights: engine.learnt().into_iter().map(weight).collect(),
        drains: engine.drains().map(drain).collect(),
        applied_orders: engine
            .in_force()
            .into_iter()
            .map(|(proxy, seq)| AppliedOrders { proxy, sequence: seq })
            .collect(),
        pools: pools.into_iter().map(|(zone, ids)| PoolRecord { zone, endpoints: held(ids) }).collect(),
        bindings: bound.into_iter().map(|(proxy, pool)| ProxyBinding { proxy, pool: pool as u32 }).collect(),
    }
}

/// Tells what is known, again and again. Off the engine's turns: it is taken between two of them.
pub(crate) async fn remember(shared: Rc<Shared>, every: Duration) {
    let mut next = Instant::now() + every;
    loop {
        sleep(next.saturating_duration_since(Instant::now())).await;
        next = Instant::now() + every;
        let memory = taken(&shared.engine.borrow(), shared.now());
        if memory.list_version > 0 {
            shared.watch.borrow_mut().remember(memory);
        }
    }
}
