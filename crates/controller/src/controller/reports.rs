//! Handles the load reports of proxies.

use super::Controller;
use crate::effects::Effects;
use crate::event::ControllerEvent;
use crate::metrics_validation::{MAX_REQUESTS_PER_LINE, is_plausible};
use crate::stream_id::StreamId;
use grebespool::host::{ProxyId, ZoneId};
use grebespool_wire::{ProxyReport, RouteLoad, ServerLoad};
use std::time::Duration;

impl<E: Effects> Controller<E> {
    /// Adds a proxy's load report to the sums that go to the policy with the next flush.
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

    /// Adds a line of a report, and returns true unless its values are implausible. Lines of servers that are not on the
    /// endpoint list are ignored.
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

    /// Adds the requests of one route. Routes that the settings do not define are ignored.
    fn add_route_load(&mut self, proxy: ProxyId, load: &RouteLoad) {
        let route = usize::from(load.route);
        if route < self.routes {
            self.aggregator.add_requests(proxy, route, load.calls.min(MAX_REQUESTS_PER_LINE));
        }
    }

    /// Passes the sums of all reports since the last flush to the policy.
    pub(super) fn flush_reports(&mut self, now: Duration) {
        for load in self.aggregator.take_loads() {
            let report = load.report();
            let zone = self.endpoints.zone_of(*self.servers.id(load.server));
            if let (Some(sites), Some(zone)) = (&mut self.sites, zone) {
                sites.load_reported(now, zone, &report);
            }
            self.policy.load_reported(now, load.server, &report);
        }
        for requests in self.aggregator.take_requests() {
            let session = self.sessions.of_proxy(requests.proxy);
            if let (Some(sites), Some(session)) = (&mut self.sites, session) {
                sites.zone_reported(now, session.zone);
            }
            self.policy.requests_received(now, requests.proxy, requests.route, requests.count);
        }
    }
}
