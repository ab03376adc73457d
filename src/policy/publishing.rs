//! Publishing: sends the weights and admission levels that have changed, the most urgent first, as far as the control channel
//! has room. What does not fit is sent later, as it is by then.

use super::weights::MIN_FACTOR;
use crate::host::PolicyHost;
use crate::state::{AdmissionSetting, ControlChannel, Policy, WeightEntry};
use rand::seq::SliceRandom;
use std::time::Duration;

/// A message's own entry, beside the channel's overhead.
const MESSAGE_ENTRIES: f64 = 1.0;
/// A cut is ordinary where the new weight is more than this part of [`MIN_FACTOR`] times the old one: what one interval cuts
/// stays ordinary.
const ORDINARY_FACTOR_PART: f64 = 0.9;
/// A cut of a warming server's weight to less than this part of the old one is mandatory.
const MANDATORY_WARMING_FACTOR: f64 = 0.3;

/// A weight that has changed.
struct WeightChange {
    /// Position in the pool.
    entry: usize,
    weight: f32,
    /// The share of the channel that it may use.
    share: f64,
}

/// The changes of one pool.
struct PoolUpdate {
    pool: usize,
    /// The share of the channel that the message may use.
    share: f64,
    changes: Vec<WeightChange>,
}

impl<H: PolicyHost> Policy<H> {
    /// Sends what has changed: admission first, then the pools by urgency, then the tables of proxies that wait for one. Asks
    /// for an acknowledgement where anything was sent.
    pub(super) fn publish(&mut self, now: Duration) {
        let sent_before = self.channel.sent;
        let proxies = self.bound_proxies_by_pool();
        let admission_sent = self.publish_admission(now, proxies.iter().sum());
        let mut updates = self.pool_updates(&proxies);
        // Where not all fits, none is always the last.
        updates.shuffle(&mut self.rng);
        updates.sort_by(|a, b| b.share.total_cmp(&a.share));
        let mut any_sent = admission_sent;
        for update in updates {
            let proxies = proxies[update.pool];
            any_sent |= self.publish_pool(now, update, proxies, admission_sent);
        }
        if self.bind_waiting(now) || any_sent {
            let number = self.channel.next_ack(sent_before);
            self.host.request_ack(number);
        }
    }

    /// By pool: how many proxies are bound to it.
    fn bound_proxies_by_pool(&self) -> Vec<f64> {
        let mut proxies = vec![0.0; self.pools.len()];
        for pool in self.proxies.values().filter(|proxy| proxy.bound).filter_map(|proxy| proxy.pool) {
            proxies[pool] += 1.0;
        }
        proxies
    }

    /// The changes of each pool that a proxy is bound to.
    fn pool_updates(&self, proxies: &[f64]) -> Vec<PoolUpdate> {
        let used = (0..self.pools.len()).filter(|pool| proxies[*pool] > 0.0);
        used.filter_map(|pool| self.pool_update(pool)).collect()
    }

    fn pool_update(&self, pool: usize) -> Option<PoolUpdate> {
        let entries = &self.pools[pool].entries;
        let weights = self.effective_weights(&self.pools[pool]);
        let changes: Vec<WeightChange> = (entries.iter().zip(weights).enumerate())
            .filter(|(_, (entry, weight))| *weight != entry.last_sent)
            .map(|(i, (entry, weight))| WeightChange {
                entry: i,
                weight,
                share: self.channel_share(entry, weight),
            })
            .collect();
        if changes.is_empty() {
            return None;
        }
        let is_usable = |entry: &WeightEntry| entry.last_sent > 0.0 && self.servers[entry.server].is_ready();
        let share = if entries.iter().any(is_usable) {
            changes.iter().map(|change| change.share).fold(0.0, f64::max)
        } else {
            ControlChannel::MANDATORY_SHARE
        };
        Some(PoolUpdate { pool, share, changes })
    }

