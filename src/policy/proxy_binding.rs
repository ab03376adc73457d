//! Proxies that join, and the pool that each is bound to.

use super::*;

impl<H: PolicyHost> Policy<H> {
    /// `bare` tells that the proxy has only just started, `rate` how many calls a second it usually gets.
    pub fn proxy_joined(&mut self, now: Duration, proxy: ProxyId, zone: ZoneId, bare: bool, rate: f64) {
        if !bare && self.proxies.values().all(|p| !p.bound || p.zone != zone) {
            self.forget(now, zone);
        }
        let pool = self.proxies.get(&proxy).and_then(|p| p.pool);
        self.proxies.insert(proxy, Joined { zone, rate, pool, bound: false });
        self.unbound.retain(|p| *p != proxy);
        self.unbound.push_back(proxy);
        self.bind_waiting(now);
    }

    pub fn proxy_left(&mut self, proxy: ProxyId) {
        self.proxies.entry(proxy).and_modify(|p| p.bound = false);
        self.unbound.retain(|p| *p != proxy);
        // Once all have left, what was under way is lost.
        self.channel.waiting *= f64::from(u8::from(self.proxies.values().any(|p| p.bound)));
    }

    /// Whether any were bound.
    pub(super) fn bind_waiting(&mut self, now: Duration) -> bool {
        let before = self.unbound.len();
        while let Some(&proxy) = self.unbound.front() {
            let Joined { zone, pool, .. } = self.proxies[&proxy];
            // A new one gets the pool of its zone that is asked for the least.
            let holders = |i: usize| self.proxies.values().filter(move |p| p.bound && p.pool == Some(i));
            let asked = |i: usize| holders(i).map(|p| p.rate).sum::<f64>();
            let key = |i: &usize| (self.pools[*i].zone != zone, (1000.0 * asked(*i)) as u64);
            let Some(pool) = pool.or_else(|| (0..self.pools.len()).min_by_key(key)) else { break };
            // A table that nobody holds costs nothing to bring up to date.
            if holders(pool).next().is_none() {
                let wanted = self.compose(&self.pools[pool]);
                self.write(pool, wanted.into_iter().enumerate());
            }
            let lines = self.pools[pool].lines.iter().filter(|l| l.written > 0.0).count();
            let cost = 2.0 + lines as f64 + self.channel.pace.message_overhead;
            if !self.channel.room(now, cost, Channel::BINDING) {
                self.wake_urgent(now);
                break;
            }
            self.channel.add(cost);
            self.host.bind_proxy(proxy, self.pools[pool].table, 0);
            self.proxies.entry(proxy).and_modify(|p| (p.pool, p.bound) = (Some(pool), true));
            self.unbound.pop_front();
        }
        self.unbound.len() < before
    }
}
