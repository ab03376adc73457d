//! Baselines that the planner is compared with: even weights, and perfect knowledge of all servers.

use crate::event_queue::HOP;
use crate::model::Model;
use grebespool_wire::{Call, EndpointState, ServerId};
use std::time::Duration;

impl Model<'_> {
    /// Returns the server that would complete the request first.
    pub(crate) fn fastest_server(&self, proxy: usize, call: &Call, tried: &[ServerId]) -> Option<ServerId> {
        self.earliest_completion(proxy, call, tried).map(|b| b.1)
    }

    /// Returns the server that would complete the request first, if that is within the request's share of its SLO
    /// time: 90 % for the most important routes, and half as much for each lower importance. Requests that don't fit
    /// are rejected, the least important first, so that no queue delays responses beyond their SLO time.
    pub(crate) fn fastest_server_within_budget(
        &self,
        proxy: usize,
        call: &Call,
        tried: &[ServerId],
    ) -> Option<ServerId> {
        let routes = &self.day.deployment.routes;
        let own = &routes[usize::from(call.route)];
        let mut above: Vec<f64> =
            routes.iter().map(|r| r.importance).filter(|i| *i > own.importance).collect();
        above.sort_by(f64::total_cmp);
        above.dedup();
        let within = own.slo.0.mul_f64(0.9) / (1 << above.len().min(8));
        self.earliest_completion(proxy, call, tried).filter(|b| b.0 <= within).map(|b| b.1)
    }

    /// Returns the shortest time in which a server would complete the request, and that server.
    fn earliest_completion(
        &self,
        proxy: usize,
        call: &Call,
        tried: &[ServerId],
    ) -> Option<(Duration, ServerId)> {
        let (now, p) = (self.now(), &self.proxies[proxy]);
        let local = self.day.deployment.routes[usize::from(call.route)].stays_local;
        let work = Duration::from_micros(call.work_us.into());
        let fit = self.servers.iter().filter(|s| {
            let near = s.zone == p.zone || !(local || self.partitioned(s.zone, p.zone));
            let well = !(s.silent || s.erring || s.leaving || s.frozen);
            near && well && !tried.contains(&s.id)
        });
        let able = fit.filter_map(|s| {
            let machine = s.machine.as_ref().filter(|m| m.can_accept(now, work))?;
            let handshake = if p.connections.contains_key(&s.id) {
                Duration::ZERO
            } else {
                s.spec.kind.handshake.0 + HOP * 2
            };
            Some((machine.estimate_latency(now, work + handshake), s.id))
        });
        able.min()
    }

    /// Gives every proxy a table with equal weights for all servers that the list shows as ready.
    pub(crate) fn spread_evenly(&mut self) {
        let ready = self.list.entries.values().filter(|e| e.state == EndpointState::Ready);
        let ready: Vec<ServerId> = ready.map(|e| e.server).collect();
        for p in &mut self.proxies {
            p.tables.set_even_weights(&ready);
            p.connections.retain(|server, in_flight| p.tables.contains(*server) || *in_flight > 0);
        }
    }
}
