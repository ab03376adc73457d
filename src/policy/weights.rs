//! The mechanism: weights that follow the inverse of the servers' loads.
//!
//! Source: "Towards load-balanced service chaining by Hash-based Traffic Steering on Softswitches" (Thai, Lin, Lin,
//! Lai), algorithm D-HATS, section 4. The paper sets a weight to the group's largest load over the server's own at each
//! interval; here the present weight is multiplied by the pool's mean load over the server's own, within bounds.
//!
//! Responsible for the learned weights alone. What is sent differs by the exceptions of
//! [`effective_weights`](super::effective_weights).

use super::TICK;
use crate::host::{PolicyHost, ServerIndex, ServerKind};
use crate::state::{LoadSample, Policy, Pool, ServerState, WeightEntry, mean, median};
use std::collections::BTreeMap;
use std::time::Duration;

/// The least that an interval multiplies a weight by.
pub(super) const MIN_FACTOR: f64 = 0.8;
/// The most that an interval multiplies a weight by.
const MAX_FACTOR: f64 = 1.25;
/// The narrowest dead band: a factor closer to 1 than the dead band changes nothing.
const DEAD_BAND: f64 = 0.1;
/// Seconds since a weight's last change from which the dead band is no wider than [`DEAD_BAND`].
const FULL_CONFIDENCE_S: f64 = 6.0;
/// The largest weight, in multiples of the pool's mean.
const MAX_WEIGHT: f64 = 3.0;
/// The least weight, as a part of the largest: a server that falls further takes minutes to recover.
const MIN_WEIGHT_OF_MAX: f64 = 0.02;
/// A pool's mean weight further from 1 than this is scaled back to 1.
const MAX_MEAN_DRIFT: f64 = 0.2;

impl Pool {
    /// The mechanism, for one interval: multiplies each weight by the pool's mean load over the server's own.
    ///
    /// `loads` has the load of each entry in any unit that all share, `None` where it is not known.
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
            // A server that is held back looks idle, so it gains nothing by that.
            let may_apply = factor < 1.0 || unrestricted(entry.server);
            if may_apply && (factor - 1.0).abs() >= dead_band(now - entry.changed_at) {
                entry.learned *= factor;
                entry.changed_at = now;
            }
        }
        self.rescale();
    }

    /// Scales a mean that has drifted back to 1, and keeps every weight within its bounds.
    fn rescale(&mut self) {
        let mean = self.mean_weight();
        let scale = if (mean - 1.0).abs() > MAX_MEAN_DRIFT { 1.0 / mean } else { 1.0 };
        let max = MAX_WEIGHT * mean * scale;
        for entry in &mut self.entries {
            entry.learned = (entry.learned * scale).clamp(max * MIN_WEIGHT_OF_MAX, max);
        }
    }
}

/// The dead band of a weight that has not changed for so long. It is wider after a recent change, of which few reports tell.
fn dead_band(unchanged_for: Duration) -> f64 {
    DEAD_BAND * (FULL_CONFIDENCE_S / unchanged_for.as_secs_f64()).sqrt().max(1.0)
}

/// What was measured of a pool's entry since its weight took effect.
struct EntryLoad {
    load: Option<f64>,
    latency_s: Option<f64>,
}

impl<H: PolicyHost> Policy<H> {
    /// Runs the mechanism over all pools.
    pub(super) fn update_weights(&mut self, now: Duration) {
        for i in 0..self.pools.len() {
            let loads = self.entry_loads(now, &self.pools[i]);
            let servers = &self.servers;
            self.pools[i].apply_inverse_load(now, &loads, |server| servers[server].slow_start.is_complete());
        }
    }

    /// Each entry's load. Where no load is known, the wait beside the pool's median wait stands in for it.
    fn entry_loads(&self, now: Duration, pool: &Pool) -> Vec<Option<f64>> {
        let measured: Vec<EntryLoad> = pool.entries.iter().map(|entry| self.entry_load(now, entry)).collect();
        let mean_load = mean(measured.iter().filter_map(|m| m.load));
        let median_latency_s = median(measured.iter().filter_map(|m| m.latency_s)).filter(|wait| *wait > 0.0);
        let load_by_wait = |latency_s: Option<f64>| Some(mean_load? * latency_s? / median_latency_s?);
        measured.iter().map(|m| m.load.or_else(|| load_by_wait(m.latency_s))).collect()
    }

    /// Only reports from after the last change took effect count, or the same change would be made twice.
    fn entry_load(&self, now: Duration, entry: &WeightEntry) -> EntryLoad {
        let server = &self.servers[entry.server];
        let settling = self.observability.report_interval + self.channel.limits.max_transit + TICK;
        let from = now.saturating_sub(ServerState::SAMPLES_KEPT).max(entry.changed_at + settling);
        let counts = server.is_open() && server.warm_at <= now;
        let measure = |of: fn(&LoadSample) -> Option<f64>| server.load.mean(from, of).filter(|_| counts);
        EntryLoad { load: measure(|sample| sample.load), latency_s: measure(|sample| sample.latency_s) }
    }

    /// The learned weight of each server as a multiple of its pool's mean, averaged over the pools that hold it.
    pub fn learned_weights(&self) -> BTreeMap<ServerIndex, f64> {
        let mut by_server: BTreeMap<ServerIndex, Vec<f64>> = BTreeMap::new();
        for pool in &self.pools {
            for entry in &pool.entries {
                by_server.entry(entry.server).or_default().push(entry.learned / pool.mean_weight());
            }
        }
        means(by_server)
    }

    /// Takes over a weight that another policy learned, as a multiple of the pool's mean. Called after the first list
    /// and before any proxy joins.
    pub fn restore_weight(&mut self, server: ServerIndex, weight: f64) {
        let entries = self.pools.iter_mut().flat_map(|pool| &mut pool.entries);
        for entry in entries.filter(|entry| entry.server == server) {
            entry.learned = weight.clamp(MIN_WEIGHT_OF_MAX * MAX_WEIGHT, MAX_WEIGHT);
        }
    }
}

/// The mean learned weight of each kind of server, as a multiple of its pool's mean, over entries that were changed.
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
