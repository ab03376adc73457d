//! What arises all the time.

use super::*;

pub(super) fn planner(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let ordinary = figures("planner (today)", When::Ordinary);
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
            "crates/leader-election, crates/singleton-tasks, crates/config-consensus",
            LEASES,
        ),
        ordinary(
            "memory: the configuration of all servers and routes",
            "servers x slope + routes x slope",
            "configuration/servers/allocated, configuration/routes/allocated",
            entries,
            "bytes",
            memory,
            "crates/config-consensus",
            SCOPE,
        ),
        ordinary(
            "memory: all tenants, each kept like a route",
            "tenants x slope",
            "configuration/routes/allocated",
            tenants,
            "bytes",
            memory,
            "crates/config-consensus",
            TENANT_STATE,
        ),
        ordinary(
            "memory: the list of all servers",
            "curve at servers + zones x slope",
            "station/servers/allocated, station/zones/allocated",
            list,
            "bytes",
            memory,
            "crates/platform-protocol, src/policy",
            SCOPE,
        ),
        ordinary(
            "memory: its proxies",
            "proxies_per_planner x slope",
            "station/proxies/allocated",
            proxies * data.slope("station/proxies/allocated")?.slope,
            "bytes",
            memory,
            "crates/platform-protocol, crates/assignments",
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
            "crates/config-consensus",
            SCOPE,
        ),
        ordinary(
            "bytes a second: leases and heartbeats",
            "curve at planners",
            "fleet_idle/planners/bytes_per_planner",
            data.at("fleet_idle/planners/bytes_per_planner", plan.planners)?,
            "bytes/s",
            bytes,
            "crates/leader-election, crates/singleton-tasks, crates/config-consensus",
            LEASES,
        ),
        ordinary(
            "bytes a second: changes of configuration",
            "changes_a_day x slope, with 30 planners",
            "fleet_rates/changes_a_day/bytes_per_planner",
            plan.changes_a_day * data.slope("fleet_rates/changes_a_day/bytes_per_planner")?.slope,
            "bytes/s",
            bytes,
            "crates/config-consensus",
            HOLDS,
        ),
        ordinary(
            "bytes a second: load of all servers",
            "servers x report_bytes / report_every_s",
            "plan",
            reports,
            "bytes/s",
            bytes,
            "crates/platform-protocol",
            LOAD,
        ),
        ordinary(
            "processor: leases and heartbeats",
            "curve at planners",
            "fleet_idle/planners/processor_per_planner",
            data.at("fleet_idle/planners/processor_per_planner", plan.planners)?,
            "core",
            processor,
            "crates/leader-election, crates/singleton-tasks, crates/config-consensus",
            LEASES,
        ),
        ordinary(
            "processor: the list of all servers, nothing happening",
            "curve at servers",
            "station/servers/processor_idle",
            data.at("station/servers/processor_idle", plan.servers)?,
            "core",
            processor,
            "src/policy",
            SCOPE,
        ),
        ordinary(
            "processor: changes of the whole configuration",
            "changes_a_day / 86,400 x (curve at servers + curve at routes + tenants)",
            "configuration/servers/processor_per_change, configuration/routes/processor_per_change",
            plan.changes_a_day / DAY * change,
            "core",
            processor,
            "crates/config-consensus",
            SCOPE,
        ),
        ordinary(
            "processor: its proxies",
            "proxies_per_planner x slope",
            "station/proxies/processor_idle",
            proxies * data.slope("station/proxies/processor_idle")?.slope,
            "core",
            processor,
            "src/policy, crates/platform-protocol",
            HOLDS,
        ),
        ordinary(
            "synced writes",
            "changes_a_day x slope",
            "fleet_rates/changes_a_day/syncs_per_planner",
            plan.changes_a_day * data.slope("fleet_rates/changes_a_day/syncs_per_planner")?.slope,
            "1/s",
            None,
            "crates/config-consensus",
            SCOPE,
        ),
        ordinary(
            "descriptors: streams to all members",
            "curve at planners",
            "members/planners/descriptors_per_planner",
            data.at("members/planners/descriptors_per_planner", plan.planners)?,
            "1",
            None,
            "crates/cluster",
            MEMBERSHIP,
        ),
    ])
}

pub(super) fn control(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let open = plan.restarts_a_day / DAY * (data.assumed("restart_down_s")? + data.assumed("lease_s")?);
    let figure = figures("control quorum (today: the leader of all members)", When::Ordinary);
    let row = |what, formula: &str, source: &str, value, unit, budget, mechanism| {
        figure(
            what,
            formula,
            source,
            value,
            unit,
            Some(budget),
            "crates/config-consensus, crates/singleton-tasks",
            mechanism,
        )
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

pub(super) fn others(data: &Data) -> Result<Vec<Use>, MissingRow> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let proxies = plan.planners * data.assumed("proxies_per_planner")?;
    let list_bytes = plan.servers * data.assumed("server_entry_bytes")?;
    let row = |role, what, formula: &str, source: &str, value, unit, budget, module, mechanism| {
        figures(role, When::Ordinary)(what, formula, source, value, unit, budget, module, mechanism)
    };
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
            "crates/platform-protocol",
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
            "crates/platform-protocol",
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
