//! Endpoints: applies the endpoint list, and takes in the reports on its servers. Assumes that a list may be late or wrong:
//! where removals are not final, a server that answers stays in use.

use crate::host::{Endpoint, EndpointState, LoadMetric, LoadReport, PolicyHost, ServerIndex};
use crate::state::{LoadSample, OutlierDetector, Policy, ServerState, SlowStart, drop_old};
use std::collections::BTreeSet;
use std::time::Duration;

/// The load of a request that waits, beside the utilization of workers: that stops at 1 and can't tell how full a server is.
const LOAD_PER_PENDING: f64 = 0.1;
/// A start later than the known one by no more than this is the same start.
const SAME_START: Duration = Duration::from_millis(1);

impl ServerState {
    /// How long samples are kept.
    pub(super) const SAMPLES_KEPT: Duration = Duration::from_secs(8);
    /// So many equal loads over no less than this time are not believed.
    const FROZEN_SAMPLES: usize = 3;
    const FROZEN_FOR: Duration = Duration::from_secs(3);

    /// Whether it is ready and not ejected.
    pub(super) fn is_open(&self) -> bool {
        self.is_ready() && self.slow_start.step > 0
    }

    /// Whether it warms up since a start, and not since an ejection.
    pub(super) fn is_newly_started(&self) -> bool {
        self.slow_start.warming && self.slow_start.evidence_from < self.warm_at
    }

    /// Applies its removal from the list. Where that is not final, a server in use stays until it fails.
    fn remove(&mut self, removal_is_final: bool) {
        self.removal_doubted = !removal_is_final && self.is_open();
        if !self.removal_doubted {
            self.endpoint_state = EndpointState::Removed;
        }
    }

    /// Takes in a sample. A load that stands still is not believed, as it would draw ever more requests.
    fn add_sample(&mut self, sample: LoadSample) {
        let now = sample.at;
        let load = sample.reported_load;
        let samples = &mut self.load.samples;
        drop_old(samples, now, Self::SAMPLES_KEPT, |sample| sample.at);
        samples.push_back(sample);
        let reported = samples.iter().rev().filter(|sample| sample.reported_load.is_some());
        let equal: Vec<Duration> =
            reported.take_while(|sample| sample.reported_load == load).map(|sample| sample.at).collect();
        let first = equal.last().copied().unwrap_or(now);
        if equal.len() >= Self::FROZEN_SAMPLES && now - first >= Self::FROZEN_FOR {
            for sample in samples.iter_mut().filter(|sample| sample.reported_load == load) {
                sample.load = None;
                sample.utilization = None;
            }
        }
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Applies an endpoint list. A `complete` one removes all servers that it does not name.
    pub fn endpoints_updated(&mut self, now: Duration, complete: bool, endpoints: &[Endpoint]) {
        // A list from before the start answers no poll.
        if !now.is_zero() {
            self.next_poll_at = None;
        }
        for endpoint in endpoints {
            self.update_endpoint(now, endpoint);
        }
        if complete {
            self.remove_unlisted(endpoints);
        }
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
        }
        server.zone = endpoint.zone;
        server.kind = endpoint.kind;
        server.endpoint_state = endpoint.state;
        server.warm_at = warm_at;
        server.removal_doubted = false;
    }

    /// Tells that a poll of the list failed. The next tick polls again, and not this call, lest a list that rejects polls be
    /// flooded.
    pub fn endpoint_poll_failed(&mut self, now: Duration) {
        self.next_poll_at = Some(now);
    }

    /// Polls the endpoint list where that is due, at half of the interval that it may go without.
    pub(super) fn poll_endpoints_if_due(&mut self, now: Duration) {
        let Some(interval) = self.observability.endpoint_poll_interval else { return };
        if self.next_poll_at.is_some_and(|at| now >= at) {
            self.next_poll_at = Some(now + interval / 2);
            self.host.poll_endpoints();
        }
    }

    /// Takes in what a zone's proxies observed of a server. Unknown servers are ignored, as are figures that are no number or
    /// below zero.
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
            reported_load: load,
            load,
            utilization,
            attempts: f64::from(report.attempts),
            failures: f64::from(report.failures),
            latency_s: report.latency.map(|latency| latency.as_secs_f64()),
        };
        if let Some(state) = self.servers.get_mut(server) {
            state.add_sample(sample);
        }
    }
}
