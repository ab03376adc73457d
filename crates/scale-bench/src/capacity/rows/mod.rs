//! What each role needs at the planned size: formulas over slopes, the plan's numbers and assumptions.

mod peaks;
mod steady;
mod stops;

use super::plan::{BadPlan, PlanFile};
use crate::sample::Slope;
use thiserror::Error;

const DAY: f64 = 86_400.0;
const MINUTE: f64 = 60.0;
/// Routes that one planner can tell apart today: a set of routes has as many bits (`RouteSet`).
const MOST_ROUTES: f64 = 16.0;
/// Proxies that one planner can tell apart today (`Proxy` has 16 bits).
const MOST_PROXIES: f64 = 65_536.0;
/// The most bytes of a whole configuration today.
const MOST_CONFIGURATION: f64 = grebespool_config_consensus::MAX_VERSION_BYTES as f64;
/// Changes that come at once in the worst minute.
const CHANGES_AT_ONCE: f64 = 100.0;
/// How long a region is cut off before it comes back.
const REGION_AWAY_S: f64 = 600.0;
/// Part of the changes that may miss the limit.
const LATE_PART: f64 = 0.01;

/// When a cost arises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// All the time.
    Ordinary,
    /// In the worst minute.
    WorstMinute,
    /// Over a day.
    Day,
}

/// One figure of a role.
#[derive(Debug, Clone, PartialEq)]
pub struct Use {
    /// Whose it is.
    pub role: &'static str,
    /// When it arises.
    pub when: When,
    /// What is used.
    pub what: &'static str,
    /// How it is worked out.
    pub formula: String,
    /// The rows of `slopes.csv` that it rests on, or `plan`.
    pub source: String,
    /// What it comes to.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// What it may come to, where the plan says.
    pub budget: Option<f64>,
    /// The module that carries it.
    pub module: &'static str,
    /// What brings it within its budget.
    pub mechanism: &'static str,
}

impl Use {
    /// How many times its budget it is.
    pub fn factor(&self) -> Option<f64> {
        Some(self.value / self.budget?)
    }
}

/// The size at which a cost reaches its budget, by its fitted curve.
#[derive(Debug, Clone, PartialEq)]
pub struct Stop {
    /// The row of `slopes.csv`.
    pub row: String,
    /// What is swept.
    pub swept: String,
    /// The budget, with its unit.
    pub budget: f64,
    /// The unit.
    pub unit: String,
    /// The largest size within the budget; none where it holds at any size up to the plan's.
    pub at: Option<f64>,
    /// The planned size.
    pub planned: f64,
    /// The largest size that was measured.
    pub measured: f64,
}

/// Why the page cannot be worked out.
#[derive(Debug, Error)]
pub enum MissingRow {
    /// The data lack a curve.
    #[error("slopes.csv: no row {0:?}")]
    Slope(String),
    /// The plan lacks something.
    #[error(transparent)]
    Plan(#[from] BadPlan),
}

/// Everything that the page tells.
#[derive(Debug, Clone, PartialEq)]
pub struct Rows {
    /// Figures of all roles.
    pub uses: Vec<Use>,
    /// Where today's design stops.
    pub stops: Vec<Stop>,
}

struct Data<'a> {
    plan: &'a PlanFile,
    slopes: &'a [Slope],
}

impl Data<'_> {
    fn slope(&self, row: &str) -> Result<&Slope, MissingRow> {
        self.slopes.iter().find(|s| s.row == row).ok_or_else(|| MissingRow::Slope(row.into()))
    }

    /// What a curve says of a size.
    fn at(&self, row: &str, size: f64) -> Result<f64, MissingRow> {
        Ok(self.slope(row)?.at(size))
    }

    fn assumed(&self, name: &str) -> Result<f64, MissingRow> {
        Ok(self.plan.assumed(name)?)
    }

    /// Entries of a configuration that holds everything: servers, routes and tenants.
    fn whole_bytes(&self) -> Result<f64, MissingRow> {
        let plan = &self.plan.plan;
        Ok(self.slope("configuration/servers/bytes_whole")?.slope * plan.servers
            + self.slope("configuration/routes/bytes_whole")?.slope * (plan.routes + plan.tenants))
    }
}

/// Works out all rows.
///
/// # Errors
///
/// A curve or an assumption is missing; it is named.
pub fn work_out(plan: &PlanFile, slopes: &[Slope]) -> Result<Rows, MissingRow> {
    let data = Data { plan, slopes };
    let mut uses = steady::planner(&data)?;
    uses.extend(steady::control(&data)?);
    uses.extend(steady::others(&data)?);
    uses.extend(peaks::worst_minute(&data)?);
    uses.extend(peaks::day(&data)?);
    Ok(Rows { uses, stops: stops::of_today(&data)? })
}

const SCOPE: &str = "to be built: distribution of configuration by scope";
const LEASES: &str = "to be built: leases by aggregation at relays";
const TENANT_STATE: &str = "to be built after it: state of the tenants met";
const LOAD: &str = "to be built after it: who hears which server's load";
const MEMBERSHIP: &str = "to be built after it: membership and failure detection";
const ROUTES_BY_SCOPE: &str = "to be built with scopes: routes by service, not by bits of one set";
const HOLDS: &str = "holds";

/// What makes the figures of one role at one kind of time.
fn figures(
    role: &'static str,
    when: When,
) -> impl Fn(&'static str, &str, &str, f64, &'static str, Option<f64>, &'static str, &'static str) -> Use {
    move |what, formula, source, value, unit, budget, module, mechanism| Use {
        role,
        when,
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
