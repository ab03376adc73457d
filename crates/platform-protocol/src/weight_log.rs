//! Reports the weight of each server in each table, and the number of proxies that hold the table, so that the load
//! that a server receives can be computed for any moment of a day.
//!
//! Each drain reports a table at most once, with its newest weights, and at most [`TABLES_PER_DRAIN`] tables; the
//! others wait for the next drain. Memory is bounded by the size of the tables.

use crate::event::{Event, LoggedWeight, TableWeights};
use grebespool::host::{ProxyId, ServerIndex, TableId};
use grebespool_assignments::ServerWeight;
use std::collections::{BTreeMap, BTreeSet};

/// The number of tables that one drain reports.
const TABLES_PER_DRAIN: usize = 32;
/// The number of servers in one event.
const SERVERS_PER_EVENT: usize = 64;

#[derive(Default)]
struct LoggedTable {
    weights: BTreeMap<ServerIndex, f32>,
    /// The servers whose weight has changed since it was reported.
    changed: BTreeSet<ServerIndex>,
    proxy_count: usize,
    /// True if the weights or the proxies of the table have changed since the table was reported.
    needs_report: bool,
}

/// The weights that were written to proxies.
#[derive(Default)]
pub(crate) struct WeightLog {
    tables: BTreeMap<TableId, LoggedTable>,
    tables_by_proxy: BTreeMap<ProxyId, Vec<TableId>>,
    /// The table at which the next drain begins, so that tables which change in every drain do not starve the others.
    next_table: TableId,
}

impl WeightLog {
    /// Records that a proxy holds these tables and no others.
    pub(crate) fn proxy_bound(&mut self, proxy: ProxyId, tables: Vec<TableId>) {
        self.proxy_left(proxy);
        tables.iter().for_each(|table| self.adjust_proxy_count(*table, 1));
        self.tables_by_proxy.insert(proxy, tables);
    }

    /// Records that a proxy holds no table any more.
    pub(crate) fn proxy_left(&mut self, proxy: ProxyId) {
        for table in self.tables_by_proxy.remove(&proxy).into_iter().flatten() {
            self.adjust_proxy_count(table, -1);
        }
    }

    fn adjust_proxy_count(&mut self, table: TableId, difference: isize) {
        let logged = self.tables.entry(table).or_default();
        logged.proxy_count = logged.proxy_count.saturating_add_signed(difference);
        logged.needs_report = true;
    }

    /// Records weights of a table that were written. A weight of zero removes the server.
    pub(crate) fn weights_written(&mut self, table: TableId, weights: &[ServerWeight]) {
        let logged = self.tables.entry(table).or_default();
        for ServerWeight { server, weight } in weights {
            logged.set_weight(*server, *weight);
        }
    }

    /// Returns the events of the next tables that need a report.
    pub(crate) fn drain<'a>(&mut self, id: impl Fn(ServerIndex) -> &'a str) -> Vec<Event> {
        let changed = self.changed_tables();
        self.next_table = changed.get(TABLES_PER_DRAIN).copied().unwrap_or_default();
        let mut events = vec![];
        for table in changed.into_iter().take(TABLES_PER_DRAIN) {
            if let Some(logged) = self.tables.get_mut(&table) {
                events.extend(logged.drain(table, &id));
            }
        }
        events
    }

    /// Returns all tables that need a report, starting at `next_table` and wrapping around.
    fn changed_tables(&self) -> Vec<TableId> {
        let from_next = self.tables.range(self.next_table..).chain(self.tables.range(..self.next_table));
        from_next.filter(|(_, logged)| logged.needs_report).map(|(table, _)| *table).collect()
    }
}

impl LoggedTable {
    fn set_weight(&mut self, server: ServerIndex, weight: f32) {
        let previous =
            if weight > 0.0 { self.weights.insert(server, weight) } else { self.weights.remove(&server) };
        if previous.unwrap_or(0.0) != weight {
            self.changed.insert(server);
            self.needs_report = true;
        }
    }

    fn drain<'a>(&mut self, table: TableId, id: impl Fn(ServerIndex) -> &'a str) -> Vec<Event> {
        self.needs_report = false;
        let sum = self.weights.values().sum();
        let event = |changed: &[LoggedWeight]| {
            let changed = changed.to_vec();
            Event::TableWeights(TableWeights { table, proxies: self.proxy_count, sum, changed })
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
