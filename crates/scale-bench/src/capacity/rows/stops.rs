//! The sizes at which today's design stops.

use super::*;

/// Where each cost of today's design that has a budget reaches it.
pub(super) fn of_today(data: &Data) -> Result<Vec<Stop>, MissingRow> {
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
