//! The servers that discovery has listed, by their ids. Addresses only tell where to connect.

use crate::wire::{EndpointEntry, EndpointList, EntryError, Placement};
use grebespool::host::{EndpointState, ServerKind, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why part of a list is not used.
#[derive(Debug, Clone, PartialEq, Error)]
pub(crate) enum ListFault {
    /// The changes end before the version that they were requested since: discovery has started anew.
    #[error("changes up to version {version}, asked since {since:?}")]
    VersionWentBack {
        /// The version of the list.
        version: u64,
        /// The version that was asked for.
        since: Option<u64>,
    },
    /// An entry cannot be used at all.
    #[error("server {id:?}: {error}")]
    InvalidEntry {
        /// The id of the server, if the entry has one.
        id: Option<String>,
        /// What is wrong with it.
        error: EntryError,
    },
    /// It is not known where a server is.
    #[error("server {id:?}: {error}")]
    InvalidPlacement {
        /// The id of the server.
        id: String,
        /// What is wrong with its placement.
        error: EntryError,
    },
    /// A server is in a zone that the settings do not have.
    #[error("server {id:?}: zone {zone:?} is not in the settings")]
    UnknownZone {
        /// The id of the server.
        id: String,
        /// The name of the zone.
        zone: String,
    },
    /// One list names a server twice.
    #[error("server {0:?} is listed twice")]
    Duplicate(String),
    /// A server starts in the future: some clock is wrong.
    #[error("server {id:?} starts at {started_ms}, far ahead")]
    StartsInFuture {
        /// The id of the server.
        id: String,
        /// Its start in Unix milliseconds.
        started_ms: f64,
    },
}

/// What is believed of one server after a list.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndpointChange {
    /// The id of the server.
    pub id: String,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind; 0 where that is unknown.
    pub kind: ServerKind,
    /// Its state.
    pub state: EndpointState,
    /// Time since its last start, if that is known.
    pub age: Option<Duration>,
}

/// What a list changes.
#[derive(Debug, Default)]
pub(crate) struct ListUpdate {
    /// What is believed now of each server that the list names or leaves out.
    pub changes: Vec<EndpointChange>,
    /// What was not used.
    pub faults: Vec<ListFault>,
    /// Only a full list can tell the rest.
    pub needs_full_list: bool,
}

impl ListUpdate {
    fn doubt(&mut self, fault: ListFault) {
        self.faults.push(fault);
        self.needs_full_list = true;
    }
}

/// When a list came.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedAt {
    /// Time since the planner's start.
    pub now: Duration,
    /// The machines' clock, in Unix milliseconds.
    pub unix_ms: f64,
}

/// How old a server was at one moment. The same start has the same age on every list, so that setting a clock does not
/// look like a restart.
#[derive(Debug, Clone, Copy)]
struct Age {
    at: Duration,
    age: Option<Duration>,
}

impl Age {
    fn of(started_ms: f64, received: ReceivedAt) -> Self {
        let milliseconds = (received.unix_ms - started_ms).max(0.0);
        let age = || Duration::try_from_secs_f64(milliseconds / 1000.0).unwrap_or_default();
        Age { at: received.now, age: (started_ms > 0.0).then(age) }
    }

    fn now(&self, now: Duration) -> Option<Duration> {
        self.age.map(|age| age + now.saturating_sub(self.at))
    }
}

struct RegisteredServer {
    address: Option<SocketAddr>,
    zone: ZoneId,
    kind: ServerKind,
    state: EndpointState,
    started_ms: f64,
    age: Age,
}

/// A placement whose zone exists.
#[derive(Clone, Copy)]
struct ResolvedPlacement {
    address: Option<SocketAddr>,
    zone: ZoneId,
    started_ms: f64,
}

/// All listed servers.
pub(crate) struct ServerRegistry {
    zones: Vec<String>,
    /// In the order in which they were first listed.
    kinds: Vec<String>,
    version: Option<u64>,
    servers: BTreeMap<String, RegisteredServer>,
}

impl ServerRegistry {
    /// Kinds that are told apart; all beyond them count as the last one.
    const MAX_KINDS: usize = 64;
    /// A start that lies further ahead than this is reported.
    const MAX_START_AHEAD_MS: f64 = 3_600_000.0;

    /// An empty registry for these zones.
    pub(crate) fn new(zones: Vec<String>) -> Self {
        ServerRegistry { zones, kinds: vec![], version: None, servers: BTreeMap::new() }
    }

