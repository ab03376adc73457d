//! Estimates of what each role needs at a planned size, and the tables of `docs/CAPACITY.md` that show them.
//!
//! An estimate is computed from measured slopes and a plan file. [`page::update`] replaces the tables between their markers
//! in the page, and [`page::check`] returns every line that differs from the data.

mod estimate;
pub mod page;
mod plan;

pub use estimate::{CapacityEstimate, CostPeriod, EstimateError, ResourceUse, SizeLimit, estimate_capacity};
pub use plan::{Assumption, Budget, Plan, PlanError, PlanFile};
