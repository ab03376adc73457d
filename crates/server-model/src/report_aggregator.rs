//! Sums up by server and route what a proxy observed since its last report.

use grebespool_wire::{Message, ProxyReport, RouteLoad, ServerId, ServerLoad, ServerMetrics};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
struct ServerTotals {
    attempts: u32,
    failures: u32,
    /// The sum of the latencies of all answered attempts.
    latency_sum: Duration,
    report: Option<ServerMetrics>,
}

impl ServerTotals {
    /// Returns the mean latency in microseconds: at least 1, or 0 if no attempt was answered.
    fn mean_latency_us(&self) -> u32 {
        match self.attempts - self.failures {
            0 => 0,
            answered => (self.latency_sum / answered).as_micros().max(1) as u32,
        }
    }
}

/// Totals of a proxy's attempts and requests since its last report.
#[derive(Default)]
pub struct ReportAggregator {
    servers: BTreeMap<ServerId, ServerTotals>,
    requests_by_route: BTreeMap<u8, u32>,
}

impl ReportAggregator {
    /// Counts a request for a route.
    pub fn request_received(&mut self, route: u8) {
        *self.requests_by_route.entry(route).or_default() += 1;
    }

    /// Counts an attempt at a server, which was answered after `latency`, or failed if that is `None`. The newest load report of each
    /// server replaces the one before.
    pub fn attempt_finished(
        &mut self,
        server: ServerId,
        latency: Option<Duration>,
        report: Option<ServerMetrics>,
    ) {
        let totals = self.servers.entry(server).or_default();
        totals.attempts += 1;
        totals.report = report.or(totals.report.take());
        match latency {
            Some(latency) => totals.latency_sum += latency,
            None => totals.failures += 1,
        }
    }

    /// Returns the report on everything counted since the last call, and resets the totals.
    pub fn take_report(&mut self) -> Message {
        let server_load = |(server, totals): (ServerId, ServerTotals)| ServerLoad {
            server,
            attempts: totals.attempts,
            dropped: totals.failures,
            mean_latency_us: totals.mean_latency_us(),
            metrics: totals.report,
        };
        let servers = std::mem::take(&mut self.servers).into_iter();
        let requests = std::mem::take(&mut self.requests_by_route).into_iter();
        Message::ProxyReport(ProxyReport {
            servers: servers.map(server_load).collect(),
            routes: requests.map(|(route, calls)| RouteLoad { route, calls }).collect(),
        })
    }
}
