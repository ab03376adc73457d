//! What a proxy observed since its last report, summed up by server and route.

use grebespool_wire::{Message, ProxyReport, RouteLoad, ServerId, ServerLoad, ServerMetrics};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
struct ServerTotals {
    attempts: u32,
    failures: u32,
    /// The sum of the answered attempts' latencies.
    latency_sum: Duration,
    report: Option<ServerMetrics>,
}

impl ServerTotals {
    /// Mean latency in microseconds, 1 at the least; 0 where nothing was answered.
    fn mean_latency_us(&self) -> u32 {
        match self.attempts - self.failures {
            0 => 0,
            answered => (self.latency_sum / answered).as_micros().max(1) as u32,
        }
    }
}

/// Sums up a proxy's attempts and requests until they are reported.
#[derive(Default)]
pub struct ReportAggregator {
    servers: BTreeMap<ServerId, ServerTotals>,
    requests_by_route: BTreeMap<u8, u32>,
}

impl ReportAggregator {
    /// Counts a request of a route.
    pub fn request_received(&mut self, route: u8) {
        *self.requests_by_route.entry(route).or_default() += 1;
    }

    /// Counts an attempt at a server: answered after `latency`, or failed. The newest load report that came is kept.
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

    /// The report of everything since the last call.
    pub fn take_report(&mut self) -> Message {
        let observed = |(server, totals): (ServerId, ServerTotals)| ServerLoad {
            server,
            attempts: totals.attempts,
            dropped: totals.failures,
            mean_latency_us: totals.mean_latency_us(),
            metrics: totals.report,
        };
        let servers = std::mem::take(&mut self.servers).into_iter();
        let requests = std::mem::take(&mut self.requests_by_route).into_iter();
        Message::ProxyReport(ProxyReport {
            servers: servers.map(observed).collect(),
            routes: requests.map(|(route, calls)| RouteLoad { route, calls }).collect(),
        })
    }
}
