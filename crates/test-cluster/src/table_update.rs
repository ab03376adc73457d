//! The changes that a planner's message makes to a proxy's table.

use serde_json::Value;
use std::collections::BTreeMap;

/// Message to a proxy, or one part of a message.
pub(crate) struct TableUpdate<'a> {
    message: &'a Value,
}

// The JSON keys belong to the platform's protocol; a renamed key would silently read nothing.
impl<'a> TableUpdate<'a> {
    pub(crate) fn new(message: &'a Value) -> Self {
        TableUpdate { message }
    }

    /// Returns true if the message replaces the whole table.
    pub(crate) fn is_full(&self) -> bool {
        self.message["whole"] == true
    }

    /// Returns the weight entries: servers and their weights.
    pub(crate) fn weights(&self) -> impl Iterator<Item = (&'a str, f64)> {
        let entries = self.message["lines"].as_array().into_iter().flatten();
        entries.map(|entry| (entry[0].as_str().expect("a server's id"), entry[1].as_f64().expect("a weight")))
    }

    /// Returns the admitted fraction of the requests, if the message sets one for all routes.
    pub(crate) fn admitted_on_all_routes(&self) -> Option<f64> {
        self.message["level"].as_f64().filter(|_| self.message.get("classes").is_none())
    }

    /// Returns true if failed attempts are retried; `None` if the message doesn't change that.
    pub(crate) fn retries(&self) -> Option<bool> {
        self.message["retry"].as_u64().map(|code| code > 0)
    }

    /// Returns the ticket that the proxy has to acknowledge, if the message has one.
    pub(crate) fn ack_ticket(&self) -> Option<&'a Value> {
        self.message.get("ticket")
    }
}

/// Sets a server's weight in a table. A weight of zero removes the server.
pub(crate) fn set_weight<K: Ord>(table: &mut BTreeMap<K, f64>, server: K, weight: f64) {
    if weight > 0.0 {
        table.insert(server, weight);
    } else {
        table.remove(&server);
    }
}
