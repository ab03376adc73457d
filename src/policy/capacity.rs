//! Capacity: the requests that the servers can answer, estimated from the load reports of a window.
//!
//! This module only estimates; [`admission`](super::admission) decides what is admitted.

use crate::host::{PolicyHost, ProxyId, ZoneCapacity, ZoneId};
use crate::state::{AdmissionControl, LoadSample, Policy, RequestHistory, ServerState, median};
use std::time::Duration;

/// The utilization from which a server counts as full.
pub(super) const FULL_UTILIZATION: f64 = 0.85;
/// The utilization that is assumed for a server that reports none.
const ASSUMED_UTILIZATION: f64 = 0.7;
/// The lower bound on utilization; smaller reported values are raised to it.
const MIN_UTILIZATION: f64 = 0.05;
/// The fraction of the latency objective above which answers are late.
const LATE_OBJECTIVE_FRACTION: f64 = 0.35;
/// The lower bound on the coverage: the fraction of the received requests whose zone sends load reports.
const MIN_COVERAGE: f64 = 0.3;

/// Totals of the reports on all servers over a window. Counts are per window, not per second.
#[derive(Default)]
pub(super) struct WindowTotals {
    /// The number of attempts that ended.
    pub(super) attempts: f64,
    /// The number of answered attempts.
    pub(super) answered: f64,
    /// The number of attempts that count as load: at a server that is not full, only its answered attempts.
    load: f64,
    /// The number of attempts that the active servers, those that answered any, could have answered.
    pub(super) capacity: f64,
    /// The part of `capacity` that belongs to servers that are still ready.
    ready_capacity: f64,
    /// The number of servers that answered any attempt.
    active_servers: f64,
    /// The number of servers that answered any attempt and are still ready.
    active_ready_servers: f64,
    /// The number of ready servers that answered, plus the available servers without attempts that are not warming up.
    staying_servers: f64,
    /// The median over the servers of their reported mean latency, in seconds.
    latency_s: Option<f64>,
}

/// The load and the capacity of the servers, estimated from the totals of a window.
pub(super) struct CapacityEstimate {
    /// The load over the capacity; at 1 the servers are just full.
    pub(super) pressure: f64,
    /// The pressure to expect after the load of leaving servers has moved to the others.
    pub(super) expected_pressure: f64,
    /// The number of requests that the staying servers can answer in a window, including requests that no load report
    /// covers.
    pub(super) capacity: f64,
    /// True if answers are late because queues have built up.
    pub(super) late: bool,
}

impl WindowTotals {
    /// Sums the samples of all servers from after `from`.
    pub(super) fn gather(servers: &[ServerState], from: Duration) -> WindowTotals {
        let mut totals = WindowTotals::default();
        for server in servers {
            totals.add(server, from);
        }
        let latency_s = |server: &ServerState| server.load.mean(from, |sample| sample.latency_s);
        totals.latency_s = median(servers.iter().filter_map(latency_s));
        totals
    }

    fn add(&mut self, server: &ServerState, from: Duration) {
        let attempts = server.load.sum(from, |sample| sample.attempts);
        let answered = server.load.sum(from, LoadSample::answered);
        self.attempts += attempts;
        self.answered += answered;
        if answered == 0.0 {
            let idle = attempts == 0.0 && server.is_available() && !server.slow_start.warming;
            self.staying_servers += if idle { 1.0 } else { 0.0 };
            return;
        }
        let utilization = server.load.mean(from, |sample| sample.utilization);
        let capacity = answered / utilization_or_assumed(utilization);
        // Attempts that fail at a server with spare capacity indicate a fault, not load.
        let has_room = utilization.is_some_and(|value| value < FULL_UTILIZATION);
        self.load += if has_room { answered } else { attempts };
        self.capacity += capacity;
        self.active_servers += 1.0;
        if server.is_ready() {
            self.ready_capacity += capacity;
            self.active_ready_servers += 1.0;
            self.staying_servers += 1.0;
        }
    }

    /// Estimates the capacity; `None` if no server answered. `coverage` is the fraction of the received requests whose zone
    /// sends load reports.
    pub(super) fn estimate(&self, objective_s: f64, coverage: f64) -> Option<CapacityEstimate> {
        if self.capacity == 0.0 {
            return None;
        }
        let leaving = self.staying_servers < self.active_servers;
        let expected =
            if leaving { self.capacity * self.staying_servers / self.active_servers } else { self.capacity };
        // Servers that left during the window have already answered less than they would in a whole one, so the capacity per
        // remaining server comes from the servers that are still ready.
        let staying = if leaving && self.active_ready_servers > 0.0 {
            self.capacity.min(self.ready_capacity * self.staying_servers / self.active_ready_servers)
        } else {
            self.capacity
        };
        let late_s = LATE_OBJECTIVE_FRACTION * objective_s;
        Some(CapacityEstimate {
            pressure: self.load / self.capacity,
            expected_pressure: self.load / expected.max(1.0),
            capacity: staying / coverage,
            late: self.latency_s.is_some_and(|latency_s| latency_s > late_s),
        })
    }
}

