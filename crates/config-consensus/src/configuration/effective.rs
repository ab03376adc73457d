//! The effective configuration that a member applies: one version, or the intersection of two.

use super::{Configuration, Limit, Rack, Server, ServerState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The configuration that a member applies. While two versions are active, each field has the stricter of both values (the
/// table in `docs/design/config-consensus.md`); a field without a stricter value is unset, and the functions that depend on
/// it pause.
// on the wire, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EffectiveConfiguration {
    /// Maximum share of each route's requests that may be admitted, 0 to 1.
    #[serde(rename = "most")]
    pub max_shares: BTreeMap<String, f64>,
    /// Routes in the order in which they are shed. `None` if two versions differ: all routes are then shed alike.
    #[serde(rename = "order")]
    pub shed_order: Option<Vec<String>>,
    /// Limits by name.
    pub limits: BTreeMap<String, Limit>,
    /// Racks by name. `None` if two versions place a rack differently: nothing is evaluated or placed there.
    pub racks: BTreeMap<String, Option<Rack>>,
    /// Servers by name.
    pub servers: BTreeMap<String, Server>,
    /// Servers that stay ready although one of the versions withdraws them, since the intersection has no ready server.
    #[serde(rename = "spared")]
    pub exempt_servers: BTreeSet<String>,
}

impl EffectiveConfiguration {
    /// Returns the effective configuration of one version.
    pub fn single(configuration: &Configuration) -> EffectiveConfiguration {
        let routes = configuration.routes.iter();
        let racks = configuration.racks.iter();
        EffectiveConfiguration {
            max_shares: routes.map(|(name, route)| (name.clone(), route.max_share)).collect(),
            shed_order: Some(configuration.shed_order().into_iter().map(String::from).collect()),
            limits: configuration.limits.clone(),
            racks: racks.map(|(name, rack)| (name.clone(), Some(rack.clone()))).collect(),
            servers: configuration.servers.clone(),
            exempt_servers: BTreeSet::new(),
        }
    }

    /// Returns the intersection of two versions: what both allow. A server that only one version has is not ready; a bound
    /// that only one version has applies.
    pub fn intersect(old: &Configuration, new: &Configuration) -> EffectiveConfiguration {
        let before = EffectiveConfiguration::single(old);
        let after = EffectiveConfiguration::single(new);
        let mut joint = EffectiveConfiguration {
            max_shares: merge(&before.max_shares, &after.max_shares, |before, after| after.min(*before)),
            shed_order: after.shed_order.filter(|order| Some(order) == before.shed_order.as_ref()),
            limits: merge(&before.limits, &after.limits, stricter_limit),
            racks: union(&old.racks, &new.racks, joint_rack),
            servers: union(&old.servers, &new.servers, joint_server),
            exempt_servers: BTreeSet::new(),
        };
        joint.keep_servers_ready(new);
        joint
    }

    /// Keeps the ready servers of the newer version ready if no server is: a proxy without a usable server is worse than a
    /// request to a draining one.
    fn keep_servers_ready(&mut self, newer: &Configuration) {
        if self.servers.values().all(|server| server.state != ServerState::Ready) {
            for (name, server) in newer.ready_servers() {
                self.servers.insert(name.clone(), server.clone());
                self.exempt_servers.insert(name.clone());
            }
        }
    }

    /// Marks a server as draining, unless its state is stricter already.
    pub fn drain(&mut self, name: &str) {
        if let Some(server) = self.servers.get_mut(name) {
            server.state = server.state.max(ServerState::Draining);
        }
    }

    /// Describes each field that exceeds `allowed`; empty if all fields are within that configuration.
    pub fn violations(&self, allowed: &Configuration) -> Vec<String> {
        let mut violations = self.route_violations(allowed);
        violations.extend(self.limit_violations(allowed));
        violations.extend(self.rack_violations(allowed));
        violations.extend(self.server_violations(allowed));
        violations
    }

    fn route_violations(&self, allowed: &Configuration) -> Vec<String> {
        let exceeds =
            |name: &String, share: f64| allowed.routes.get(name).is_some_and(|route| share > route.max_share);
        let shares = self.max_shares.iter().filter(|(name, share)| exceeds(name, **share));
        let mut violations: Vec<String> =
            shares.map(|(name, share)| format!("route {name}: {share}")).collect();
        if self.shed_order.as_ref().is_some_and(|order| *order != allowed.shed_order()) {
            violations.push(format!("order {:?}", self.shed_order));
        }
        violations
    }

    fn limit_violations(&self, allowed: &Configuration) -> Vec<String> {
        let is_within = |name: &String, limit: &Limit| match (limit, self.limits.get(name)) {
            (Limit::AtMost(allowed), Some(Limit::AtMost(own))) => own <= allowed,
            (Limit::AtLeast(allowed), Some(Limit::AtLeast(own))) => own >= allowed,
            _ => false,
        };
        let exceeded = allowed.limits.iter().filter(|(name, limit)| !is_within(name, limit));
        exceeded.map(|(name, _)| format!("limit {name}: {:?}", self.limits.get(name))).collect()
    }

    fn rack_violations(&self, allowed: &Configuration) -> Vec<String> {
        let is_within = |name: &String, rack: &Rack| {
            let bound = allowed.racks.get(name);
            bound.is_some_and(|bound| bound.is_placed_like(rack) && rack.power_cap <= bound.power_cap)
        };
        let placed = self.racks.iter().filter_map(|(name, rack)| Some((name, rack.as_ref()?)));
        placed.filter(|(name, rack)| !is_within(name, rack)).map(|(name, _)| format!("rack {name}")).collect()
    }

    fn server_violations(&self, allowed: &Configuration) -> Vec<String> {
        let is_within = |name: &String, server: &Server| {
            let bound = allowed.servers.get(name).filter(|bound| bound.state == ServerState::Ready);
            bound.is_some_and(|bound| bound.rack == server.rack && server.capacity <= bound.capacity)
        };
        let ready = self.servers.iter().filter(|(_, server)| server.state == ServerState::Ready);
        ready
            .filter(|(name, server)| !self.exempt_servers.contains(*name) && !is_within(name, server))
            .map(|(name, _)| format!("server {name}"))
            .collect()
    }
}

/// Returns the entries of both maps; `stricter` chooses the value of a name that is in both.
fn merge<T: Copy>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    stricter: impl Fn(&T, &T) -> T,
) -> BTreeMap<String, T> {
    let mut merged = new.clone();
    for (name, before) in old {
        let value = new.get(name).map_or(*before, |after| stricter(before, after));
        merged.insert(name.clone(), value);
    }
    merged
}

