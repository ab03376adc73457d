//! A recorded day: its calls, its lists, who lost the planner and when, in place of the day's own.

use crate::agenda::{Due, HOP};
use crate::calls::FirstRequest;
use crate::play::{Model, SimulationError};
use grebespool_wire::{EndpointEntry, EndpointState};
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::time::Duration;

/// A server as a recorded list had it.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedEntry {
    /// Its address, or what stands for it.
    pub server: String,
    pub number: u32,
    pub zone: String,
    pub phase: EndpointState,
    /// How long before this list it had started; `None`: long before.
    pub age: Option<Duration>,
}

/// What happened on a recorded day.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    Call(FirstRequest),
    /// The planner was told a list, whole (`base` 0) or its changes.
    List {
        version: u64,
        base: u64,
        entries: Vec<RecordedEntry>,
    },
    /// A proxy was with the planner from here on, or without.
    Joined {
        proxy: usize,
    },
    Left {
        proxy: usize,
    },
    PlannerBegan {
        planner: u64,
    },
    PlannerLost {
        planner: u64,
    },
}

/// What happens next on a recorded day and when, `None` after its last.
pub type NextInput<'a> = dyn FnMut() -> Result<Option<(Duration, Input)>, Box<dyn Error + Send + Sync>> + 'a;

/// A recorded day, told piece by piece.
pub struct Recording<'a> {
    /// The first whole list, where lists were recorded: the day begins with it.
    pub opening: Option<Vec<RecordedEntry>>,
    /// Proxies that were without the planner at first, where joins were recorded.
    pub unjoined: BTreeSet<usize>,
    /// In the order of time.
    pub next: Box<NextInput<'a>>,
}

impl Model<'_> {
    /// Puts the day's servers in the places of those that the recording names.
    pub fn begin_past(&mut self) {
        let Some(recording) = &self.recording else { return };
        let (opening, apart) = (recording.opening.clone(), recording.unjoined.clone());
        apart.iter().filter(|p| **p < self.proxies.len()).for_each(|p| {
            self.agenda.borrow_mut().ways[*p].closed = true;
        });
        let Some(opening) = opening else { return };
        let named: BTreeSet<usize> = opening
            .iter()
            .filter(|e| e.phase != EndpointState::Removed)
            .filter_map(|e| self.place(e))
            .collect();
        for s in 0..self.servers.len() {
            if !named.contains(&s) {
                self.servers[s].machine = None;
                self.set_probe(s);
            } else if self.servers[s].machine.is_none() {
                let (number, warm) = (self.servers[s].id.number, self.servers[s].ability.warm_up);
                self.start(s, number, warm);
            }
        }
    }

    /// The server in the place of one that is recorded: one of the day's in its zone that has no place yet, or
    /// a further one of the zone's first kind. `None` for a zone that the day does not have.
    fn place(&mut self, entry: &RecordedEntry) -> Option<usize> {
        if let Some(place) = self.known.get(&entry.server) {
            return Some(*place);
        }
        let zone = self.day.deployment.zones.iter().position(|z| *z == entry.zone)? as u16;
        let taken: BTreeSet<usize> = self.known.values().copied().collect();
        let free = (0..self.servers.len()).find(|s| self.servers[*s].zone == zone && !taken.contains(s));
        let place = free.unwrap_or_else(|| self.add_server(zone));
        self.known.insert(entry.server.clone(), place);
        Some(place)
    }

    pub fn next_past(&mut self) -> Result<(), SimulationError> {
        let Some(recording) = &mut self.recording else { return Ok(()) };
        if let Some((at, past)) = (recording.next)().map_err(SimulationError::Recording)? {
            self.agenda.borrow_mut().at(at, Due::Recorded(past));
        }
        Ok(())
    }

    pub fn past(&mut self, past: Input) {
        match past {
            Input::Call(call) => self.past_call(call),
            Input::List { version, base, entries } => self.past_list(version, base, &entries),
            Input::Joined { proxy } => self.keep_apart(proxy, false),
            Input::Left { proxy } => self.keep_apart(proxy, true),
            Input::PlannerBegan { planner } => {
                if self.planners.insert(planner) && self.engine.is_none() {
                    self.start_planner();
                }
            }
            Input::PlannerLost { planner } => {
                self.planners.remove(&planner);
                // With several planners recorded, proxies of one that is lost are told of one by one.
                if self.planners.is_empty() && self.engine.is_some() {
                    self.kill_planner();
                }
            }
        }
    }

    fn past_list(&mut self, version: u64, base: u64, entries: &[RecordedEntry]) {
        if version <= self.past_version && self.past_version > 0 {
            // The same again tells nothing; an older one is told to the planner as what it is. Where several
            // planners were recorded each has its own delay, and none of them was told an old one by that.
            if version < self.past_version && self.planners.len() < 2 {
                let entries = self.first_list.clone();
                self.agenda.borrow_mut().after(HOP, Due::ListAt { version: 1, base: 0, entries });
            }
            return;
        }
        self.past_version = version;
        let mut changed: BTreeMap<EndpointState, Vec<usize>> = BTreeMap::new();
        let mut named = BTreeSet::new();
        for entry in entries {
            // What goes and was never listed leaves nothing behind.
            if entry.phase == EndpointState::Removed && !self.known.contains_key(&entry.server) {
                continue;
            }
            let Some(s) = self.place(entry) else { continue };
            named.insert(s);
            if let Some(phase) = self.take_past(s, entry) {
                changed.entry(phase).or_default().push(s);
            }
        }
        if base == 0 {
            for s in (0..self.servers.len()).filter(|s| !named.contains(s)).collect::<Vec<_>>() {
                if self.servers[s].machine.is_some() {
                    self.stop(s);
                    changed.entry(EndpointState::Removed).or_default().push(s);
                }
            }
        }
        let changed: Vec<EndpointEntry> =
            changed.iter().flat_map(|(phase, at)| at.iter().map(|s| self.entry(*s, *phase))).collect();
        if !changed.is_empty() {
            self.publish(changed);
        }
    }

    /// The server becomes what the entry says of it. Gives the phase in which it is to be listed anew.
    fn take_past(&mut self, s: usize, entry: &RecordedEntry) -> Option<EndpointState> {
        let up = self.servers[s].machine.is_some();
        let was = self.list.entries.get(&self.servers[s].id).map(|e| e.state);
        match entry.phase {
            // Of a server whose place another has taken since.
            EndpointState::Removed if self.servers[s].number_told.is_some_and(|n| n != entry.number) => {
                return None;
            }
            EndpointState::Removed => {
                if up {
                    self.stop(s);
                }
                return was.map(|_| EndpointState::Removed);
            }
            EndpointState::Ready | EndpointState::Draining => {
                let other = up && self.servers[s].number_told.is_some_and(|n| n != entry.number);
                self.servers[s].number_told = Some(entry.number);
                if other {
                    self.stop(s);
                }
                if other || !up {
                    self.next_number += 1;
                    let warm = self.servers[s].ability.warm_up;
                    self.start(s, self.next_number, entry.age.unwrap_or(warm));
                }
                self.servers[s].leaving = entry.phase == EndpointState::Draining;
            }
        }
        (was != Some(entry.phase)).then_some(entry.phase)
    }
}
