//! Sums the reports of many proxies, by zone and server, between two flushes to the policy.

use grebespool::host::{LoadReport, ProxyId, ServerIndex, ZoneId};
use grebespool_wire::ServerLoad;
use std::collections::BTreeMap;
use std::time::Duration;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The sum of what the proxies of one zone measured at one server.
#[derive(Default)]
struct LoadSum {
    attempts: u32,
    dropped: u32,
    /// Sum of the latencies of the answered attempts whose latency is known, in seconds.
    latency_s: f64,
    /// Number of attempts in `latency_s`.
    latency_samples: f64,
    metrics: Vec<f32>,
}

/// A sum of load reports together with its zone and server, ready for the policy.
pub(crate) struct AggregatedLoad {
    /// The zone of the proxies that measured.
    pub(crate) zone: ZoneId,
    /// The measured server.
    pub(crate) server: ServerIndex,
    sum: LoadSum,
}

impl AggregatedLoad {
    /// Returns the sum in the form that the policy takes.
    pub(crate) fn report(&self) -> LoadReport<'_> {
        let sum = &self.sum;
        let latency =
            (sum.latency_samples > 0.0).then(|| Duration::from_secs_f64(sum.latency_s / sum.latency_samples));
        LoadReport {
            client_zone: self.zone,
            attempts: sum.attempts,
            failures: sum.dropped,
            latency,
            metrics: &sum.metrics,
        }
    }
}

/// The number of requests of one route that one proxy received.
pub(crate) struct AggregatedRequests {
    pub(crate) proxy: ProxyId,
    pub(crate) route: usize,
    pub(crate) count: u32,
}

/// An adder of reports. It holds at most one sum for each zone and listed server, and one for each proxy and route.
#[derive(Default)]
pub(crate) struct LoadAggregator {
    loads: BTreeMap<(ZoneId, ServerIndex), LoadSum>,
    requests: BTreeMap<(ProxyId, usize), u32>,
}

impl LoadAggregator {
    /// Adds what a proxy of `zone` measured. `metrics` are the server's validated metrics; `None` if they are missing or
    /// outdated. `load.dropped` must not exceed `load.attempts`.
    pub(crate) fn add_load(
        &mut self,
        zone: ZoneId,
        server: ServerIndex,
        load: &ServerLoad,
        metrics: Option<Vec<f32>>,
    ) {
        let sum = self.loads.entry((zone, server)).or_default();
        sum.attempts = sum.attempts.saturating_add(load.attempts);
        sum.dropped = sum.dropped.saturating_add(load.dropped);
        let answered = f64::from(load.attempts - load.dropped);
        if load.mean_latency_us > 0 {
            sum.latency_s += answered * f64::from(load.mean_latency_us) / MICROSECONDS_PER_SECOND;
            sum.latency_samples += answered;
        }
        if let Some(metrics) = metrics.filter(|metrics| !metrics.is_empty()) {
            sum.metrics = metrics;
        }
    }

    /// Adds requests that a proxy received.
    pub(crate) fn add_requests(&mut self, proxy: ProxyId, route: usize, requests: u32) {
        let sum = self.requests.entry((proxy, route)).or_default();
        *sum = sum.saturating_add(requests);
    }

    /// Takes the sums of servers, ordered by zone and server.
    pub(crate) fn take_loads(&mut self) -> impl Iterator<Item = AggregatedLoad> + use<> {
        let loads = std::mem::take(&mut self.loads).into_iter();
        loads.map(|((zone, server), sum)| AggregatedLoad { zone, server, sum })
    }

    /// Takes the sums of routes, ordered by proxy and route.
    pub(crate) fn take_requests(&mut self) -> impl Iterator<Item = AggregatedRequests> + use<> {
        let requests = std::mem::take(&mut self.requests).into_iter();
        requests.map(|((proxy, route), count)| AggregatedRequests { proxy, route, count })
    }
}
