//! Limits how often a proxy may join.

use grebespool::host::ProxyId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A limit on how often each proxy joins.
///
/// Each join sends a whole table through the channel that all proxies share, and two processes with the same name would
/// disconnect each other for ever. A rejected proxy continues with the tables that it holds.
pub struct JoinLimiter {
    max_joins: usize,
    window: Duration,
    joins: BTreeMap<ProxyId, VecDeque<Duration>>,
}

impl JoinLimiter {
    /// Creates a limiter that admits up to `max_joins` of each proxy within `window`.
    pub fn new(max_joins: usize, window: Duration) -> Self {
        JoinLimiter { max_joins, window, joins: BTreeMap::new() }
    }

    /// Admits and counts a join.
    ///
    /// # Errors
    ///
    /// Returns the time until a join would be admitted if the limit is reached. A rejected join is not counted.
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
