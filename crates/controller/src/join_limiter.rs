//! How often a proxy may join.

use grebespool::host::ProxyId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Limits how often each proxy joins.
///
/// Each join costs a whole table of the channel, which all proxies share; two processes with one name would push each
/// other out for ever. A proxy that is rejected goes on with the tables that it holds.
pub struct JoinLimiter {
    max_joins: usize,
    window: Duration,
    joins: BTreeMap<ProxyId, VecDeque<Duration>>,
}

impl JoinLimiter {
    /// Allows each proxy `max_joins` within `window`.
    pub fn new(max_joins: usize, window: Duration) -> Self {
        JoinLimiter { max_joins, window, joins: BTreeMap::new() }
    }

    /// Counts a join and admits it.
    ///
    /// # Errors
    ///
    /// The time until the next join would be admitted. A rejected join is not counted.
    pub fn admit(&mut self, now: Duration, proxy: ProxyId) -> Result<(), Duration> {
        let joins = self.joins.entry(proxy).or_default();
        while joins.front().is_some_and(|joined_at| now.saturating_sub(*joined_at) >= self.window) {
            joins.pop_front();
        }
        match joins.front() {
            Some(first) if joins.len() >= self.max_joins => Err(self.window.saturating_sub(now - *first)),
            _ => {
                joins.push_back(now);
                Ok(())
            }
        }
    }
}
