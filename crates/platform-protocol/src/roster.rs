//! The list of servers as it is believed, entry by entry.

use crate::message::Fields;
use grebespool::host::{Endpoint, EndpointState, ServerKind, ZoneId};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

struct Known {
    addr: Option<SocketAddr>,
    zone: ZoneId,
    kind: ServerKind,
    phase: EndpointState,
    started_ms: f64,
    /// The same instant on the planner's clock, which may lie before its start.
    age_at: (Duration, Option<Duration>),
}

/// The list by the servers' ids; addresses are only where to dial.
pub struct Roster {
    zones: Vec<String>,
    /// In the order in which they were first told.
    kinds: Vec<String>,
    version: Option<u64>,
    known: BTreeMap<String, Known>,
}

/// What a list changes: for each server that it names or leaves out, what is believed of it now.
#[derive(Default)]
pub struct Judged {
    pub entries: Vec<(String, Endpoint)>,
    /// What could not be believed.
    pub faults: Vec<String>,
    /// The whole list has to be asked for.
    pub ask_whole: bool,
}

struct Entry<'a> {
    id: &'a str,
    phase: EndpointState,
    kind: Option<&'a str>,
    placed: Result<(Option<SocketAddr>, ZoneId, f64), String>,
}

impl Roster {
    /// Milliseconds ahead of now from which on a start is worth a line: a clock is wrong somewhere.
    const MOST_KINDS: usize = 64;
    const AHEAD: f64 = 3_600_000.0;

    pub fn new(zones: Vec<String>) -> Self {
        Roster { zones, kinds: vec![], version: None, known: BTreeMap::new() }
    }

