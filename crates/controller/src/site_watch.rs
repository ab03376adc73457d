//! Connects the controller to site failover: passes on observations, and applies the decisions to the policy.

use crate::effects::Effects;
use crate::endpoint_registry::EndpointSummary;
use crate::event::ControllerEvent;
use grebespool::host::{EndpointState, LoadReport, PolicyHost, Route, ZoneId};
use grebespool::policy::Policy;
use grebespool_site_failover::{
    AttemptReport, CapacityPlan, FailoverEvent, FailoverHost, FailoverParameters, OrderError, PlanError,
    RouteDemand, SiteFailover, SiteOrder, SiteStatus,
};
use std::time::Duration;

/// Number of evaluations of the evidence within one evidence window.
const EVALUATIONS_PER_WINDOW: u32 = 8;

/// The servers of a site, as summarized from the endpoint list.
#[derive(Debug, Clone, Copy, Default)]
struct ListedSite {
    ready_servers: usize,
    /// The latest start of a ready server, on the controller's clock.
    latest_start: Option<Duration>,
}

/// The watch over whole sites. A site is a zone; both have the same id.
pub(crate) struct SiteWatch {
    failover: SiteFailover,
    names: Vec<String>,
    window: Duration,
    evaluated_at: Duration,
    listed: Vec<ListedSite>,
}

/// An operator's command on a site.
#[derive(Debug, Clone, Copy)]
pub struct SiteCommand {
    /// The zone that is the site.
    pub zone: ZoneId,
    /// The order to carry out.
    pub order: SiteOrder,
    /// True if the order is to be carried out even if requests of some routes have to be shed.
    pub forced: bool,
}

/// The host of site failover: applies its decisions to the policy and reports its events.
struct FailoverAdapter<'a, H, E> {
    now: Duration,
    policy: &'a mut Policy<H>,
    effects: &'a mut E,
    names: &'a [String],
}

impl<H: PolicyHost, E: Effects> FailoverHost for FailoverAdapter<'_, H, E> {
    fn limit_site_weight(&mut self, site: usize, fraction: f64) {
        self.policy.limit_zone_share(self.now, site as ZoneId, fraction);
    }

    fn limit_admission(&mut self, limits: &[f64]) {
        self.policy.limit_admission(self.now, limits);
    }

    fn log(&mut self, event: FailoverEvent) {
        let text = format!("site {}: {}", self.names[event.site], event.change);
        self.effects.report(ControllerEvent::Site(text));
    }
}

impl SiteWatch {
    /// Creates a watch. `names` are the names of the zones, in the order of their ids.
    pub(crate) fn new(names: Vec<String>, routes: &[Route], parameters: FailoverParameters) -> SiteWatch {
        let demand = |route: &Route| RouteDemand {
            priority_weight: route.priority_weight,
            is_site_local: route.zone_local,
        };
        let demands = routes.iter().map(demand).collect();
        let failover = SiteFailover::new(names.len(), demands, parameters);
        let listed = vec![ListedSite::default(); names.len()];
        SiteWatch {
            failover,
            names,
            window: parameters.evidence_window,
            evaluated_at: Duration::ZERO,
            listed,
        }
    }

    /// Passes on what the proxies of `report.client_zone` measured at a server of `zone`.
    pub(crate) fn load_reported(&mut self, now: Duration, zone: ZoneId, report: &LoadReport) {
        let answered = f64::from(report.attempts.saturating_sub(report.failures));
        let latency_sum_s = report.latency.map_or(0.0, |latency| latency.as_secs_f64() * answered);
        let report = AttemptReport {
            from: usize::from(report.client_zone),
            site: usize::from(zone),
            attempts: f64::from(report.attempts),
            answered,
            total_wait_seconds: latency_sum_s,
        };
        self.failover.observations().attempts_reported(now, report);
    }

    /// Passes on that a proxy of the zone sent a report.
    pub(crate) fn zone_reported(&mut self, now: Duration, zone: ZoneId) {
        self.failover.observations().clients_reported(now, usize::from(zone));
    }

    /// Passes on whether a server of the zone answered a health check.
    pub(crate) fn health_check_finished(&mut self, now: Duration, zone: ZoneId, answered: bool) {
        self.failover.observations().health_check_finished(now, usize::from(zone), answered);
    }

    /// Passes on that a proxy of the zone joined.
    pub(crate) fn proxy_joined(&mut self, now: Duration, zone: ZoneId) {
        self.failover.observations().proxy_joined(now, usize::from(zone));
    }

    /// Passes on that a proxy of the zone left.
    pub(crate) fn proxy_left(&mut self, now: Duration, zone: ZoneId) {
        self.failover.observations().proxy_left(now, usize::from(zone));
    }

    /// Summarizes the complete endpoint list in force by site, and passes on the summaries.
    pub(crate) fn endpoints_changed(
        &mut self,
        now: Duration,
        endpoints: impl Iterator<Item = EndpointSummary>,
    ) {
        self.listed.fill(ListedSite::default());
        for endpoint in endpoints.filter(|endpoint| endpoint.state == EndpointState::Ready) {
            let site = &mut self.listed[usize::from(endpoint.zone)];
            site.ready_servers += 1;
            site.latest_start = site.latest_start.max(endpoint.started_at);
        }
        for (site, listed) in self.listed.iter().enumerate() {
            self.failover.observations().endpoints_listed(
                now,
                site,
                listed.ready_servers,
                listed.latest_start,
            );
        }
    }

    /// Evaluates the evidence if an evaluation is due, and returns true if so. Evaluations are due at most
    /// [`EVALUATIONS_PER_WINDOW`] times in a window.
    pub(crate) fn evaluate<H: PolicyHost>(
        &mut self,
        now: Duration,
        policy: &mut Policy<H>,
        effects: &mut impl Effects,
    ) -> bool {
        if now.saturating_sub(self.evaluated_at) < self.window / EVALUATIONS_PER_WINDOW {
            return false;
        }
        self.evaluated_at = now;
        for (zone, capacity) in policy.zone_capacity(now).into_iter().enumerate() {
            self.failover.capacity_reported(zone, capacity.capacity_per_s, capacity.received_per_s);
        }
        self.failover.evaluate(now, &mut FailoverAdapter { now, policy, effects, names: &self.names });
        true
    }

    /// Carries out an operator's command, and returns the plan that is in force afterwards.
    pub(crate) fn command<H: PolicyHost>(
        &mut self,
        now: Duration,
        command: SiteCommand,
        policy: &mut Policy<H>,
        effects: &mut impl Effects,
    ) -> Result<Option<CapacityPlan>, OrderError> {
        let SiteCommand { zone, order, forced } = command;
        let mut target = FailoverAdapter { now, policy, effects, names: &self.names };
        self.failover.execute(now, usize::from(zone), order, forced, &mut target)
    }

    /// Returns the plan that would be in force if this zone were out in addition to those that are out already.
    pub(crate) fn plan_without(&self, zone: ZoneId) -> Result<CapacityPlan, PlanError> {
        let mut unavailable = self.failover.unavailable_sites();
        unavailable.insert(usize::from(zone));
        self.failover.plan_without(&unavailable)
    }

    /// Returns the status of each site, in the order of their ids.
    pub(crate) fn statuses(&self, now: Duration) -> Vec<SiteStatus> {
        self.failover.statuses(now)
    }
}
