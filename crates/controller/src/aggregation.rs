//! Sums the reports of many proxies, by zone and server, until the policy takes them.

use grebespool::host::{LoadReport, ProxyId, ServerIndex, ZoneId};
use grebespool_wire::ServerLoad;
use std::collections::BTreeMap;
use std::time::Duration;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What the proxies of one zone measured at one server.
#[derive(Default)]
struct LoadSum {
    attempts: u32,
    dropped: u32,
    /// Sum of the latencies of the answered attempts whose latency is known, in seconds.
    latency_s: f64,
    /// How many attempts that is the sum of.
    timed: f64,
    metrics: Vec<f32>,
}

/// What the proxies of one zone measured at one server, for the policy.
pub(crate) struct AggregatedLoad {
    /// The zone of the proxies.
    pub(crate) zone: ZoneId,
    /// The server.
    pub(crate) server: ServerIndex,
    sum: LoadSum,
}

impl AggregatedLoad {
    pub(crate) fn report(&self) -> LoadReport<'_> {
        let sum = &self.sum;
        let latency = (sum.timed > 0.0).then(|| Duration::from_secs_f64(sum.latency_s / sum.timed));
        LoadReport {
            client_zone: self.zone,
            attempts: sum.attempts,
            failures: sum.dropped,
            latency,
            metrics: &sum.metrics,
        }
    }
}

/// Calls of one route that came to one proxy.
pub(crate) struct AggregatedCalls {
    pub(crate) proxy: ProxyId,
    pub(crate) route: usize,
    pub(crate) calls: u32,
}

/// Sums reports. Holds at most one sum for each zone and listed server, and for each proxy and route.
#[derive(Default)]
pub(crate) struct LoadAggregator {
    loads: BTreeMap<(ZoneId, ServerIndex), LoadSum>,
    calls: BTreeMap<(ProxyId, usize), u32>,
}

impl LoadAggregator {
    /// Adds what a proxy of `zone` measured. `metrics`: the newest valid ones, if they are news. The attempts dropped
    /// must not exceed the attempts.
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
            sum.timed += answered;
        }
        if let Some(metrics) = metrics.filter(|metrics| !metrics.is_empty()) {
            sum.metrics = metrics;
        }
    }

    /// Adds calls that came to a proxy.
    pub(crate) fn add_calls(&mut self, proxy: ProxyId, route: usize, calls: u32) {
        let sum = self.calls.entry((proxy, route)).or_default();
        *sum = sum.saturating_add(calls);
    }

    /// Takes the sums of servers, by zone and server.
    pub(crate) fn take_loads(&mut self) -> impl Iterator<Item = AggregatedLoad> + use<> {
        let loads = std::mem::take(&mut self.loads).into_iter();
        loads.map(|((zone, server), sum)| AggregatedLoad { zone, server, sum })
    }

    /// Takes the sums of routes, by proxy and route.
    pub(crate) fn take_calls(&mut self) -> impl Iterator<Item = AggregatedCalls> + use<> {
        let calls = std::mem::take(&mut self.calls).into_iter();
        calls.map(|((proxy, route), calls)| AggregatedCalls { proxy, route, calls })
    }
}
