//! The rules of the service, checked on what the proxies hold and what the servers are sent.

use super::Fleet;
use super::load::SMALLEST_CAPACITY;
use crate::ms;
use std::time::Duration;

/// The figures of the rules, with the platform's slack.
#[derive(Debug, Clone, Copy)]
pub struct RuleLimits {
    /// How long a joined proxy may have no server that it can use.
    pub without_server: Duration,
    /// How long a proxy may go on naming a server that drains.
    pub drain_grace: Duration,
    /// How much of its capacity a cold server may be sent over `overload_window`.
    pub overload_multiple: f64,
    /// The time over which that is summed.
    pub overload_window: Duration,
    /// No time limit starts earlier than this after a planner first answered.
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

    /// Rules 1 and 3: a joined proxy has a server that it can use, and none that drains for longer than the grace.
    fn check_proxy(&mut self, now: Duration, node: usize) {
        let limits = self.limits;
        let (servers, proxy) = (&self.servers, &mut self.proxies[node]);
        let usable = proxy.table.keys().any(|server| servers[*server].left_at.is_none());
        proxy.unusable_since = if usable { None } else { proxy.unusable_since.or(Some(now)) };
        let Some(stream) = proxy.stream.as_ref().filter(|stream| !self.cut_off[stream.planner]) else {
            return;
        };
        let planner = stream.planner;
        let from = stream.opened_at.max(self.answered_at[planner] + limits.settling);
        let exceeds = |since: Duration, limit| now.saturating_sub(from.max(since)) > limit;
        if proxy.unusable_since.is_some_and(|since| exceeds(since, limits.without_server)) {
            self.breaches.push(format!("rule 1 at {now:?}: proxy {node} of planner {planner} has no line"));
        }
        for server in proxy.table.keys() {
            if servers[*server].left_at.is_some_and(|since| exceeds(since, limits.drain_grace)) {
                let breach = format!("rule 3 at {now:?}: proxy {node} of planner {planner} holds s{server}");
                self.breaches.push(breach);
            }
        }
    }

    /// Rule 4: a cold server is not sent a multiple of its capacity.
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
        self.worst_cold_load = self.worst_cold_load.max(offered / capacity.max(SMALLEST_CAPACITY));
        if offered > limits.overload_multiple * capacity {
            let multiple = offered / capacity;
            self.breaches.push(format!("rule 4 at {now:?}: s{number} was sent {multiple:.1} times its due"));
        }
    }
}
