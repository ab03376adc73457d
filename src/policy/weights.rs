//! The weight algorithm: learned weights that follow the inverse of the servers' loads.
//!
//! Source: "Towards load-balanced service chaining by Hash-based Traffic Steering on Softswitches" (Thai, Lin, Lin, Lai),
//! algorithm D-HATS, section 4. At each interval, the paper sets a weight to the group's largest load over the server's
//! load; this module multiplies the current weight by the pool's mean load over the server's load, within bounds.
//!
//! This module changes only the learned weights. The weights that are sent also include the exceptions of
//! [`effective_weights`](super::effective_weights).

use super::TICK;
use crate::host::{PolicyHost, ServerIndex, ServerKind};
use crate::state::{LoadSample, Policy, Pool, ServerState, WeightEntry, mean, median};
use std::collections::BTreeMap;
use std::time::Duration;

/// The smallest factor by which an update multiplies a weight.
pub(super) const MIN_FACTOR: f64 = 0.8;
/// The largest factor by which an update multiplies a weight.
const MAX_FACTOR: f64 = 1.25;
/// The minimum width of the dead band: a factor closer to 1 than the dead band changes nothing.
const DEAD_BAND: f64 = 0.1;
/// The time since a weight's last change after which the dead band is [`DEAD_BAND`] wide, in seconds.
const FULL_CONFIDENCE_S: f64 = 6.0;
/// The largest weight, in multiples of the pool's mean.
const MAX_WEIGHT: f64 = 3.0;
/// The smallest weight, as a fraction of the largest. A server with a smaller weight would take minutes to recover.
const MIN_WEIGHT_OF_MAX: f64 = 0.02;
/// The distance of a pool's mean weight from 1 above which the weights are scaled back to a mean of 1.
const MAX_MEAN_DRIFT: f64 = 0.2;

impl Pool {
    /// Runs one update of the algorithm: multiplies each weight by the pool's mean load over the server's load.
    ///
    /// `loads` has the load of each entry, `None` if it is not known; all loads have the same unit. `unrestricted` returns
    /// true for servers that have completed their slow start.
    fn apply_inverse_load(
        &mut self,
        now: Duration,
        loads: &[Option<f64>],
        unrestricted: impl Fn(ServerIndex) -> bool,
    ) {
        let Some(mean_load) = mean(loads.iter().flatten().copied()).filter(|load| *load > 0.0) else {
            return;
        };
        for (entry, load) in self.entries.iter_mut().zip(loads) {
            let Some(load) = *load else { continue };
            let factor = (mean_load / load).clamp(MIN_FACTOR, MAX_FACTOR);
            // A server with reduced weight looks idle, so its low load does not raise its learned weight.
            let may_apply = factor < 1.0 || unrestricted(entry.server);
            if may_apply && (factor - 1.0).abs() >= dead_band(now - entry.changed_at) {
                entry.learned *= factor;
                entry.changed_at = now;
            }
        }
        self.rescale();
    }

    /// Scales the weights to a mean of 1 if the mean has drifted, and clamps every weight to its bounds.
    fn rescale(&mut self) {
        let mean = self.mean_weight();
        let scale = if (mean - 1.0).abs() > MAX_MEAN_DRIFT { 1.0 / mean } else { 1.0 };
        let max = MAX_WEIGHT * mean * scale;
        for entry in &mut self.entries {
            entry.learned = (entry.learned * scale).clamp(max * MIN_WEIGHT_OF_MAX, max);
        }
    }
}

/// Returns the width of the dead band of a weight that has not changed for `unchanged_for`. The band is wider after a recent
/// change, because few reports reflect that change.
fn dead_band(unchanged_for: Duration) -> f64 {
    DEAD_BAND * (FULL_CONFIDENCE_S / unchanged_for.as_secs_f64()).sqrt().max(1.0)
}

/// The load of a pool's entry since its current weight took effect.
struct EntryLoad {
    /// The mean reported load, in the unit of the deployment's metrics.
    load: Option<f64>,
    /// The mean latency, in seconds.
    latency_s: Option<f64>,
}

