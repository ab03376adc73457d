//! Load reports of proxies.

use super::Controller;
use crate::effects::Effects;
use crate::event::ControllerEvent;
use crate::metrics_validation::{MAX_CALLS_PER_LINE, is_plausible};
use crate::stream_id::StreamId;
use grebespool::host::{ProxyId, ZoneId};
use grebespool_wire::{ProxyReport, RouteLoad, ServerLoad};
use std::time::Duration;

impl<E: Effects> Controller<E> {
    /// A proxy reports what it measured. It goes to the policy with the next flush.
    pub fn load_reported(&mut self, stream: StreamId, report: &ProxyReport) {
        let Some((proxy, session)) = self.sessions.of_stream(stream) else { return };
        let zone = session.zone;
        let mut implausible = 0;
        for load in &report.servers {
            if !self.add_server_load(zone, load) {
                implausible += 1;
            }
        }
        for load in &report.routes {
            self.add_route_load(proxy, load);
        }
        if implausible > 0 {
            self.effects.report(ControllerEvent::ImplausibleReport { stream, lines: implausible });
        }
    }

    /// Gives whether the line is plausible. Lines of servers that are not listed are left out.
    fn add_server_load(&mut self, zone: ZoneId, load: &ServerLoad) -> bool {
        let Some(server) = self.listed_server(&load.server) else { return true };
        if !is_plausible(load) {
            return false;
        }
        let reported = load.metrics.as_ref();
        let metrics =
            reported.and_then(|metrics| self.metrics.validate(server, metrics, &self.metric_fields));
        self.aggregator.add_load(zone, server, load, metrics);
        true
    }

    /// Routes that the settings do not have are left out.
    fn add_route_load(&mut self, proxy: ProxyId, load: &RouteLoad) {
        let route = usize::from(load.route);
        if route < self.routes {
            self.aggregator.add_calls(proxy, route, load.calls.min(MAX_CALLS_PER_LINE));
        }
    }

    /// Hands the sums of all reports since the last flush to the policy.
    pub(super) fn flush_reports(&mut self, now: Duration) {
        for load in self.aggregator.take_loads() {
            let report = load.report();
            let zone = self.endpoints.zone_of(*self.servers.id(load.server));
            if let (Some(sites), Some(zone)) = (&mut self.sites, zone) {
                sites.load_reported(now, zone, &report);
            }
            self.policy.load_reported(now, load.server, &report);
        }
        for calls in self.aggregator.take_calls() {
            let session = self.sessions.of_proxy(calls.proxy);
            if let (Some(sites), Some(session)) = (&mut self.sites, session) {
                sites.zone_reported(now, session.zone);
            }
            self.policy.requests_received(now, calls.proxy, calls.route, calls.calls);
        }
    }
}
