//! The endpoint list as the controller believes it.

use grebespool::host::{self, ServerIndex, ZoneId};
use grebespool_wire::{EndpointEntry, EndpointList, EndpointState, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why an endpoint list is rejected. The one before it stays in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// It is not newer than the one in force.
    #[error("list {version} is no newer than list {known}, which is known")]
    NotNewer {
        /// Its version.
        version: u64,
        /// The version in force.
        known: u64,
    },
    /// It changes a version that is not in force: changes were missed.
    #[error("list {version} changes list {base}, but list {known} is known")]
    MissedChanges {
        /// Its version.
        version: u64,
        /// The version that it changes.
        base: u64,
        /// The version in force.
        known: u64,
    },
    /// It has a server twice.
    #[error("list {version} names server {number} at {addr} twice")]
    DuplicateServer {
        /// Its version.
        version: u64,
        /// The server's address.
        addr: SocketAddr,
        /// The server's number.
        number: u32,
    },
    /// It has two servers at one address.
    #[error("list {version} has two servers at {addr}")]
    DuplicateAddress {
        /// Its version.
        version: u64,
        /// The address.
        addr: SocketAddr,
    },
    /// It has a server in a zone that the settings do not have.
    #[error("list {version} names zone {zone:?} at {addr}, which is not among the stated ones")]
    UnknownZone {
        /// Its version.
        version: u64,
        /// The zone's name.
        zone: String,
        /// The server's address.
        addr: SocketAddr,
    },
    /// More servers would be known than may.
    #[error("list {version} would make {count} servers known; {max} are allowed")]
    TooManyServers {
        /// Its version.
        version: u64,
        /// Servers with this list.
        count: usize,
        /// Most servers allowed.
        max: usize,
    },
}

/// The age of a server, as it was first told.
#[derive(Debug, Clone, Copy)]
struct ToldAge {
    told_at: Duration,
    /// `None` where the start is long past.
    age: Option<Duration>,
}

impl ToldAge {
    fn at(&self, now: Duration) -> Option<Duration> {
        self.age.map(|age| age + (now - self.told_at))
    }
}

struct KnownEndpoint {
    zone: ZoneId,
    state: EndpointState,
    started_ms: u64,
    told_age: ToldAge,
}

/// A server's state in the list in force.
#[derive(Debug, Clone, Copy)]
pub struct EndpointSummary {
    /// Its zone.
    pub zone: ZoneId,
    /// Its state.
    pub state: host::EndpointState,
    /// Its start on the controller's clock, where that is known and lies after the controller's own start.
    pub started_at: Option<Duration>,
}

/// What the check of a list found out.
struct CheckedList {
    /// The zone of each entry.
    zones: Vec<ZoneId>,
    /// All servers of the entries.
    named: BTreeSet<ServerId>,
    /// The number of the server at each address, of the entries that are not removed.
    number_at: BTreeMap<SocketAddr, u32>,
}

impl CheckedList {
    /// Whether the list removes a server that it does not name: as a whole list, or because another server has come to
    /// its address.
    fn removes(&self, server: &ServerId, is_whole: bool) -> bool {
        let is_replaced = self.number_at.get(&server.addr).is_some_and(|number| *number != server.number);
        !self.named.contains(server) && (is_whole || is_replaced)
    }
}

/// The endpoint list in force. Each message is accepted whole or rejected whole.
pub struct EndpointRegistry {
    zones: Vec<String>,
    max_servers: usize,
    version: u64,
    known: BTreeMap<ServerId, KnownEndpoint>,
}

impl EndpointRegistry {
    /// No list yet. `zones`: the names of the zones, in the order of their ids.
    pub fn new(zones: Vec<String>, max_servers: usize) -> Self {
        EndpointRegistry { zones, max_servers, version: 0, known: BTreeMap::new() }
    }

