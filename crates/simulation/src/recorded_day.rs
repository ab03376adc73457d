//! A recorded day. Its requests, its lists, and the times when proxies had no planner replace the day's own.

use crate::event_queue::{HOP, Scheduled};
use crate::model::{Model, SimulationError};
use crate::requests::FirstRequest;
use grebespool_wire::{EndpointEntry, EndpointState};
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::time::Duration;

/// A server on a recorded list.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedEntry {
    /// The server's address, or the pseudonym that replaces the address.
    pub server: String,
    /// Number that distinguishes successive servers at one address.
    pub number: u32,
    /// Name of the zone.
    pub zone: String,
    /// State on the list.
    pub phase: EndpointState,
    /// Age at the time of the list, or `None` if the server started long before.
    pub age: Option<Duration>,
}

/// An input of a recorded day.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A client's request became due.
    Call(FirstRequest),
    /// The planner received a list.
    List {
        /// Version of the list.
        version: u64,
        /// Version that the entries change, or 0 if the entries are the whole list.
        base: u64,
        /// The whole list, or its changed entries.
        entries: Vec<RecordedEntry>,
    },
    /// A proxy joined the planner.
    Joined {
        /// Index of the proxy.
        proxy: usize,
    },
    /// A proxy lost the planner.
    Left {
        /// Index of the proxy.
        proxy: usize,
    },
    /// A planner started.
    PlannerBegan {
        /// Number of the planner.
        planner: u64,
    },
    /// A planner was lost.
    PlannerLost {
        /// Number of the planner.
        planner: u64,
    },
}

/// Returns the next input of a recorded day and its time, or `None` after the last.
pub(crate) type NextInput<'a> =
    dyn FnMut() -> Result<Option<(Duration, Input)>, Box<dyn Error + Send + Sync>> + 'a;

/// A recorded day, read input by input.
pub struct Recording<'a> {
    /// The first whole list, with which the day begins, or `None` if no list was recorded.
    pub opening: Option<Vec<RecordedEntry>>,
    /// Proxies that had no planner at first, if joins were recorded.
    pub unjoined: BTreeSet<usize>,
    /// Source of the inputs, in the order of time.
    pub next: Box<NextInput<'a>>,
}

