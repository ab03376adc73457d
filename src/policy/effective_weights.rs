//! Effective weights: the weights that are sent, which are the learned weights times the exceptions.
//!
//! This module computes every exception to the weights that [`weights`](super::weights) learns, and changes no learned
//! weight. A pool's tables differ only in the zones whose servers they may contain.

use crate::host::PolicyHost;
use crate::state::{Policy, Pool, SlowStart, TableScope, WeightEntry};

/// The factor of remote servers while all local servers of the pool are usable and the zone has no spillover.
const REMOTE_FACTOR: f64 = 0.2;
/// The upper limit of the remote factor by lost local servers, while no local server is warming up. Spillover may raise the
/// factor above it.
const MAX_REMOTE_FACTOR_BY_LOSS: f64 = 0.6;
/// The minimum factor of remote servers over a bad link.
const BAD_LINK_FACTOR: f64 = 0.02;

/// The loss of local weight in a pool, and the use of remote servers that makes up for it.
struct PoolLoss {
    /// The fraction of the local servers' learned weight that may not be used.
    lost: f64,
    /// The factor of remote servers over good links.
    remote_factor: f64,
}

impl<H: PolicyHost> Policy<H> {
    /// Returns the weights to send for a table of a pool, in the order of the pool's entries. The exceptions apply in this
    /// order:
    ///
    /// 1. [`Self::usable_share`]: draining, slow start, outlier ejection and the limit on a zone;
    /// 2. [`Self::locality_factor`]: retiring entries, remote servers, bad links and the scope of the table;
    /// 3. [`Self::cap_warming_servers`]: a warming server gets no additional weight if few others of its pool are usable;
    /// 4. [`Self::fallback_weights`]: outlier ejection does not empty a table.
    pub(super) fn effective_weights(&self, pool: &Pool, scope: TableScope) -> Vec<f32> {
        let shares: Vec<f64> = pool.entries.iter().map(|entry| self.usable_share(entry)).collect();
        let loss = (scope == TableScope::AllZones).then(|| self.pool_loss(pool, &shares));
        let weight = |(entry, share): (&WeightEntry, &f64)| {
            (entry.learned * self.locality_factor(pool, entry, loss.as_ref()) * share) as f32
        };
        let mut weights: Vec<f32> = pool.entries.iter().zip(&shares).map(weight).collect();
        self.cap_warming_servers(pool, &shares, &mut weights);
        if weights.iter().any(|weight| *weight > 0.0) {
            return weights;
        }
        self.fallback_weights(pool, scope)
    }

    /// Returns the share of a server's learned weight that may be used, whatever the zones of the pool and the server are.
    fn usable_share(&self, entry: &WeightEntry) -> f64 {
        let server = &self.servers[entry.server];
        if !server.is_ready() {
            return 0.0;
        }
        let zone_limit = self.zone_spill.weight_limits[usize::from(server.zone)];
        server.slow_start.weight_share(self.admission.pressure).min(zone_limit)
    }

    fn is_local(&self, pool: &Pool, entry: &WeightEntry) -> bool {
        self.servers[entry.server].zone == pool.zone
    }

    /// Computes the loss of a pool. Remote servers make up for lost local servers at once, before the zone's warming servers
    /// are overloaded.
    fn pool_loss(&self, pool: &Pool, shares: &[f64]) -> PoolLoss {
        let local: Vec<(&WeightEntry, f64)> = (pool.entries.iter().zip(shares.iter().copied()))
            .filter(|(entry, _)| self.is_local(pool, entry))
            .collect();
        let learned = local.iter().map(|(entry, _)| entry.learned).sum::<f64>();
        let usable = local.iter().map(|(entry, share)| entry.learned * share).sum::<f64>();
        let lost = 1.0 - if learned > 0.0 { usable / learned } else { 0.0 };
        let warming = local.iter().any(|(entry, _)| self.servers[entry.server].slow_start.warming);
        let newly_started = local.iter().any(|(entry, _)| self.servers[entry.server].is_newly_started());
        let max_by_loss = if warming { 1.0 } else { MAX_REMOTE_FACTOR_BY_LOSS };
        let remote_factor = if pool.own_zone_table().is_none() {
            let spillover = self.zone_spill.spillover[usize::from(pool.zone)];
            REMOTE_FACTOR + ((max_by_loss - REMOTE_FACTOR) * lost).max((1.0 - REMOTE_FACTOR) * spillover)
        } else if newly_started || usable == 0.0 {
            max_by_loss * lost
        } else {
            // The zone is sized for its zone-local routes, so its other routes stay in it as well while it is warm.
            0.0
        };
        PoolLoss { lost, remote_factor }
    }

    /// Returns the factor of a server's weight that results from the zones of the pool and the server. `loss` is `None` for a
    /// table that may contain only the servers of the pool's zone.
    fn locality_factor(&self, pool: &Pool, entry: &WeightEntry, loss: Option<&PoolLoss>) -> f64 {
        let zone = self.servers[entry.server].zone;
        match loss {
            _ if entry.retiring => 0.0,
            _ if zone == pool.zone => 1.0,
            None => 0.0,
            Some(loss) if self.zone_spill.is_bad_link(pool.zone, zone) => {
                BAD_LINK_FACTOR.max(loss.remote_factor * loss.lost.powi(2))
            }
            Some(loss) => loss.remote_factor,
        }
    }

    /// Limits the weights of warming servers to their step of an ordinary share, so that they do not replace the pool's
    /// other servers while few of these are usable.
    fn cap_warming_servers(&self, pool: &Pool, shares: &[f64], weights: &mut [f32]) {
        let local = pool.entries.iter().filter(|entry| self.is_local(pool, entry)).count();
        let ordinary =
            if self.subset_size.is_unlimited() { local } else { local.max(self.subset_size.local) };
        let sum = f64::from(weights.iter().sum::<f32>());
        let cap = SlowStart::MAX_SHARE * sum / (ordinary.max(1) as f64 * pool.mean_weight());
        for ((weight, entry), share) in weights.iter_mut().zip(&pool.entries).zip(shares) {
            if self.servers[entry.server].slow_start.warming {
                *weight = weight.min((cap * entry.learned * share) as f32);
            }
        }
    }

    /// Returns weights for a table that would be empty: equal ones for all ready servers of the scope. In a table of one
    /// zone, whose requests no other server can take, servers that are not ejected keep their learned weights.
    fn fallback_weights(&self, pool: &Pool, scope: TableScope) -> Vec<f32> {
        if scope == TableScope::OwnZone {
            let weights = self.weights_without_limits(pool);
            if weights.iter().any(|weight| *weight > 0.0) {
                return weights;
            }
        }
        let is_allowed = |entry: &WeightEntry| {
            let in_scope = scope == TableScope::AllZones || self.is_local(pool, entry);
            in_scope && self.servers[entry.server].is_ready()
        };
        pool.entries.iter().map(|entry| f32::from(u8::from(is_allowed(entry)))).collect()
    }

    /// Returns the learned weights of a pool's local servers times their steps of the slow start. Neither the pressure nor
    /// the limit on a zone reduces them, which would reduce all of them alike.
    fn weights_without_limits(&self, pool: &Pool) -> Vec<f32> {
        let weight = |entry: &WeightEntry| {
            let server = &self.servers[entry.server];
            let is_usable = server.is_ready() && !entry.retiring && self.is_local(pool, entry);
            if is_usable { (entry.learned * server.slow_start.step_share()) as f32 } else { 0.0 }
        };
        pool.entries.iter().map(weight).collect()
    }
}
