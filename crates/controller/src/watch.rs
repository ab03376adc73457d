//! What the engine hears, told to the sites, and what these order, told to the decisions.

use crate::engine::Outlet;
use grebespool::host::{EndpointState, LoadReport, PolicyHost, Route, ZoneId};
use grebespool::policy::Policy;
use grebespool_site_failover::{
    AttemptReport, CapacityPlan, FailoverEvent, FailoverHost, FailoverParameters, OrderError, PlanError,
    RouteDemand, SiteFailover, SiteOrder, SiteStatus,
};
use std::time::Duration;

/// The sites as the engine watches them.
pub struct Watch {
    sites: SiteFailover,
    names: Vec<String>,
    window: Duration,
    looked_at: Duration,
    /// Servers ready and latest starts by zone, as last told.
    listed: Vec<(usize, Option<Duration>)>,
}

/// What a verdict acts on: the decisions, and the log.
struct Act<'a, H, O> {
    now: Duration,
    planner: &'a mut Policy<H>,
    outlet: &'a mut O,
    names: &'a [String],
}

impl<H: PolicyHost, O: Outlet> FailoverHost for Act<'_, H, O> {
    fn limit_site_weight(&mut self, site: usize, part: f64) {
        self.planner.limit_zone_share(self.now, site as ZoneId, part);
    }
    fn limit_admission(&mut self, most: &[f64]) {
        self.planner.limit_admission(self.now, most);
    }
    fn log(&mut self, event: FailoverEvent) {
        let name = &self.names[event.site];
        self.outlet.told(&format!("site {name}: {}", event.change));
    }
}

impl Watch {
    /// Verdicts are looked at this often within their window.
    const LOOKS: u32 = 8;

    pub fn new(names: Vec<String>, routes: &[Route], timing: FailoverParameters) -> Watch {
        let demand =
            |r: &Route| RouteDemand { priority_weight: r.priority_weight, is_site_local: r.zone_local };
        let zones = names.len();
        let sites = SiteFailover::new(zones, routes.iter().map(demand).collect(), timing);
        let (window, looked_at, listed) = (timing.evidence_window, Duration::ZERO, vec![(0, None); zones]);
        Watch { sites, names, window, looked_at, listed }
    }

    pub fn met(&mut self, now: Duration, at: ZoneId, met: &LoadReport) {
        let (tries, answered) =
            (f64::from(met.attempts), f64::from(met.attempts.saturating_sub(met.failures)));
        let waited = met.latency.map_or(0.0, |w| w.as_secs_f64() * answered);
        let report = AttemptReport {
            from: usize::from(met.client_zone),
            site: usize::from(at),
            attempts: tries,
            answered,
            total_wait_seconds: waited,
        };
        self.sites.observations().attempts_reported(now, report);
    }

    pub fn heard(&mut self, now: Duration, zone: ZoneId) {
        self.sites.observations().clients_heard(now, usize::from(zone));
    }

    pub fn probed(&mut self, now: Duration, zone: ZoneId, answered: bool) {
        self.sites.observations().health_check_finished(now, usize::from(zone), answered);
    }

    pub fn joined(&mut self, now: Duration, zone: ZoneId) {
        self.sites.observations().proxy_joined(now, usize::from(zone));
    }

    pub fn left(&mut self, now: Duration, zone: ZoneId) {
        self.sites.observations().proxy_left(now, usize::from(zone));
    }

    /// The list as it stands now: each server's zone, phase, and start on the planner's clock if that is known.
    pub fn listed(
        &mut self,
        now: Duration,
        all: impl Iterator<Item = (ZoneId, EndpointState, Option<Duration>)>,
    ) {
        self.listed.iter_mut().for_each(|l| *l = (0, None));
        for (zone, _, started) in all.filter(|(_, phase, _)| *phase == EndpointState::Ready) {
            let (ready, latest) = &mut self.listed[usize::from(zone)];
            (*ready, *latest) = (*ready + 1, (*latest).max(started));
        }
        for (zone, (ready, latest)) in self.listed.iter().enumerate() {
            self.sites.observations().endpoints_listed(now, zone, *ready, *latest);
        }
    }

    /// Whether anything was looked at.
    pub fn look<H: PolicyHost>(
        &mut self,
        now: Duration,
        planner: &mut Policy<H>,
        outlet: &mut impl Outlet,
    ) -> bool {
        if now.saturating_sub(self.looked_at) < self.window / Self::LOOKS {
            return false;
        }
        self.looked_at = now;
        for (zone, capacity) in planner.zone_capacity(now).into_iter().enumerate() {
            self.sites.capacity_reported(zone, capacity.capacity_per_s, capacity.received_per_s);
        }
        self.sites.evaluate(now, &mut Act { now, planner, outlet, names: &self.names });
        true
    }

    pub fn order<H: PolicyHost>(
        &mut self,
        now: Duration,
        (zone, order, forced): (ZoneId, SiteOrder, bool),
        planner: &mut Policy<H>,
        outlet: &mut impl Outlet,
    ) -> Result<Option<CapacityPlan>, OrderError> {
        self.sites.execute(
            now,
            usize::from(zone),
            order,
            forced,
            &mut Act { now, planner, outlet, names: &self.names },
        )
    }

    pub fn plan_without(&self, zone: ZoneId) -> Result<CapacityPlan, PlanError> {
        let mut lost = self.sites.unavailable_sites();
        lost.insert(usize::from(zone));
        self.sites.plan_without(&lost)
    }

    pub fn status(&self, now: Duration) -> Vec<SiteStatus> {
        self.sites.statuses(now)
    }
}
