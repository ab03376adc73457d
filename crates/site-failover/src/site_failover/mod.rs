//! The state of all sites, the weight limits and admission limits that follow from it, and operators' orders.
//!
//! State changes by evidence are in `transitions`.

mod transitions;

use crate::SiteId;
use crate::capacity_plan::{CapacityPlan, PlanError, RouteDemand, SiteCapacity, plan_capacity};
use crate::event::{FailoverEvent, SiteChange, TransitionReason};
use crate::failure_detection::Verdict;
use crate::host::FailoverHost;
use crate::observations::Observations;
use crate::order::{OrderError, SiteOrder};
use crate::parameters::FailoverParameters;
use crate::recovery_ramp::{HoldReason, RecoveryRamp};
use crate::state::{SiteState, SiteStatus};
use std::collections::BTreeSet;
use std::time::Duration;

/// The minimum fraction of a site's capacity that a plan assumes: a plan is possible only if each capacity is positive.
const MIN_PLANNED_FRACTION: f64 = 0.01;
/// The admitted fraction from which a route counts as fully admitted.
const FULLY_ADMITTED: f64 = 0.995;
/// The difference below which changed admission limits are not published.
const ADMISSION_TOLERANCE: f64 = 0.05;

/// The state of one site and its newest capacity and demand.
struct Site {
    state: SiteState,
    since: Duration,
    /// The newest verdict.
    verdict: Verdict,
    /// The time since which the newest verdict holds.
    verdict_since: Duration,
    /// The number of times that the site failed again during a return.
    flaps: u32,
    healthy_since: Duration,
    /// The last logged reason for holding the present step, so that a reason is logged only when it changes.
    hold_reason: Option<HoldReason>,
    capacity: SiteCapacity,
}

impl Site {
    fn new(routes: usize) -> Site {
        Site {
            state: SiteState::Healthy,
            since: Duration::ZERO,
            verdict: Verdict::Healthy,
            verdict_since: Duration::ZERO,
            flaps: 0,
            healthy_since: Duration::ZERO,
            hold_reason: None,
            capacity: SiteCapacity { capacity: 0.0, demand: vec![0.0; routes] },
        }
    }
}

/// Failover and recovery of all sites.
pub struct SiteFailover {
    parameters: FailoverParameters,
    routes: Vec<RouteDemand>,
    observations: Observations,
    sites: Vec<Site>,
    /// The admission limits in force, by route.
    admission: Vec<f64>,
}

impl SiteFailover {
    /// Creates the state for a number of sites, all of which count as healthy at first.
    pub fn new(sites: usize, routes: Vec<RouteDemand>, parameters: FailoverParameters) -> SiteFailover {
        SiteFailover {
            parameters,
            observations: Observations::new(sites, parameters.evidence_window),
            sites: (0..sites).map(|_| Site::new(routes.len())).collect(),
            admission: vec![1.0; routes.len()],
            routes,
        }
    }

    /// Returns the observations, for recording new ones.
    pub fn observations(&mut self) -> &mut Observations {
        &mut self.observations
    }

    /// Records the capacity of a site and its clients' demand by route, both in work per second.
    ///
    /// The capacity is recorded only while the site is in service: otherwise plans would treat a failed site as if it had
    /// never had any. The demand is always recorded, since clients may fail with their site or turn to other proxies.
    pub fn capacity_reported(&mut self, site: SiteId, capacity: f64, demand: Vec<f64>) {
        let Some(site) = self.sites.get_mut(site) else { return };
        if site.state.is_in_service() && capacity > 0.0 {
            site.capacity.capacity = capacity;
        }
        site.capacity.demand = demand;
    }

    /// Returns the state of a site; `None` if the site does not exist.
    pub fn state(&self, site: SiteId) -> Option<SiteState> {
        self.sites.get(site).map(|site| site.state)
    }

    /// Returns the state of all sites as reported to operators.
    pub fn statuses(&self, now: Duration) -> Vec<SiteStatus> {
        let status = |(id, site): (SiteId, &Site)| SiteStatus {
            state: site.state,
            since: site.since,
            evidence: self.observations.evidence(now, id, site.since).to_string(),
        };
        self.sites.iter().enumerate().map(status).collect()
    }

    /// Returns the sites that accept no requests from other sites.
    pub fn unavailable_sites(&self) -> BTreeSet<SiteId> {
        self.sites_with(SiteState::is_unavailable)
    }

    fn sites_with(&self, predicate: impl Fn(&SiteState) -> bool) -> BTreeSet<SiteId> {
        (0..self.sites.len()).filter(|site| predicate(&self.sites[*site].state)).collect()
    }

    /// Returns the plan for the failure of these sites, based on the newest capacities and demands.
    ///
    /// # Errors
    ///
    /// Returns [`PlanError::UnknownCapacity`] if the capacity of a site is unknown, and [`PlanError::NoSiteLeft`] if these
    /// are all sites.
    pub fn plan_without(&self, failed: &BTreeSet<SiteId>) -> Result<CapacityPlan, PlanError> {
        let usable = |(id, site): (SiteId, &Site)| SiteCapacity {
            capacity: site.capacity.capacity * self.weight_fraction(id).max(MIN_PLANNED_FRACTION),
            demand: site.capacity.demand.clone(),
        };
        let capacities: Vec<SiteCapacity> = self.sites.iter().enumerate().map(usable).collect();
        plan_capacity(&capacities, &self.routes, failed, self.parameters.max_utilization)
    }