    /// Unset before any list came; the first may well be number 0.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|z| z == name).map(|z| z as ZoneId)
    }

    /// Against a list that names ever new kinds: past the most, all others are one.
    fn kind(&mut self, name: &str) -> ServerKind {
        let known = self.kinds.iter().position(|k| k == name);
        let at = known.unwrap_or_else(|| {
            if self.kinds.len() < Self::MOST_KINDS {
                self.kinds.push(name.into());
            }
            self.kinds.len() - 1
        });
        at as ServerKind + 1
    }

    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.known.get(id)?.addr
    }

    fn entry<'a>(&self, value: &'a Value) -> Result<Entry<'a>, String> {
        let Value::Object(of) = value else { return Err("an entry that is no object".into()) };
        let fields = Fields { kind: "an entry of the list", of };
        let id = fields.text("id").map_err(|s| s.to_string())?;
        if id.is_empty() || id.len() > 128 {
            return Err("an entry with an id that cannot be".into());
        }
        let phase = match fields.text("state") {
            Ok("SERVING") => EndpointState::Ready,
            Ok("DRAINING") => EndpointState::Draining,
            Ok("DELETED") => EndpointState::Removed,
            Ok(other) => return Err(format!("server {id:?} in state {other:?}")),
            Err(spoilt) => return Err(format!("server {id:?}: {spoilt}")),
        };
        let placed = || {
            let name = fields.text("zone").map_err(|s| s.to_string())?;
            let zone = self.zone(name).ok_or(format!("zone {name:?} is not stated"))?;
            let addr = fields.text("addr").ok().and_then(|a| a.parse().ok());
            let started = match of.get("started_ms") {
                None | Some(Value::Null) => 0.0,
                Some(_) => fields.figure("started_ms", f64::MAX).map_err(|s| s.to_string())?,
            };
            Ok((addr, zone, started))
        };
        // One without a kind, or of more kinds than there are machines, is still a server.
        let kind = fields.text("kind").ok().filter(|k| k.len() <= 128);
        Ok(Entry { id, phase, kind, placed: placed() })
    }

    /// Takes an answer of discovery, at `unix_ms` by the machines' clock. A drain or a removal holds whatever else is
    /// wrong about it, and a list that cannot be right in part is right in the rest. `asked` is the version that its
    /// changes were asked since.
    ///
    /// # Errors
    ///
    /// It is no list at all.
    pub fn take(
        &mut self,
        now: Duration,
        unix_ms: f64,
        asked: Option<u64>,
        list: &Value,
    ) -> Result<Judged, String> {
        let Value::Object(of) = list else { return Err("the list is no object".into()) };
        let fields = Fields { kind: "the list", of };
        let version = match of.get("version").and_then(Value::as_u64) {
            Some(version) => version,
            None => return Err("the list has no version that can be read".into()),
        };
        let full = fields.flag("full").map_err(|s| s.to_string())?;
        let Some(Value::Array(items)) = of.get("servers") else {
            return Err("the list has no servers".into());
        };
        let mut judged = Judged::default();
        // Changes since something else than what is known: the service began anew, or mixed up its watchers.
        let back = !full && asked.is_none_or(|asked| version < asked);
        judged.ask_whole = back;
        if back {
            judged.faults.push(format!("changes up to version {version}, asked since {asked:?}"));
        }
        let mut named = BTreeSet::new();
        for item in items {
            let entry = match self.entry(item) {
                Ok(entry) => entry,
                Err(fault) => {
                    // Its server stays as it is known, and the next whole list tells.
                    item.get("id").and_then(Value::as_str).map(|id| named.insert(id.to_string()));
                    judged.faults.push(fault);
                    judged.ask_whole = true;
                    continue;
                }
            };
            if !named.insert(entry.id.to_string()) {
                judged.faults.push(format!("server {:?} twice", entry.id));
                // Which word came last, only the whole list tells: gone and back, it would be missed for good.
                judged.ask_whole = true;
                // Of two words the one that takes calls away is the one that must not be lost.
                if entry.phase == EndpointState::Ready {
                    continue;
                }
            }
            if back && entry.phase == EndpointState::Ready {
                continue;
            }
            self.enter(now, unix_ms, &entry, &mut judged);
        }
        if full {
            let left_out: Vec<String> =
                self.known.keys().filter(|id| !named.contains(*id)).cloned().collect();
            for id in left_out {
                self.gone(id, &mut judged);
            }
        }
        self.version = if back { self.version } else { Some(version) };
        Ok(judged)
    }

    fn gone(&mut self, id: String, judged: &mut Judged) {
        if let Some(known) = self.known.remove(&id) {
            judged.entries.push((
                id,
                Endpoint {
                    server: 0,
                    zone: known.zone,
                    kind: known.kind,
                    state: EndpointState::Removed,
                    age: None,
                },
            ));
        }
    }

    fn enter(&mut self, now: Duration, unix_ms: f64, entry: &Entry, judged: &mut Judged) {
        if entry.phase == EndpointState::Removed {
            return self.gone(entry.id.into(), judged);
        }
        let kind = entry.kind.map(|k| self.kind(k));
        let old = self.known.get(entry.id);
        let kind = kind.or(old.map(|k| k.kind)).unwrap_or_default();
        let (addr, zone, started_ms) = match (&entry.placed, old) {
            (Ok(placed), _) => *placed,
            (Err(fault), old) => {
                judged.faults.push(format!("server {:?}: {fault}", entry.id));
                judged.ask_whole = true;
                match old {
                    Some(known) if entry.phase == EndpointState::Draining => {
                        (known.addr, known.zone, known.started_ms)
                    }
                    _ => return,
                }
            }
        };
        if started_ms > unix_ms + Self::AHEAD {
            judged.faults.push(format!("server {:?} starts at {started_ms}, far ahead", entry.id));
        }
        // The same start has the same age on every list: a clock that was set meanwhile must not look like a restart.
        let same = old.filter(|k| k.started_ms == started_ms).map(|k| k.age_at);
        let age =
            || Duration::try_from_secs_f64((unix_ms - started_ms).max(0.0) / 1000.0).unwrap_or_default();
        let age_at = same.unwrap_or_else(|| (now, (started_ms > 0.0).then(age)));
        let age = age_at.1.map(|age| age + now.saturating_sub(age_at.0));
        let listed = Endpoint { server: 0, zone, kind, state: entry.phase, age };
        let addr = addr.or(old.and_then(|k| k.addr));
        self.known
            .insert(entry.id.into(), Known { addr, zone, kind, phase: entry.phase, started_ms, age_at });
        judged.entries.push((entry.id.into(), listed));
    }

    /// Servers that are listed, and how many of them are ready.
    pub fn counts(&self) -> (usize, usize) {
        (self.known.len(), self.known.values().filter(|k| k.phase == EndpointState::Ready).count())
    }
}
