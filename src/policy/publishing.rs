//! Publishing: sends changed weights and admission levels, the most urgent first, until the control channel is full.
//!
//! A change that does not fit is not stored: a later call computes and sends the values of that time.

use super::control_channel::Priority;
use super::pool_updates::{PoolUpdate, WeightChange};
use super::zone_admission::RouteAdmission;
use crate::host::{PolicyHost, UrgentDelays};
use crate::state::{AdmissionSetting, Policy, Pool};
use rand::seq::SliceRandom;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

/// The cost of a message in addition to its own entries and the channel's overhead, in entries.
const MESSAGE_ENTRIES: f64 = 1.0;

impl<H: PolicyHost> Policy<H> {
    /// Sends the changes: admission first, then the pools by urgency, then the tables of unbound proxies. Requests an
    /// acknowledgement if anything was sent.
    pub(super) fn publish(&mut self, now: Duration) {
        let sent_before = self.channel.sent;
        let proxies = self.bound_proxies_by_pool();
        let admission_sent = self.publish_admission(now, proxies.iter().sum());
        let mut updates = self.pool_updates(now, &proxies);
        self.forget_urgent_changes_but(&updates);
        // Pools of the same urgency are in random order, so that no pool is always the one whose changes do not fit.
        updates.shuffle(&mut self.rng);
        updates.sort_by_key(|update| Reverse(update.priority));
        let mut any_sent = admission_sent;
        for update in updates {
            let proxies = proxies[update.pool];
            any_sent |= self.publish_pool(now, update, proxies, admission_sent);
        }
        if self.bind_unbound(now) || any_sent {
            let number = self.channel.next_ack(sent_before);
            self.host.request_ack(number);
        }
    }

    /// Forgets the waiting time of urgent changes that are no longer needed: only pools with a mandatory update have one.
    fn forget_urgent_changes_but(&mut self, updates: &[PoolUpdate]) {
        let is_urgent = |update: &&PoolUpdate| update.priority == Priority::Mandatory;
        let urgent: BTreeSet<usize> = updates.iter().filter(is_urgent).map(|update| update.pool).collect();
        for (index, pool) in self.pools.iter_mut().enumerate() {
            if !urgent.contains(&index) {
                pool.urgent_since = None;
            }
        }
    }

    /// Returns, by pool, the number of proxies that are bound to it.
    fn bound_proxies_by_pool(&self) -> Vec<f64> {
        let mut proxies = vec![0.0; self.pools.len()];
        for pool in self.proxies.values().filter(|proxy| proxy.bound).filter_map(|proxy| proxy.pool) {
            proxies[pool] += 1.0;
        }
        proxies
    }

    /// Returns the cost of a message of `entries` entries to each of `proxies` proxies, in entries.
    pub(super) fn message_cost(&self, proxies: f64, entries: usize) -> f64 {
        proxies * (entries as f64 + (self.channel.limits.message_overhead + MESSAGE_ENTRIES))
    }

    /// Sends a pool's changes; if not all of them fit, only those that are as urgent as the message, and of those that may wait
    /// only the largest. Returns true if the message was sent. `joins_message` is true if the changes become part of an
    /// admission message that is already counted.
    fn publish_pool(&mut self, now: Duration, update: PoolUpdate, proxies: f64, joins_message: bool) -> bool {
        let PoolUpdate { pool, priority, mut changes, zone_admission } = update;
        let limit = self.message_limit(now);
        let Pool { message_times, urgent_since, .. } = &mut self.pools[pool];
        let waiting_since = *urgent_since;
        let may_send = joins_message || limit.may_send(now, message_times, priority, waiting_since);
        let full_cost = self.message_cost(proxies, changes.len() + zone_admission.len());
        if !self.channel.has_room(now, full_cost, priority) || !self.is_in_time(now, full_cost, waiting_since)
        {
            changes.retain(|change| change.priority >= priority);
        }
        if priority < Priority::Mandatory {
            self.limit_to_largest(now, &mut changes, proxies, zone_admission.len());
        }
        let entries = changes.len() + zone_admission.len();
        let cost = self.message_cost(proxies, entries);
        if may_send && entries > 0 && self.channel.has_room(now, cost, priority) {
            self.record_urgent_sent(now, pool);
            self.channel.add(now, cost);
            if !joins_message {
                self.pools[pool].message_times.push_back(now);
            }
            for WeightChange { table, entry, weight, .. } in changes {
                self.send_weight(pool, table, entry, weight);
            }
            self.send_zone_admission(pool, zone_admission);
            return true;
        }
        if priority == Priority::Mandatory {
            self.record_urgent_delayed(now, pool, may_send);
            self.set_urgent_timer(now);
        }
        false
    }

