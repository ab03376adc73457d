//! What a planned size needs of each role, worked out from measured slopes and a small file of the plan's numbers, and
//! the page that tells it.
//!
//! The page's tables stand between markers and are made anew from the data; [`page::check`] names every line that differs.

pub mod page;
mod plan;
mod rows;

pub use plan::{Assumption, BadPlan, Budget, Plan, PlanFile};
pub use rows::{MissingRow, Rows, Stop, Use, work_out};
