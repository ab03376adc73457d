//! The servers that discovery has listed, by id. An address is only used to connect to a server, never to identify it.

use crate::wire::{EndpointEntry, EndpointList, EntryError, Placement};
use grebespool::host::{EndpointState, ServerKind, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// A fault of a list. A part that cannot be used because of its fault is ignored; an entry with
/// [`ListFault::StartsInFuture`] is applied.
#[derive(Debug, Clone, PartialEq, Error)]
pub(crate) enum ListFault {
    /// The version of a list of changes is lower than the version since which they were requested, or no such version
    /// was given: discovery has restarted.
    #[error("expected a list that follows version {since:?}, found changes up to version {version}")]
    VersionWentBack {
        /// The version of the list.
        version: u64,
        /// The version since which changes were requested.
        since: Option<u64>,
    },
    /// An entry cannot be used at all.
    #[error("server {id:?}: {error}")]
    InvalidEntry {
        /// The id of the server, if the entry has one.
        id: Option<String>,
        /// The reason why the entry cannot be used.
        error: EntryError,
    },
    /// The zone or the start of a server cannot be read.
    #[error("server {id:?}: {error}")]
    InvalidPlacement {
        /// The id of the server.
        id: String,
        /// The reason why the placement cannot be used.
        error: EntryError,
    },
    /// A new server does not fit into the memory of the process.
    #[error("server {id:?}: expected at most {limit} listed servers")]
    TooManyServers {
        /// The id of the server.
        id: String,
        /// The largest accepted number of servers.
        limit: usize,
    },
    /// A server is in a zone that is not in the settings.
    #[error("server {id:?}: zone {zone:?} is not in the settings")]
    UnknownZone {
        /// The id of the server.
        id: String,
        /// The name of the zone.
        zone: String,
    },
    /// One list contains a server twice.
    #[error("server {0:?} is listed twice")]
    Duplicate(String),
    /// The start of a server lies in the future: the clock of its machine or of this one is wrong.
    #[error("server {id:?}: started_ms {started_ms} is more than one hour ahead of the planner's clock")]
    StartsInFuture {
        /// The id of the server.
        id: String,
        /// The start of the server in Unix milliseconds.
        started_ms: f64,
    },
}

/// The state of one server after a list was applied.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct EndpointChange {
    /// The id of the server.
    pub id: String,
    /// The zone of the server.
    pub zone: ZoneId,
    /// The kind of the server; 0 if the kind is unknown.
    pub kind: ServerKind,
    /// The state of the server.
    pub state: EndpointState,
    /// The time since the last start of the server, if the start is known.
    pub age: Option<Duration>,
}

/// The result of applying a list.
#[derive(Debug, Default)]
pub(crate) struct ListUpdate {
    /// The state of each server that the list names, and of each one that a full list leaves out.
    pub changes: Vec<EndpointChange>,
    /// The faults that were found in the list.
    pub faults: Vec<ListFault>,
    /// True if the state of some server is uncertain until a full list is received.
    pub needs_full_list: bool,
}

impl ListUpdate {
    /// Adds a fault that leaves the state of some server uncertain until a full list is received.
    fn require_full_list(&mut self, fault: ListFault) {
        self.faults.push(fault);
        self.needs_full_list = true;
    }
}

/// The time at which a list was received, by both clocks.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedAt {
    /// The time since the planner's start.
    pub now: Duration,
    /// The wall clock of the machine, in Unix milliseconds.
    pub unix_ms: f64,
}

/// The age of a server at one moment, advanced by the planner's clock. The age is computed once per start of the
/// server, so that setting the wall clock does not look like a restart.
#[derive(Debug, Clone, Copy)]
struct Age {
    recorded_at: Duration,
    age: Option<Duration>,
}

impl Age {
    fn from_start(started_ms: f64, received: ReceivedAt) -> Self {
        let milliseconds = (received.unix_ms - started_ms).max(0.0);
        let age = || Duration::try_from_secs_f64(milliseconds / 1000.0).unwrap_or_default();
        Age { recorded_at: received.now, age: (started_ms > 0.0).then(age) }
    }

