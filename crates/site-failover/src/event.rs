//! The events that site failover reports for the log.

use crate::SiteId;
use crate::failure_detection::Evidence;
use crate::recovery_ramp::HoldReason;
use crate::state::SiteState;
use std::fmt;

/// The reason for which a site changes its state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TransitionReason {
    /// This evidence requires the change.
    Evidence(Evidence),
    /// An operator ordered the change.
    OperatorOrder,
    /// Enough requests of a step of the ramp were answered, so that the next step begins.
    StepProven,
    /// Enough requests of the last step of the ramp were answered.
    RampCompleted,
    /// Too many requests of a step of the ramp failed, so that the step before it begins again.
    RequestsFail,
}

impl fmt::Display for TransitionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TransitionReason::Evidence(evidence) => evidence.fmt(f),
            TransitionReason::OperatorOrder => f.write_str("ordered by an operator"),
            TransitionReason::StepProven => f.write_str("enough requests were answered"),
            TransitionReason::RampCompleted => f.write_str("enough requests of the last step were answered"),
            TransitionReason::RequestsFail => f.write_str("too many requests failed"),
        }
    }
}

/// A change at a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SiteChange {
    /// The site's state changes.
    State {
        /// The former state.
        from: SiteState,
        /// The new state.
        to: SiteState,
        /// The reason for the change.
        reason: TransitionReason,
    },
    /// A step of the site's return is held.
    StepHeld {
        /// The index of the step; the first is 0.
        step: usize,
        /// The reason for holding the step.
        reason: HoldReason,
    },
}

impl fmt::Display for SiteChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SiteChange::State { from, to, reason } => write!(f, "changing from {from} to {to}: {reason}"),
            SiteChange::StepHeld { step, reason } => write!(f, "holding step {step}: {reason}"),
        }
    }
}

/// An event that is written to the log for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverEvent {
    /// The site.
    pub site: SiteId,
    /// The change at the site.
    pub change: SiteChange,
}
