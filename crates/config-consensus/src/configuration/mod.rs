//! The shared configuration: routes, limits, racks and servers. Entries are sorted by name, so that all members encode the
//! same configuration to the same bytes.

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
    /// Importance of the route; routes with a lower importance are shed first.
    pub importance: f64,
    /// Maximum share of the route's requests that may be admitted, 0 to 1.
    #[serde(rename = "most")]
    pub max_share: f64,
}

/// A bound on a quantity that the program enforces.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Limit {
    /// An upper bound; of two, the lower one is stricter.
    #[serde(rename = "most")]
    AtMost(f64),
    /// A lower bound; of two, the higher one is stricter.
    #[serde(rename = "least")]
    AtLeast(f64),
}

impl Limit {
    /// Returns the value of the bound.
    pub fn value(self) -> f64 {
        let (Limit::AtMost(value) | Limit::AtLeast(value)) = self;
        value
    }
}

/// A rack of servers.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rack {
    /// Name of the rack's site.
    pub site: String,
    /// Name of the rack's power feed; racks of one feed lose power together.
    pub feed: String,
    /// Power limit of the rack, in watts.
    #[serde(rename = "cap")]
    pub power_cap: f64,
}

impl Rack {
    /// Returns true if both racks have the same site and feed.
    fn is_placed_like(&self, other: &Rack) -> bool {
        self.site == other.site && self.feed == other.feed
    }
}

/// The state of a server. A later variant is stricter than an earlier one.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServerState {
    /// The server accepts requests.
    Ready,
    /// The server completes its requests and accepts no new ones.
    Draining,
    /// The server no longer exists.
    #[serde(rename = "gone")]
    Removed,
}

/// A server.
// stored, hashed, and JSON for operators: do not rename keys, do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Name of the server's rack.
    pub rack: String,
    /// Capacity of the server, in requests per second.
    pub capacity: f64,
    /// State of the server.
    pub state: ServerState,
}

/// The configuration that a fleet shares; each map is by name.
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
    /// Returns the routes in the order in which they are shed: by importance, then by name.
    pub fn shed_order(&self) -> Vec<&str> {
        let mut routes: Vec<(&str, f64)> =
            self.routes.iter().map(|(name, route)| (name.as_str(), route.importance)).collect();
        routes.sort_by(|a, b| a.1.total_cmp(&b.1));
        routes.into_iter().map(|(name, _)| name).collect()
    }

    /// Returns the capacity of the ready servers, in requests per second.
    pub fn ready_capacity(&self) -> f64 {
        self.ready_servers().map(|(_, server)| server.capacity).sum()
    }

    /// Returns the servers that accept requests.
    pub fn ready_servers(&self) -> impl Iterator<Item = (&String, &Server)> {
        self.servers.iter().filter(|(_, server)| server.state == ServerState::Ready)
    }
}