    /// The version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The list in force, with starts by its own clock.
    pub fn entries(&self) -> Vec<EndpointEntry> {
        let entry = |(server, known): (&ServerId, &KnownEndpoint)| EndpointEntry {
            server: *server,
            zone: self.zones[usize::from(known.zone)].clone(),
            state: known.state,
            started_ms: known.started_ms,
        };
        self.known.iter().map(entry).collect()
    }

    /// The id of a zone.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|zone| zone == name).map(|place| place as ZoneId)
    }

    /// The names of the zones, in the order of their ids.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The zone of a server that the list has.
    pub fn zone_of(&self, server: ServerId) -> Option<ZoneId> {
        self.known.get(&server).map(|known| known.zone)
    }

    /// All servers of the list.
    pub fn summaries(&self) -> impl Iterator<Item = EndpointSummary> {
        self.known.values().map(|known| EndpointSummary {
            zone: known.zone,
            state: policy_state(known.state),
            started_at: known.told_age.age.and_then(|age| known.told_age.told_at.checked_sub(age)),
        })
    }

    /// Whether the list has the server, be it ready or draining.
    pub fn contains(&self, server: ServerId) -> bool {
        self.known.contains_key(&server)
    }

    /// Accepts a list, and calls `changed` for each server that it changes: first those that it removes without naming
    /// them, in the order of their ids, then its entries in their order. The server index of the endpoints is unset.
    ///
    /// # Errors
    ///
    /// Why it is rejected: nothing changes then.
    pub fn accept(
        &mut self,
        now: Duration,
        list: &EndpointList,
        mut changed: impl FnMut(ServerId, host::Endpoint),
    ) -> Result<(), EndpointListError> {
        let checked = self.check(list)?;
        self.version = list.version;
        self.remove_unnamed(&checked, list.base_version == 0, &mut changed);
        for (entry, zone) in list.entries.iter().zip(checked.zones) {
            let told_age = self.told_age(now, list.now_ms, entry);
            changed(entry.server, endpoint(zone, entry.state, told_age.at(now)));
            let started_ms = entry.started_ms;
            let known = KnownEndpoint { zone, state: entry.state, started_ms, told_age };
            self.known.insert(entry.server, known);
        }
        self.known.retain(|_, known| known.state != EndpointState::Removed);
        Ok(())
    }

    fn check(&self, list: &EndpointList) -> Result<CheckedList, EndpointListError> {
        self.check_version(list)?;
        let version = list.version;
        let mut checked = CheckedList { zones: vec![], named: BTreeSet::new(), number_at: BTreeMap::new() };
        for entry in &list.entries {
            let ServerId { addr, number } = entry.server;
            if !checked.named.insert(entry.server) {
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
        let stays = |server: &&ServerId| list.base_version != 0 && !checked.named.contains(server);
        let count = self.known.keys().filter(stays).count() + checked.named.len();
        if count > self.max_servers {
            let (version, max) = (list.version, self.max_servers);
            return Err(EndpointListError::TooManyServers { version, count, max });
        }
        Ok(())
    }

    fn remove_unnamed(
        &mut self,
        checked: &CheckedList,
        is_whole: bool,
        changed: &mut impl FnMut(ServerId, host::Endpoint),
    ) {
        self.known.retain(|server, known| {
            let removed = checked.removes(server, is_whole);
            if removed {
                changed(*server, endpoint(known.zone, EndpointState::Removed, None));
            }
            !removed
        });
    }

    /// The age of an entry. The same start has the same age on every list: a list's clock that is read again a little
    /// later or earlier must not look like a restart.
    fn told_age(&self, now: Duration, list_now_ms: u64, entry: &EndpointEntry) -> ToldAge {
        match self.known.get(&entry.server) {
            Some(known) if known.started_ms == entry.started_ms => known.told_age,
            _ => {
                let age_ms = list_now_ms.saturating_sub(entry.started_ms);
                let age = (entry.started_ms > 0).then(|| Duration::from_millis(age_ms));
                ToldAge { told_at: now, age }
            }
        }
    }
}

/// The server's index is filled in by whoever knows it.
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
