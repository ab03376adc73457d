//! Reports the weight of each server in each table, and how many proxies hold the table, so that the load that a server
//! is sent can be worked out for any moment of a day.
//!
//! A table is reported at most once a drain, with its newest weights, and only so many tables at a time; the rest wait
//! for the next. Memory is bounded by the tables themselves.

use crate::event::{Event, LoggedWeight, TableWeights};
use grebespool::host::{ProxyId, ServerIndex, TableId};
use grebespool_assignments::ServerWeight;
use std::collections::{BTreeMap, BTreeSet};

/// Tables that are reported at a time.
const TABLES_PER_DRAIN: usize = 32;
/// Servers in one event.
const SERVERS_PER_EVENT: usize = 64;

#[derive(Default)]
struct LoggedTable {
    weights: BTreeMap<ServerIndex, f32>,
    /// Servers whose weight has changed since it was reported.
    changed: BTreeSet<ServerIndex>,
    proxies: usize,
    /// Something about the table has changed since it was reported.
    due: bool,
}

/// The weights that proxies were sent.
#[derive(Default)]
pub(crate) struct WeightLog {
    tables: BTreeMap<TableId, LoggedTable>,
    table_of: BTreeMap<ProxyId, TableId>,
    /// Where the next drain begins, so that tables which change all the time do not keep others out.
    next: TableId,
}

impl WeightLog {
    /// A proxy holds this table from now on.
    pub(crate) fn proxy_bound(&mut self, proxy: ProxyId, table: TableId) {
        self.proxy_left(proxy);
        self.table_of.insert(proxy, table);
        self.change_proxies(table, 1);
    }

    /// A proxy holds no table any more.
    pub(crate) fn proxy_left(&mut self, proxy: ProxyId) {
        if let Some(table) = self.table_of.remove(&proxy) {
            self.change_proxies(table, -1);
        }
    }

    fn change_proxies(&mut self, table: TableId, difference: isize) {
        let logged = self.tables.entry(table).or_default();
        logged.proxies = logged.proxies.saturating_add_signed(difference);
        logged.due = true;
    }

    /// These weights of a table were written; a weight of zero removes the server.
    pub(crate) fn weights_written(&mut self, table: TableId, weights: &[ServerWeight]) {
        let logged = self.tables.entry(table).or_default();
        for ServerWeight { server, weight } in weights {
            logged.set_weight(*server, *weight);
        }
    }

    /// Events of the tables whose turn it is.
    pub(crate) fn drain<'a>(&mut self, id: impl Fn(ServerIndex) -> &'a str) -> Vec<Event> {
        let due = self.due_tables();
        self.next = due.get(TABLES_PER_DRAIN).copied().unwrap_or_default();
        let mut events = vec![];
        for table in due.into_iter().take(TABLES_PER_DRAIN) {
            if let Some(logged) = self.tables.get_mut(&table) {
                events.extend(logged.drain(table, &id));
            }
        }
        events
    }

    /// All tables that are due, from the next one on.
    fn due_tables(&self) -> Vec<TableId> {
        let from_next = self.tables.range(self.next..).chain(self.tables.range(..self.next));
        from_next.filter(|(_, logged)| logged.due).map(|(table, _)| *table).collect()
    }
}

impl LoggedTable {
    fn set_weight(&mut self, server: ServerIndex, weight: f32) {
        let previous =
            if weight > 0.0 { self.weights.insert(server, weight) } else { self.weights.remove(&server) };
        if previous.unwrap_or(0.0) != weight {
            self.changed.insert(server);
            self.due = true;
        }
    }

    fn drain<'a>(&mut self, table: TableId, id: impl Fn(ServerIndex) -> &'a str) -> Vec<Event> {
        self.due = false;
        let sum = self.weights.values().sum();
        let event = |changed: &[LoggedWeight]| {
            let changed = changed.to_vec();
            Event::TableWeights(TableWeights { table, proxies: self.proxies, sum, changed })
        };
        let weight = |server: ServerIndex| self.weights.get(&server).copied().unwrap_or(0.0);
        let changed: Vec<LoggedWeight> = std::mem::take(&mut self.changed)
            .into_iter()
            .map(|server| LoggedWeight { server: id(server).into(), weight: weight(server) })
            .collect();
        if changed.is_empty() {
            return vec![event(&[])];
        }
        changed.chunks(SERVERS_PER_EVENT).map(event).collect()
    }
}
