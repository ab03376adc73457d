//! The loss of a whole site, as one thing: which sites are lost, cut off or held out by an operator, what to do while one
//! is, and how it returns. Free of I/O; times are spans since the planner's start.
//!
//! [`Sites`] is told what happens, one method for each thing, and acts through the [`Ground`] that it is handed. What
//! tells a loss from a cut, a silent collector or a late list is in [`evidence`], what is left for whom in [`mod@plan`], the
//! steps of a return in [`pace`]. Servers, weights and levels stay the decisions' own (`src/policy`): a site's
//! verdict only bounds them.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

pub mod evidence;
pub mod pace;
pub mod plan;
mod sites;

pub use evidence::{Evidence, Signs, Verdict};
pub use pace::{Pace, Pacing, Step};
pub use plan::{Demand, Impossible, Plan, Room, plan};
pub use sites::{Ground, Order, Refused, Sites, Standing, Status, Timing};

/// A site, by its place in the settings.
pub type Site = usize;
