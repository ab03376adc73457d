//! The state of all sites, and what follows from it: weight limits, admission limits, and operators' orders.
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

/// A failed or returning site is planned with at least this fraction of its capacity, so that a plan exists.
const MIN_PLANNED_FRACTION: f64 = 0.01;
/// From this fraction on a route counts as fully admitted.
const FULLY_ADMITTED: f64 = 0.995;
/// Admission limits that differ by less are not published anew.
const ADMISSION_TOLERANCE: f64 = 0.05;

/// What is known of one site.
struct Site {
    state: SiteState,
    since: Duration,
    /// The newest verdict, and since when it holds.
    verdict: Verdict,
    verdict_since: Duration,
    /// How often the site failed again during a return.
    flaps: u32,
    healthy_since: Duration,
    /// Why its step is held, so that each reason is logged once.
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
    /// Takes all `sites` for healthy.
    pub fn new(sites: usize, routes: Vec<RouteDemand>, parameters: FailoverParameters) -> SiteFailover {
        SiteFailover {
            parameters,
            observations: Observations::new(sites, parameters.evidence_window),
            sites: (0..sites).map(|_| Site::new(routes.len())).collect(),
            admission: vec![1.0; routes.len()],
            routes,
        }
    }

    /// Where observations are recorded.
    pub fn observations(&mut self) -> &mut Observations {
        &mut self.observations
    }

    /// Records the capacity of a site and its clients' demand by route, both in work per second.
    ///
    /// The capacity is believed only while the site is in service: a failed one would be planned for as if it had never
    /// been there. The demand is always taken: clients may go with their site, and turn to other proxies.
    pub fn capacity_reported(&mut self, site: SiteId, capacity: f64, demand: Vec<f64>) {
        let Some(site) = self.sites.get_mut(site) else { return };
        if site.state.is_in_service() && capacity > 0.0 {
            site.capacity.capacity = capacity;
        }
        site.capacity.demand = demand;
    }

    /// The state of a site; `None` if there is no such site.
    pub fn state(&self, site: SiteId) -> Option<SiteState> {
        self.sites.get(site).map(|site| site.state)
    }

    /// The state of all sites for operators.
    pub fn statuses(&self, now: Duration) -> Vec<SiteStatus> {
        let status = |(id, site): (SiteId, &Site)| SiteStatus {
            state: site.state,
            since: site.since,
            evidence: self.observations.evidence(now, id, site.since).to_string(),
        };
        self.sites.iter().enumerate().map(status).collect()
    }

    /// The sites that take no requests from elsewhere.
    pub fn unavailable_sites(&self) -> BTreeSet<SiteId> {
        self.sites_with(SiteState::is_unavailable)
    }

    fn sites_with(&self, predicate: impl Fn(&SiteState) -> bool) -> BTreeSet<SiteId> {
        (0..self.sites.len()).filter(|site| predicate(&self.sites[*site].state)).collect()
    }

    /// The plan for the failure of these sites, from what is known now.
    ///
    /// # Errors
    ///
    /// [`PlanError::UnknownCapacity`] or [`PlanError::NoSiteLeft`].
    pub fn plan_without(&self, failed: &BTreeSet<SiteId>) -> Result<CapacityPlan, PlanError> {
        let usable = |(id, site): (SiteId, &Site)| SiteCapacity {
            capacity: site.capacity.capacity * self.weight_fraction(id).max(MIN_PLANNED_FRACTION),
            demand: site.capacity.demand.clone(),
        };
        let capacities: Vec<SiteCapacity> = self.sites.iter().enumerate().map(usable).collect();
        plan_capacity(&capacities, &self.routes, failed, self.parameters.max_utilization)
    }

    /// The fraction of a site's weight that may be used. A partitioned site goes on for its own clients.
    fn weight_fraction(&self, site: SiteId) -> f64 {
        match self.sites[site].state {
            SiteState::Healthy | SiteState::Suspected | SiteState::Partitioned => 1.0,
            SiteState::Failed => self.parameters.failed_weight,
            SiteState::TakenOut => 0.0,
            SiteState::Recovering(ramp) => ramp.weight_fraction(),
        }
    }

    /// Executes an operator's order. Unless `forced`, an order that would have requests rejected is not executed.
    /// Returns the plan for a site that is taken out.
    ///
    /// # Errors
    ///
    /// An [`OrderError`]; nothing has changed then.
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

    /// Admission rises last: a returning site is counted with the weight that it has, and no more. Where no plan is
    /// possible, the policy's own admission control has to do.
    fn admission_limits(&self) -> Vec<f64> {
        let failed = self.sites_with(SiteState::is_out_of_service);
        let is_any_recovering = self.sites.iter().any(|site| matches!(site.state, SiteState::Recovering(_)));
        let plan =
            if failed.is_empty() && !is_any_recovering { None } else { self.plan_without(&failed).ok() };
        plan.map_or_else(|| vec![1.0; self.routes.len()], |plan| plan.admitted)
    }
}
