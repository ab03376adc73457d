//! Changes of what is shared. Settings change rarely and the list often; one order holds for both.

use super::{Content, Limit, Rack, Route, Server, State};
use serde::{Deserialize, Serialize};

/// One change. Said again after others, it does what it says and nothing else.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Change {
    /// All of it; what it does not name is gone.
    Whole(Box<Content>),
    /// Nothing takes the thing of this name away.
    Route(String, Option<Route>),
    Limit(String, Option<Limit>),
    Rack(String, Option<Rack>),
    Server(String, Option<Server>),
    State(String, State),
}

fn put<T>(map: &mut std::collections::BTreeMap<String, T>, name: &str, value: Option<T>) {
    match value {
        Some(value) => drop(map.insert(name.into(), value)),
        None => drop(map.remove(name)),
    }
}

impl Change {
    /// Whether there was something to change: a state of a server that is not listed is none.
    pub fn apply(&self, content: &mut Content) -> bool {
        match self {
            Change::Whole(whole) => *content = Content::clone(whole),
            Change::Route(name, route) => put(&mut content.routes, name, *route),
            Change::Limit(name, limit) => put(&mut content.limits, name, *limit),
            Change::Rack(name, rack) => put(&mut content.racks, name, rack.clone()),
            Change::Server(name, server) => put(&mut content.servers, name, server.clone()),
            Change::State(name, state) => match content.servers.get_mut(name) {
                Some(server) => server.state = *state,
                None => return false,
            },
        }
        true
    }

    /// Servers that it takes calls from.
    pub fn closes(&self) -> Option<&String> {
        match self {
            Change::State(name, State::Draining | State::Gone) | Change::Server(name, None) => Some(name),
            Change::Server(name, Some(server)) if server.state != State::Ready => Some(name),
            _ => None,
        }
    }
}
