//! Log lines that tell the weight of each server in each table, and how many proxies hold the table. With the lines of
//! all planners beside one another, the load that a server is sent can be worked out for any moment of a day.
//!
//! A table is written once a look at the most, with its newest weights, and so many tables a look at the most; the rest
//! wait for the next look. Memory is bounded by the tables themselves.

use grebespool::host::{ProxyId, ServerIndex, TableId};
use grebespool_assignments::ServerWeight;
use std::collections::{BTreeMap, BTreeSet};

/// Tables that are written at one look.
const TABLES_PER_LOOK: usize = 32;
/// Servers named in one line.
const SERVERS_PER_LINE: usize = 64;

#[derive(Default)]
struct LoggedTable {
    weights: BTreeMap<ServerIndex, f32>,
    /// Servers whose weight was not logged since it changed.
    changed: BTreeSet<ServerIndex>,
    proxies: usize,
    /// Something about the table was not logged since it changed.
    due: bool,
}

/// What was written to proxies, kept to be logged.
#[derive(Default)]
pub struct WeightLog {
    tables: BTreeMap<TableId, LoggedTable>,
    holds: BTreeMap<ProxyId, TableId>,
    /// Where the next look begins, so that tables which change at every look do not keep others out.
    next: TableId,
}

impl WeightLog {
    /// A proxy holds this table from now on.
    pub fn bound(&mut self, proxy: ProxyId, table: TableId) {
        self.left(proxy);
        self.holds.insert(proxy, table);
        self.recount(table, 1);
    }

    /// A proxy holds no table any more.
    pub fn left(&mut self, proxy: ProxyId) {
        if let Some(table) = self.holds.remove(&proxy) {
            self.recount(table, -1);
        }
    }

    fn recount(&mut self, table: TableId, by: isize) {
        let logged = self.tables.entry(table).or_default();
        logged.proxies = logged.proxies.saturating_add_signed(by);
        logged.due = true;
    }

    /// These lines of a table were written; a weight of zero takes the server out.
    pub fn written(&mut self, table: TableId, lines: &[ServerWeight]) {
        let logged = self.tables.entry(table).or_default();
        for ServerWeight { server, weight } in lines {
            let before = if *weight > 0.0 {
                logged.weights.insert(*server, *weight)
            } else {
                logged.weights.remove(server)
            };
            if before.unwrap_or(0.0) != *weight {
                logged.changed.insert(*server);
                logged.due = true;
            }
        }
    }

    /// The lines of one look.
    pub fn lines<'a>(&mut self, id: impl Fn(ServerIndex) -> &'a str) -> Vec<String> {
        let due = |range: &mut dyn Iterator<Item = (&TableId, &LoggedTable)>| -> Vec<TableId> {
            range.filter(|(_, logged)| logged.due).map(|(table, _)| *table).collect()
        };
        let mut tables = due(&mut self.tables.range(self.next..));
        tables.extend(due(&mut self.tables.range(..self.next)));
        self.next = tables.get(TABLES_PER_LOOK).copied().unwrap_or_default();
        let mut lines = vec![];
        for table in tables.into_iter().take(TABLES_PER_LOOK) {
            if let Some(logged) = self.tables.get_mut(&table) {
                lines.extend(logged.lines(table, &id));
            }
        }
        lines
    }
}

impl LoggedTable {
    fn lines<'a>(&mut self, table: TableId, id: impl Fn(ServerIndex) -> &'a str) -> Vec<String> {
        self.due = false;
        let sum: f32 = self.weights.values().sum();
        let head = format!("weights of table {table}, {} proxies, sum {sum:.3}:", self.proxies);
        let weight = |server: &ServerIndex| self.weights.get(server).copied().unwrap_or(0.0);
        let named: Vec<String> = std::mem::take(&mut self.changed)
            .iter()
            .map(|server| format!(" {} {:.3}", id(*server), weight(server)))
            .collect();
        if named.is_empty() {
            return vec![head];
        }
        named.chunks(SERVERS_PER_LINE).map(|chunk| head.clone() + &chunk.concat()).collect()
    }
}
