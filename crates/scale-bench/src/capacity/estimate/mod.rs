//! Estimates of what each role needs at the planned size: formulas over slopes, the plan's numbers and assumptions.
//!
//! The texts of the estimates are cells of the tables of `docs/CAPACITY.md`.

mod peaks;
mod size_limits;
mod steady;

use super::plan::{PlanError, PlanFile};
use crate::sample::Slope;
use thiserror::Error;

const SECONDS_PER_DAY: f64 = 86_400.0;
const SECONDS_PER_MINUTE: f64 = 60.0;
/// The number of routes that one planner can distinguish: a set of routes (`RouteSet`) has 16 bits.
const MAX_ROUTES: f64 = 16.0;
/// The number of proxies that one planner can distinguish: `Proxy` has 16 bits.
const MAX_PROXIES: f64 = 65_536.0;
/// The largest size of a whole configuration.
const MAX_CONFIGURATION_BYTES: f64 = grebespool_config_consensus::MAX_VERSION_BYTES as f64;
/// The number of simultaneous changes in the worst minute.
const CHANGES_AT_ONCE: f64 = 100.0;
/// The time for which a region is cut off, in seconds.
const REGION_CUT_OFF_S: f64 = 600.0;
/// The largest share of changes that may exceed the time limit of a change.
const MAX_LATE_SHARE: f64 = 0.01;

/// The period in which a cost arises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostPeriod {
    /// At all times.
    Ordinary,
    /// During the worst minute.
    WorstMinute,
    /// Over a whole day.
    Day,
}

/// The estimated use of one resource by one role.
#[derive(Debug, Clone, PartialEq)]
pub struct ResourceUse {
    /// The role that uses the resource.
    pub role: &'static str,
    /// The period in which the use arises.
    pub period: CostPeriod,
    /// The name of the resource and its purpose.
    pub what: &'static str,
    /// The formula of the value.
    pub formula: String,
    /// The rows of `slopes.csv` that the formula uses, or `plan`.
    pub source: String,
    /// The estimated value, in `unit`.
    pub value: f64,
    /// The unit of the value.
    pub unit: &'static str,
    /// The largest permitted value, if there is a limit.
    pub budget: Option<f64>,
    /// The module that causes the use.
    pub module: &'static str,
    /// The mechanism that keeps the use within its budget, or is going to.
    pub mechanism: &'static str,
}

impl ResourceUse {
    /// Returns the value as a multiple of the budget, or `None` without a budget.
    pub fn budget_factor(&self) -> Option<f64> {
        Some(self.value / self.budget?)
    }
}

/// The size at which a cost reaches its budget by its fitted curve.
#[derive(Debug, Clone, PartialEq)]
pub struct SizeLimit {
    /// The name of the row of `slopes.csv`.
    pub row: String,
    /// The name of the swept size.
    pub swept: String,
    /// The budget of the cost, in `unit`.
    pub budget: f64,
    /// The unit of the budget.
    pub unit: String,
    /// The largest size within the budget, or `None` if the planned size is within the budget.
    pub reached_at: Option<f64>,
    /// The planned size.
    pub planned: f64,
    /// The largest size that was measured.
    pub largest_measured: f64,
}

/// The reason why the capacity cannot be estimated.
#[derive(Debug, Error)]
pub enum EstimateError {
    /// The data has no such curve.
    #[error("slopes.csv: no row {0:?}")]
    Slope(String),
    /// The plan has no such assumption.
    #[error(transparent)]
    Plan(#[from] PlanError),
}

/// The estimates that the tables of the page show.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityEstimate {
    /// The estimated resource uses of all roles, in the order of the tables.
    pub uses: Vec<ResourceUse>,
    /// The sizes at which costs reach their budgets.
    pub size_limits: Vec<SizeLimit>,
}

/// The plan and the fitted slopes that the formulas use.
struct Data<'a> {
    plan: &'a PlanFile,
    slopes: &'a [Slope],
}

impl Data<'_> {
    /// Returns the slope of a row of `slopes.csv`.
    fn slope(&self, row: &str) -> Result<&Slope, EstimateError> {
        self.slopes.iter().find(|s| s.row == row).ok_or_else(|| EstimateError::Slope(row.into()))
    }

    /// Returns the cost at a size by the fitted curve.
    fn cost_at(&self, row: &str, size: f64) -> Result<f64, EstimateError> {
        Ok(self.slope(row)?.cost_at(size))
    }

    /// Returns the value of an assumption.
    fn assumption(&self, name: &str) -> Result<f64, EstimateError> {
        Ok(self.plan.assumption(name)?)
    }

    /// Returns the size in bytes of a configuration with all servers, routes and tenants.
    fn whole_bytes(&self) -> Result<f64, EstimateError> {
        let plan = &self.plan.plan;
        Ok(self.slope("configuration/servers/bytes_whole")?.slope * plan.servers
            + self.slope("configuration/routes/bytes_whole")?.slope * (plan.routes + plan.tenants))
    }
}

/// Estimates the resource uses of all roles and the sizes at which costs reach their budgets.
///
/// # Errors
///
/// Returns an error with the name of the first curve or assumption that is missing.
pub fn estimate_capacity(plan: &PlanFile, slopes: &[Slope]) -> Result<CapacityEstimate, EstimateError> {
    let data = Data { plan, slopes };
    let mut uses = steady::planner(&data)?;
    uses.extend(steady::control(&data)?);
    uses.extend(steady::others(&data)?);
    uses.extend(peaks::worst_minute(&data)?);
    uses.extend(peaks::day(&data)?);
    Ok(CapacityEstimate { uses, size_limits: size_limits::size_limits(&data)? })
}

// Values of `ResourceUse::mechanism`, which the page shows.
const SCOPE: &str = "to be built: distribution of configuration by scope";
const LEASES: &str = "to be built: leases by aggregation at relays";
const TENANT_STATE: &str = "to be built after it: state of the tenants met";
const LOAD: &str = "to be built after it: who hears which server's load";
const MEMBERSHIP: &str = "to be built after it: membership and failure detection";
const ROUTES_BY_SCOPE: &str = "to be built with scopes: routes by service, not by bits of one set";
const HOLDS: &str = "holds";

/// Returns a function that builds the resource uses of one role in one period.
fn resource_uses(
    role: &'static str,
    period: CostPeriod,
) -> impl Fn(&'static str, &str, &str, f64, &'static str, Option<f64>, &'static str, &'static str) -> ResourceUse
{
    move |what, formula, source, value, unit, budget, module, mechanism| ResourceUse {
        role,
        period,
        what,
        formula: formula.into(),
        source: source.into(),
        value,
        unit,
        budget,
        module,
        mechanism,
    }
}
