//! What is reported for the log.

use crate::SiteId;
use crate::failure_detection::Evidence;
use crate::recovery_ramp::HoldReason;
use crate::state::SiteState;
use std::fmt;

/// Why a site changes its state.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TransitionReason {
    /// Because of what was observed.
    Evidence(Evidence),
    /// An operator ordered it.
    OperatorOrder,
    /// The requests of this step of the ramp were answered.
    StepProven,
    /// The requests of the last step of the ramp were answered.
    RampCompleted,
    /// Requests fail at this step of the ramp.
    RequestsFail,
}

impl fmt::Display for TransitionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TransitionReason::Evidence(evidence) => evidence.fmt(f),
            TransitionReason::OperatorOrder => f.write_str("by an operator's order"),
            TransitionReason::StepProven => f.write_str("the step before is proven"),
            TransitionReason::RampCompleted => f.write_str("all steps are proven"),
            TransitionReason::RequestsFail => f.write_str("calls fail there"),
        }
    }
}

/// What changes at a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SiteChange {
    /// Its state.
    State {
        /// The former state.
        from: SiteState,
        /// The new state.
        to: SiteState,
        /// Why it changes.
        reason: TransitionReason,
    },
    /// A step of its return is held.
    StepHeld {
        /// The step; the first is 0.
        step: usize,
        /// Why it is held.
        reason: HoldReason,
    },
}

impl fmt::Display for SiteChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SiteChange::State { from, to, reason } => write!(f, "{from} -> {to}: {reason}"),
            SiteChange::StepHeld { step, reason } => write!(f, "step {step} is held: {reason}"),
        }
    }
}

/// Something that operators may want to read in the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverEvent {
    /// The site.
    pub site: SiteId,
    /// What changes there.
    pub change: SiteChange,
}
