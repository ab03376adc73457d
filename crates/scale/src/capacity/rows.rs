//! What each role needs at the planned size: formulas over slopes, the plan's numbers and assumptions.

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
const MOST_CONFIGURATION: f64 = grebespool_accord::MOST_BYTES as f64;
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
    let mut uses = planner(&data)?;
    uses.extend(control(&data)?);
    uses.extend(others(&data)?);
    uses.extend(worst_minute(&data)?);
    uses.extend(day(&data)?);
    Ok(Rows { uses, stops: stops(&data)? })
}

const SCOPE: &str = "to be built: distribution of configuration by scope";
const LEASES: &str = "to be built: leases by aggregation at relays";
const TENANT_STATE: &str = "to be built after it: state of the tenants met";
const LOAD: &str = "to be built after it: who hears which server's load";
const MEMBERSHIP: &str = "to be built after it: membership and failure detection";
const ROUTES_BY_SCOPE: &str = "to be built with scopes: routes by service, not by bits of one set";
const HOLDS: &str = "holds";

fn planner(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let role = "planner (today)";
    let ordinary = |what, formula: &str, source: &str, value, unit, budget, module, mechanism| Use {
        role,
        when: When::Ordinary,
        what,
        formula: formula.into(),
        source: source.into(),
        value,
        unit,
        budget,
        module,
        mechanism,
    };
    let memory = Some(budget.planner_memory_bytes);
    let bytes = Some(budget.planner_bytes_per_second);
    let processor = Some(budget.planner_processor);
    let entries = data.slope("configuration/servers/allocated")?.slope * plan.servers
        + data.slope("configuration/routes/allocated")?.slope * plan.routes;
    let tenants = data.slope("configuration/routes/allocated")?.slope * plan.tenants;
    let list = data.at("station/servers/allocated", plan.servers)?
        + data.slope("station/zones/allocated")?.slope * plan.zones;
    let change = data.slope("configuration/servers/processor_per_change")?.at(plan.servers)
        + data.slope("configuration/routes/processor_per_change")?.at(plan.routes + plan.tenants);
    let reports = plan.servers * data.assumed("report_bytes")? / data.assumed("report_every_s")?;
    let proxies = data.assumed("proxies_per_planner")?;
    Ok(vec![
        ordinary(
            "memory: all members, election and leases",
            "curve at planners",
            "fleet_idle/planners/allocated_per_planner",
            data.at("fleet_idle/planners/allocated_per_planner", plan.planners)?,
            "bytes",
            memory,
            "crates/succession, crates/duties, crates/accord",
            LEASES,
        ),
        ordinary(
            "memory: the configuration of all servers and routes",
            "servers x slope + routes x slope",
            "configuration/servers/allocated, configuration/routes/allocated",
            entries,
            "bytes",
            memory,
            "crates/accord",
            SCOPE,
        ),
        ordinary(
            "memory: all tenants, each kept like a route",
            "tenants x slope",
            "configuration/routes/allocated",
            tenants,
            "bytes",
            memory,
            "crates/accord",
            TENANT_STATE,
        ),
        ordinary(
            "memory: the list of all servers",
            "curve at servers + zones x slope",
            "station/servers/allocated, station/zones/allocated",
            list,
            "bytes",
            memory,
            "crates/platform, src/decide",
            SCOPE,
        ),
        ordinary(
            "memory: its proxies",
            "proxies_per_planner x slope",
            "station/proxies/allocated",
            proxies * data.slope("station/proxies/allocated")?.slope,
            "bytes",
            memory,
            "crates/platform, crates/books",
            HOLDS,
        ),
        ordinary(
            "routes that can be told apart",
            "routes / 16 bits of a set",
            "plan",
            plan.routes,
            "routes",
            Some(MOST_ROUTES),
            "src/host.rs",
            ROUTES_BY_SCOPE,
        ),
        ordinary(
            "bytes of a whole configuration",
            "servers x slope + (routes + tenants) x slope",
            "configuration/servers/bytes_whole, configuration/routes/bytes_whole",
            data.whole_bytes()?,
            "bytes",
            Some(MOST_CONFIGURATION),
            "crates/accord",
            SCOPE,
        ),
        ordinary(
            "bytes a second: leases and heartbeats",
            "curve at planners",
            "fleet_idle/planners/bytes_per_planner",
            data.at("fleet_idle/planners/bytes_per_planner", plan.planners)?,
            "bytes/s",
            bytes,
            "crates/succession, crates/duties, crates/accord",
            LEASES,
        ),
        ordinary(
            "bytes a second: changes of configuration",
            "changes_a_day x slope, with 30 planners",
            "fleet_rates/changes_a_day/bytes_per_planner",
            plan.changes_a_day * data.slope("fleet_rates/changes_a_day/bytes_per_planner")?.slope,
            "bytes/s",
            bytes,
            "crates/accord",
            HOLDS,
        ),
        ordinary(
            "bytes a second: load of all servers",
            "servers x report_bytes / report_every_s",
            "plan",
            reports,
            "bytes/s",
            bytes,
            "crates/platform",
            LOAD,
        ),
        ordinary(
            "processor: leases and heartbeats",
            "curve at planners",
            "fleet_idle/planners/processor_per_planner",
            data.at("fleet_idle/planners/processor_per_planner", plan.planners)?,
            "core",
            processor,
            "crates/succession, crates/duties, crates/accord",
            LEASES,
        ),
        ordinary(
            "processor: the list of all servers, nothing happening",
            "curve at servers",
            "station/servers/processor_idle",
            data.at("station/servers/processor_idle", plan.servers)?,
            "core",
            processor,
            "src/decide",
            SCOPE,
        ),
        ordinary(
            "processor: changes of the whole configuration",
            "changes_a_day / 86,400 x (curve at servers + curve at routes + tenants)",
            "configuration/servers/processor_per_change, configuration/routes/processor_per_change",
            plan.changes_a_day / DAY * change,
            "core",
            processor,
            "crates/accord",
            SCOPE,
        ),
        ordinary(
            "processor: its proxies",
            "proxies_per_planner x slope",
            "station/proxies/processor_idle",
            proxies * data.slope("station/proxies/processor_idle")?.slope,
            "core",
            processor,
            "src/decide, crates/platform",
            HOLDS,
        ),
        ordinary(
            "synced writes",
            "changes_a_day x slope",
            "fleet_rates/changes_a_day/syncs_per_planner",
            plan.changes_a_day * data.slope("fleet_rates/changes_a_day/syncs_per_planner")?.slope,
            "1/s",
            None,
            "crates/accord",
            SCOPE,
        ),
        ordinary(
            "descriptors: streams to all members",
            "curve at planners",
            "members/planners/descriptors_per_planner",
            data.at("members/planners/descriptors_per_planner", plan.planners)?,
            "1",
            None,
            "crates/members",
            MEMBERSHIP,
        ),
    ])
}