impl Model<'_> {
    /// Maps the recorded servers to the day's, and starts and stops servers to match the recorded opening list.
    pub(crate) fn begin_recorded_day(&mut self) {
        let Some(recording) = &self.recording else { return };
        let (opening, unjoined) = (recording.opening.clone(), recording.unjoined.clone());
        unjoined.iter().filter(|p| **p < self.proxies.len()).for_each(|p| {
            self.queue.borrow_mut().links[*p].closed = true;
        });
        let Some(opening) = opening else { return };
        let named: BTreeSet<usize> = opening
            .iter()
            .filter(|e| e.phase != EndpointState::Removed)
            .filter_map(|e| self.server_for(e))
            .collect();
        for s in 0..self.servers.len() {
            if !named.contains(&s) {
                self.servers[s].machine = None;
                self.update_health_check(s);
            } else if self.servers[s].machine.is_none() {
                let (number, warm) = (self.servers[s].id.number, self.servers[s].spec.warm_up);
                self.start(s, number, warm);
            }
        }
    }

    /// Returns the index of the server that represents a recorded one: an unassigned server of its zone, or else a
    /// new one of the zone's first kind. Returns `None` for a zone that the day doesn't have.
    fn server_for(&mut self, entry: &RecordedEntry) -> Option<usize> {
        if let Some(index) = self.servers_by_name.get(&entry.server) {
            return Some(*index);
        }
        let zone = self.day.deployment.zones.iter().position(|z| *z == entry.zone)? as u16;
        let assigned: BTreeSet<usize> = self.servers_by_name.values().copied().collect();
        let free = (0..self.servers.len()).find(|s| self.servers[*s].zone == zone && !assigned.contains(s));
        let index = free.unwrap_or_else(|| self.add_server(zone));
        self.servers_by_name.insert(entry.server.clone(), index);
        Some(index)
    }

    /// Schedules the next input of the recording, if one is followed.
    pub(crate) fn schedule_next_input(&mut self) -> Result<(), SimulationError> {
        let Some(recording) = &mut self.recording else { return Ok(()) };
        if let Some((at, input)) = (recording.next)().map_err(SimulationError::Recording)? {
            self.queue.borrow_mut().at(at, Scheduled::Input(input));
        }
        Ok(())
    }

    /// Applies an input of the recorded day.
    pub(crate) fn apply_input(&mut self, input: Input) {
        match input {
            Input::Call(call) => self.recorded_request(call),
            Input::List { version, base, entries } => self.apply_recorded_list(version, base, &entries),
            Input::Joined { proxy } => self.set_unreachable(proxy, false),
            Input::Left { proxy } => self.set_unreachable(proxy, true),
            Input::PlannerBegan { planner } => {
                if self.planners.insert(planner) && self.controller.is_none() {
                    self.start_planner();
                }
            }
            Input::PlannerLost { planner } => {
                self.planners.remove(&planner);
                // Of several recorded planners, the loss of one shows in its proxies' own inputs.
                if self.planners.is_empty() && self.controller.is_some() {
                    self.kill_planner();
                }
            }
        }
    }

    /// Applies a recorded list to the servers, and publishes what it changes.
    fn apply_recorded_list(&mut self, version: u64, base: u64, entries: &[RecordedEntry]) {
        if version <= self.recorded_version && self.recorded_version > 0 {
            // A repeated list changes nothing. An outdated one is sent to the planner as an outdated list. Of several
            // recorded planners each receives a list with its own delay, so a lower version doesn't mean an outdated
            // list.
            if version < self.recorded_version && self.planners.len() < 2 {
                let entries = self.first_list.clone();
                self.queue.borrow_mut().after(HOP, Scheduled::ListArrives { version: 1, base: 0, entries });
            }
            return;
        }
        self.recorded_version = version;
        let mut changed: BTreeMap<EndpointState, Vec<usize>> = BTreeMap::new();
        let mut named = BTreeSet::new();
        for entry in entries {
            // The removal of a server that was never listed changes nothing.
            if entry.phase == EndpointState::Removed && !self.servers_by_name.contains_key(&entry.server) {
                continue;
            }
            let Some(s) = self.server_for(entry) else { continue };
            named.insert(s);
            if let Some(phase) = self.apply_recorded_entry(s, entry) {
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
            changed.iter().flat_map(|(phase, at)| at.iter().map(|s| self.list_entry(*s, *phase))).collect();
        if !changed.is_empty() {
            self.publish(changed);
        }
    }

    /// Brings a server into the state of a recorded entry. Returns the state to publish if the list has another.
    fn apply_recorded_entry(&mut self, s: usize, entry: &RecordedEntry) -> Option<EndpointState> {
        let up = self.servers[s].machine.is_some();
        let was = self.list.entries.get(&self.servers[s].id).map(|e| e.state);
        match entry.phase {
            // The removal concerns a server that another one has replaced at its address.
            EndpointState::Removed if self.servers[s].recorded_number.is_some_and(|n| n != entry.number) => {
                return None;
            }
            EndpointState::Removed => {
                if up {
                    self.stop(s);
                }
                return was.map(|_| EndpointState::Removed);
            }
            EndpointState::Ready | EndpointState::Draining => {
                let replaced = up && self.servers[s].recorded_number.is_some_and(|n| n != entry.number);
                self.servers[s].recorded_number = Some(entry.number);
                if replaced {
                    self.stop(s);
                }
                if replaced || !up {
                    self.next_number += 1;
                    let warm = self.servers[s].spec.warm_up;
                    self.start(s, self.next_number, entry.age.unwrap_or(warm));
                }
                self.servers[s].leaving = entry.phase == EndpointState::Draining;
            }
        }
        (was != Some(entry.phase)).then_some(entry.phase)
    }
}
