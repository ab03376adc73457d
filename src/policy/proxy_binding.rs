//! Proxy binding: assigns a pool to each proxy that joins.

use super::control_channel::Priority;
use crate::host::{PolicyHost, ProxyId, ZoneId};
use crate::state::{Policy, Pool, ProxyState};
use std::time::Duration;

/// The number of steps per request per second in which rates are compared.
const RATE_STEPS_PER_REQUEST: f64 = 1000.0;

impl<H: PolicyHost> Policy<H> {
    /// Records that a proxy has joined, and binds it to a pool if the channel allows. `restarted` is true if the proxy has
    /// just started and holds no table; `request_rate` is its usual rate, in requests per second.
    pub fn proxy_joined(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        zone: ZoneId,
        restarted: bool,
        request_rate: f64,
    ) {
        let zone_was_absent = self.proxies.values().all(|other| !other.bound || other.zone != zone);
        if zone_was_absent && !restarted {
            self.discard_evidence(now, zone);
        }
        let pool = self.proxies.get(&proxy).and_then(|known| known.pool);
        self.proxies.insert(proxy, ProxyState { zone, request_rate, pool, bound: false });
        self.unbound.retain(|other| *other != proxy);
        self.unbound.push_back(proxy);
        self.bind_unbound(now);
    }

    /// Records that a proxy has left. Unknown proxies are ignored.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        if let Some(state) = self.proxies.get_mut(&proxy) {
            state.bound = false;
        }
        self.unbound.retain(|other| *other != proxy);
        // When the last proxy leaves, the entries queued in the channel are lost.
        if self.proxies.values().all(|other| !other.bound) {
            self.channel.clear();
        }
    }

    /// Binds the unbound proxies in the order in which they joined, until the channel is full. Returns true if it bound any.
    pub(super) fn bind_unbound(&mut self, now: Duration) -> bool {
        let unbound_before = self.unbound.len();
        while let Some(&proxy) = self.unbound.front() {
            let Some(pool) = self.pool_for(&self.proxies[&proxy]) else { break };
            if self.bound_to(pool).next().is_none() {
                self.update_unused_pool(now, pool);
            }
            let cost = self.binding_cost(pool);
            if !self.channel.has_room(now, cost, Priority::Mandatory) {
                self.set_urgent_timer(now);
                break;
            }
            self.channel.add(now, cost);
            self.bind(proxy, pool);
            self.unbound.pop_front();
        }
        self.unbound.len() < unbound_before
    }

    /// Returns the pool that a proxy had before; otherwise the pool with the lowest request rate, preferring those of the
    /// proxy's zone.
    fn pool_for(&self, proxy: &ProxyState) -> Option<usize> {
        let order = |pool: &usize| {
            let rate: f64 = self.bound_to(*pool).map(|bound| bound.request_rate).sum();
            (self.pools[*pool].zone != proxy.zone, (RATE_STEPS_PER_REQUEST * rate) as u64)
        };
        proxy.pool.or_else(|| (0..self.pools.len()).min_by_key(order))
    }

    /// Returns true if a proxy uses a pool, or used it when it left.
    pub(super) fn is_in_pool(&self, proxy: ProxyId, pool: usize) -> bool {
        self.proxies.get(&proxy).is_some_and(|state| state.pool == Some(pool))
    }

    /// Returns the proxies that are bound to a pool.
    pub(super) fn bound_to(&self, pool: usize) -> impl Iterator<Item = &ProxyState> {
        self.proxies.values().filter(move |proxy| proxy.bound && proxy.pool == Some(pool))
    }

    /// Returns the cost of a binding to a pool's tables, in entries.
    fn binding_cost(&self, pool: usize) -> f64 {
        let Pool { tables, entries, zone_admission, .. } = &self.pools[pool];
        let sent = entries.iter().flat_map(|entry| &entry.last_sent).filter(|weight| **weight > 0.0).count();
        self.channel.binding_cost(tables.len(), sent + zone_admission.len())
    }

    /// Brings the tables of a pool without bound proxies up to date. Their entries cost nothing, because they go to no
    /// proxy.
    fn update_unused_pool(&mut self, now: Duration, pool: usize) {
        for table in 0..self.pools[pool].tables.len() {
            let scope = self.pools[pool].tables[table].kind.scope;
            let weights = self.effective_weights(&self.pools[pool], scope);
            for (position, weight) in weights.into_iter().enumerate() {
                self.send_weight(pool, table, position, weight);
            }
        }
        let admission = self.changed_zone_admission(now, pool);
        self.send_zone_admission(pool, admission);
    }

    fn bind(&mut self, proxy: ProxyId, pool: usize) {
        for table in &self.pools[pool].tables {
            self.host.bind_proxy(proxy, table.id, table.kind.routes);
        }
        if let Some(state) = self.proxies.get_mut(&proxy) {
            state.pool = Some(pool);
            state.bound = true;
        }
    }
}