fn control(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let open = plan.restarts_a_day / DAY * (data.assumed("restart_down_s")? + data.assumed("lease_s")?);
    let row = |what, formula: &str, source: &str, value, unit, budget, mechanism| Use {
        role: "control quorum (today: the leader of all members)",
        when: When::Ordinary,
        what,
        formula: formula.into(),
        source: source.into(),
        value,
        unit,
        budget: Some(budget),
        module: "crates/accord, crates/duties",
        mechanism,
    };
    Ok(vec![
        row(
            "processor of the busiest member",
            "curve at planners",
            "fleet_plan/planners/processor_busiest",
            data.at("fleet_plan/planners/processor_busiest", plan.planners)?,
            "core",
            budget.control_processor,
            LEASES,
        ),
        row(
            "bytes a second sent by the busiest member",
            "curve at planners",
            "fleet_plan/planners/bytes_busiest",
            data.at("fleet_plan/planners/bytes_busiest", plan.planners)?,
            "bytes/s",
            budget.control_bytes_per_second,
            LEASES,
        ),
        row(
            "part of the time in which somebody's lease is open",
            "restarts_a_day / 86,400 x (restart_down_s + lease_s); a change waits then",
            "plan",
            open,
            "1",
            LATE_PART,
            LEASES,
        ),
        row(
            "from a change until it is in force, 99 of 100, between regions, the plan's rates",
            "measured at the largest size",
            "fleet_plan_regions/planners/in_force_p99",
            data.slope("fleet_plan_regions/planners/in_force_p99")?.at_largest,
            "s",
            plan.in_force_within_s,
            LEASES,
        ),
        row(
            "the same, by rate of restarts at 30 planners",
            "curve at restarts_a_day",
            "fleet_rates/restarts_a_day/in_force_worst",
            data.at("fleet_rates/restarts_a_day/in_force_worst", plan.restarts_a_day)?,
            "s",
            plan.in_force_within_s,
            LEASES,
        ),
    ])
}