/// Returns the time span that the stored samples cover, in seconds: shorter after the start, and at least one second.
pub(super) fn retention_span_s(now: Duration) -> f64 {
    ServerState::SAMPLE_RETENTION.min(now).as_secs_f64().max(1.0)
}

/// Returns the requests per second that a server can answer, as a mean over the retention time of the samples; 0 if it has
/// answered none.
pub(super) fn answerable_per_s(now: Duration, server: &ServerState) -> f64 {
    let from = now.saturating_sub(ServerState::SAMPLE_RETENTION);
    let utilization = server.load.mean(from, |sample| sample.utilization);
    server.load.sum(from, LoadSample::answered) / utilization_or_assumed(utilization) / retention_span_s(now)
}

fn utilization_or_assumed(utilization: Option<f64>) -> f64 {
    utilization.unwrap_or(ASSUMED_UTILIZATION).clamp(MIN_UTILIZATION, 1.0)
}

impl<H: PolicyHost> Policy<H> {
    /// Returns the fraction of the received requests whose zone also sends load reports. A zone's load reports may be cut
    /// off while the request counts of its proxies still arrive.
    ///
    /// A zone whose requests reach no server is indistinguishable from such a zone. Too many requests are then admitted in
    /// the other zones.
    pub(super) fn report_coverage(&self, now: Duration) -> f64 {
        let newest_reports: Vec<Duration> =
            (0..self.zone_spill.zones()).map(|zone| self.newest_report(zone)).collect();
        let newest = newest_reports.iter().max().copied().unwrap_or_default();
        let window = AdmissionControl::window(self.observability.report_interval);
        let is_reporting =
            |zone: ZoneId| newest_reports.get(usize::from(zone)).is_none_or(|at| *at + window >= newest);
        let mut covered = 0.0;
        let mut all = 0.0;
        let from = now.saturating_sub(window);
        for count in self.admission.received.iter().flat_map(|counts| counts.since(from)) {
            let zone = self.proxies.get(&count.proxy).map(|proxy| proxy.zone);
            covered += if zone.is_none_or(is_reporting) { count.requests } else { 0.0 };
            all += count.requests;
        }
        if all > 0.0 { (covered / all).max(MIN_COVERAGE) } else { 1.0 }
    }

    /// Returns the arrival time of the newest load report from a zone's proxies; zero if there is no report.
    fn newest_report(&self, zone: ZoneId) -> Duration {
        let samples = self.servers.iter().flat_map(|server| &server.load.samples);
        samples.filter(|sample| sample.client_zone == zone).map(|sample| sample.at).max().unwrap_or_default()
    }

    /// Returns, by zone, the requests per second that its ready servers can answer and that its proxies received. Both are
    /// means over the retention time of the samples.
    pub fn zone_capacity(&self, now: Duration) -> Vec<ZoneCapacity> {
        (0..self.zone_spill.zones()).map(|zone| self.capacity_of_zone(now, zone)).collect()
    }

    fn capacity_of_zone(&self, now: Duration, zone: ZoneId) -> ZoneCapacity {
        let servers = self.servers.iter().filter(|server| server.is_ready() && server.zone == zone);
        let is_in_zone = |proxy: ProxyId| self.proxies.get(&proxy).is_some_and(|state| state.zone == zone);
        ZoneCapacity {
            capacity_per_s: servers.map(|server| answerable_per_s(now, server)).sum(),
            received_per_s: self.received_per_s(now, is_in_zone),
        }
    }

    /// Returns, by route, the requests per second that the counted proxies received, as a mean over the retention time of the
    /// samples.
    pub(super) fn received_per_s(&self, now: Duration, is_counted: impl Fn(ProxyId) -> bool) -> Vec<f64> {
        let from = now.saturating_sub(ServerState::SAMPLE_RETENTION);
        let span_s = retention_span_s(now);
        let received = |counts: &RequestHistory| {
            let counted = counts.since(from).filter(|count| is_counted(count.proxy));
            counted.map(|count| count.requests).sum::<f64>() / span_s
        };
        self.admission.received.iter().map(received).collect()
    }
}
