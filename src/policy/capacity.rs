//! Capacity: what the servers can answer, estimated from the load reports of a window. Responsible for the estimate alone; what is
//! admitted is decided in [`admission`](super::admission).

use crate::host::{PolicyHost, ZoneCapacity, ZoneId};
use crate::state::{AdmissionControl, LoadSample, Policy, RequestCount, ServerState, median};
use std::collections::VecDeque;
use std::time::Duration;

/// Utilization from which on a server counts as full.
pub(super) const FULL_UTILIZATION: f64 = 0.85;
/// Utilization that is assumed where none is reported.
const ASSUMED_UTILIZATION: f64 = 0.7;
/// The least utilization that is believed.
const MIN_UTILIZATION: f64 = 0.05;
/// Answers are late from this part of the latency objective on.
const LATE_OBJECTIVE_PART: f64 = 0.35;
/// The part of the requests that is taken to be reported at the least.
const MIN_COVERAGE: f64 = 0.3;

/// What was observed of all servers over the window. Counts are per window, not per second.
#[derive(Default)]
pub(super) struct WindowTotals {
    /// Attempts that ended.
    pub(super) attempts: f64,
    /// Attempts that were answered.
    pub(super) answered: f64,
    /// Attempts that count as load: those at servers with time to spare only where they were answered.
    load: f64,
    /// Attempts that the servers with answers could have answered.
    pub(super) capacity: f64,
    /// What those of them that are still ready could have answered.
    ready_capacity: f64,
    /// Servers that answered.
    active_servers: f64,
    /// Servers that answered and are still ready.
    active_ready_servers: f64,
    /// Ready servers that answered, and open ones without attempts that are not warming up.
    staying_servers: f64,
    /// Median over the servers of the mean latency that their reports give, in seconds.
    latency_s: Option<f64>,
}

/// What the servers can do by the totals of a window.
pub(super) struct CapacityEstimate {
    /// Attempts that count as load over those that could be answered; 1 is just full.
    pub(super) pressure: f64,
    /// The same, once what leaving servers did has fallen to the others.
    pub(super) expected_pressure: f64,
    /// Requests that the staying servers can answer in a window, with those that no report covers.
    pub(super) capacity: f64,
    /// Queues have built up: answers come late.
    pub(super) late: bool,
}

impl WindowTotals {
    /// Sums up the samples of all servers from after a moment.
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
            let idle = attempts == 0.0 && server.is_open() && !server.slow_start.warming;
            self.staying_servers += if idle { 1.0 } else { 0.0 };
            return;
        }
        let utilization = server.load.mean(from, |sample| sample.utilization);
        let capacity = answered / utilization_or_assumed(utilization);
        // Attempts that fail at a server with time to spare point to a fault, not to load.
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

    /// Estimates the capacity; `None` where no server answered.
    pub(super) fn estimate(&self, objective_s: f64, coverage: f64) -> Option<CapacityEstimate> {
        if self.capacity == 0.0 {
            return None;
        }
        let leaving = self.staying_servers < self.active_servers;
        let expected =
            if leaving { self.capacity * self.staying_servers / self.active_servers } else { self.capacity };
        // Leaving servers have done less than their part of the window already.
        let staying = if leaving && self.active_ready_servers > 0.0 {
            self.capacity.min(self.ready_capacity * self.staying_servers / self.active_ready_servers)
        } else {
            self.capacity
        };
        let late_s = LATE_OBJECTIVE_PART * objective_s;
        Some(CapacityEstimate {
            pressure: self.load / self.capacity,
            expected_pressure: self.load / expected.max(1.0),
            capacity: staying / coverage,
            late: self.latency_s.is_some_and(|latency_s| latency_s > late_s),
        })
    }
}

/// The time over which samples are kept, in seconds: shorter after the start, and no less than one second.
pub(super) fn kept_span_s(now: Duration) -> f64 {
    ServerState::SAMPLES_KEPT.min(now).as_secs_f64().max(1.0)
}

fn utilization_or_assumed(utilization: Option<f64>) -> f64 {
    utilization.unwrap_or(ASSUMED_UTILIZATION).clamp(MIN_UTILIZATION, 1.0)
}

impl<H: PolicyHost> Policy<H> {
    /// The part of the received requests whose zone reports on servers as well: a zone's reports may be cut off while its
    /// proxies' counts still come.
    ///
    /// A zone whose requests find no server looks the same; the others are then sent too many.
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
        for count in self.admission.received.iter().flatten().filter(|count| count.at > from) {
            let zone = self.proxies.get(&count.proxy).map(|proxy| proxy.zone);
            covered += if zone.is_none_or(is_reporting) { count.requests } else { 0.0 };
            all += count.requests;
        }
        if all > 0.0 { (covered / all).max(MIN_COVERAGE) } else { 1.0 }
    }

    /// When the newest report of a zone's proxies came; zero for none.
    fn newest_report(&self, zone: ZoneId) -> Duration {
        let samples = self.servers.iter().flat_map(|server| &server.load.samples);
        samples.filter(|sample| sample.client_zone == zone).map(|sample| sample.at).max().unwrap_or_default()
    }

    /// By zone: what its ready servers can answer and what its proxies received, over as long as samples are kept.
    pub fn zone_capacity(&self, now: Duration) -> Vec<ZoneCapacity> {
        (0..self.zone_spill.zones()).map(|zone| self.capacity_of_zone(now, zone)).collect()
    }

    fn capacity_of_zone(&self, now: Duration, zone: ZoneId) -> ZoneCapacity {
        let from = now.saturating_sub(ServerState::SAMPLES_KEPT);
        let span_s = kept_span_s(now);
        let servers = self.servers.iter().filter(|server| server.is_ready() && server.zone == zone);
        let capacity = servers.map(|server| {
            let utilization = server.load.mean(from, |sample| sample.utilization);
            let utilization = utilization_or_assumed(utilization);
            server.load.sum(from, LoadSample::answered) / utilization / span_s
        });
        let is_here = |count: &&RequestCount| {
            count.at > from && self.proxies.get(&count.proxy).is_some_and(|proxy| proxy.zone == zone)
        };
        let received = |counts: &VecDeque<RequestCount>| {
            counts.iter().filter(is_here).map(|count| count.requests).sum::<f64>() / span_s
        };
        ZoneCapacity {
            capacity_per_s: capacity.sum(),
            received_per_s: self.admission.received.iter().map(received).collect(),
        }
    }
}