fn others(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let proxies = plan.planners * data.assumed("proxies_per_planner")?;
    let row = |role, what, formula: &str, source: &str, value, unit, budget, module, mechanism| Use {
        role,
        when: When::Ordinary,
        what,
        formula: formula.into(),
        source: source.into(),
        value,
        unit,
        budget,
        module,
        mechanism,
    };
    let list_bytes = plan.servers * data.assumed("server_entry_bytes")?;
    Ok(vec![
        row(
            "proxy",
            "proxies of the fleet that one planner's numbers can tell apart",
            "planners x proxies_per_planner / 16 bits",
            "plan",
            proxies,
            "proxies",
            Some(MOST_PROXIES),
            "src/host.rs",
            "numbers by planner: a planner's own proxies fit, all of the fleet's do not",
        ),
        row(
            "server",
            "bytes a second of its load reports to every planner",
            "planners x report_bytes / report_every_s",
            "plan",
            plan.planners * data.assumed("report_bytes")? / data.assumed("report_every_s")?,
            "bytes/s",
            Some(budget.planner_bytes_per_second),
            "crates/platform",
            LOAD,
        ),
        row(
            "discovery",
            "bytes a second of whole lists to restarted planners",
            "restarts_a_day / 86,400 x servers x server_entry_bytes",
            "plan",
            plan.restarts_a_day / DAY * list_bytes,
            "bytes/s",
            Some(budget.control_bytes_per_second),
            "crates/platform",
            SCOPE,
        ),
        row(
            "operator's machine",
            "bytes to see how all planners stand, once",
            "planners x 64 bytes a row",
            "plan",
            plan.planners * 64.0,
            "bytes",
            None,
            "crates/cli",
            HOLDS,
        ),
    ])
}

fn worst_minute(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let per_change = data.slope("fleet_rates/changes_a_day/bytes_per_planner")?.slope * DAY;
    let (whole, entry) = (data.whole_bytes()?, data.assumed("server_entry_bytes")?);
    let (in_zone, per_region) = (plan.servers / plan.zones, plan.planners / plan.regions);
    let missed = plan.changes_a_day / DAY * REGION_AWAY_S;
    let row = |role, what, formula: String, source: &str, value, budget, mechanism| Use {
        role,
        when: When::WorstMinute,
        what,
        formula,
        source: source.into(),
        value,
        unit: "bytes/s",
        budget: Some(budget),
        module: "crates/accord",
        mechanism,
    };
    let planner = budget.planner_bytes_per_second;
    let control = budget.control_bytes_per_second;
    let rates = "fleet_rates/changes_a_day/bytes_per_planner";
    let content = "configuration/servers/bytes_whole, configuration/routes/bytes_whole";
    Ok(vec![
        row(
            "planner (today)",
            "100 changes at once",
            "100 x bytes a change / 60 s".into(),
            rates,
            CHANGES_AT_ONCE * per_change / MINUTE,
            planner,
            HOLDS,
        ),
        row(
            "planner (today)",
            "a zone lost: the drains of its servers, one change each",
            format!("servers / zones x bytes a change / 60 s ({in_zone:.0} servers)"),
            rates,
            in_zone * per_change / MINUTE,
            planner,
            HOLDS,
        ),
        row(
            "planner (today)",
            "back after ten minutes: the whole configuration",
            format!("whole configuration / 60 s ({missed:.0} versions missed)"),
            content,
            whole / MINUTE,
            planner,
            SCOPE,
        ),
        row(
            "planner (today)",
            "restarted: the list of all servers",
            "servers x server_entry_bytes / 60 s".into(),
            "plan",
            plan.servers * entry / MINUTE,
            planner,
            SCOPE,
        ),
        row(
            "control quorum (today: the leader of all members)",
            "a region back after ten minutes, or all of its planners restarted",
            format!("planners / regions x whole configuration / 60 s ({per_region:.0} planners)"),
            content,
            per_region * whole / MINUTE,
            control,
            SCOPE,
        ),
    ])
}

