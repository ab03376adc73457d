//! Resource uses at all times.

use super::{
    CostPeriod, Data, EstimateError, HOLDS, LEASES, LOAD, MAX_CONFIGURATION_BYTES, MAX_LATE_SHARE,
    MAX_PROXIES, MAX_ROUTES, MEMBERSHIP, ROUTES_BY_SCOPE, ResourceUse, SCOPE, SECONDS_PER_DAY, TENANT_STATE,
    resource_uses,
};

/// Terms of the formulas of a planner.
struct PlannerTerms {
    /// Memory of the configuration of all servers and routes, in bytes.
    configuration_memory: f64,
    /// Memory of all tenants, in bytes.
    tenant_memory: f64,
    /// Memory of the endpoint list of all servers and zones, in bytes.
    list_memory: f64,
    /// Processor time of one change of the whole configuration, in seconds.
    processor_per_change: f64,
    /// Load reports of all servers, in bytes per second.
    report_bytes_per_second: f64,
    /// Number of proxies of one planner.
    proxies: f64,
}

/// Computes the terms of the formulas of a planner.
fn planner_terms(data: &Data) -> Result<PlannerTerms, EstimateError> {
    let plan = &data.plan.plan;
    let configuration_memory = data.slope("configuration/servers/allocated")?.slope * plan.servers
        + data.slope("configuration/routes/allocated")?.slope * plan.routes;
    let tenant_memory = data.slope("configuration/routes/allocated")?.slope * plan.tenants;
    let list_memory = data.cost_at("station/servers/allocated", plan.servers)?
        + data.slope("station/zones/allocated")?.slope * plan.zones;
    let processor_per_change =
        data.slope("configuration/servers/processor_per_change")?.cost_at(plan.servers)
            + data.slope("configuration/routes/processor_per_change")?.cost_at(plan.routes + plan.tenants);
    let report_bytes_per_second =
        plan.servers * data.assumption("report_bytes")? / data.assumption("report_every_s")?;
    let proxies = data.assumption("proxies_per_planner")?;
    Ok(PlannerTerms {
        configuration_memory,
        tenant_memory,
        list_memory,
        processor_per_change,
        report_bytes_per_second,
        proxies,
    })
}

/// Estimates the resource uses of one planner.
pub(super) fn planner(data: &Data) -> Result<Vec<ResourceUse>, EstimateError> {
    let terms = planner_terms(data)?;
    let mut uses = planner_memory(data, &terms)?;
    uses.extend(planner_maxima(data)?);
    uses.extend(planner_traffic(data, &terms)?);
    uses.extend(planner_processor(data, &terms)?);
    uses.extend(planner_files(data)?);
    Ok(uses)
}

/// Estimates the memory of one planner.
fn planner_memory(data: &Data, terms: &PlannerTerms) -> Result<Vec<ResourceUse>, EstimateError> {
    let (plan, memory) = (&data.plan.plan, Some(data.plan.budget.planner_memory_bytes));
    let ordinary = resource_uses("planner (today)", CostPeriod::Ordinary);
    Ok(vec![
        ordinary(
            "memory: all members, election and leases",
            "curve at planners",
            "fleet_idle/planners/allocated_per_planner",
            data.cost_at("fleet_idle/planners/allocated_per_planner", plan.planners)?,
            "bytes",
            memory,
            "crates/leader-election, crates/singleton-tasks, crates/config-consensus",
            LEASES,
        ),
        ordinary(
            "memory: the configuration of all servers and routes",
            "servers x slope + routes x slope",
            "configuration/servers/allocated, configuration/routes/allocated",
            terms.configuration_memory,
            "bytes",
            memory,
            "crates/config-consensus",
            SCOPE,
        ),
        ordinary(
            "memory: all tenants, each kept like a route",
            "tenants x slope",
            "configuration/routes/allocated",
            terms.tenant_memory,
            "bytes",
            memory,
            "crates/config-consensus",
            TENANT_STATE,
        ),
        ordinary(
            "memory: the list of all servers",
            "curve at servers + zones x slope",
            "station/servers/allocated, station/zones/allocated",
            terms.list_memory,
            "bytes",
            memory,
            "crates/platform-protocol, src/policy",
            SCOPE,
        ),
        ordinary(
            "memory: its proxies",
            "proxies_per_planner x slope",
            "station/proxies/allocated",
            terms.proxies * data.slope("station/proxies/allocated")?.slope,
            "bytes",
            memory,
            "crates/platform-protocol, crates/assignments",
            HOLDS,
        ),
    ])
}

