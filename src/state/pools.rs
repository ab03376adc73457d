//! Pools: the servers of a weight table, and their weights.

use super::load::mean;
use crate::host::{ServerIndex, TableId, ZoneId};
use std::collections::VecDeque;
use std::time::Duration;

/// A server in a pool: the weight it has earned there, apart from all exceptions, and the weight that was sent.
pub(crate) struct WeightEntry {
    /// The server.
    pub(crate) server: ServerIndex,
    /// The learned weight.
    pub(crate) learned: f64,
    /// When the mechanism last changed the learned weight; zero for never.
    pub(crate) changed_at: Duration,
    /// The weight last sent; 0 for none.
    pub(crate) last_sent: f32,
    /// Not needed in this pool any more; dropped once a weight of 0 is sent.
    pub(crate) retiring: bool,
}

/// One weight table, shared by many proxies of a zone.
pub(crate) struct Pool {
    /// The table that its proxies use.
    pub(crate) table: TableId,
    /// The zone of its proxies.
    pub(crate) zone: ZoneId,
    /// Its servers, in the order in which they were added.
    pub(crate) entries: Vec<WeightEntry>,
    /// When messages were sent to its proxies, oldest first.
    pub(crate) message_times: VecDeque<Duration>,
}

impl Pool {
    /// A pool without servers.
    pub(crate) fn new(table: TableId, zone: ZoneId) -> Pool {
        Pool { table, zone, entries: vec![], message_times: VecDeque::new() }
    }

    /// Adds a server with a weight in multiples of the pool's mean.
    pub(crate) fn add_server(&mut self, server: ServerIndex, weight: f64) {
        let learned = weight * self.mean_weight();
        let (changed_at, last_sent, retiring) = (Duration::ZERO, 0.0, false);
        self.entries.push(WeightEntry { server, learned, changed_at, last_sent, retiring });
    }

    /// The mean of the learned weights; 1 for an empty pool.
    pub(crate) fn mean_weight(&self) -> f64 {
        mean(self.entries.iter().map(|entry| entry.learned)).unwrap_or(1.0)
    }
}

/// How many near and far servers a pool is to hold.
#[derive(Clone, Copy)]
pub(crate) struct SubsetSize {
    /// Servers of the pool's own zone.
    pub(crate) near: usize,
    /// Servers of other zones.
    pub(crate) far: usize,
}

impl SubsetSize {
    /// All servers, as long as one pool a zone holds them.
    pub(crate) const UNLIMITED: SubsetSize = SubsetSize { near: usize::MAX, far: usize::MAX };
}
