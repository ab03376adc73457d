//! Prints the service that remains when sites of a day are lost.

use crate::error::CommandError;
use grebespool_settings::Day;
use grebespool_site_failover::{CapacityPlan, PlanError, RouteDemand, SiteCapacity, SiteId, plan_capacity};
use std::collections::BTreeSet;
use std::path::Path;
use std::process::ExitCode;

/// Length of the bar of a full site, in characters.
const BAR_LENGTH: f64 = 40.0;
/// Missing work per second below which nothing counts as missing.
const NEGLIGIBLE_WORK: f64 = 1e-9;

/// Options of the plans and of their assessment.
pub(crate) struct PlanOptions {
    /// Smallest share of the requested priority weight that has to remain after the loss of a site.
    pub(crate) min_service: f64,
    /// Largest utilization of servers.
    pub(crate) max_utilization: f64,
    /// True if the losses of two sites at a time are shown too.
    pub(crate) pairs: bool,
}

/// The sites of a day with their capacity and demand.
struct Sites {
    day: Day,
    capacities: Vec<SiteCapacity>,
    demands: Vec<RouteDemand>,
    /// Total demand, in seconds of work per second.
    demand: f64,
}

impl Sites {
    fn new(day: Day) -> Self {
        let capacities: Vec<SiteCapacity> =
            day.deployment.zones.iter().map(|zone| site_capacity(&day, zone)).collect();
        let demand = capacities.iter().flat_map(|site| &site.demand).sum();
        let demands = day
            .deployment
            .routes
            .iter()
            .map(|route| RouteDemand { priority_weight: route.importance, is_site_local: route.stays_local });
        Sites { demands: demands.collect(), capacities, demand, day }
    }

    /// Returns the losses to plan for: none, each site and, with `pairs`, each two of more than two sites.
    fn losses(&self, pairs: bool) -> Vec<BTreeSet<SiteId>> {
        let count = self.capacities.len();
        let mut losses = vec![BTreeSet::new()];
        losses.extend((0..count).map(|site| BTreeSet::from([site])));
        if pairs && count > 2 {
            for first in 0..count {
                losses.extend((first + 1..count).map(|second| BTreeSet::from([first, second])));
            }
        }
        losses
    }

    fn plan(&self, lost: &BTreeSet<SiteId>, max_utilization: f64) -> Result<CapacityPlan, PlanError> {
        plan_capacity(&self.capacities, &self.demands, lost, max_utilization)
    }

    /// Returns the demand that a plan has no capacity for, in seconds of work per second.
    fn missing(&self, plan: &CapacityPlan) -> f64 {
        let placed = plan.utilization.iter().zip(&self.capacities).map(|(used, site)| used * site.capacity);
        (self.demand - placed.sum::<f64>()).max(0.0)
    }

    /// Returns the text of an error with the names of the sites in place of their numbers.
    // The text of `PlanError` (site-failover) has to contain `site N ` for this.
    fn with_names(&self, error: &PlanError) -> String {
        let zones = self.day.deployment.zones.iter().enumerate();
        zones.fold(error.to_string(), |text, (site, name)| {
            text.replace(&format!("site {site} "), &format!("site {name:?} "))
        })
    }
}

/// Returns the capacity of a zone's servers and the demand of each route there, in seconds of work per second.
fn site_capacity(day: &Day, zone: &str) -> SiteCapacity {
    let servers = day.servers.iter().filter(|server| server.zone == zone);
    let capacity = servers.map(|server| (server.count * server.cores) as f64 * server.speed).sum();
    let mut demand = vec![0.0; day.deployment.routes.len()];
    for caller in day.callers.iter().filter(|caller| caller.zone == zone) {
        demand[caller.route] += caller.rate * caller.work.0.as_secs_f64();
    }
    SiteCapacity { capacity, demand }
}

/// Prints the plan of each loss. Returns exit code 1 if the loss of one site leaves less than the smallest service.
///
/// # Errors
///
/// Returns an error if the file is not a day or a site has no capacity.
pub(crate) fn print_plans(
    file: &Path,
    options: &PlanOptions,
    values: &[String],
) -> Result<ExitCode, CommandError> {
    let day = Day::read_with(file, None, values).map_err(CommandError::NoCapacities)?;
    let sites = Sites::new(day);
    print_summary(&sites, options);
    let mut is_below = false;
    for lost in sites.losses(options.pairs) {
        let plan = sites
            .plan(&lost, options.max_utilization)
            .map_err(|error| CommandError::file(file)(sites.with_names(&error)))?;
        is_below |= lost.len() == 1 && plan.service < options.min_service;
        print_plan(&sites, &lost, &plan, options.min_service);
    }
    Ok(if is_below { ExitCode::from(1) } else { ExitCode::SUCCESS })
}

fn print_summary(sites: &Sites, options: &PlanOptions) {
    let capacity: f64 = sites.capacities.iter().map(|site| site.capacity).sum();
    println!(
        "{}: {} sites able to {capacity:.1} s of work a second, {:.1} asked for ({:.0}%); filled to {:.0}% at the most",
        sites.day.name,
        sites.capacities.len(),
        sites.demand,
        100.0 * sites.demand / capacity,
        100.0 * options.max_utilization
    );
}

fn print_plan(sites: &Sites, lost: &BTreeSet<SiteId>, plan: &CapacityPlan, min_service: f64) {
    let zones = &sites.day.deployment.zones;
    let names: Vec<&str> = lost.iter().map(|site| zones[*site].as_str()).collect();
    let title =
        if lost.is_empty() { "nothing lost".into() } else { format!("without {}", names.join(" and ")) };
    let note = if plan.service < min_service { "  BELOW" } else { "" };
    println!("\n{title}: service {:.3}{note}", plan.service);
    for ((site, zone), used) in zones.iter().enumerate().zip(&plan.utilization) {
        let bar = "#".repeat((used * BAR_LENGTH).round() as usize);
        let note = if lost.contains(&site) { "lost".into() } else { format!("{:.0}% full", 100.0 * used) };
        println!("  {zone:<16} {bar:<40} {note}");
    }
    for (route, level) in sites.day.deployment.routes.iter().zip(&plan.admitted) {
        let admitted =
            if *level < 1.0 { format!("let in at {:.0}%", 100.0 * level) } else { "let in".into() };
        println!("  {:<16} importance {}: {admitted}", route.name, route.importance);
    }
    let missing = sites.missing(plan);
    if missing > NEGLIGIBLE_WORK {
        println!("  headroom missing: {missing:.1} s of work a second");
    } else {
        println!("  headroom left: {:.1} s of work a second", plan.spare);
    }
}
