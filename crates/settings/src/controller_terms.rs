//! Settings in the terms of the controller and of its policy.

use crate::deployment::{Deployment, Figure, Group, Repeats, Route};
use grebespool::host;
use grebespool_controller::{ControllerConfig, Incarnation, Limits};
use std::time::Duration;

impl Deployment {
    /// Returns the routes in the controller's terms.
    pub fn routes(&self) -> Vec<host::Route> {
        let scope = |g| match g {
            Group::All => host::DeduplicationScope::All,
            Group::Zone => host::DeduplicationScope::Zone,
            Group::Cell => host::DeduplicationScope::Cell,
        };
        let idempotency = |r: &Route| match r.repeats {
            Repeats::Freely => host::Idempotency::Idempotent,
            Repeats::Marked => host::Idempotency::Keyed { scope: scope(r.group), window: r.window.0 },
            Repeats::Never => host::Idempotency::NonIdempotent,
        };
        let route = |r: &Route| host::Route {
            priority_weight: r.importance,
            latency_objective: r.slo.0,
            idempotency: idempotency(r),
            zone_local: r.stays_local,
        };
        self.routes.iter().map(route).collect()
    }

    /// Returns the capabilities of the proxies in the controller's terms.
    pub fn proxy_capabilities(&self) -> host::ProxyCapabilities {
        host::ProxyCapabilities {
            zones: self.zones.len(),
            slices: self.slices,
            admission_mode: if self.proxies.levels {
                host::AdmissionMode::Share
            } else {
                host::AdmissionMode::Off
            },
            attempt_timeout_factor: self.proxies.try_factor,
            proxies: self.proxies.expected,
            min_server_connections: self.servers.least_connections,
        }
    }

    /// Returns the timeouts of servers in the controller's terms.
    pub fn timeouts(&self) -> host::Timeouts {
        host::Timeouts {
            warm_up: self.servers.warm_up.0,
            removal_is_final: self.servers.gone_binds,
            drain_grace: None,
            max_unserved: None,
            cold_start: None,
        }
    }

    /// Returns the limits of the control channel in the controller's terms.
    pub fn channel_limits(&self) -> host::ControlChannelLimits {
        let c = &self.channel;
        host::ControlChannelLimits {
            entries_per_s: c.lines_per_s,
            max_queued_entries: c.most_waiting,
            message_overhead: c.head,
            max_messages: c.most_messages,
            window: c.window.0,
            max_transit: c.worst_transit.0,
        }
    }

    /// Returns what the controller can observe. `endpoint_poll_interval` is the longest time between two polls of the
    /// endpoint list; `None` if changes are pushed.
    pub fn observability(&self, endpoint_poll_interval: Option<Duration>) -> host::Observability {
        let field = |f: &Figure| match f {
            Figure::Busy => host::LoadMetric::InFlight,
            Figure::Pending => host::LoadMetric::Pending,
            Figure::CpuShare => host::LoadMetric::Utilization,
            Figure::ServiceMs => host::LoadMetric::ServiceTimeMs,
            Figure::AnsweredPerS => host::LoadMetric::ResponsesPerSecond,
            Figure::ErrorsPerS => host::LoadMetric::ErrorsPerSecond,
            Figure::Other => host::LoadMetric::Other,
        };
        host::Observability {
            metrics: self.reports.fields.iter().map(field).collect(),
            report_interval: self.reports.cycle.0,
            health_checks: self.reports.probing,
            endpoint_poll_interval,
        }
    }

    /// Returns the parameters for detecting the loss of a zone; `None` if it is not watched for.
    pub fn watch(&self) -> Option<grebespool_controller::FailoverParameters> {
        let slo = self.routes.iter().map(|r| r.slo.0).min().unwrap_or(Duration::from_secs(1));
        let ramp = grebespool_controller::RampParameters {
            warm_up: self.servers.warm_up.0,
            propagation: self.channel.worst_transit.0 + self.reports.cycle.0,
            late_wait_seconds: 0.4 * slo.as_secs_f64(),
        };
        let sites = &self.sites;
        let (window, confirm, calm) = (sites.window.0, sites.confirm.0, sites.calm.0);
        // If servers may not be probed, only requests can show that a site has recovered.
        let failed_weight = if self.reports.probing { 0.0 } else { 0.02 };
        let fill = sites.fill;
        sites.watched.then_some(grebespool_controller::FailoverParameters {
            evidence_window: window,
            confirmation: confirm,
            stability_period: calm,
            failed_weight,
            max_utilization: fill,
            ramp,
        })
    }

    /// Returns the configuration of a controller. `ack_timeout` is the time for which a proxy may leave updates
    /// unacknowledged. `endpoint_poll_interval` is the longest time between two polls of the endpoint list; `None` if
    /// changes are pushed.
    pub fn controller_config(
        &self,
        incarnation: Incarnation,
        ack_timeout: Duration,
        endpoint_poll_interval: Option<Duration>,
    ) -> ControllerConfig {
        let (servers, proxies, joins) = (self.servers.most, self.proxies.most, self.proxies.joins);
        ControllerConfig {
            incarnation,
            limits: Limits { servers, proxies, joins, ack_timeout },
            zones: self.zones.clone(),
            routes: self.routes(),
            capabilities: self.proxy_capabilities(),
            timeouts: self.timeouts(),
            channel: self.channel_limits(),
            observability: self.observability(endpoint_poll_interval),
        }
    }
}
