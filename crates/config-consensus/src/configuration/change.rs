//! Changes to the shared configuration.

use super::{Configuration, Limit, Rack, Route, Server, ServerState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A change to the configuration. Applying a change again after other changes has the same effect.
// stored, on the wire, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// Replaces the whole configuration.
    #[serde(rename = "whole")]
    Replace(Box<Configuration>),
    /// Sets the route of this name, or removes it.
    Route(String, Option<Route>),
    /// Sets the limit of this name, or removes it.
    Limit(String, Option<Limit>),
    /// Sets the rack of this name, or removes it.
    Rack(String, Option<Rack>),
    /// Sets the server of this name, or removes it.
    Server(String, Option<Server>),
    /// Sets the state of the server of this name.
    State(String, ServerState),
}

impl Change {
    /// Applies the change. Returns false if it sets the state of a server that does not exist.
    pub fn apply(&self, configuration: &mut Configuration) -> bool {
        match self {
            Change::Replace(replacement) => *configuration = Configuration::clone(replacement),
            Change::Route(name, route) => set_or_remove(&mut configuration.routes, name, *route),
            Change::Limit(name, limit) => set_or_remove(&mut configuration.limits, name, *limit),
            Change::Rack(name, rack) => set_or_remove(&mut configuration.racks, name, rack.clone()),
            Change::Server(name, server) => set_or_remove(&mut configuration.servers, name, server.clone()),
            Change::State(name, state) => match configuration.servers.get_mut(name) {
                Some(server) => server.state = *state,
                None => return false,
            },
        }
        true
    }

    /// Returns the server that the change takes out of service, if any.
    pub fn withdrawn_server(&self) -> Option<&String> {
        match self {
            Change::State(name, ServerState::Draining | ServerState::Removed)
            | Change::Server(name, None) => Some(name),
            Change::Server(name, Some(server)) if server.state != ServerState::Ready => Some(name),
            _ => None,
        }
    }
}

fn set_or_remove<T>(map: &mut BTreeMap<String, T>, name: &str, value: Option<T>) {
    match value {
        Some(value) => drop(map.insert(name.into(), value)),
        None => drop(map.remove(name)),
    }
}
