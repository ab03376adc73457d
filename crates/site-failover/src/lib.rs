//! Failover and recovery of whole sites (`docs/design/site-failover.md`): which sites have failed, are partitioned or were
//! taken out by an operator, which load the other sites take over meanwhile, and how a site returns.
//!
//! The crate does no I/O; times are durations since the controller's start. The caller passes observations and orders to
//! [`SiteFailover`], which acts through a [`FailoverHost`]. [`failure_detection`] distinguishes a failure from a partition,
//! a collector that reports nothing, and a late endpoint list. [`capacity_plan`] decides on the load that the remaining
//! sites take over, and [`recovery_ramp`] on the steps of a return. The policy still decides on servers, weights and
//! admission: the state of a site only limits them.

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
