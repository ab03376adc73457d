//! The endpoint list in force, and the checks that a received list has to pass.

use grebespool::host::{self, ServerIndex, ZoneId};
use grebespool_wire::{EndpointEntry, EndpointList, EndpointState, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The reason to reject an endpoint list. The previous list stays in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The list is not newer than the one in force.
    #[error("endpoint list {version} is not newer than list {known}, which is in force")]
    NotNewer {
        /// The version of the rejected list.
        version: u64,
        /// The version in force.
        known: u64,
    },
    /// The list is incremental and based on a version that is not in force: changes were missed.
    #[error("endpoint list {version} changes list {base}, but list {known} is in force")]
    MissedChanges {
        /// The version of the rejected list.
        version: u64,
        /// The version that the rejected list changes.
        base: u64,
        /// The version in force.
        known: u64,
    },
    /// The list names a server twice.
    #[error("endpoint list {version} names server {number} at {addr} twice")]
    DuplicateServer {
        /// The version of the rejected list.
        version: u64,
        /// The server's address.
        addr: SocketAddr,
        /// The server's number.
        number: u32,
    },
    /// The list has two servers at one address.
    #[error("endpoint list {version} has two servers at {addr}; expected one")]
    DuplicateAddress {
        /// The version of the rejected list.
        version: u64,
        /// The address of both servers.
        addr: SocketAddr,
    },
    /// The list has a server in a zone that the settings do not define.
    #[error("endpoint list {version} has server {addr} in zone {zone:?}; expected a zone of the settings")]
    UnknownZone {
        /// The version of the rejected list.
        version: u64,
        /// The zone's name.
        zone: String,
        /// The server's address.
        addr: SocketAddr,
    },
    /// The list would exceed the limit of servers.
    #[error("endpoint list {version} leads to {count} servers; expected at most {max}")]
    TooManyServers {
        /// The version of the rejected list.
        version: u64,
        /// Number of servers if the list were accepted.
        count: usize,
        /// Maximum number of servers.
        max: usize,
    },
}

/// The age of a server when its current start was first listed.
#[derive(Debug, Clone, Copy)]
struct InitialAge {
    listed_at: Duration,
    /// `None` if the list states no start, because the start is long past.
    age: Option<Duration>,
}

impl InitialAge {
    /// Returns the age at `now`.
    fn at(&self, now: Duration) -> Option<Duration> {
        self.age.map(|age| age + (now - self.listed_at))
    }
}

struct KnownEndpoint {
    zone: ZoneId,
    state: EndpointState,
    started_ms: u64,
    initial_age: InitialAge,
}

/// A server's state in the list in force.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSummary {
    /// The server's zone.
    pub zone: ZoneId,
    /// The server's state.
    pub state: host::EndpointState,
    /// The server's start on the controller's clock; `None` if unknown or before the controller's own start.
    pub started_at: Option<Duration>,
}

/// A list that has passed the checks, with the lookups that applying the list needs.
struct CheckedList {
    /// The zone of each entry.
    zones: Vec<ZoneId>,
    /// The servers of all entries, including removed ones.
    listed: BTreeSet<ServerId>,
    /// The number of the server at each address, for the entries that are not removed.
    number_at: BTreeMap<SocketAddr, u32>,
}

impl CheckedList {
    /// Returns true if the list removes this server without an entry for it: a complete list removes every server that
    /// it does not list, and any list removes a server whose address now belongs to another server.
    fn removes(&self, server: &ServerId, is_complete: bool) -> bool {
        let is_replaced = self.number_at.get(&server.addr).is_some_and(|number| *number != server.number);
        !self.listed.contains(server) && (is_complete || is_replaced)
    }
}

/// The endpoint list in force. A received list is accepted or rejected as a whole.
pub struct EndpointRegistry {
    zones: Vec<String>,
    max_servers: usize,
    version: u64,
    known: BTreeMap<ServerId, KnownEndpoint>,
}

impl EndpointRegistry {
    /// Creates a registry without a list. `zones` are the names of the zones, in the order of their ids.
    pub fn new(zones: Vec<String>, max_servers: usize) -> Self {
        EndpointRegistry { zones, max_servers, version: 0, known: BTreeMap::new() }
    }