    /// Counts an urgent change of a pool that has to wait, once until a message to the pool is sent.
    fn record_urgent_delayed(&mut self, now: Duration, pool: usize, within_message_limit: bool) {
        let since = &mut self.pools[pool].urgent_since;
        if since.is_some() {
            return;
        }
        *since = Some(now);
        let delays = &mut self.channel.urgent_delays;
        let count = if within_message_limit { &mut delays.by_queue } else { &mut delays.by_message_limit };
        *count += 1;
    }

    /// Records for how long an urgent change of a pool has waited, if one has.
    fn record_urgent_sent(&mut self, now: Duration, pool: usize) {
        if let Some(since) = self.pools[pool].urgent_since.take() {
            let delays = &mut self.channel.urgent_delays;
            delays.longest = delays.longest.max(now.saturating_sub(since));
        }
    }

    /// Returns the urgent changes that could not be sent at once.
    pub fn urgent_delays(&self) -> UrgentDelays {
        self.channel.urgent_delays
    }

    /// Sends the weight of the entry at a position of a pool, if it differs from the last one sent for the table.
    pub(super) fn send_weight(&mut self, pool: usize, table: usize, position: usize, weight: f32) {
        let pool = &mut self.pools[pool];
        let entry = &mut pool.entries[position];
        entry.start_unsent[table] = false;
        if entry.last_sent[table] != weight {
            entry.last_sent[table] = weight;
            self.host.set_weight(pool.tables[table].id, entry.server, weight);
        }
    }

    /// Sends changed admission settings of a pool's zone-local routes.
    pub(super) fn send_zone_admission(&mut self, pool: usize, changes: Vec<RouteAdmission>) {
        for RouteAdmission { table, route, setting } in changes {
            self.pools[pool].zone_admission.insert(route, setting);
            self.host.set_table_admission(table, 1 << route, setting.level, setting.retries);
        }
    }

    /// Sends the changed admission settings to all bound proxies. Returns true if a message was sent.
    fn publish_admission(&mut self, now: Duration, bound: f64) -> bool {
        let settings: Vec<AdmissionSetting> =
            (0..self.routes.len()).map(|route| self.admission_setting(now, route)).collect();
        let changed: Vec<usize> = (0..settings.len())
            .filter(|route| settings[*route] != self.admission.last_sent[*route])
            .collect();
        let cost = self.message_cost(bound, changed.len());
        if changed.is_empty() || !self.may_message_every_pool(now) || !self.may_delay_urgent(now, cost) {
            return false;
        }
        if !self.channel.has_room(now, cost, Priority::Overload) {
            return false;
        }
        for route in changed {
            let setting = settings[route];
            self.admission.last_sent[route] = setting;
            self.host.set_admission(1 << route, setting.level, setting.retries);
        }
        self.channel.add(now, cost);
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
        let limit = self.message_limit(now);
        let may_send =
            |pool: &mut Pool| limit.may_send(now, &mut pool.message_times, Priority::Overload, None);
        !self.pools.is_empty() && self.pools.iter_mut().all(may_send)
    }
}
