//! The plan file `plan.toml`: planned sizes, budgets, and named assumptions for values that the plan doesn't state.

use serde::Deserialize;
use std::path::Path;
use thiserror::Error;

/// The planned sizes and rates.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Number of planners.
    pub planners: f64,
    /// Number of servers.
    pub servers: f64,
    /// Number of services.
    pub services: f64,
    /// Number of regions.
    pub regions: f64,
    /// Number of zones of all regions.
    pub zones: f64,
    /// Number of routes of all services.
    pub routes: f64,
    /// Number of tenants.
    pub tenants: f64,
    /// Peak rate of requests, per second.
    pub requests_per_second: f64,
    /// Rate of configuration changes, per day.
    pub changes_a_day: f64,
    /// Limit of the time until a change is active at every planner, in seconds.
    pub in_force_within_s: f64,
    /// Rate of machine failures, per ordinary day.
    pub failures_a_day: f64,
    /// Rate of planner restarts and replacements, per day.
    pub restarts_a_day: f64,
    /// Number of machines that are reserved for control.
    pub control_machines: f64,
}

/// The resources that control may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Processor time of one planner, in cores.
    pub planner_processor: f64,
    /// Memory of one planner, in bytes.
    pub planner_memory_bytes: f64,
    /// Traffic of one planner, in bytes per second.
    pub planner_bytes_per_second: f64,
    /// Processor time of one control machine, in cores.
    pub control_processor: f64,
    /// Traffic that one control machine sends, in bytes per second.
    pub control_bytes_per_second: f64,
}

/// A value that the plan doesn't state and that is assumed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assumption {
    /// The name of the assumption in formulas.
    pub name: String,
    /// The assumed value.
    pub value: f64,
    /// The smallest plausible value.
    pub low: f64,
    /// The largest plausible value.
    pub high: f64,
    /// The unit of the value.
    pub unit: String,
    /// The meaning of the value.
    pub meaning: String,
    /// The consequence of a wrong value.
    pub if_wrong: String,
}

/// The content of `plan.toml`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanFile {
    /// The planned sizes and rates.
    pub plan: Plan,
    /// The resources that control may use.
    pub budget: Budget,
    /// The values that the plan doesn't state.
    #[serde(rename = "assumption")]
    pub assumptions: Vec<Assumption>,
}

/// The reason why a plan cannot be used.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The file cannot be read, or a field is missing, unknown or of a wrong type.
    #[error("{path}: {cause}")]
    File {
        /// The path of the file.
        path: String,
        /// The error of the file system or of the TOML parser.
        cause: String,
    },
    /// A number is out of its range.
    #[error("{field}: {value} {cause}")]
    Number {
        /// The name of the field.
        field: String,
        /// The value of the field.
        value: f64,
        /// The rule that the value violates.
        cause: &'static str,
    },
    /// A formula uses an assumption that is not in the file.
    #[error("assumption {0:?} is not in the plan file")]
    UnknownAssumption(String),
}

impl PlanFile {
    /// Reads and checks a plan file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, or with the name of the field if a number is out of range.
    pub fn open(path: &Path) -> Result<PlanFile, PlanError> {
        let bad = |cause: String| PlanError::File { path: path.display().to_string(), cause };
        let text = std::fs::read_to_string(path).map_err(|why| bad(why.to_string()))?;
        let file: PlanFile = toml::from_str(&text).map_err(|why| bad(why.to_string()))?;
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), PlanError> {
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
                return Err(PlanError::Number { field: field.into(), value, cause: "has to be above zero" });
            }
        }
        if plan.regions > plan.zones {
            let cause = "is more than there are zones; expected at least one zone for each region";
            return Err(PlanError::Number { field: "plan.regions".into(), value: plan.regions, cause });
        }
        for assumption in &self.assumptions {
            let field = format!("assumption.{}", assumption.name);
            let Assumption { value, low, high, .. } = *assumption;
            if !(low > 0.0 && low <= value && value <= high && high.is_finite()) {
                return Err(PlanError::Number {
                    field,
                    value,
                    cause: "is not within the range from its low to its high value, both above zero",
                });
            }
        }
        Ok(())
    }

    /// Returns the value of an assumption.
    ///
    /// # Errors
    ///
    /// Returns an error if the file has no assumption of that name.
    pub fn assumption(&self, name: &str) -> Result<f64, PlanError> {
        let found = self.assumptions.iter().find(|a| a.name == name).map(|a| a.value);
        found.ok_or_else(|| PlanError::UnknownAssumption(name.into()))
    }
}