/// Compares the routes and the configuration size with the maxima of the program.
fn planner_maxima(data: &Data) -> Result<Vec<ResourceUse>, EstimateError> {
    let plan = &data.plan.plan;
    let ordinary = resource_uses("planner (today)", CostPeriod::Ordinary);
    Ok(vec![
        ordinary(
            "routes that can be told apart",
            "routes / 16 bits of a set",
            "plan",
            plan.routes,
            "routes",
            Some(MAX_ROUTES),
            "src/host.rs",
            ROUTES_BY_SCOPE,
        ),
        ordinary(
            "bytes of a whole configuration",
            "servers x slope + (routes + tenants) x slope",
            "configuration/servers/bytes_whole, configuration/routes/bytes_whole",
            data.whole_bytes()?,
            "bytes",
            Some(MAX_CONFIGURATION_BYTES),
            "crates/config-consensus",
            SCOPE,
        ),
    ])
}

/// Estimates the traffic of one planner.
fn planner_traffic(data: &Data, terms: &PlannerTerms) -> Result<Vec<ResourceUse>, EstimateError> {
    let (plan, bytes) = (&data.plan.plan, Some(data.plan.budget.planner_bytes_per_second));
    let ordinary = resource_uses("planner (today)", CostPeriod::Ordinary);
    Ok(vec![
        ordinary(
            "bytes a second: leases and heartbeats",
            "curve at planners",
            "fleet_idle/planners/bytes_per_planner",
            data.cost_at("fleet_idle/planners/bytes_per_planner", plan.planners)?,
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
            terms.report_bytes_per_second,
            "bytes/s",
            bytes,
            "crates/platform-protocol",
            LOAD,
        ),
    ])
}

/// Estimates the processor time of one planner.
fn planner_processor(data: &Data, terms: &PlannerTerms) -> Result<Vec<ResourceUse>, EstimateError> {
    let (plan, processor) = (&data.plan.plan, Some(data.plan.budget.planner_processor));
    let ordinary = resource_uses("planner (today)", CostPeriod::Ordinary);
    Ok(vec![
        ordinary(
            "processor: leases and heartbeats",
            "curve at planners",
            "fleet_idle/planners/processor_per_planner",
            data.cost_at("fleet_idle/planners/processor_per_planner", plan.planners)?,
            "core",
            processor,
            "crates/leader-election, crates/singleton-tasks, crates/config-consensus",
            LEASES,
        ),
        ordinary(
            "processor: the list of all servers, nothing happening",
            "curve at servers",
            "station/servers/processor_idle",
            data.cost_at("station/servers/processor_idle", plan.servers)?,
            "core",
            processor,
            "src/policy",
            SCOPE,
        ),
        ordinary(
            "processor: changes of the whole configuration",
            "changes_a_day / 86,400 x (curve at servers + curve at routes + tenants)",
            "configuration/servers/processor_per_change, configuration/routes/processor_per_change",
            plan.changes_a_day / SECONDS_PER_DAY * terms.processor_per_change,
            "core",
            processor,
            "crates/config-consensus",
            SCOPE,
        ),
        ordinary(
            "processor: its proxies",
            "proxies_per_planner x slope",
            "station/proxies/processor_idle",
            terms.proxies * data.slope("station/proxies/processor_idle")?.slope,
            "core",
            processor,
            "src/policy, crates/platform-protocol",
            HOLDS,
        ),
    ])
}

