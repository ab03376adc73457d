//! What arises in the worst minute, and over a day.

use super::*;

pub(super) fn worst_minute(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let per_change = data.slope("fleet_rates/changes_a_day/bytes_per_planner")?.slope * DAY;
    let (whole, entry) = (data.whole_bytes()?, data.assumed("server_entry_bytes")?);
    let (in_zone, per_region) = (plan.servers / plan.zones, plan.planners / plan.regions);
    let missed = plan.changes_a_day / DAY * REGION_AWAY_S;
    let row = |role, what, formula: String, source: &str, value, budget, mechanism| {
        let figure = figures(role, When::WorstMinute);
        figure(what, &formula, source, value, "bytes/s", Some(budget), "crates/config-consensus", mechanism)
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

pub(super) fn day(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let steady = data.at("fleet_idle/planners/bytes_per_planner", plan.planners)?
        + plan.changes_a_day * data.slope("fleet_rates/changes_a_day/bytes_per_planner")?.slope;
    let restarts = plan.restarts_a_day / plan.planners * data.whole_bytes()?;
    let figure = figures("planner (today)", When::Day);
    let row = |what, formula: &str, source: &str, value, unit, budget| {
        figure(what, formula, source, value, unit, budget, "crates/config-consensus", SCOPE)
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