    /// Returns the fraction of a site's weight that may be used. A partitioned site keeps its weight for its own clients.
    fn weight_fraction(&self, site: SiteId) -> f64 {
        match self.sites[site].state {
            SiteState::Healthy | SiteState::Suspected | SiteState::Partitioned => 1.0,
            SiteState::Failed => self.parameters.failed_weight,
            SiteState::TakenOut => 0.0,
            SiteState::Recovering(ramp) => ramp.weight_fraction(),
        }
    }

    /// Executes an operator's order. Unless `forced`, an order that would cause requests to be rejected is not executed.
    /// Returns the plan if the site is taken out.
    ///
    /// # Errors
    ///
    /// Returns an [`OrderError`] if the order is rejected; nothing has changed then.
    pub fn execute(
        &mut self,
        now: Duration,
        site: SiteId,
        order: SiteOrder,
        forced: bool,
        host: &mut impl FailoverHost,
    ) -> Result<Option<CapacityPlan>, OrderError> {
        let state = self.state(site).ok_or(OrderError::UnknownSite(site))?;
        match (order, state) {
            (SiteOrder::TakeOut, SiteState::TakenOut) => Err(OrderError::AlreadyInState(site, state)),
            (SiteOrder::TakeOut, _) => self.take_out(now, site, forced, host).map(Some),
            (SiteOrder::Restore, SiteState::TakenOut) => self.restore(now, site, host).map(|()| None),
            (SiteOrder::Restore, SiteState::Failed) => Err(OrderError::StillFailed(site)),
            (SiteOrder::Restore, _) => Err(OrderError::AlreadyInState(site, state)),
        }
    }

    fn take_out(
        &mut self,
        now: Duration,
        site: SiteId,
        forced: bool,
        host: &mut impl FailoverHost,
    ) -> Result<CapacityPlan, OrderError> {
        let mut failed = self.unavailable_sites();
        failed.insert(site);
        let plan = self.plan_without(&failed).map_err(OrderError::NoPlan)?;
        let rejected: Vec<(usize, f64)> = plan
            .admitted
            .iter()
            .copied()
            .enumerate()
            .filter(|(_, admitted)| *admitted < FULLY_ADMITTED)
            .collect();
        if !rejected.is_empty() && !forced {
            return Err(OrderError::WouldReject(rejected));
        }
        self.set_state(now, site, SiteState::TakenOut, TransitionReason::OperatorOrder, host);
        self.publish_admission(host);
        Ok(plan)
    }

    fn restore(
        &mut self,
        now: Duration,
        site: SiteId,
        host: &mut impl FailoverHost,
    ) -> Result<(), OrderError> {
        let since = now.saturating_sub(self.parameters.evidence_window);
        let evidence = self.observations.evidence(now, site, since);
        if evidence.health_checks_answered == Some(false) || evidence.is_unlisted {
            return Err(OrderError::StillFailed(site));
        }
        let ramp = RecoveryRamp::begin(now, self.sites[site].flaps);
        self.set_state(now, site, SiteState::Recovering(ramp), TransitionReason::OperatorOrder, host);
        self.publish_admission(host);
        Ok(())
    }

    fn set_state(
        &mut self,
        now: Duration,
        id: SiteId,
        state: SiteState,
        reason: TransitionReason,
        host: &mut impl FailoverHost,
    ) {
        let site = &mut self.sites[id];
        let change = SiteChange::State { from: site.state, to: state, reason };
        host.log(FailoverEvent { site: id, change });
        site.state = state;
        site.since = now;
        site.hold_reason = None;
        if state == SiteState::Healthy {
            site.healthy_since = now;
        }
        host.limit_site_weight(id, self.weight_fraction(id));
    }

    /// Publishes the admission limits that follow from the state of all sites, if they differ from those in force.
    fn publish_admission(&mut self, host: &mut impl FailoverHost) {
        let limits = self.admission_limits();
        let is_close = |a: f64, b: f64| (a - b).abs() < ADMISSION_TOLERANCE && (a < 1.0) == (b < 1.0);
        if !limits.iter().zip(&self.admission).all(|(new, old)| is_close(*new, *old)) {
            self.admission = limits;
            host.limit_admission(&self.admission);
        }
    }

    /// Returns the admission limits that follow from the state of all sites. A returning site counts only with its present
    /// weight, so that admission rises last. If no plan is possible, there are no limits and only the policy's own admission
    /// control applies.
    fn admission_limits(&self) -> Vec<f64> {
        let failed = self.sites_with(SiteState::is_out_of_service);
        let is_any_recovering = self.sites.iter().any(|site| matches!(site.state, SiteState::Recovering(_)));
        let plan =
            if failed.is_empty() && !is_any_recovering { None } else { self.plan_without(&failed).ok() };
        plan.map_or_else(|| vec![1.0; self.routes.len()], |plan| plan.admitted)
    }
}
