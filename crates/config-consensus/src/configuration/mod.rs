//! The shared configuration: routes, limits, racks and servers. Names are kept in order, so that all members encode the same
//! configuration to the same bytes.

mod change;
mod effective;
mod validation;

pub use change::Change;
pub use effective::EffectiveConfiguration;
pub use validation::{ValidationError, validate};

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A route of requests.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Routes with a lower importance are shed first.
    pub importance: f64,
    /// The share of its requests that may be admitted at most, 0 to 1.
    #[serde(rename = "most")]
    pub max_share: f64,
}

/// A bound on something that the program enforces.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Limit {
    /// An upper bound: the lower one is stricter.
    #[serde(rename = "most")]
    AtMost(f64),
    /// A lower bound: the higher one is stricter.
    #[serde(rename = "least")]
    AtLeast(f64),
}

impl Limit {
    /// The bound.
    pub fn value(self) -> f64 {
        let (Limit::AtMost(value) | Limit::AtLeast(value)) = self;
        value
    }
}

/// A rack of servers.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rack {
    /// The site where it stands.
    pub site: String,
    /// Its power feed; racks of one feed lose power together.
    pub feed: String,
    /// Its power limit, in watts.
    #[serde(rename = "cap")]
    pub power_cap: f64,
}

impl Rack {
    /// Whether both have the same site and feed.
    fn is_placed_like(&self, other: &Rack) -> bool {
        self.site == other.site && self.feed == other.feed
    }
}

/// What a server does. A later state is stricter than an earlier one.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It completes the requests that it has and takes no new ones.
    Draining,
    /// It is not there any more.
    #[serde(rename = "gone")]
    Removed,
}

/// A server.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Name of its rack.
    pub rack: String,
    /// Its capacity, in requests per second.
    pub capacity: f64,
    /// What it does.
    pub state: ServerState,
}

/// All that a fleet shares, by name.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Routes.
    pub routes: BTreeMap<String, Route>,
    /// Limits.
    pub limits: BTreeMap<String, Limit>,
    /// Racks.
    pub racks: BTreeMap<String, Rack>,
    /// Servers.
    pub servers: BTreeMap<String, Server>,
}

impl Configuration {
    /// Routes in the order in which they are shed: by importance, then by name.
    pub fn shed_order(&self) -> Vec<&str> {
        let mut routes: Vec<(&str, f64)> =
            self.routes.iter().map(|(name, route)| (name.as_str(), route.importance)).collect();
        routes.sort_by(|a, b| a.1.total_cmp(&b.1));
        routes.into_iter().map(|(name, _)| name).collect()
    }

    /// The capacity of the ready servers, in requests per second.
    pub fn ready_capacity(&self) -> f64 {
        self.ready_servers().map(|(_, server)| server.capacity).sum()
    }

    /// Servers that take requests.
    pub fn ready_servers(&self) -> impl Iterator<Item = (&String, &Server)> {
        self.servers.iter().filter(|(_, server)| server.state == ServerState::Ready)
    }
}
