//! What a fleet shares: settings, and the list of servers. Names are kept in order, so that all members make the same
//! bytes of the same content.

mod change;
mod check;
mod view;

pub use change::Change;
pub use check::{Fault, check};
pub use view::View;

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A route of calls.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Routes are cut in the order of it, the least first.
    pub importance: f64,
    /// The part of its calls that may be let in at the most, 0 to 1.
    pub most: f64,
}

/// A bound by a name that the program knows.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Limit {
    /// The lower is the stricter.
    Most(f64),
    /// The higher is the stricter.
    Least(f64),
}

impl Limit {
    pub fn value(self) -> f64 {
        let (Limit::Most(value) | Limit::Least(value)) = self;
        value
    }
}

/// A rack of servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rack {
    pub site: String,
    /// What it is fed by; racks of one feed lose it together.
    pub feed: String,
    /// Watts.
    pub cap: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum State {
    Ready,
    /// It ends what it has and takes nothing new.
    Draining,
    Gone,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    pub rack: String,
    /// Calls a second.
    pub capacity: f64,
    pub state: State,
}

/// The whole of what a fleet shares.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Content {
    pub routes: BTreeMap<String, Route>,
    pub limits: BTreeMap<String, Limit>,
    pub racks: BTreeMap<String, Rack>,
    pub servers: BTreeMap<String, Server>,
}

impl Content {
    /// Routes, the least important first; of two alike the first by name.
    pub fn order(&self) -> Vec<&str> {
        let mut order: Vec<(&str, f64)> =
            self.routes.iter().map(|(n, r)| (n.as_str(), r.importance)).collect();
        order.sort_by(|a, b| a.1.total_cmp(&b.1));
        order.into_iter().map(|(name, _)| name).collect()
    }

    /// What its ready servers are able to, in calls a second.
    pub fn capacity(&self) -> f64 {
        self.ready().map(|(_, s)| s.capacity).sum()
    }

    pub fn ready(&self) -> impl Iterator<Item = (&String, &Server)> {
        self.servers.iter().filter(|(_, s)| s.state == State::Ready)
    }
}
