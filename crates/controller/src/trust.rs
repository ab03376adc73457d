//! What is believed of lists, sums and reports.

use grebespool::host::{Endpoint, LoadMetric, ServerIndex, ZoneId};
use grebespool_wire::{Entry, Phase, Report, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Why a list is refused. The one before it stands.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Untrusted {
    #[error("list {version} is no newer than list {known}, which is known")]
    Older { version: u64, known: u64 },
    #[error("list {version} changes list {base}, but list {known} is known")]
    Gap { version: u64, base: u64, known: u64 },
    #[error("list {version} names server {number} at {addr} twice")]
    Twice { version: u64, addr: SocketAddr, number: u32 },
    #[error("list {version} has two servers at {addr}")]
    Address { version: u64, addr: SocketAddr },
    #[error("list {version} names zone {zone:?} at {addr}, which is not among the stated ones")]
    Zone { version: u64, zone: String, addr: SocketAddr },
    #[error("list {version} would make {count} servers known; {most} are allowed")]
    Many { version: u64, count: usize, most: usize },
}

struct Known {
    zone: ZoneId,
    phase: Phase,
    started_ms: u64,
    /// The same instant on the planner's clock, which may lie before its start.
    age_at: (Duration, Option<Duration>),
}

/// The list as it is believed. Each message is taken whole or refused whole.
pub struct ListSense {
    zones: Vec<String>,
    most: usize,
    version: u64,
    known: BTreeMap<ServerId, Known>,
}

impl ListSense {
    pub fn new(zones: Vec<String>, most: usize) -> Self {
        ListSense { zones, most, version: 0, known: BTreeMap::new() }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// The list as it is believed, with starts by its own clock.
    pub fn entries(&self) -> Vec<Entry> {
        let listed = self.known.iter().filter(|(_, k)| k.phase != Phase::Gone);
        let entry = |(id, k): (&ServerId, &Known)| Entry {
            server: *id,
            zone: self.zones[usize::from(k.zone)].clone(),
            phase: k.phase,
            started_ms: k.started_ms,
        };
        listed.map(entry).collect()
    }

    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|z| z == name).map(|z| z as ZoneId)
    }

    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    pub fn zone_of(&self, server: ServerId) -> Option<ZoneId> {
        self.known.get(&server).map(|k| k.zone)
    }

    /// Each server's zone and phase, and its start on the planner's clock where that is known and lies after its own.
    pub fn standing(
        &self,
    ) -> impl Iterator<Item = (ZoneId, grebespool::host::EndpointState, Option<Duration>)> {
        self.known.values().map(|k| {
            let started = k.age_at.1.and_then(|age| k.age_at.0.checked_sub(age));
            (k.zone, phase(k.phase), started)
        })
    }

    /// Whether the list has the server, be it ready or draining.
    pub fn lists(&self, server: ServerId) -> bool {
        self.known.get(&server).is_some_and(|k| k.phase != Phase::Gone)
    }

    /// Takes a list that was sent at `now_ms` by the list's clock. `base` is the version that it changes, 0
    /// for a whole list. Calls `put` for each server that it changes, those it leaves out as gone.
    ///
    /// # Errors
    ///
    /// Why it is refused: nothing of it is taken then.
    pub fn take(
        &mut self,
        now: Duration,
        (version, base, now_ms): (u64, u64, u64),
        entries: &[Entry],
        mut put: impl FnMut(ServerId, Endpoint),
    ) -> Result<(), Untrusted> {
        let known = self.version;
        if version <= known {
            return Err(Untrusted::Older { version, known });
        }
        if base != 0 && base != known {
            return Err(Untrusted::Gap { version, base, known });
        }
        let (mut named, mut placed) = (BTreeSet::new(), BTreeMap::new());
        let mut zones = Vec::with_capacity(entries.len());
        for e in entries {
            let ServerId { addr, number } = e.server;
            if !named.insert(e.server) {
                return Err(Untrusted::Twice { version, addr, number });
            }
            let Some(zone) = self.zone(&e.zone) else {
                return Err(Untrusted::Zone { version, zone: e.zone.clone(), addr });
            };
            if e.phase != Phase::Gone && placed.insert(addr, number).is_some() {
                return Err(Untrusted::Address { version, addr });
            }
            zones.push(zone);
        }
        let stay = self.known.keys().filter(|id| base != 0 && !named.contains(id)).count();
        if stay + named.len() > self.most {
            return Err(Untrusted::Many { version, count: stay + named.len(), most: self.most });
        }
        self.version = version;
        // Where another server has come to an address, the one that was there is gone, said or not.
        let over = |id: &ServerId| placed.get(&id.addr).is_some_and(|number| *number != id.number);
        let left_out = |id: &ServerId| !named.contains(id) && (base == 0 || over(id));
        for (id, known) in self.known.iter().filter(|(id, k)| k.phase != Phase::Gone && left_out(id)) {
            put(*id, Endpoint { server: 0, zone: known.zone, kind: 0, state: phase(Phase::Gone), age: None });
        }
        self.known.retain(|id, _| !left_out(id));
        for (e, zone) in entries.iter().zip(zones) {
            // The same start has the same age on every list: a list's clock that is read again a little
            // later or earlier must not look like a restart.
            let same = self.known.get(&e.server).filter(|k| k.started_ms == e.started_ms).map(|k| k.age_at);
            let told = (e.started_ms > 0).then(|| Duration::from_millis(now_ms.saturating_sub(e.started_ms)));
            let age_at = same.unwrap_or((now, told));
            let age = age_at.1.map(|age| age + (now - age_at.0));
            put(e.server, Endpoint { server: 0, zone, kind: 0, state: phase(e.phase), age });
            let known = Known { zone, phase: e.phase, started_ms: e.started_ms, age_at };
            self.known.insert(e.server, known);
        }
        self.known.retain(|_, k| k.phase != Phase::Gone);
        Ok(())
    }
}

fn phase(phase: Phase) -> grebespool::host::EndpointState {
    match phase {
        Phase::Gone => grebespool::host::EndpointState::Removed,
        Phase::Ready => grebespool::host::EndpointState::Ready,
        Phase::Draining => grebespool::host::EndpointState::Draining,
    }
}

/// Which reports are news. Answers overtake each other, so an older report comes after a newer one; and what
/// comes late from a server that was restarted tells of its former life.
#[derive(Default)]
pub struct ReportSense {
    newest: BTreeMap<ServerIndex, (u64, u32)>,
}

impl ReportSense {
    /// The most that a figure may be: a share, and all others.
    const MOST: (f32, f32) = (2.0, 1e7);
    /// The most tries that one line of sums may tell of.
    pub const MOST_TRIES: u32 = 1 << 20;

    /// The figures of a report that is no older than what is known, with those that cannot be as no number.
    pub fn figures(
        &mut self,
        server: ServerIndex,
        report: &Report,
        fields: &[LoadMetric],
    ) -> Option<Vec<f32>> {
        let this = (report.start, report.number);
        let newest = self.newest.entry(server).or_insert(this);
        if this < *newest {
            return None;
        }
        *newest = this;
        let most =
            |field: &LoadMetric| if *field == LoadMetric::Utilization { Self::MOST.0 } else { Self::MOST.1 };
        let told = fields.iter().zip(&report.figures);
        Some(told.map(|(f, v)| if (0.0..=most(f)).contains(v) { *v } else { f32::NAN }).collect())
    }

    pub fn forget(&mut self, server: ServerIndex) {
        self.newest.remove(&server);
    }
}
