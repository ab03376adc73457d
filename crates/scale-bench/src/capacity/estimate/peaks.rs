//! Resource uses in the worst minute and over a whole day.

use super::{
    CHANGES_AT_ONCE, CostPeriod, Data, EstimateError, HOLDS, REGION_CUT_OFF_S, ResourceUse, SCOPE,
    SECONDS_PER_DAY, SECONDS_PER_MINUTE, resource_uses,
};

/// Returns the use of traffic by one role in the worst minute.
fn worst_minute_use(
    role: &'static str,
    what: &'static str,
    formula: String,
    source: &str,
    value: f64,
    budget: f64,
    mechanism: &'static str,
) -> ResourceUse {
    let resource_use = resource_uses(role, CostPeriod::WorstMinute);
    resource_use(what, &formula, source, value, "bytes/s", Some(budget), "crates/config-consensus", mechanism)
}

/// Estimates the resource uses in the worst minute.
pub(super) fn worst_minute(data: &Data) -> Result<Vec<ResourceUse>, EstimateError> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let per_change = data.slope("fleet_rates/changes_a_day/bytes_per_planner")?.slope * SECONDS_PER_DAY;
    let (whole, entry) = (data.whole_bytes()?, data.assumption("server_entry_bytes")?);
    let (in_zone, per_region) = (plan.servers / plan.zones, plan.planners / plan.regions);
    let missed = plan.changes_a_day / SECONDS_PER_DAY * REGION_CUT_OFF_S;
    let planner = budget.planner_bytes_per_second;
    let control = budget.control_bytes_per_second;
    let rates = "fleet_rates/changes_a_day/bytes_per_planner";
    let content = "configuration/servers/bytes_whole, configuration/routes/bytes_whole";
    Ok(vec![
        worst_minute_use(
            "planner (today)",
            "100 changes at once",
            "100 x bytes a change / 60 s".into(),
            rates,
            CHANGES_AT_ONCE * per_change / SECONDS_PER_MINUTE,
            planner,
            HOLDS,
        ),
        worst_minute_use(
            "planner (today)",
            "a zone lost: the drains of its servers, one change each",
            format!("servers / zones x bytes a change / 60 s ({in_zone:.0} servers)"),
            rates,
            in_zone * per_change / SECONDS_PER_MINUTE,
            planner,
            HOLDS,
        ),
        worst_minute_use(
            "planner (today)",
            "back after ten minutes: the whole configuration",
            format!("whole configuration / 60 s ({missed:.0} versions missed)"),
            content,
            whole / SECONDS_PER_MINUTE,
            planner,
            SCOPE,
        ),
        worst_minute_use(
            "planner (today)",
            "restarted: the list of all servers",
            "servers x server_entry_bytes / 60 s".into(),
            "plan",
            plan.servers * entry / SECONDS_PER_MINUTE,
            planner,
            SCOPE,
        ),
        worst_minute_use(
            "control quorum (today: the leader of all members)",
            "a region back after ten minutes, or all of its planners restarted",
            format!("planners / regions x whole configuration / 60 s ({per_region:.0} planners)"),
            content,
            per_region * whole / SECONDS_PER_MINUTE,
            control,
            SCOPE,
        ),
    ])
}

/// Estimates the resource uses over a whole day.
pub(super) fn day(data: &Data) -> Result<Vec<ResourceUse>, EstimateError> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let steady = data.cost_at("fleet_idle/planners/bytes_per_planner", plan.planners)?
        + plan.changes_a_day * data.slope("fleet_rates/changes_a_day/bytes_per_planner")?.slope;
    let restarts = plan.restarts_a_day / plan.planners * data.whole_bytes()?;
    let resource_use = resource_uses("planner (today)", CostPeriod::Day);
    let row = |what, formula: &str, source: &str, value, unit, budget| {
        resource_use(what, formula, source, value, unit, budget, "crates/config-consensus", SCOPE)
    };
    Ok(vec![
        row(
            "bytes, with its own restarts",
            "86,400 x (leases and heartbeats + changes) + restarts_a_day / planners x whole configuration",
            "fleet_idle/planners/bytes_per_planner, fleet_rates/changes_a_day/bytes_per_planner",
            SECONDS_PER_DAY * steady + restarts,
            "bytes",
            Some(SECONDS_PER_DAY * budget.planner_bytes_per_second),
        ),
        row(
            "synced writes",
            "changes_a_day x slope x 86,400",
            "fleet_rates/changes_a_day/syncs_per_planner",
            SECONDS_PER_DAY
                * plan.changes_a_day
                * data.slope("fleet_rates/changes_a_day/syncs_per_planner")?.slope,
            "1",
            None,
        ),
    ])
}
