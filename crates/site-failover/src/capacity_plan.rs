//! The capacity plan: the load that the remaining sites take over while some have failed, and the load that is rejected.

use crate::SiteId;
use std::collections::BTreeSet;
use thiserror::Error;

/// The capacity and the demand of a site. Load is in work per second or in requests per second, the same at all sites.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteCapacity {
    /// The load per second that the site's servers can process.
    pub capacity: f64,
    /// The load per second that the site's clients request, by route.
    pub demand: Vec<f64>,
}

/// The properties of a route that a plan depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteDemand {
    /// The priority weight of the route; routes with a greater weight are admitted first.
    pub priority_weight: f64,
    /// True if the route's requests must stay in the site of their proxy.
    pub is_site_local: bool,
}

/// The plan for the time while some sites have failed. Load is in the unit of [`SiteCapacity`].
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityPlan {
    /// The failed sites.
    pub failed: BTreeSet<SiteId>,
    /// The fraction of each route's requests that is admitted.
    pub admitted: Vec<f64>,
    /// The load per second that each site takes over from others.
    pub taken_over: Vec<f64>,
    /// The utilization of each site under the plan, as a fraction of its capacity.
    pub utilization: Vec<f64>,
    /// The load per second that is rejected.
    pub rejected: f64,
    /// The load per second that could still be taken over within the utilization limit.
    pub spare: f64,
    /// The admitted load divided by the load that clients request, both weighted by priority; 1 if nothing is rejected.
    pub service: f64,
}

/// The reason for which no plan is possible.
// On the wire: the command socket answers with these texts; do not reword. The command line replaces `site N `, with the
// trailing blank, by the site's name (`crates/cli/src/site_plan.rs`).
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PlanError {
    /// The capacity of this site is unknown.
    #[error("nothing tells what site {0} is able to")]
    UnknownCapacity(SiteId),
    /// Every site has failed.
    #[error("every site is lost")]
    NoSiteLeft,
}

/// Plans for the failure of some sites, so that no site exceeds `max_utilization`.
///
/// Routes are admitted by priority weight, and routes of equal weight by the same fraction: no route is rejected while a
/// route of lower weight is admitted. A site-local route uses only the capacity of its own sites, and its requests at
/// failed sites are lost. Other routes are not rejected to make up for that.
///
/// # Errors
///
/// Returns [`PlanError::UnknownCapacity`] if the capacity of a site is not a positive number, and
/// [`PlanError::NoSiteLeft`] if every site has failed.
pub fn plan_capacity(
    sites: &[SiteCapacity],
    routes: &[RouteDemand],
    failed: &BTreeSet<SiteId>,
    max_utilization: f64,
) -> Result<CapacityPlan, PlanError> {
    let is_known = |site: &SiteCapacity| site.capacity > 0.0 && site.capacity.is_finite();
    if let Some(site) = sites.iter().position(|site| !is_known(site)) {
        return Err(PlanError::UnknownCapacity(site));
    }
    if (0..sites.len()).all(|site| failed.contains(&site)) {
        return Err(PlanError::NoSiteLeft);
    }
    let mut allocation = Allocation::new(sites, routes, failed, max_utilization);
    let mut by_priority: Vec<usize> = (0..routes.len()).collect();
    by_priority.sort_by(|a, b| routes[*b].priority_weight.total_cmp(&routes[*a].priority_weight));
    let is_equal = |a: &usize, b: &usize| routes[*a].priority_weight == routes[*b].priority_weight;
    for group in by_priority.chunk_by(is_equal) {
        allocation.admit_site_local(group);
        allocation.admit_movable(group);
    }
    Ok(allocation.into_plan())
}

/// A plan in progress.
struct Allocation<'a> {
    sites: &'a [SiteCapacity],
    routes: &'a [RouteDemand],
    failed: &'a BTreeSet<SiteId>,
    /// The load per second that each site can still take.
    free: Vec<f64>,
    /// The load per second that each site takes.
    load: Vec<f64>,
    /// The admitted fraction of each route.
    admitted: Vec<f64>,
}

