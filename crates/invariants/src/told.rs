//! What the planner had been told of servers.

use crate::record::{Event, List};
use grebespool_wire::{EndpointState, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The list as the planner was told it: each server's phase, since when, and when it had started by the
/// record's clock.
#[derive(Default)]
pub(crate) struct Told {
    pub entries: BTreeMap<ServerId, (EndpointState, Duration, u64)>,
    /// When each start of a server was first told, and how long past it was.
    pub starts: BTreeMap<(ServerId, u64), (Duration, Duration)>,
    version: u64,
}

impl Told {
    /// A message that is no newer than what was told, or that changes another, tells nothing.
    fn take(&mut self, at: Duration, list: &List) {
        let List { version, base, now_ms, entries } = list;
        let (version, base) = (*version, *base);
        if version <= self.version || (base != 0 && base != self.version) {
            return;
        }
        self.version = version;
        let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
        let here: BTreeMap<_, u32> = entries.iter().map(|e| (e.server.addr, e.server.number)).collect();
        for (id, entry) in &mut self.entries {
            let replaced = here.get(&id.addr).is_some_and(|n| *n != id.number);
            if !named.contains(id) && (base == 0 || replaced) && entry.0 != EndpointState::Removed {
                *entry = (EndpointState::Removed, at, entry.2);
            }
        }
        for e in entries {
            let age = Duration::from_millis(now_ms.saturating_sub(e.started_ms));
            self.starts.entry((e.server, e.started_ms)).or_insert((at, age));
            match self.entries.get_mut(&e.server) {
                // Gone after draining is no news of it.
                Some(old) if old.0 != EndpointState::Ready && e.state != EndpointState::Ready => {
                    old.0 = e.state
                }
                Some(old) if old.0 == e.state => old.2 = e.started_ms,
                _ => drop(self.entries.insert(e.server, (e.state, at, e.started_ms))),
            }
        }
    }
}

/// What the planner had heard: the lists told to it, none while it stood still, nothing over a kill.
#[derive(Default)]
pub(crate) struct Ear {
    pub told: Told,
    stalled: bool,
    missed: Vec<List>,
}

impl Ear {
    pub fn hear(&mut self, at: Duration, passed: &Event) {
        match passed {
            Event::ListTold(list) if self.stalled => self.missed.push(list.clone()),
            Event::ListTold(list) => self.told.take(at, list),
            Event::PlannerKilled => *self = Ear::default(),
            Event::PlannerStalled => self.stalled = true,
            Event::PlannerResumed => {
                self.stalled = false;
                for list in std::mem::take(&mut self.missed) {
                    self.told.take(at, &list);
                }
            }
            _ => {}
        }
    }
}
