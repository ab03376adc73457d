//! The server list as the planner has received it, reconstructed from the events.

use crate::record::{Event, List};
use grebespool_wire::{EndpointState, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The server list that the planner holds.
#[derive(Default)]
pub(crate) struct ListView {
    /// By server: its state, since when the planner knows of that state, and when the server started, in milliseconds
    /// of the list's clock.
    pub(crate) entries: BTreeMap<ServerId, (EndpointState, Duration, u64)>,
    /// By server and start time: when the planner first learned of that start, and how long ago the start was then.
    pub(crate) starts: BTreeMap<(ServerId, u64), (Duration, Duration)>,
    version: u64,
}

impl ListView {
    /// Applies a list or its changes. Ignores a list that is not newer than the one held, and changes to another
    /// version.
    fn apply(&mut self, at: Duration, list: &List) {
        let List { version, base, now_ms, entries } = list;
        let (version, base) = (*version, *base);
        if version <= self.version || (base != 0 && base != self.version) {
            return;
        }
        self.version = version;
        let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
        let number_at: BTreeMap<_, u32> = entries.iter().map(|e| (e.server.addr, e.server.number)).collect();
        for (id, entry) in &mut self.entries {
            let replaced = number_at.get(&id.addr).is_some_and(|n| *n != id.number);
            if !named.contains(id) && (base == 0 || replaced) && entry.0 != EndpointState::Removed {
                *entry = (EndpointState::Removed, at, entry.2);
            }
        }
        for e in entries {
            let age = Duration::from_millis(now_ms.saturating_sub(e.started_ms));
            self.starts.entry((e.server, e.started_ms)).or_insert((at, age));
            match self.entries.get_mut(&e.server) {
                // From draining to removed, the time since when the planner knows stays: the proxies already had to
                // stop sending.
                Some(old) if old.0 != EndpointState::Ready && e.state != EndpointState::Ready => {
                    old.0 = e.state
                }
                Some(old) if old.0 == e.state => old.2 = e.started_ms,
                _ => drop(self.entries.insert(e.server, (e.state, at, e.started_ms))),
            }
        }
    }
}

/// The planner's knowledge of the servers. Lists that arrive while the planner is stalled apply once it resumes, and
/// a kill erases everything.
#[derive(Default)]
pub(crate) struct PlannerView {
    pub(crate) list: ListView,
    stalled: bool,
    /// Lists that arrived while the planner was stalled.
    deferred: Vec<List>,
}

impl PlannerView {
    /// Applies one event.
    pub(crate) fn observe(&mut self, at: Duration, event: &Event) {
        match event {
            Event::ListTold(list) if self.stalled => self.deferred.push(list.clone()),
            Event::ListTold(list) => self.list.apply(at, list),
            Event::PlannerKilled => *self = PlannerView::default(),
            Event::PlannerStalled => self.stalled = true,
            Event::PlannerResumed => {
                self.stalled = false;
                for list in std::mem::take(&mut self.deferred) {
                    self.list.apply(at, &list);
                }
            }
            _ => {}
        }
    }
}
