//! What the planner is compared with: even weights, and perfect knowledge of all servers.

use crate::agenda::HOP;
use crate::play::Model;
use grebespool_wire::{Call, EndpointState, ServerId};
use std::time::Duration;

impl Model<'_> {
    /// The server at which the call is done first, as things stand.
    pub fn best(&self, proxy: usize, call: &Call, tried: &[ServerId]) -> Option<ServerId> {
        self.soonest(proxy, call, tried).map(|b| b.1)
    }

    /// The same, if the call would be done within its part of the SLO time: all of it for the most important routes,
    /// half as much for each next less important. So what does not fit is turned away, the least important first, and no
    /// queue grows past what answers in time.
    pub fn rationed(&self, proxy: usize, call: &Call, tried: &[ServerId]) -> Option<ServerId> {
        let routes = &self.day.deployment.routes;
        let own = &routes[usize::from(call.route)];
        let mut above: Vec<f64> =
            routes.iter().map(|r| r.importance).filter(|i| *i > own.importance).collect();
        above.sort_by(f64::total_cmp);
        above.dedup();
        let within = own.slo.0.mul_f64(0.9) / (1 << above.len().min(8));
        self.soonest(proxy, call, tried).filter(|b| b.0 <= within).map(|b| b.1)
    }

    /// In what time the call would be done, and where.
    fn soonest(&self, proxy: usize, call: &Call, tried: &[ServerId]) -> Option<(Duration, ServerId)> {
        let (now, p) = (self.now(), &self.proxies[proxy]);
        let local = self.day.deployment.routes[usize::from(call.route)].stays_local;
        let work = Duration::from_micros(call.work_us.into());
        let fit = self.servers.iter().filter(|s| {
            let near = s.zone == p.zone || !(local || self.apart(s.zone, p.zone));
            let well = !(s.silent || s.erring || s.leaving || s.frozen);
            near && well && !tried.contains(&s.id)
        });
        let able = fit.filter_map(|s| {
            let machine = s.machine.as_ref().filter(|m| m.can_accept(now, work))?;
            let handshake = if p.conns.contains_key(&s.id) {
                Duration::ZERO
            } else {
                s.ability.kind.handshake.0 + HOP * 2
            };
            Some((machine.estimate_latency(now, work + handshake), s.id))
        });
        able.min()
    }

    /// Puts evenly what the list calls ready into every proxy's table.
    pub fn spread_evenly(&mut self) {
        let ready = self.list.entries.values().filter(|e| e.state == EndpointState::Ready);
        let ready: Vec<ServerId> = ready.map(|e| e.server).collect();
        for p in &mut self.proxies {
            p.held.set_even_weights(&ready);
            p.conns.retain(|server, in_hand| p.held.contains(*server) || *in_hand > 0);
        }
    }
}
