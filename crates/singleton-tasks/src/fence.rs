//! The check of a fencing token right before an effect.

use crate::token::FencingToken;

/// Whether an effect may take place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceDecision {
    /// It may.
    Apply,
    /// It has taken place already, by this holder or an earlier one.
    AlreadyApplied,
    /// Earlier steps are missing.
    StepsMissing,
    /// This higher token has been seen.
    Stale(FencingToken),
}

/// The state that the target of a task's effects keeps. It must be stored together with the effect, or be lost with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fence {
    /// The highest token that was seen.
    pub highest_token: FencingToken,
    /// The last step whose effect took place.
    pub last_step: u64,
}

impl Fence {
    /// Decides on a step; one that may take place is counted as applied.
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
