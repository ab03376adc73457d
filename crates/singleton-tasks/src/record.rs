//! The part of a task's journal that every member stores.

use crate::token::FencingToken;
use serde::{Deserialize, Serialize};

/// The maximum size of a step's content in bytes: the content is sent in a single frame between members.
pub const MAX_STEP_BYTES: usize = 192 << 10;

/// A step of a task. The content is fixed before the effect takes place, so that every holder that executes the step does
/// the same.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The token of the holder that wrote the record, which may not be the holder that began the step.
    pub token: FencingToken,
    /// The number of the step; the first is 1.
    pub step: u64,
    /// True if the effect of the step has taken place.
    pub completed: bool,
    /// The work of the step, as encoded by the task.
    pub content: Vec<u8>,
}

impl StepRecord {
    /// Returns the key by which the records of a task are ordered; the greatest is the newest.
    pub(crate) fn order(&self) -> (FencingToken, u64, bool) {
        (self.token, self.step, self.completed)
    }
}

/// Returns true if `candidate` is newer than `known`. `None` is older than any record.
pub(crate) fn is_newer(candidate: Option<&StepRecord>, known: Option<&StepRecord>) -> bool {
    candidate.map(StepRecord::order) > known.map(StepRecord::order)
}

/// The entry that a member's register has for one task.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisterEntry {
    /// The highest token seen.
    pub highest_token: FencingToken,
    /// The newest record.
    pub record: Option<StepRecord>,
}

impl RegisterEntry {
    /// Merges another member's entry: takes the higher token and the newer record.
    pub(crate) fn merge(&mut self, other: RegisterEntry) {
        self.highest_token = self.highest_token.max(other.highest_token);
        if is_newer(other.record.as_ref(), self.record.as_ref()) {
            self.record = other.record;
        }
    }
}