    fn at(&self, now: Duration) -> Option<Duration> {
        self.age.map(|age| age + now.saturating_sub(self.recorded_at))
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

/// A placement whose zone is in the settings.
#[derive(Clone, Copy)]
struct ResolvedPlacement {
    address: Option<SocketAddr>,
    zone: ZoneId,
    started_ms: f64,
}

/// All listed servers.
pub(crate) struct ServerRegistry {
    zones: Vec<String>,
    /// The names of the kinds, in the order in which they were first listed. A kind's number is its position plus 1.
    kinds: Vec<String>,
    version: Option<u64>,
    servers: BTreeMap<String, RegisteredServer>,
    max_servers: usize,
}

impl ServerRegistry {
    /// The number of kinds that are distinguished. All further kinds count as the last one.
    const MAX_KINDS: usize = 64;
    /// The time in milliseconds by which a start may lie in the future before a fault is reported. The text of
    /// [`ListFault::StartsInFuture`] names this time.
    const MAX_START_AHEAD_MS: f64 = 3_600_000.0;

    /// Creates an empty registry for these zones and up to `max_servers` servers.
    pub(crate) fn new(zones: Vec<String>, max_servers: usize) -> Self {
        ServerRegistry { zones, kinds: vec![], version: None, servers: BTreeMap::new(), max_servers }
    }

    /// Returns the largest number of servers that may be listed.
    pub(crate) fn max_servers(&self) -> usize {
        self.max_servers
    }

    /// Returns the version of the last list. Unset before the first list, whose version may be 0.
    pub(crate) fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the zone with this name if the settings contain it.
    pub(crate) fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|zone| zone == name).map(|position| position as ZoneId)
    }

    /// Returns the address of the server if it is known.
    pub(crate) fn address(&self, id: &str) -> Option<SocketAddr> {
        self.servers.get(id)?.address
    }

    /// Returns the number of listed servers.
    pub(crate) fn listed_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the number of listed servers that are ready.
    pub(crate) fn ready_count(&self) -> usize {
        self.servers.values().filter(|server| server.state == EndpointState::Ready).count()
    }

    /// Applies a list that was requested with the changes since version `since`, or in full.
    ///
    /// A fault of one entry does not affect the others. A drain or a removal is applied even if the rest of its entry
    /// is invalid.
    pub(crate) fn apply(
        &mut self,
        received: ReceivedAt,
        since: Option<u64>,
        list: &EndpointList,
    ) -> ListUpdate {
        let mut update = ListUpdate::default();
        // A later request was answered first. The next answer starts from its version.
        let is_outdated = since.is_some_and(|since| since <= list.version)
            && self.version.is_some_and(|known| list.version < known);
        if is_outdated {
            return update;
        }
        // These are not changes since the known version: discovery has restarted or has answered another watcher's
        // request.
        let went_back = !list.full && since.is_none_or(|since| list.version < since);
        if went_back {
            update.require_full_list(ListFault::VersionWentBack { version: list.version, since });
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

    /// Applies the entries one by one. Returns the ids that the list names.
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
                    // The id counts as named, so that the server of an invalid entry keeps its state until the next
                    // full list.
                    named.extend(invalid.id.clone());
                    let (id, error) = (invalid.id.clone(), invalid.error.clone());
                    update.require_full_list(ListFault::InvalidEntry { id, error });
                    continue;
                }
            };
            let is_duplicate = !named.insert(entry.id.clone());
            if is_duplicate {
                update.require_full_list(ListFault::Duplicate(entry.id.clone()));
            }
            // If two entries of a server, or of two versions, contradict each other, only a drain or a removal is safe
            // to apply.
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
        if known.is_none() && self.servers.len() >= self.max_servers {
            let (id, limit) = (entry.id.clone(), self.max_servers);
            return update.faults.push(ListFault::TooManyServers { id, limit });
        }
        let same_start = known.filter(|server| server.started_ms == placement.started_ms);
        let age =
            same_start.map_or_else(|| Age::from_start(placement.started_ms, received), |server| server.age);
        let address = placement.address.or(known.and_then(|server| server.address));
        let ResolvedPlacement { zone, started_ms, .. } = placement;
        let server = RegisteredServer { address, zone, kind, state: entry.state, started_ms, age };
        self.servers.insert(entry.id.clone(), server);
        update.changes.push(EndpointChange {
            id: entry.id.clone(),
            zone,
            kind,
            state: entry.state,
            age: age.at(received.now),
        });
    }

    /// Returns the placement of the entry's server. If the placement of a draining server is invalid, its known
    /// placement is used.
    fn placement(&self, entry: &EndpointEntry, update: &mut ListUpdate) -> Option<ResolvedPlacement> {
        match self.resolve(entry) {
            Ok(placement) => Some(placement),
            Err(fault) => {
                update.require_full_list(fault);
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

    /// Returns the number of a kind, starting at 1. A new kind gets the next number.
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
