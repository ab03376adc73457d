//! Proxy binding: which pool each proxy uses, from when it joins.

use crate::host::{PolicyHost, ProxyId, RouteSet, ZoneId};
use crate::state::{ControlChannel, Policy, ProxyState};
use std::time::Duration;

/// The set that stands for every route.
const ALL_ROUTES: RouteSet = 0;
/// Rates are compared in steps of a thousandth of a request a second.
const RATE_STEPS_PER_REQUEST: f64 = 1000.0;

impl<H: PolicyHost> Policy<H> {
    /// Tells that a proxy has joined. `restarted` tells that it has just started and holds no table, `request_rate` how many
    /// requests a second it usually gets.
    pub fn proxy_joined(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        zone: ZoneId,
        restarted: bool,
        request_rate: f64,
    ) {
        let zone_was_away = self.proxies.values().all(|other| !other.bound || other.zone != zone);
        if zone_was_away && !restarted {
            self.forget_evidence(now, zone);
        }
        let pool = self.proxies.get(&proxy).and_then(|known| known.pool);
        self.proxies.insert(proxy, ProxyState { zone, request_rate, pool, bound: false });
        self.unbound.retain(|other| *other != proxy);
        self.unbound.push_back(proxy);
        self.bind_waiting(now);
    }

    /// Tells that a proxy has left. Unknown proxies are ignored.
    pub fn proxy_left(&mut self, proxy: ProxyId) {
        if let Some(state) = self.proxies.get_mut(&proxy) {
            state.bound = false;
        }
        self.unbound.retain(|other| *other != proxy);
        // Once all have left, what was queued is lost.
        if self.proxies.values().all(|other| !other.bound) {
            self.channel.queued = 0.0;
        }
    }

    /// Binds waiting proxies in the order in which they joined, as far as the channel allows. Tells whether any was bound.
    pub(super) fn bind_waiting(&mut self, now: Duration) -> bool {
        let waiting_before = self.unbound.len();
        while let Some(&proxy) = self.unbound.front() {
            let Some(pool) = self.pool_for(&self.proxies[&proxy]) else { break };
            if self.bound_to(pool).next().is_none() {
                self.write_unused_pool(pool);
            }
            let entries = self.pools[pool].entries.iter().filter(|entry| entry.last_sent > 0.0).count();
            let cost = self.channel.binding_cost(entries);
            if !self.channel.has_room(now, cost, ControlChannel::MANDATORY_SHARE) {
                self.set_urgent_timer(now);
                break;
            }
            self.channel.add(cost);
            self.bind(proxy, pool);
            self.unbound.pop_front();
        }
        self.unbound.len() < waiting_before
    }

    /// The pool that a proxy had, else the one of its zone with the least traffic, else that of any zone.
    fn pool_for(&self, proxy: &ProxyState) -> Option<usize> {
        let order = |pool: &usize| {
            let rate: f64 = self.bound_to(*pool).map(|bound| bound.request_rate).sum();
            (self.pools[*pool].zone != proxy.zone, (RATE_STEPS_PER_REQUEST * rate) as u64)
        };
        proxy.pool.or_else(|| (0..self.pools.len()).min_by_key(order))
    }

    fn bound_to(&self, pool: usize) -> impl Iterator<Item = &ProxyState> {
        self.proxies.values().filter(move |proxy| proxy.bound && proxy.pool == Some(pool))
    }

    /// A table that no proxy holds costs nothing to bring up to date.
    fn write_unused_pool(&mut self, pool: usize) {
        let weights = self.effective_weights(&self.pools[pool]);
        self.write_weights(pool, weights.into_iter().enumerate());
    }

    fn bind(&mut self, proxy: ProxyId, pool: usize) {
        self.host.bind_proxy(proxy, self.pools[pool].table, ALL_ROUTES);
        if let Some(state) = self.proxies.get_mut(&proxy) {
            state.pool = Some(pool);
            state.bound = true;
        }
    }
}