impl<'a> Allocation<'a> {
    fn new(
        sites: &'a [SiteCapacity],
        routes: &'a [RouteDemand],
        failed: &'a BTreeSet<SiteId>,
        max_utilization: f64,
    ) -> Allocation<'a> {
        let free = |(id, site): (SiteId, &SiteCapacity)| {
            if failed.contains(&id) { 0.0 } else { site.capacity * max_utilization }
        };
        Allocation {
            sites,
            routes,
            failed,
            free: sites.iter().enumerate().map(free).collect(),
            load: vec![0.0; sites.len()],
            admitted: vec![1.0; routes.len()],
        }
    }

    fn demand(&self, site: SiteId, route: usize) -> f64 {
        self.sites[site].demand.get(route).copied().unwrap_or(0.0).max(0.0)
    }

    /// Admits the site-local routes of a group. Each uses only the capacity of its own sites, and the same fraction is
    /// admitted at all sites whose clients request the route.
    fn admit_site_local(&mut self, group: &[usize]) {
        let remaining: Vec<SiteId> =
            (0..self.sites.len()).filter(|site| !self.failed.contains(site)).collect();
        for route in group.iter().copied().filter(|route| self.routes[*route].is_site_local) {
            let demanding_sites = remaining.iter().copied().filter(|site| self.demand(*site, route) > 0.0);
            let fits = demanding_sites.map(|site| self.free[site] / self.demand(site, route));
            let admitted = fits.fold(1.0, f64::min).clamp(0.0, 1.0);
            self.admitted[route] = admitted;
            for site in &remaining {
                let load = admitted * self.demand(*site, route);
                self.load[*site] += load;
                self.free[*site] -= load;
            }
        }
    }

    /// Admits the other routes of a group. Each site takes its own clients' requests up to its free capacity, and the rest
    /// is spread over the sites that have capacity left.
    fn admit_movable(&mut self, group: &[usize]) {
        let movable: Vec<usize> =
            group.iter().copied().filter(|route| !self.routes[*route].is_site_local).collect();
        let total = |route: &usize| (0..self.sites.len()).map(|site| self.demand(site, *route)).sum::<f64>();
        let wanted: f64 = movable.iter().map(total).sum();
        let free = self.total_free();
        let fraction = if wanted > 0.0 { (free / wanted).min(1.0) } else { 1.0 };
        for route in &movable {
            self.admitted[*route] = fraction;
        }
        let overflow = self.place_locally(&movable, fraction);
        self.spread(overflow);
    }

    /// Places the load of each site's clients at that site, and returns the load that does not fit there.
    fn place_locally(&mut self, routes: &[usize], fraction: f64) -> f64 {
        let mut overflow = 0.0;
        for site in 0..self.sites.len() {
            let own = fraction * routes.iter().map(|route| self.demand(site, *route)).sum::<f64>();
            let local = own.min(self.free[site].max(0.0));
            self.load[site] += local;
            self.free[site] -= local;
            overflow = overflow + own - local;
        }
        overflow
    }

    /// Spreads load over all sites in proportion to their free capacity.
    fn spread(&mut self, load: f64) {
        let free = self.total_free();
        for site in 0..self.sites.len() {
            let share = if free > 0.0 { load * self.free[site].max(0.0) / free } else { 0.0 };
            self.load[site] += share;
            self.free[site] -= share;
        }
    }

    fn total_free(&self) -> f64 {
        self.free.iter().map(|free| free.max(0.0)).sum()
    }

    /// Returns the load of a route that is admitted for a site's clients.
    fn admitted_load(&self, route: usize, site: SiteId) -> f64 {
        let is_lost = self.routes[route].is_site_local && self.failed.contains(&site);
        if is_lost { 0.0 } else { self.admitted[route] * self.demand(site, route) }
    }

    /// Sums up a value over all routes and sites.
    fn sum(&self, value: impl Fn(usize, SiteId) -> f64) -> f64 {
        let by_route = |route: usize| (0..self.sites.len()).map(|site| value(route, site)).sum::<f64>();
        (0..self.routes.len()).map(by_route).sum()
    }

    /// Returns the load that a site takes over from others, which is its load beyond that of its own clients.
    fn taken_over(&self, site: SiteId) -> f64 {
        let own = (0..self.routes.len()).map(|route| self.admitted_load(route, site)).sum::<f64>();
        (self.load[site] - own.min(self.load[site])).max(0.0)
    }

    fn service(&self) -> f64 {
        let weight = |route: usize| self.routes[route].priority_weight;
        let demanded = self.sum(|route, site| weight(route) * self.demand(site, route));
        if demanded > 0.0 {
            self.sum(|route, site| weight(route) * self.admitted_load(route, site)) / demanded
        } else {
            1.0
        }
    }

    fn into_plan(self) -> CapacityPlan {
        CapacityPlan {
            taken_over: (0..self.sites.len()).map(|site| self.taken_over(site)).collect(),
            utilization: self.load.iter().zip(self.sites).map(|(load, site)| load / site.capacity).collect(),
            rejected: self.sum(|route, site| self.demand(site, route) - self.admitted_load(route, site)),
            spare: self.total_free(),
            service: self.service(),
            failed: self.failed.clone(),
            admitted: self.admitted,
        }
    }
}
