//! Pools: the servers of a weight table, and their weights.

use super::load::mean;
use crate::host::{ServerIndex, TableId, ZoneId};
use std::collections::VecDeque;
use std::time::Duration;

/// A server's entry in a pool: its learned weight there, before all exceptions, and the weight that was last sent.
pub(crate) struct WeightEntry {
    /// The server.
    pub(crate) server: ServerIndex,
    /// The learned weight.
    pub(crate) learned: f64,
    /// The time at which the learned weight last changed; zero if it has never changed.
    pub(crate) changed_at: Duration,
    /// The weight that was last sent; 0 if no weight was sent.
    pub(crate) last_sent: f32,
    /// True if the pool no longer needs the server. The entry is removed after a weight of 0 has been sent.
    pub(crate) retiring: bool,
}

/// A set of servers with weights, which proxies of a zone share as one weight table.
pub(crate) struct Pool {
    /// The table that the pool's proxies use.
    pub(crate) table: TableId,
    /// The zone of the pool's proxies.
    pub(crate) zone: ZoneId,
    /// The entries of the pool's servers, in the order in which they were added.
    pub(crate) entries: Vec<WeightEntry>,
    /// The times at which messages were sent to the pool's proxies, oldest first.
    pub(crate) message_times: VecDeque<Duration>,
    /// The time of the first attempt to send an urgent change that waits; `None` if none waits.
    pub(crate) urgent_since: Option<Duration>,
}

impl Pool {
    /// Returns a pool without servers.
    pub(crate) fn new(table: TableId, zone: ZoneId) -> Pool {
        Pool { table, zone, entries: vec![], message_times: VecDeque::new(), urgent_since: None }
    }

    /// Adds a server with a weight given as a multiple of the pool's mean weight.
    pub(crate) fn add_server(&mut self, server: ServerIndex, weight: f64) {
        let learned = weight * self.mean_weight();
        let (changed_at, last_sent, retiring) = (Duration::ZERO, 0.0, false);
        self.entries.push(WeightEntry { server, learned, changed_at, last_sent, retiring });
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
