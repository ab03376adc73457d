//! The rules of the service, checked against the proxies' tables and the load of the servers.

use super::Fleet;
use super::load::MIN_CAPACITY;
use crate::ms;
use std::time::Duration;

/// Limits of the rules, with the platform's slack included.
#[derive(Debug, Clone, Copy)]
pub struct RuleLimits {
    /// Longest time for which a joined proxy may have no server that it can use.
    pub without_server: Duration,
    /// Longest time for which a proxy's table may have a server that drains.
    pub drain_grace: Duration,
    /// Multiple of its capacity that a cold server may be sent over `overload_window`.
    pub overload_multiple: f64,
    /// Time over which the load of a cold server is summed up.
    pub overload_window: Duration,
    /// Shortest time from a planner's first answer to the start of any time limit.
    pub settling: Duration,
}

impl Default for RuleLimits {
    fn default() -> Self {
        RuleLimits {
            without_server: ms(1300),
            drain_grace: ms(2300),
            overload_multiple: 2.5,
            overload_window: ms(3000),
            settling: ms(1000),
        }
    }
}

impl Fleet {
    pub(super) fn check_rules(&mut self, now: Duration) {
        for node in 0..self.proxies.len() {
            self.check_proxy(now, node);
        }
        for number in 0..self.servers.len() {
            self.check_cold_load(now, number);
        }
    }

    /// Checks rules 1 and 3: a joined proxy has a server that it can use, and its table has no server that has been draining for
    /// longer than the grace.
    fn check_proxy(&mut self, now: Duration, node: usize) {
        let limits = self.limits;
        let (servers, proxy) = (&self.servers, &mut self.proxies[node]);
        let has_usable = proxy.table.keys().any(|server| servers[*server].draining_since.is_none());
        proxy.unusable_since = if has_usable { None } else { proxy.unusable_since.or(Some(now)) };
        let Some(stream) = proxy.stream.as_ref().filter(|stream| !self.cut_off[stream.planner]) else {
            return;
        };
        let planner = stream.planner;
        let limits_start = stream.opened_at.max(self.answered_at[planner] + limits.settling);
        let exceeds = |since: Duration, limit| now.saturating_sub(limits_start.max(since)) > limit;
        if proxy.unusable_since.is_some_and(|since| exceeds(since, limits.without_server)) {
            self.breaches
                .push(format!("rule 1 at {now:?}: proxy {node} of planner {planner} has no usable server"));
        }
        for server in proxy.table.keys() {
            if servers[*server].draining_since.is_some_and(|since| exceeds(since, limits.drain_grace)) {
                let breach =
                    format!("rule 3 at {now:?}: proxy {node} of planner {planner} still lists s{server}");
                self.breaches.push(breach);
            }
        }
    }

    /// Checks rule 4: a cold server is not sent more than a multiple of its capacity.
    fn check_cold_load(&mut self, now: Duration, number: usize) {
        let limits = self.limits;
        let server = &self.servers[number];
        let Some(age) = server.started_at.map(|at| now - at) else { return };
        if age <= limits.overload_window || age >= self.warm_up + limits.overload_window {
            return;
        }
        let (mut offered, mut capacity) = (0.0, 0.0);
        for sample in &server.recent {
            offered += sample.offered;
            capacity += sample.capacity;
        }
        self.worst_cold_load = self.worst_cold_load.max(offered / capacity.max(MIN_CAPACITY));
        if offered > limits.overload_multiple * capacity {
            let multiple = offered / capacity;
            self.breaches
                .push(format!("rule 4 at {now:?}: s{number} was sent {multiple:.1} times its capacity"));
        }
    }
}
