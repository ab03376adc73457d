//! Endpoints: applies the endpoint list, and records the load reports on its servers.
//!
//! A list may be late or wrong: if removals are not final, a removed server that answers stays in use.

use super::history_limit::HistoryLimit;
use crate::host::{Endpoint, EndpointState, LoadMetric, LoadReport, PolicyHost, ServerIndex};
use crate::state::{
    EndpointPoll, LoadSample, OutlierDetector, Policy, RequestHistory, ServerState, SlowStart,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// The load of a waiting request, which is added to the utilization of the workers: utilization cannot exceed 1, so it does
/// not show how overloaded a server is.
const LOAD_PER_PENDING: f64 = 0.1;
/// The largest difference between two start times that count as the same start.
const SAME_START: Duration = Duration::from_millis(1);

impl ServerState {
    /// The time for which samples are stored.
    pub(super) const SAMPLE_RETENTION: Duration = Duration::from_secs(8);
    /// The number of consecutive equal loads from which a reported load is invalid, if they span [`Self::FROZEN_FOR`].
    const FROZEN_SAMPLES: usize = 3;
    /// The minimum time that equal loads have to span to be invalid.
    const FROZEN_FOR: Duration = Duration::from_secs(3);

    /// Returns true if the server is ready and not ejected.
    pub(super) fn is_available(&self) -> bool {
        self.is_ready() && self.slow_start.step > 0
    }

    /// Returns true if the server warms up after a start, not after an ejection.
    pub(super) fn is_newly_started(&self) -> bool {
        self.slow_start.warming && self.slow_start.evidence_from < self.warm_at
    }

    /// Applies the removal of the server from the list. If removals are not final, a server in use stays until it fails.
    fn remove(&mut self, removal_is_final: bool) {
        self.removal_unconfirmed = !removal_is_final && self.is_available();
        if !self.removal_unconfirmed {
            self.endpoint_state = EndpointState::Removed;
        }
    }

    /// Records a sample. A load that does not change is marked as invalid: a server whose reported load stays low would get
    /// more and more requests.
    fn add_sample(&mut self, sample: LoadSample, limit: HistoryLimit) {
        let now = sample.at;
        let load = sample.reported_load;
        self.load.add(sample, Self::SAMPLE_RETENTION, limit);
        let samples = &mut self.load.samples;
        let reported = samples.iter().rev().filter(|sample| sample.reported_load.is_some());
        let equal: Vec<Duration> =
            reported.take_while(|sample| sample.reported_load == load).map(|sample| sample.at).collect();
        let first = equal.last().copied().unwrap_or(now);
        if equal.len() >= Self::FROZEN_SAMPLES && now - first >= Self::FROZEN_FOR {
            for sample in samples.iter_mut().filter(|sample| sample.reported_load == load) {
                sample.is_valid = false;
                sample.utilization = None;
            }
        }
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Applies an endpoint list. A `complete` list removes all servers that it does not contain.
    pub fn endpoints_updated(&mut self, now: Duration, complete: bool, endpoints: &[Endpoint]) {
        // A list that arrives while no poll is pending is not the answer to the poll that is due.
        if matches!(self.endpoint_poll, EndpointPoll::Pending { .. }) {
            self.endpoint_poll = EndpointPoll::Answered;
        }
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint);
        }
        if complete {
            self.remove_unlisted(endpoints);
        }
        self.update_load_report_limit();
        self.update_subsets();
        self.publish(now);
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<ServerIndex> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        for (index, server) in self.servers.iter_mut().enumerate() {
            if !listed.contains(&index) {
                server.remove(self.timeouts.removal_is_final);
            }
        }
    }

    fn update_endpoint(&mut self, now: Duration, endpoint: &Endpoint) {
        if endpoint.server >= self.servers.len() {
            let unlisted = || ServerState::unlisted(OutlierDetector::NEW, SlowStart::STEPS);
            self.servers.resize_with(endpoint.server + 1, unlisted);
        }
        let server = &mut self.servers[endpoint.server];
        if endpoint.state == EndpointState::Removed {
            server.remove(self.timeouts.removal_is_final);
            return;
        }
        let warm_at = match endpoint.age {
            Some(age) if age < self.timeouts.warm_up => now + self.timeouts.warm_up - age,
            _ => Duration::ZERO,
        };
        let restarted = warm_at > now && warm_at > server.warm_at + SAME_START;
        let returned = server.endpoint_state == EndpointState::Removed;
        if endpoint.state == EndpointState::Ready && (restarted || returned) {
            server.slow_start = SlowStart { step: 1, warming: true, evidence_from: now };
            server.load.samples.clear();
            server.outlier.reset(now, SlowStart::STEPS);
            self.pools.iter_mut().for_each(|pool| pool.server_started(endpoint.server));
        }
        server.zone = endpoint.zone;
        server.kind = endpoint.kind;
        server.endpoint_state = endpoint.state;
        server.warm_at = warm_at;
        server.removal_unconfirmed = false;
    }

    /// Records that a poll of the list failed. The next tick repeats the poll; this call does not, so that a service that
    /// rejects polls is not flooded.
    pub fn endpoint_poll_failed(&mut self) {
        self.endpoint_poll = EndpointPoll::Due;
    }

    /// Polls the endpoint list if a poll is due. Polls are repeated at half of the longest permitted interval.
    pub(super) fn poll_endpoints_if_due(&mut self, now: Duration) {
        let Some(interval) = self.observability.endpoint_poll_interval else { return };
        let due = match self.endpoint_poll {
            EndpointPoll::Due => true,
            EndpointPoll::Pending { repeat_at } => now >= repeat_at,
            EndpointPoll::Answered => false,
        };
        if due {
            self.endpoint_poll = EndpointPoll::Pending { repeat_at: now + interval / 2 };
            self.host.poll_endpoints();
        }
    }

    /// Records a load report from a zone's proxies on a server. Unknown servers, and metrics that are negative or not
    /// finite, are ignored.
    pub fn load_reported(&mut self, now: Duration, server: ServerIndex, report: &LoadReport) {
        let metric = |metric| {
            let position = self.observability.metrics.iter().position(|known| *known == metric)?;
            let value = f64::from(*report.metrics.get(position)?);
            (value.is_finite() && value >= 0.0).then_some(value)
        };
        let utilization = metric(LoadMetric::Utilization);
        let pending = metric(LoadMetric::Pending).unwrap_or(0.0);
        let load = utilization
            .map(|utilization| utilization + LOAD_PER_PENDING * pending)
            .or(metric(LoadMetric::InFlight))
            .or(metric(LoadMetric::ServiceTimeMs))
            .or(metric(LoadMetric::ResponsesPerSecond));
        let sample = LoadSample {
            at: now,
            client_zone: report.client_zone,
            is_valid: true,
            reported_load: load,
            utilization,
            attempts: f64::from(report.attempts),
            failures: f64::from(report.failures),
            latency_s: report.latency.map(|latency| latency.as_secs_f64()),
        };
        if let Some(state) = self.servers.get_mut(server) {
            state.add_sample(sample, self.load_report_limit);
        }
    }

    /// Returns the number of stored load reports and reports of requests, which the settings and the list bound.
    pub fn stored_reports(&self) -> usize {
        let load_reports: usize = self.servers.iter().map(|server| server.load.samples.len()).sum();
        let request_reports: usize = self.admission.received.iter().map(RequestHistory::len).sum();
        load_reports + request_reports
    }
}