    /// The version of the last list; unset before the first, which may be number 0.
    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    /// The zone of this name, if the settings have it.
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|zone| zone == name).map(|position| position as ZoneId)
    }

    /// Where the server listens, if that is known.
    pub(crate) fn address(&self, id: &str) -> Option<SocketAddr> {
        self.servers.get(id)?.address
    }

    /// How many servers are listed.
    pub(crate) fn listed_count(&self) -> usize {
        self.servers.len()
    }

    /// How many of them are ready.
    pub(crate) fn ready_count(&self) -> usize {
        self.servers.values().filter(|server| server.state == EndpointState::Ready).count()
    }

    /// Takes a list that was requested since the version `since`, or in full.
    ///
    /// Each entry counts by itself, and a drain or a removal counts whatever else is wrong with it.
    pub(crate) fn apply(
        &mut self,
        received: ReceivedAt,
        since: Option<u64>,
        list: &EndpointList,
    ) -> ListUpdate {
        let mut update = ListUpdate::default();
        // Changes since something else than what is known: discovery has started anew, or confuses its watchers.
        let went_back = !list.full && since.is_none_or(|since| list.version < since);
        if went_back {
            update.doubt(ListFault::VersionWentBack { version: list.version, since });
        }
        let named = self.apply_entries(received, went_back, list, &mut update);
        if list.full {
            self.remove_unnamed(&named, &mut update);
        }
        if !went_back {
            self.version = Some(list.version);
        }
        update
    }

    /// Gives the ids that the list names.
    fn apply_entries(
        &mut self,
        received: ReceivedAt,
        went_back: bool,
        list: &EndpointList,
        update: &mut ListUpdate,
    ) -> BTreeSet<String> {
        let mut named = BTreeSet::new();
        for entry in &list.entries {
            let entry = match entry {
                Ok(entry) => entry,
                Err(invalid) => {
                    // Its server stays as it is until the next full list.
                    named.extend(invalid.id.clone());
                    let (id, error) = (invalid.id.clone(), invalid.error.clone());
                    update.doubt(ListFault::InvalidEntry { id, error });
                    continue;
                }
            };
            let is_duplicate = !named.insert(entry.id.clone());
            if is_duplicate {
                update.doubt(ListFault::Duplicate(entry.id.clone()));
            }
            // Of two entries, only the one that takes requests away is safe to follow.
            if entry.state == EndpointState::Ready && (is_duplicate || went_back) {
                continue;
            }
            self.apply_entry(received, entry, update);
        }
        named
    }

    fn remove_unnamed(&mut self, named: &BTreeSet<String>, update: &mut ListUpdate) {
        let unnamed: Vec<String> = self.servers.keys().filter(|id| !named.contains(*id)).cloned().collect();
        for id in unnamed {
            self.remove(&id, update);
        }
    }

    fn remove(&mut self, id: &str, update: &mut ListUpdate) {
        if let Some(server) = self.servers.remove(id) {
            update.changes.push(EndpointChange {
                id: id.into(),
                zone: server.zone,
                kind: server.kind,
                state: EndpointState::Removed,
                age: None,
            });
        }
    }

    fn apply_entry(&mut self, received: ReceivedAt, entry: &EndpointEntry, update: &mut ListUpdate) {
        if entry.state == EndpointState::Removed {
            return self.remove(&entry.id, update);
        }
        let listed_kind = entry.kind.as_deref().map(|name| self.kind(name));
        let known = self.servers.get(&entry.id);
        let kind = listed_kind.or(known.map(|server| server.kind)).unwrap_or_default();
        let Some(placement) = self.placement(entry, update) else { return };
        if placement.started_ms > received.unix_ms + Self::MAX_START_AHEAD_MS {
            let (id, started_ms) = (entry.id.clone(), placement.started_ms);
            update.faults.push(ListFault::StartsInFuture { id, started_ms });
        }
        let known = self.servers.get(&entry.id);
        let same_start = known.filter(|server| server.started_ms == placement.started_ms);
        let age = same_start.map_or_else(|| Age::of(placement.started_ms, received), |server| server.age);
        let address = placement.address.or(known.and_then(|server| server.address));
        let ResolvedPlacement { zone, started_ms, .. } = placement;
        let server = RegisteredServer { address, zone, kind, state: entry.state, started_ms, age };
        self.servers.insert(entry.id.clone(), server);
        update.changes.push(EndpointChange {
            id: entry.id.clone(),
            zone,
            kind,
            state: entry.state,
            age: age.now(received.now),
        });
    }

    /// Where the entry's server is. A server that drains stays where it was known to be.
    fn placement(&self, entry: &EndpointEntry, update: &mut ListUpdate) -> Option<ResolvedPlacement> {
        match self.resolve(entry) {
            Ok(placement) => Some(placement),
            Err(fault) => {
                update.doubt(fault);
                let known = self.servers.get(&entry.id).filter(|_| entry.state == EndpointState::Draining)?;
                let RegisteredServer { address, zone, started_ms, .. } = *known;
                Some(ResolvedPlacement { address, zone, started_ms })
            }
        }
    }

    fn resolve(&self, entry: &EndpointEntry) -> Result<ResolvedPlacement, ListFault> {
        let Placement { address, zone, started_ms } = match &entry.placement {
            Ok(placement) => placement,
            Err(error) => {
                return Err(ListFault::InvalidPlacement { id: entry.id.clone(), error: error.clone() });
            }
        };
        match self.zone(zone) {
            Some(zone) => Ok(ResolvedPlacement { address: *address, zone, started_ms: *started_ms }),
            None => Err(ListFault::UnknownZone { id: entry.id.clone(), zone: zone.clone() }),
        }
    }

    /// The number of a kind, from 1.
    fn kind(&mut self, name: &str) -> ServerKind {
        let known = self.kinds.iter().position(|kind| kind == name);
        let position = known.unwrap_or_else(|| {
            if self.kinds.len() < Self::MAX_KINDS {
                self.kinds.push(name.into());
            }
            self.kinds.len() - 1
        });
        position as ServerKind + 1
    }
}
