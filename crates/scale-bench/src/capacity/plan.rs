//! The plan's numbers, its budgets, and named assumptions for what it does not say.

use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// The sizes that are planned for.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Planners.
    pub planners: f64,
    /// Servers.
    pub servers: f64,
    /// Services.
    pub services: f64,
    /// Regions.
    pub regions: f64,
    /// Zones of all regions.
    pub zones: f64,
    /// Routes of all services.
    pub routes: f64,
    /// Tenants.
    pub tenants: f64,
    /// Requests a second at the peak.
    pub requests_per_second: f64,
    /// Changes of configuration a day.
    pub changes_a_day: f64,
    /// Within how many seconds a change has to be in force everywhere.
    pub in_force_within_s: f64,
    /// Machines that fail on an ordinary day.
    pub failures_a_day: f64,
    /// Planners restarted or replaced a day.
    pub restarts_a_day: f64,
    /// Machines set aside for control.
    pub control_machines: f64,
}

/// What may be spent on control.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Of one planner, in cores.
    pub planner_processor: f64,
    /// Of one planner.
    pub planner_memory_bytes: f64,
    /// Of one planner.
    pub planner_bytes_per_second: f64,
    /// Of one control machine, in cores.
    pub control_processor: f64,
    /// Sent by one control machine.
    pub control_bytes_per_second: f64,
}

/// Something that the plan does not say.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// Its name in formulas.
    pub name: String,
    /// What is taken.
    pub value: f64,
    /// The least that it may be.
    pub low: f64,
    /// The most that it may be.
    pub high: f64,
    /// Its unit.
    pub unit: String,
    /// What it stands for.
    pub meaning: String,
    /// What changes if it is wrong.
    pub if_wrong: String,
}

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanFile {
    /// The sizes.
    pub plan: Plan,
    /// The budgets.
    pub budget: Budget,
    /// What the plan does not say.
    #[serde(rename = "assumption")]
    pub assumptions: Vec<Assumption>,
}

/// Why a plan cannot be used.
#[derive(Debug, Error)]
pub enum BadPlan {
    /// It cannot be read, or a field is missing, unknown or of another type.
    #[error("{path}: {cause}")]
    File {
        /// The file.
        path: String,
        /// What is wrong with it.
        cause: String,
    },
    /// A number that cannot be.
    #[error("{field}: {value} {cause}")]
    Number {
        /// The field.
        field: String,
        /// Its value.
        value: f64,
        /// Why it cannot be.
        cause: &'static str,
    },
    /// A formula names an assumption that the file has not.
    #[error("assumption {0:?}: it is not in the file")]
    Unknown(String),
}

impl PlanFile {
    /// Reads and checks a plan.
    ///
    /// # Errors
    ///
    /// It cannot be read, or a number in it cannot be; the field is named.
    pub fn open(path: &Path) -> Result<PlanFile, BadPlan> {
        let bad = |cause: String| BadPlan::File { path: path.display().to_string(), cause };
        let text = std::fs::read_to_string(path).map_err(|why| bad(why.to_string()))?;
        let file: PlanFile = toml::from_str(&text).map_err(|why| bad(why.to_string()))?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), BadPlan> {
        let (plan, budget) = (&self.plan, &self.budget);
        let numbers = [
            ("plan.planners", plan.planners),
            ("plan.servers", plan.servers),
            ("plan.services", plan.services),
            ("plan.regions", plan.regions),
            ("plan.zones", plan.zones),
            ("plan.routes", plan.routes),
            ("plan.tenants", plan.tenants),
            ("plan.requests_per_second", plan.requests_per_second),
            ("plan.changes_a_day", plan.changes_a_day),
            ("plan.in_force_within_s", plan.in_force_within_s),
            ("plan.failures_a_day", plan.failures_a_day),
            ("plan.restarts_a_day", plan.restarts_a_day),
            ("plan.control_machines", plan.control_machines),
            ("budget.planner_processor", budget.planner_processor),
            ("budget.planner_memory_bytes", budget.planner_memory_bytes),
            ("budget.planner_bytes_per_second", budget.planner_bytes_per_second),
            ("budget.control_processor", budget.control_processor),
            ("budget.control_bytes_per_second", budget.control_bytes_per_second),
        ];
        for (field, value) in numbers {
            if !(value.is_finite() && value > 0.0) {
                return Err(BadPlan::Number { field: field.into(), value, cause: "has to be above zero" });
            }
        }
        if plan.regions > plan.zones {
            let cause = "is more than there are zones: a region has one at least";
            return Err(BadPlan::Number { field: "plan.regions".into(), value: plan.regions, cause });
        }
        for assumption in &self.assumptions {
            let field = format!("assumption.{}", assumption.name);
            let Assumption { value, low, high, .. } = *assumption;
            if !(low > 0.0 && low <= value && value <= high && high.is_finite()) {
                return Err(BadPlan::Number { field, value, cause: "is not within its own range" });
            }
        }
        Ok(())
    }

    /// The value of an assumption.
    ///
    /// # Errors
    ///
    /// The file has none of that name.
    pub fn assumed(&self, name: &str) -> Result<f64, BadPlan> {
        let found = self.assumptions.iter().find(|a| a.name == name).map(|a| a.value);
        found.ok_or_else(|| BadPlan::Unknown(name.into()))
    }
}
