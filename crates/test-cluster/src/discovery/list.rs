//! The endpoint list that the discovery service publishes, and the requests for the list.

use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Version of a new list.
const FIRST_VERSION: u64 = 5;
/// Number of requests whose path is recorded.
const MAX_RECORDED_REQUESTS: usize = 500;
const STATE_REMOVED: &str = "DELETED";

/// Returns the entry of server number `number`, which is in one of two zones by that number.
pub fn endpoint(number: usize, state: &str) -> Value {
    endpoint_started_at(number, state, 0)
}

/// Returns the same entry for a server that was started at `started_ms`, in Unix milliseconds.
pub fn endpoint_started_at(number: usize, state: &str, started_ms: u64) -> Value {
    let zone = ["north", "south"][number % 2];
    json!({"id": format!("s{number}"), "addr": "127.0.0.1:1", "zone": zone, "kind": "k", "cell": 1,
           "state": state, "weight": 1.0, "started_ms": started_ms})
}

/// Entry and the version in which the entry was published.
struct Change {
    version: u64,
    entry: Value,
}

/// Endpoint list with all its changes.
pub struct PublishedList {
    /// Latest version.
    pub version: u64,
    changes: Vec<Change>,
    /// Number of requests received.
    pub request_count: usize,
    /// Path and query of the first 500 requests.
    pub requests: Vec<String>,
    /// Number of answers of which only half was sent at first.
    pub half_answers: usize,
}

impl PublishedList {
    pub(super) fn new(servers: usize) -> Self {
        let changes = (0..servers)
            .map(|number| Change { version: FIRST_VERSION, entry: endpoint(number, "SERVING") })
            .collect();
        PublishedList { version: FIRST_VERSION, changes, request_count: 0, requests: vec![], half_answers: 0 }
    }

    pub(super) fn publish(&mut self, entries: &[Value]) {
        self.version += 1;
        let version = self.version;
        self.changes.extend(entries.iter().map(|entry| Change { version, entry: entry.clone() }));
    }

    pub(super) fn count_request(&mut self, path: &str) {
        self.request_count += 1;
        if self.requests.len() < MAX_RECORDED_REQUESTS {
            self.requests.push(path.into());
        }
    }

    /// Returns the latest entry of each server that has changed since a version; without a version, of each server that is not
    /// removed.
    pub(super) fn entries_since(&self, since: Option<u64>) -> Vec<&Value> {
        let mut latest = BTreeMap::new();
        for change in self.changes.iter().filter(|change| since.is_none_or(|since| change.version > since)) {
            latest.insert(change.entry["id"].to_string(), &change.entry);
        }
        let is_listed = |entry: &&Value| since.is_some() || entry["state"] != STATE_REMOVED;
        latest.into_values().filter(is_listed).collect()
    }
}