    /// Returns the version of the list in force; 0 before the first list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the entries of the list in force, with start times by the list's own clock.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        let entry = |(server, known): (&ServerId, &KnownEndpoint)| EndpointEntry {
            server: *server,
            zone: self.zones[usize::from(known.zone)].clone(),
            state: known.state,
            started_ms: known.started_ms,
        };
        self.known.iter().map(entry).collect()
    }

    /// Returns the id of the zone with this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|zone| zone == name).map(|position| position as ZoneId)
    }

    /// Returns the names of the zones, in the order of their ids.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the zone of a server; `None` if the server is not listed.
    pub fn zone_of(&self, server: ServerId) -> Option<ZoneId> {
        self.known.get(&server).map(|known| known.zone)
    }

    /// Returns the summaries of all listed servers, in the order of their ids.
    pub fn summaries(&self) -> impl Iterator<Item = EndpointSummary> {
        self.known.values().map(|known| EndpointSummary {
            zone: known.zone,
            state: policy_state(known.state),
            started_at: known.initial_age.age.and_then(|age| known.initial_age.listed_at.checked_sub(age)),
        })
    }

    /// Returns true if the server is listed, whether ready or draining.
    pub fn contains(&self, server: ServerId) -> bool {
        self.known.contains_key(&server)
    }

    /// Accepts a list, and calls `changed` for each changed server: first for the servers that the list removes without
    /// an entry, in the order of their ids, then for the entries in their order. The server index of these endpoints is
    /// not set.
    ///
    /// # Errors
    ///
    /// Returns the reason if the list is rejected; the registry is then unchanged.
    pub fn accept(
        &mut self,
        now: Duration,
        list: &EndpointList,
        mut changed: impl FnMut(ServerId, host::Endpoint),
    ) -> Result<(), EndpointListError> {
        let checked = self.check(list)?;
        self.version = list.version;
        self.remove_unlisted(&checked, list.base_version == 0, &mut changed);
        for (entry, zone) in list.entries.iter().zip(checked.zones) {
            let initial_age = self.initial_age(now, list.now_ms, entry);
            changed(entry.server, endpoint(zone, entry.state, initial_age.at(now)));
            let started_ms = entry.started_ms;
            let known = KnownEndpoint { zone, state: entry.state, started_ms, initial_age };
            self.known.insert(entry.server, known);
        }
        self.known.retain(|_, known| known.state != EndpointState::Removed);
        Ok(())
    }

    fn check(&self, list: &EndpointList) -> Result<CheckedList, EndpointListError> {
        self.check_version(list)?;
        let version = list.version;
        let mut checked = CheckedList { zones: vec![], listed: BTreeSet::new(), number_at: BTreeMap::new() };
        for entry in &list.entries {
            let ServerId { addr, number } = entry.server;
            if !checked.listed.insert(entry.server) {
                return Err(EndpointListError::DuplicateServer { version, addr, number });
            }
            let Some(zone) = self.zone(&entry.zone) else {
                return Err(EndpointListError::UnknownZone { version, zone: entry.zone.clone(), addr });
            };
            let is_present = entry.state != EndpointState::Removed;
            if is_present && checked.number_at.insert(addr, number).is_some() {
                return Err(EndpointListError::DuplicateAddress { version, addr });
            }
            checked.zones.push(zone);
        }
        self.check_count(list, &checked)?;
        Ok(checked)
    }

    fn check_version(&self, list: &EndpointList) -> Result<(), EndpointListError> {
        let (version, base, known) = (list.version, list.base_version, self.version);
        if version <= known {
            return Err(EndpointListError::NotNewer { version, known });
        }
        if base != 0 && base != known {
            return Err(EndpointListError::MissedChanges { version, base, known });
        }
        Ok(())
    }

    fn check_count(&self, list: &EndpointList, checked: &CheckedList) -> Result<(), EndpointListError> {
        let remains = |server: &&ServerId| list.base_version != 0 && !checked.listed.contains(server);
        let count = self.known.keys().filter(remains).count() + checked.listed.len();
        if count > self.max_servers {
            let (version, max) = (list.version, self.max_servers);
            return Err(EndpointListError::TooManyServers { version, count, max });
        }
        Ok(())
    }

    fn remove_unlisted(
        &mut self,
        checked: &CheckedList,
        is_complete: bool,
        changed: &mut impl FnMut(ServerId, host::Endpoint),
    ) {
        self.known.retain(|server, known| {
            let removed = checked.removes(server, is_complete);
            if removed {
                changed(*server, endpoint(known.zone, EndpointState::Removed, None));
            }
            !removed
        });
    }

    /// Returns the initial age of an entry. It is computed once for each start of a server: computing the age again from
    /// a later list, whose clock may deviate a little, would look like a restart.
    fn initial_age(&self, now: Duration, list_now_ms: u64, entry: &EndpointEntry) -> InitialAge {
        match self.known.get(&entry.server) {
            Some(known) if known.started_ms == entry.started_ms => known.initial_age,
            _ => {
                let age_ms = list_now_ms.saturating_sub(entry.started_ms);
                let age = (entry.started_ms > 0).then(|| Duration::from_millis(age_ms));
                InitialAge { listed_at: now, age }
            }
        }
    }
}

/// Returns an endpoint without its server index, which the caller of [`EndpointRegistry::accept`] fills in.
fn endpoint(zone: ZoneId, state: EndpointState, age: Option<Duration>) -> host::Endpoint {
    const UNSET: ServerIndex = 0;
    host::Endpoint { server: UNSET, zone, kind: 0, state: policy_state(state), age }
}

fn policy_state(state: EndpointState) -> host::EndpointState {
    match state {
        EndpointState::Removed => host::EndpointState::Removed,
        EndpointState::Ready => host::EndpointState::Ready,
        EndpointState::Draining => host::EndpointState::Draining,
    }
}
