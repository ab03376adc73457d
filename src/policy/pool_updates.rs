//! Pool updates: the weights and admission settings of each pool that differ from those last sent, and their priorities.

use super::control_channel::Priority;
use super::weights::MIN_FACTOR;
use super::zone_admission::RouteAdmission;
use crate::host::PolicyHost;
use crate::state::{Policy, Pool, WeightEntry};
use std::time::Duration;

/// The fraction of [`MIN_FACTOR`] that separates ordinary from protective reductions: one weight update multiplies a weight
/// by [`MIN_FACTOR`] or more, and its reductions are ordinary.
const ORDINARY_FACTOR_FRACTION: f64 = 0.9;
/// The factor below which a reduction of a warming server's weight is mandatory.
const MANDATORY_WARMING_FACTOR: f64 = 0.3;

/// A weight that has changed.
pub(super) struct WeightChange {
    /// The position of the table in the pool.
    pub(super) table: usize,
    /// The position of the entry in the pool.
    pub(super) entry: usize,
    /// The weight that was last sent.
    pub(super) last_sent: f32,
    /// The new weight.
    pub(super) weight: f32,
    /// The priority of the change.
    pub(super) priority: Priority,
}

impl WeightChange {
    /// Returns the difference between the weights.
    pub(super) fn magnitude(&self) -> f32 {
        (self.weight - self.last_sent).abs()
    }
}

/// The changes of one pool.
pub(super) struct PoolUpdate {
    /// The position of the pool.
    pub(super) pool: usize,
    /// The priority of the message.
    pub(super) priority: Priority,
    /// The changed weights.
    pub(super) changes: Vec<WeightChange>,
    /// The changed admission of the zone-local routes.
    pub(super) zone_admission: Vec<RouteAdmission>,
}

impl<H: PolicyHost> Policy<H> {
    /// Returns the changes of each pool that has bound proxies.
    pub(super) fn pool_updates(&self, now: Duration, proxies: &[f64]) -> Vec<PoolUpdate> {
        let used = (0..self.pools.len()).filter(|pool| proxies[*pool] > 0.0);
        used.filter_map(|pool| self.pool_update(now, pool)).collect()
    }

    fn pool_update(&self, now: Duration, pool: usize) -> Option<PoolUpdate> {
        let tables = 0..self.pools[pool].tables.len();
        let changes: Vec<WeightChange> =
            tables.flat_map(|table| self.table_changes(&self.pools[pool], table)).collect();
        let zone_admission = self.changed_zone_admission(now, pool);
        let by_weights = changes.iter().map(|change| change.priority).max();
        let by_admission = (!zone_admission.is_empty()).then_some(Priority::Overload);
        let priority = by_weights.max(by_admission)?;
        Some(PoolUpdate { pool, priority, changes, zone_admission })
    }

    /// Returns the changes of a table. All weights of a table without usable servers are mandatory.
    fn table_changes(&self, pool: &Pool, table: usize) -> Vec<WeightChange> {
        let weights = self.effective_weights(pool, pool.tables[table].kind.scope);
        let is_empty = !self.has_usable_server(pool, table);
        let change = |(position, (entry, weight)): (usize, (&WeightEntry, f32))| WeightChange {
            table,
            entry: position,
            last_sent: entry.last_sent[table],
            weight,
            priority: if is_empty && weight > 0.0 {
                Priority::Mandatory
            } else {
                self.priority(entry, table, weight)
            },
        };
        let entries = pool.entries.iter().zip(weights).enumerate();
        entries.filter(|(_, (entry, weight))| *weight != entry.last_sent[table]).map(change).collect()
    }

    /// Returns true if a ready server is in a table, by what was last sent.
    fn has_usable_server(&self, pool: &Pool, table: usize) -> bool {
        let is_usable =
            |entry: &WeightEntry| entry.last_sent[table] > 0.0 && self.servers[entry.server].is_ready();
        pool.entries.iter().any(is_usable)
    }

    /// Returns the priority of a change, which is higher for larger reductions of a weight. Whatever the reduction is, proxies
    /// may not go on to send a server that has started the load of a warm one.
    fn priority(&self, entry: &WeightEntry, table: usize, weight: f32) -> Priority {
        let last_sent = entry.last_sent[table];
        let factor = f64::from(weight) / f64::from(last_sent);
        let server = &self.servers[entry.server];
        let warming = server.slow_start.warming;
        if entry.start_unsent[table] && weight < last_sent {
            return Priority::Mandatory;
        }
        // The factor is not a number if both weights are 0.
        if factor.is_nan() || factor > ORDINARY_FACTOR_FRACTION * MIN_FACTOR {
            Priority::Ordinary
        } else if !server.is_ready() || (warming && factor < MANDATORY_WARMING_FACTOR) {
            Priority::Mandatory
        } else if warming {
            Priority::Overload
        } else {
            Priority::Protective
        }
    }
}
