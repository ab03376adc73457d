//! The sizes at which costs reach their budgets.

use super::{Data, EstimateError, MAX_CONFIGURATION_BYTES, SizeLimit};
use crate::sample::Slope;

/// Returns, for each cost with a budget, the size at which the cost reaches the budget.
pub(super) fn size_limits(data: &Data) -> Result<Vec<SizeLimit>, EstimateError> {
    let (plan, budget) = (&data.plan.plan, &data.plan.budget);
    let costs = [
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
        ("configuration/servers/bytes_whole", "servers", MAX_CONFIGURATION_BYTES, plan.servers),
        (
            "configuration/routes/bytes_whole",
            "routes and tenants",
            MAX_CONFIGURATION_BYTES,
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
    costs
        .into_iter()
        .map(|(row, swept, budget, planned)| {
            let slope = data.slope(row)?;
            let reached_at = size_at_budget(slope, budget, planned);
            Ok(SizeLimit {
                row: row.into(),
                swept: swept.into(),
                budget,
                unit: slope.unit.clone(),
                reached_at,
                planned,
                largest_measured: slope.largest,
            })
        })
        .collect()
}

/// Returns the largest size within the budget by bisection, or `None` if the planned size is within the budget.
fn size_at_budget(slope: &Slope, budget: f64, planned: f64) -> Option<f64> {
    const BISECTION_STEPS: usize = 60;
    if slope.cost_at(planned) <= budget {
        return None;
    }
    let (mut within, mut beyond) = (0.0, planned);
    for _ in 0..BISECTION_STEPS {
        let middle = (within + beyond) / 2.0;
        if slope.cost_at(middle) <= budget { within = middle } else { beyond = middle }
    }
    Some(within)
}
