//! Failover and recovery of whole sites (`docs/design/site-failover.md`): which sites have failed, are partitioned or were
//! taken out by an operator, what the others take over meanwhile, and how a site returns.
//!
//! The crate does no I/O; times are spans since the controller's start. [`SiteFailover`] is told what happens and acts
//! through a [`FailoverHost`]. What tells a failure from a partition, a silent collector or a late endpoint list is in
//! [`failure_detection`], what the remaining sites take over in [`capacity_plan`], the steps of a return in
//! [`recovery_ramp`]. Servers, weights and admission stay the policy's own: a site's state only bounds them.

pub mod capacity_plan;
mod event;
pub mod failure_detection;
mod host;
pub mod observations;
mod order;
mod parameters;
pub mod recovery_ramp;
mod site_failover;
mod state;

pub use capacity_plan::{CapacityPlan, PlanError, RouteDemand, SiteCapacity, plan_capacity};
pub use event::{FailoverEvent, SiteChange, TransitionReason};
pub use failure_detection::{Evidence, Verdict};
pub use host::FailoverHost;
pub use observations::{AttemptReport, Observations, WaitSample};
pub use order::{OrderError, SiteOrder};
pub use parameters::FailoverParameters;
pub use recovery_ramp::{HoldReason, RampDecision, RampParameters, RecoveryRamp};
pub use site_failover::SiteFailover;
pub use state::{SiteState, SiteStatus};

/// A site, by its index in the settings.
pub type SiteId = usize;
