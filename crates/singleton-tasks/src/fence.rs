//! The check of a fencing token right before an effect takes place.

use crate::token::FencingToken;

/// The decision of a [`Fence`] on the effect of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceDecision {
    /// The effect may take place.
    Apply,
    /// The effect has taken place already, by this holder or an earlier one.
    AlreadyApplied,
    /// Earlier steps are missing, so the effect must not take place.
    StepsMissing,
    /// This higher token has been seen, so the holder is stale.
    Stale(FencingToken),
}

/// The state that the target of a task's effects keeps. It must be stored atomically with the effect: either both survive
/// a crash or neither does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fence {
    /// The highest token seen.
    pub highest_token: FencingToken,
    /// The last step whose effect took place.
    pub last_step: u64,
}

impl Fence {
    /// Decides on a step. A step that may take place is recorded as applied.
    pub fn admit(&mut self, token: FencingToken, step: u64) -> FenceDecision {
        if token < self.highest_token {
            return FenceDecision::Stale(self.highest_token);
        }
        self.highest_token = token;
        if step <= self.last_step {
            FenceDecision::AlreadyApplied
        } else if step == self.last_step + 1 {
            self.last_step = step;
            FenceDecision::Apply
        } else {
            FenceDecision::StepsMissing
        }
    }
}
