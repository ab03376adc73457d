//! What the next leader is to know of this planner, and what this one begins with.

use crate::{Shared, Shell};
use grebespool_controller::{Dealt, Engine};
use grebespool_leader_election::{Drain, Held, Listed, Memory, Phase, Weight};
use grebespool_wire::{Entry, Phase as WirePhase, ServerId};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The list first, so that weights have servers to belong to; the list's own service is asked all the same.
pub(crate) fn recall(engine: &mut Engine<Shell>, memory: &Memory) {
    if memory.list_version == 0 {
        return;
    }
    let entry = |l: &Listed| Entry {
        server: l.server(),
        zone: l.zone.clone(),
        phase: match l.phase {
            Phase::Ready => WirePhase::Ready,
            Phase::Draining => WirePhase::Draining,
        },
        started_ms: l.started_ms,
    };
    let entries: Vec<Entry> = memory.list.iter().map(entry).collect();
    engine.list(Duration::ZERO, memory.list_version, 0, memory.list_ms, &entries);
    let server = |place: &u32| memory.list.get(*place as usize).map(Listed::server);
    let pool = |(zone, held): &(String, Vec<u32>)| (zone.clone(), held.iter().filter_map(server).collect());
    engine.recall_dealt(&Dealt {
        pools: memory.pools.iter().map(pool).collect(),
        bound: memory.bound.iter().map(|(name, pool)| (name.clone(), *pool as usize)).collect(),
    });
    engine.recall(&memory.weights());
}

fn taken(engine: &Engine<Shell>, now: Duration) -> Memory {
    let (list_version, list_ms, entries) = engine.believed(now);
    let listed = |e: Entry| {
        let phase = match e.phase {
            WirePhase::Ready => Phase::Ready,
            WirePhase::Draining => Phase::Draining,
            WirePhase::Gone => return None,
        };
        let (addr, number) = (e.server.addr, e.server.number);
        Some(Listed { addr, number, zone: e.zone, phase, started_ms: e.started_ms })
    };
    let weight = |(id, w): (grebespool_wire::ServerId, f64)| Weight {
        addr: id.addr,
        number: id.number,
        weight: w as f32,
    };
    let drain = |(id, since): (grebespool_wire::ServerId, Duration)| Drain {
        addr: id.addr,
        number: id.number,
        known_for_ms: now.saturating_sub(since).as_millis() as u64,
    };
    let list: Vec<Listed> = entries.into_iter().filter_map(listed).collect();
    let places: BTreeMap<ServerId, u32> =
        list.iter().enumerate().map(|(i, l)| (l.server(), i as u32)).collect();
    let Dealt { pools, bound } = engine.dealt();
    let held = |ids: Vec<ServerId>| ids.iter().filter_map(|id| places.get(id).copied()).collect();
    Memory {
        epoch: 0,
        number: 0,
        list_version,
        list_ms,
        list,
        weights: engine.learnt().into_iter().map(weight).collect(),
        drains: engine.drains().map(drain).collect(),
        held: engine.in_force().into_iter().map(|(proxy, seq)| Held { proxy, seq }).collect(),
        pools: pools.into_iter().map(|(zone, ids)| (zone, held(ids))).collect(),
        bound: bound.into_iter().map(|(name, pool)| (name, pool as u32)).collect(),
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