fn day(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let steady = data.at("fleet_idle/planners/bytes_per_planner", plan.planners)?
        + plan.changes_a_day * data.slope("fleet_rates/changes_a_day/bytes_per_planner")?.slope;
    let restarts = plan.restarts_a_day / plan.planners * data.whole_bytes()?;
    let row = |what, formula: &str, source: &str, value, unit, budget| Use {
        role: "planner (today)",
        when: When::Day,
        what,
        formula: formula.into(),
        source: source.into(),
        value,
        unit,
        budget,
        module: "crates/accord",
        mechanism: SCOPE,
    };
    Ok(vec![
        row(
            "bytes, with its own restarts",
            "86,400 x (leases and heartbeats + changes) + restarts_a_day / planners x whole configuration",
            "fleet_idle/planners/bytes_per_planner, fleet_rates/changes_a_day/bytes_per_planner",
            DAY * steady + restarts,
            "bytes",
            Some(DAY * budget.planner_bytes_per_second),
        ),
        row(
            "synced writes",
            "changes_a_day x slope x 86,400",
            "fleet_rates/changes_a_day/syncs_per_planner",
            DAY * plan.changes_a_day * data.slope("fleet_rates/changes_a_day/syncs_per_planner")?.slope,
            "1",
            None,
        ),
    ])
}

/// Where each cost of today's design that has a budget reaches it.
fn stops(data: &Data) -> Result<Vec<Stop>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let of = [
        ("fleet_idle/planners/allocated_per_planner", "planners", budget.planner_memory_bytes, plan.planners),
        ("fleet_idle/planners/bytes_per_planner", "planners", budget.planner_bytes_per_second, plan.planners),
        ("fleet_idle/planners/processor_per_planner", "planners", budget.planner_processor, plan.planners),
        ("fleet_plan/planners/processor_busiest", "planners", budget.control_processor, plan.planners),
        ("fleet_plan/planners/bytes_busiest", "planners", budget.control_bytes_per_second, plan.planners),
        (
            "fleet_rates/restarts_a_day/in_force_p99",
            "restarts a day",
            plan.in_force_within_s,
            plan.restarts_a_day,
        ),
        (
            "fleet_rates/changes_a_day/in_force_p99",
            "changes a day",
            plan.in_force_within_s,
            plan.changes_a_day,
        ),
        (
            "fleet_rates/changes_a_day/bytes_per_planner",
            "changes a day",
            budget.planner_bytes_per_second,
            plan.changes_a_day,
        ),
        ("station/servers/allocated", "servers", budget.planner_memory_bytes, plan.servers),
        ("station/servers/processor_idle", "servers", budget.planner_processor, plan.servers),
        ("configuration/servers/bytes_whole", "servers", MOST_CONFIGURATION, plan.servers),
        (
            "configuration/routes/bytes_whole",
            "routes and tenants",
            MOST_CONFIGURATION,
            plan.routes + plan.tenants,
        ),
        (
            "configuration/routes/allocated",
            "routes and tenants",
            budget.planner_memory_bytes,
            plan.routes + plan.tenants,
        ),
        ("station/zones/allocated", "zones", budget.planner_memory_bytes, plan.zones),
    ];
    of.into_iter()
        .map(|(row, swept, budget, planned)| {
            let slope = data.slope(row)?;
            let at = reaches(slope, budget, planned);
            Ok(Stop {
                row: row.into(),
                swept: swept.into(),
                budget,
                unit: slope.unit.clone(),
                at,
                planned,
                measured: slope.largest,
            })
        })
        .collect()
}

/// The size at which a curve reaches a budget, if that is before the planned size.
fn reaches(slope: &Slope, budget: f64, planned: f64) -> Option<f64> {
    const HALVINGS: usize = 60;
    if slope.at(planned) <= budget {
        return None;
    }
    let (mut within, mut beyond) = (0.0, planned);
    for _ in 0..HALVINGS {
        let half = (within + beyond) / 2.0;
        if slope.at(half) <= budget { within = half } else { beyond = half }
    }
    Some(within)
}
