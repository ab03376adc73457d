//! What every member stores of a task's journal.

use crate::token::FencingToken;
use serde::{Deserialize, Serialize};

/// The most bytes of a step's content: it is sent whole in one frame between members.
pub const MAX_STEP_BYTES: usize = 192 << 10;

/// A step of a task. Its content is fixed before its effect takes place, so that whoever executes it does the same.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The token of the holder that wrote the record, not of the one that began the step.
    pub token: FencingToken,
    /// The number of the step; the first is 1.
    pub step: u64,
    /// Whether its effect has taken place.
    pub completed: bool,
    /// What is to be done, as the task encodes it.
    pub content: Vec<u8>,
}

impl StepRecord {
    /// Orders the records of a task; the greatest is the newest.
    pub(crate) fn order(&self) -> (FencingToken, u64, bool) {
        (self.token, self.step, self.completed)
    }
}

/// Whether `candidate` is newer than `known`; no record is older than any.
pub(crate) fn is_newer(candidate: Option<&StepRecord>, known: Option<&StepRecord>) -> bool {
    candidate.map(StepRecord::order) > known.map(StepRecord::order)
}

/// What a member stores of one task.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterEntry {
    /// The highest token that was seen.
    pub highest_token: FencingToken,
    /// The newest record.
    pub record: Option<StepRecord>,
}

impl RegisterEntry {
    /// Takes what is newer of another member's entry.
    pub(crate) fn merge(&mut self, other: RegisterEntry) {
        self.highest_token = self.highest_token.max(other.highest_token);
        if is_newer(other.record.as_ref(), self.record.as_ref()) {
            self.record = other.record;
        }
    }
}