    /// The share of the channel that a change may use: the more it takes from a server, the larger.
    fn channel_share(&self, entry: &WeightEntry, weight: f32) -> f64 {
        let factor = f64::from(weight) / f64::from(entry.last_sent);
        let server = &self.servers[entry.server];
        let warming = server.slow_start.warming;
        // Not a number where no weight is sent and none was.
        if factor.is_nan() || factor > ORDINARY_FACTOR_PART * MIN_FACTOR {
            ControlChannel::ORDINARY_SHARE
        } else if !server.is_ready() || (warming && factor < MANDATORY_WARMING_FACTOR) {
            ControlChannel::MANDATORY_SHARE
        } else if warming {
            ControlChannel::OVERLOAD_SHARE
        } else {
            ControlChannel::PROTECTIVE_SHARE
        }
    }

    /// Entries that a message of so many lines costs the channel.
    fn message_cost(&self, proxies: f64, lines: usize) -> f64 {
        proxies * (lines as f64 + (self.channel.limits.message_overhead + MESSAGE_ENTRIES))
    }

    /// Sends a pool's changes; where not all fit, those that are as urgent as the message. Tells whether it was sent.
    fn publish_pool(&mut self, now: Duration, update: PoolUpdate, proxies: f64, joins_message: bool) -> bool {
        let PoolUpdate { pool, share, mut changes } = update;
        let message_times = &mut self.pools[pool].message_times;
        let may_send = joins_message || self.channel.may_send_message(now, message_times, share);
        let full_cost = self.message_cost(proxies, changes.len());
        if !self.channel.has_room(now, full_cost, share) {
            changes.retain(|change| change.share >= share);
        }
        let cost = self.message_cost(proxies, changes.len());
        if may_send && self.channel.has_room(now, cost, share) {
            self.channel.add(cost);
            if !joins_message {
                self.pools[pool].message_times.push_back(now);
            }
            self.write_weights(pool, changes.into_iter().map(|change| (change.entry, change.weight)));
            return true;
        }
        if share >= ControlChannel::MANDATORY_SHARE {
            self.set_urgent_timer(now);
        }
        false
    }

    /// Commands the weights that differ from what was last sent, by position in the pool.
    pub(super) fn write_weights(&mut self, pool: usize, weights: impl Iterator<Item = (usize, f32)>) {
        let pool = &mut self.pools[pool];
        for (position, weight) in weights {
            let entry = &mut pool.entries[position];
            if entry.last_sent != weight {
                entry.last_sent = weight;
                self.host.set_weight(pool.table, entry.server, weight);
            }
        }
    }

    /// Sends the admission settings that have changed to all bound proxies. Tells whether a message was sent.
    fn publish_admission(&mut self, now: Duration, bound: f64) -> bool {
        let settings: Vec<AdmissionSetting> =
            (0..self.routes.len()).map(|route| self.admission_setting(now, route)).collect();
        let changed: Vec<usize> =
            (0..settings.len()).filter(|route| settings[*route] != self.admission.written[*route]).collect();
        let cost = self.message_cost(bound, changed.len());
        if changed.is_empty() || !self.may_message_every_pool(now) {
            return false;
        }
        if !self.channel.has_room(now, cost, ControlChannel::OVERLOAD_SHARE) {
            return false;
        }
        for route in changed {
            let setting = settings[route];
            self.admission.written[route] = setting;
            self.host.set_admission(1 << route, setting.level, setting.retries);
        }
        self.channel.add(cost);
        let any_bound = bound > 0.0;
        if any_bound {
            self.pools.iter_mut().for_each(|pool| pool.message_times.push_back(now));
        }
        any_bound
    }

    fn admission_setting(&self, now: Duration, route: usize) -> AdmissionSetting {
        AdmissionSetting { level: self.admission_level(now, route), retries: self.retry_policy(route) }
    }

    fn may_message_every_pool(&mut self, now: Duration) -> bool {
        let channel = &self.channel;
        let may_send = |times| channel.may_send_message(now, times, ControlChannel::OVERLOAD_SHARE);
        !self.pools.is_empty() && self.pools.iter_mut().all(|pool| may_send(&mut pool.message_times))
    }
}
