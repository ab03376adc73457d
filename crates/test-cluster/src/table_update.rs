//! What one message of a planner changes in a proxy's table.

use serde_json::Value;
use std::collections::BTreeMap;

/// One message to a proxy, or one part of it.
pub(crate) struct TableUpdate<'a> {
    message: &'a Value,
}

impl<'a> TableUpdate<'a> {
    pub(crate) fn new(message: &'a Value) -> Self {
        TableUpdate { message }
    }

    /// Whether it replaces the whole table.
    pub(crate) fn is_full(&self) -> bool {
        self.message["whole"] == true
    }

    /// Servers and their weights.
    pub(crate) fn weights(&self) -> impl Iterator<Item = (&'a str, f64)> {
        let lines = self.message["lines"].as_array().into_iter().flatten();
        lines.map(|line| (line[0].as_str().expect("a server's id"), line[1].as_f64().expect("a weight")))
    }

    /// The part of requests that is admitted on all routes.
    pub(crate) fn admitted_on_all_routes(&self) -> Option<f64> {
        self.message["level"].as_f64().filter(|_| self.message.get("classes").is_none())
    }

    /// Whether failed requests are tried again.
    pub(crate) fn retries(&self) -> Option<bool> {
        self.message["retry"].as_u64().map(|code| code > 0)
    }

    /// The mark that is to be acknowledged.
    pub(crate) fn mark(&self) -> Option<&'a Value> {
        self.message.get("ticket")
    }
}

/// Sets a weight in a table; zero removes the server.
pub(crate) fn set_weight<K: Ord>(table: &mut BTreeMap<K, f64>, server: K, weight: f64) {
    if weight > 0.0 {
        table.insert(server, weight);
    } else {
        table.remove(&server);
    }
}