/// Returns the names of both maps, each with the result of `join` for the two entries of that name.
fn union<T, U>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    join: impl Fn(Option<&T>, Option<&T>) -> U,
) -> BTreeMap<String, U> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    names.into_iter().map(|name| (name.clone(), join(old.get(name), new.get(name)))).collect()
}

/// Returns the stricter of two limits. Validation rules out an upper and a lower bound; the old one is returned for those.
fn stricter_limit(old: &Limit, new: &Limit) -> Limit {
    match (old, new) {
        (Limit::AtMost(old), Limit::AtMost(new)) => Limit::AtMost(old.min(*new)),
        (Limit::AtLeast(old), Limit::AtLeast(new)) => Limit::AtLeast(old.max(*new)),
        (old, _) => *old,
    }
}

fn joint_rack(old: Option<&Rack>, new: Option<&Rack>) -> Option<Rack> {
    let (old, new) = (old?, new?);
    let power_cap = old.power_cap.min(new.power_cap);
    old.is_placed_like(new).then(|| Rack { power_cap, ..new.clone() })
}

fn joint_server(old: Option<&Server>, new: Option<&Server>) -> Server {
    match (old, new) {
        (Some(old), Some(new)) => {
            // A server that moves to another rack has capacity in neither rack.
            let same_rack = old.rack == new.rack;
            let state = if same_rack { old.state.max(new.state) } else { ServerState::Draining };
            Server { state, capacity: old.capacity.min(new.capacity), ..new.clone() }
        }
        (Some(only), None) | (None, Some(only)) => {
            Server { state: only.state.max(ServerState::Draining), ..only.clone() }
        }
        (None, None) => unreachable!("the name is in at least one of the maps"),
    }
}
