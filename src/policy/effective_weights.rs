//! The weights that are sent: learned ones times the exceptions. Responsible for every exception to the mechanism of
//! [`weights`](super::weights); changes nothing that is learned.

use crate::host::PolicyHost;
use crate::state::{Policy, Pool, SlowStart, WeightEntry};

/// A far server's factor beside near ones, where its pool's zone has lost nothing.
const FAR_FACTOR: f64 = 0.2;
/// The most that it rises to by lost near servers, where none of these is warming up. A zone that leans on others may go
/// beyond it.
const MAX_FAR_FACTOR_BY_LOSS: f64 = 0.6;
/// The same over a bad link.
const BAD_LINK_FACTOR: f64 = 0.02;

/// What the pool of some entries has left, and how it fills up.
struct PoolLoss {
    /// The part of the near servers' learned weight that may not be used.
    lost: f64,
    /// The factor of far servers over good links.
    far_factor: f64,
    /// Some route may not leave its zone, and a near server is ready: all routes share the table, so none may use far servers.
    forbids_remote: bool,
}

impl<H: PolicyHost> Policy<H> {
    /// The weights to send for a pool, in the order of its entries. The exceptions apply in this order:
    ///
    /// 1. [`Self::usable_share`]: draining, slow start, outlier ejection and the limit on a zone;
    /// 2. [`Self::locality_factor`]: retiring entries, far servers, bad links, routes that stay local;
    /// 3. [`Self::cap_warming_servers`]: a warming server gets no more where few others of its pool are usable;
    /// 4. [`Self::fallback_weights`]: no table is emptied by outlier ejection.
    pub(super) fn effective_weights(&self, pool: &Pool) -> Vec<f32> {
        let shares: Vec<f64> = pool.entries.iter().map(|entry| self.usable_share(entry)).collect();
        let loss = self.pool_loss(pool, &shares);
        let weight = |(entry, share): (&WeightEntry, &f64)| {
            (entry.learned * self.locality_factor(pool, entry, &loss) * share) as f32
        };
        let mut weights: Vec<f32> = pool.entries.iter().zip(&shares).map(weight).collect();
        self.cap_warming_servers(pool, &shares, &mut weights);
        if weights.iter().any(|weight| *weight > 0.0) {
            return weights;
        }
        self.fallback_weights(pool, loss.forbids_remote)
    }

    /// The part of a server's learned weight that may be used, wherever the server is.
    fn usable_share(&self, entry: &WeightEntry) -> f64 {
        let server = &self.servers[entry.server];
        if !server.is_ready() {
            return 0.0;
        }
        let zone_limit = self.zone_spill.weight_limits[usize::from(server.zone)];
        server.slow_start.weight_share(self.admission.pressure).min(zone_limit)
    }

    fn is_near(&self, pool: &Pool, entry: &WeightEntry) -> bool {
        self.servers[entry.server].zone == pool.zone
    }

    /// Far servers make up at once for what a zone has lost, before its warming servers are overloaded.
    fn pool_loss(&self, pool: &Pool, shares: &[f64]) -> PoolLoss {
        let near: Vec<(&WeightEntry, f64)> = (pool.entries.iter().zip(shares.iter().copied()))
            .filter(|(entry, _)| self.is_near(pool, entry))
            .collect();
        let learned = near.iter().map(|(entry, _)| entry.learned).sum::<f64>();
        let usable = near.iter().map(|(entry, share)| entry.learned * share).sum::<f64>();
        let lost = 1.0 - if learned > 0.0 { usable / learned } else { 0.0 };
        let warming = near.iter().any(|(entry, _)| self.servers[entry.server].slow_start.warming);
        let max_far_factor = if warming { 1.0 } else { MAX_FAR_FACTOR_BY_LOSS };
        let lean = self.zone_spill.lean[usize::from(pool.zone)];
        let far_factor = FAR_FACTOR + ((max_far_factor - FAR_FACTOR) * lost).max((1.0 - FAR_FACTOR) * lean);
        let forbids_remote = self.routes.iter().any(|route| route.zone_local)
            && near.iter().any(|(entry, _)| self.servers[entry.server].is_ready());
        PoolLoss { lost, far_factor, forbids_remote }
    }

    /// What a server counts for in a pool by the zones of both.
    fn locality_factor(&self, pool: &Pool, entry: &WeightEntry, loss: &PoolLoss) -> f64 {
        let zone = self.servers[entry.server].zone;
        if entry.retiring {
            0.0
        } else if zone == pool.zone {
            1.0
        } else if loss.forbids_remote {
            // A route that may not leave the zone shares its table with the others.
            0.0
        } else if self.zone_spill.is_bad_link(pool.zone, zone) {
            BAD_LINK_FACTOR.max(loss.far_factor * loss.lost.powi(2))
        } else {
            loss.far_factor
        }
    }

    /// Limits a warming server to its step of an ordinary share, where few other servers of its pool are usable.
    fn cap_warming_servers(&self, pool: &Pool, shares: &[f64], weights: &mut [f32]) {
        let near = pool.entries.iter().filter(|entry| self.is_near(pool, entry)).count();
        let ordinary = if self.subset_size.is_unlimited() { near } else { near.max(self.subset_size.near) };
        let sum = f64::from(weights.iter().sum::<f32>());
        let cap = SlowStart::MAX_SHARE * sum / (ordinary.max(1) as f64 * pool.mean_weight());
        for ((weight, entry), share) in weights.iter_mut().zip(&pool.entries).zip(shares) {
            if self.servers[entry.server].slow_start.warming {
                *weight = weight.min((cap * entry.learned * share) as f32);
            }
        }
    }

    /// Even weights over all ready servers that the routes allow.
    fn fallback_weights(&self, pool: &Pool, forbids_remote: bool) -> Vec<f32> {
        let is_allowed = |entry: &WeightEntry| {
            self.servers[entry.server].is_ready() && (!forbids_remote || self.is_near(pool, entry))
        };
        pool.entries.iter().map(|entry| f32::from(u8::from(is_allowed(entry)))).collect()
    }
}
