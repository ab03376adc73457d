//! Pools: the servers of a proxy group, their weights, and the weight tables that are computed from them.

use super::AdmissionSetting;
use super::load::mean;
use crate::host::{RouteSet, ServerIndex, TableId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A server's entry in a pool: its learned weight there, before all exceptions, and the weight that was last sent.
pub(crate) struct WeightEntry {
    /// The server.
    pub(crate) server: ServerIndex,
    /// The learned weight.
    pub(crate) learned: f64,
    /// The time at which the learned weight last changed; zero if it has never changed.
    pub(crate) changed_at: Duration,
    /// By table of the pool: the weight that was last sent; 0 if no weight was sent.
    pub(crate) last_sent: [f32; Pool::MAX_TABLES],
    /// By table of the pool: true if the server has started since its weight was last sent.
    pub(crate) start_unsent: [bool; Pool::MAX_TABLES],
    /// True if the pool no longer needs the server. The entry is removed after a weight of 0 has been sent.
    pub(crate) retiring: bool,
}

impl WeightEntry {
    /// Returns true if a table of the pool contains the server, by what was last sent.
    pub(crate) fn is_in_use(&self) -> bool {
        self.last_sent.iter().any(|weight| *weight > 0.0)
    }
}

/// The servers that a table may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableScope {
    /// The servers of all zones.
    AllZones,
    /// Only the servers of the pool's zone.
    OwnZone,
}

/// The routes that use a table of a pool, and the servers that it may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TableKind {
    /// The servers.
    pub(crate) scope: TableScope,
    /// The routes.
    pub(crate) routes: RouteSet,
}

/// A weight table of a pool.
#[derive(Clone, Copy)]
pub(crate) struct PoolTable {
    /// The number of the table.
    pub(crate) id: TableId,
    /// Its routes and servers.
    pub(crate) kind: TableKind,
}

/// A set of servers with weights, which proxies of a zone share. Each of the pool's weight tables is computed from the same
/// learned weights.
pub(crate) struct Pool {
    /// The tables that the pool's proxies use, each for other routes.
    pub(crate) tables: Vec<PoolTable>,
    /// The zone of the pool's proxies.
    pub(crate) zone: ZoneId,
    /// The entries of the pool's servers, in the order in which they were added.
    pub(crate) entries: Vec<WeightEntry>,
    /// The times at which messages were sent to the pool's proxies, oldest first.
    pub(crate) message_times: VecDeque<Duration>,
    /// The time of the first attempt to send an urgent change that waits; `None` if none waits.
    pub(crate) urgent_since: Option<Duration>,
    /// By zone-local route: the setting that was last sent for the pool's own table. A route that was never limited has none.
    pub(crate) zone_admission: BTreeMap<usize, AdmissionSetting>,
}

impl Pool {
    /// The largest number of tables of a pool: one for each [`TableScope`].
    pub(crate) const MAX_TABLES: usize = 2;

    /// Returns the pool at position `index` of all pools, without servers. The numbers of its tables follow from `index`.
    pub(crate) fn new(index: usize, zone: ZoneId, kinds: &[TableKind]) -> Pool {
        let id = |position| (index * kinds.len() + position) as TableId;
        let tables =
            kinds.iter().enumerate().map(|(position, kind)| PoolTable { id: id(position), kind: *kind });
        Pool {
            tables: tables.collect(),
            zone,
            entries: vec![],
            message_times: VecDeque::new(),
            urgent_since: None,
            zone_admission: BTreeMap::new(),
        }
    }

    /// Returns the table that may contain only the servers of the pool's zone, if the pool has one.
    pub(crate) fn own_zone_table(&self) -> Option<&PoolTable> {
        self.tables.iter().find(|table| table.kind.scope == TableScope::OwnZone)
    }

    /// Adds a server with a weight given as a multiple of the pool's mean weight.
    pub(crate) fn add_server(&mut self, server: ServerIndex, weight: f64) {
        let learned = weight * self.mean_weight();
        self.entries.push(WeightEntry {
            server,
            learned,
            changed_at: Duration::ZERO,
            last_sent: [0.0; Pool::MAX_TABLES],
            start_unsent: [false; Pool::MAX_TABLES],
            retiring: false,
        });
    }

    /// Records that a server has started, which the pool's proxies do not know.
    pub(crate) fn server_started(&mut self, server: ServerIndex) {
        for entry in self.entries.iter_mut().filter(|entry| entry.server == server) {
            entry.start_unsent = [true; Pool::MAX_TABLES];
        }
    }

    /// Returns the mean of the learned weights; 1 for an empty pool.
    pub(crate) fn mean_weight(&self) -> f64 {
        mean(self.entries.iter().map(|entry| entry.learned)).unwrap_or(1.0)
    }
}

/// The target numbers of local and remote servers in a pool.
#[derive(Clone, Copy)]
pub(crate) struct SubsetSize {
    /// The number of servers of the pool's own zone.
    pub(crate) local: usize,
    /// The number of servers of other zones.
    pub(crate) remote: usize,
}

impl SubsetSize {
    /// The size of a pool that holds all servers, which applies if each zone has one pool.
    pub(crate) const UNLIMITED: SubsetSize = SubsetSize { local: usize::MAX, remote: usize::MAX };
}