/// Estimates the synced writes and the file descriptors of one planner.
fn planner_files(data: &Data) -> Result<Vec<ResourceUse>, EstimateError> {
    let plan = &data.plan.plan;
    let ordinary = resource_uses("planner (today)", CostPeriod::Ordinary);
    Ok(vec![
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
            data.cost_at("members/planners/descriptors_per_planner", plan.planners)?,
            "1",
            None,
            "crates/cluster",
            MEMBERSHIP,
        ),
    ])
}

/// Returns the use of a resource by the control quorum.
fn control_use(
    what: &'static str,
    formula: &str,
    source: &str,
    value: f64,
    unit: &'static str,
    budget: f64,
    mechanism: &'static str,
) -> ResourceUse {
    let resource_use =
        resource_uses("control quorum (today: the leader of all members)", CostPeriod::Ordinary);
    let module = "crates/config-consensus, crates/singleton-tasks";
    resource_use(what, formula, source, value, unit, Some(budget), module, mechanism)
}

/// Estimates the resource uses of the control quorum.
pub(super) fn control(data: &Data) -> Result<Vec<ResourceUse>, EstimateError> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let lease_open_share = plan.restarts_a_day / SECONDS_PER_DAY
        * (data.assumption("restart_down_s")? + data.assumption("lease_s")?);
    Ok(vec![
        control_use(
            "processor of the busiest member",
            "curve at planners",
            "fleet_plan/planners/processor_busiest",
            data.cost_at("fleet_plan/planners/processor_busiest", plan.planners)?,
            "core",
            budget.control_processor,
            LEASES,
        ),
        control_use(
            "bytes a second sent by the busiest member",
            "curve at planners",
            "fleet_plan/planners/bytes_busiest",
            data.cost_at("fleet_plan/planners/bytes_busiest", plan.planners)?,
            "bytes/s",
            budget.control_bytes_per_second,
            LEASES,
        ),
        control_use(
            "part of the time in which somebody's lease is open",
            "restarts_a_day / 86,400 x (restart_down_s + lease_s); a change waits then",
            "plan",
            lease_open_share,
            "1",
            MAX_LATE_SHARE,
            LEASES,
        ),
        control_use(
            "from a change until it is in force, 99 of 100, between regions, the plan's rates",
            "measured at the largest size",
            "fleet_plan_regions/planners/in_force_p99",
            data.slope("fleet_plan_regions/planners/in_force_p99")?.at_largest,
            "s",
            plan.in_force_within_s,
            LEASES,
        ),
        control_use(
            "the same, by rate of restarts at 30 planners",
            "curve at restarts_a_day",
            "fleet_rates/restarts_a_day/in_force_worst",
            data.cost_at("fleet_rates/restarts_a_day/in_force_worst", plan.restarts_a_day)?,
            "s",
            plan.in_force_within_s,
            LEASES,
        ),
    ])
}

/// Estimates the resource uses of all other roles.
pub(super) fn others(data: &Data) -> Result<Vec<ResourceUse>, EstimateError> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let proxies = plan.planners * data.assumption("proxies_per_planner")?;
    let list_bytes = plan.servers * data.assumption("server_entry_bytes")?;
    let row = |role, what, formula: &str, source: &str, value, unit, budget, module, mechanism| {
        resource_uses(role, CostPeriod::Ordinary)(
            what, formula, source, value, unit, budget, module, mechanism,
        )
    };
    Ok(vec![
        row(
            "proxy",
            "proxies of the fleet that one planner's numbers can tell apart",
            "planners x proxies_per_planner / 16 bits",
            "plan",
            proxies,
            "proxies",
            Some(MAX_PROXIES),
            "src/host.rs",
            "numbers by planner: a planner's own proxies fit, all of the fleet's do not",
        ),
        row(
            "server",
            "bytes a second of its load reports to every planner",
            "planners x report_bytes / report_every_s",
            "plan",
            plan.planners * data.assumption("report_bytes")? / data.assumption("report_every_s")?,
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
            plan.restarts_a_day / SECONDS_PER_DAY * list_bytes,
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