impl<H: PolicyHost> Policy<H> {
    /// Updates the learned weights of all pools.
    pub(super) fn update_weights(&mut self, now: Duration) {
        for i in 0..self.pools.len() {
            let loads = self.entry_loads(now, &self.pools[i]);
            let servers = &self.servers;
            self.pools[i].apply_inverse_load(now, &loads, |server| servers[server].slow_start.is_complete());
        }
    }

    /// Returns the load of each entry. An unknown load is estimated from the entry's latency relative to the pool's median.
    fn entry_loads(&self, now: Duration, pool: &Pool) -> Vec<Option<f64>> {
        let measured: Vec<EntryLoad> = pool.entries.iter().map(|entry| self.entry_load(now, entry)).collect();
        let mean_load = mean(measured.iter().filter_map(|entry| entry.load));
        let median_latency_s =
            median(measured.iter().filter_map(|entry| entry.latency_s)).filter(|latency_s| *latency_s > 0.0);
        let load_by_latency = |latency_s: Option<f64>| Some(mean_load? * latency_s? / median_latency_s?);
        measured.iter().map(|entry| entry.load.or_else(|| load_by_latency(entry.latency_s))).collect()
    }

    /// Returns the load of an entry. Only reports from after the last change took effect count; otherwise the same change
    /// would be made twice.
    fn entry_load(&self, now: Duration, entry: &WeightEntry) -> EntryLoad {
        let server = &self.servers[entry.server];
        let settling = self.observability.report_interval + self.channel.limits.max_transit + TICK;
        let from = now.saturating_sub(ServerState::SAMPLE_RETENTION).max(entry.changed_at + settling);
        let counts = server.is_available() && server.warm_at <= now;
        let measure =
            |value: fn(&LoadSample) -> Option<f64>| server.load.mean(from, value).filter(|_| counts);
        EntryLoad { load: measure(LoadSample::load), latency_s: measure(|sample| sample.latency_s) }
    }

    /// Returns the learned weight of each server as a multiple of its pool's mean, averaged over the pools that hold it.
    pub fn learned_weights(&self) -> BTreeMap<ServerIndex, f64> {
        let mut by_server: BTreeMap<ServerIndex, Vec<f64>> = BTreeMap::new();
        for pool in &self.pools {
            for entry in &pool.entries {
                by_server.entry(entry.server).or_default().push(entry.learned / pool.mean_weight());
            }
        }
        means(by_server)
    }

    /// Takes over a weight that another policy learned, as a multiple of the pool's mean. Call it after the first endpoint
    /// list and before any proxy joins.
    pub fn restore_weight(&mut self, server: ServerIndex, weight: f64) {
        let entries = self.pools.iter_mut().flat_map(|pool| &mut pool.entries);
        for entry in entries.filter(|entry| entry.server == server) {
            entry.learned = weight.clamp(MIN_WEIGHT_OF_MAX * MAX_WEIGHT, MAX_WEIGHT);
        }
    }
}

/// Returns the mean learned weight of each kind of server, as a multiple of its pool's mean. Only entries whose learned
/// weight has changed count.
pub(super) fn learned_by_kind(pools: &[Pool], servers: &[ServerState]) -> BTreeMap<ServerKind, f64> {
    let mut by_kind: BTreeMap<ServerKind, Vec<f64>> = BTreeMap::new();
    for pool in pools {
        let mean = pool.mean_weight();
        for entry in pool.entries.iter().filter(|entry| entry.changed_at > Duration::ZERO) {
            by_kind.entry(servers[entry.server].kind).or_default().push(entry.learned / mean);
        }
    }
    means(by_kind)
}

fn means<K: Ord>(weights: BTreeMap<K, Vec<f64>>) -> BTreeMap<K, f64> {
    weights.into_iter().filter_map(|(key, all)| Some((key, mean(all.into_iter())?))).collect()
}
