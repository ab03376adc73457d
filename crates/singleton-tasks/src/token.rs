//! Identifiers of tasks and of their leases.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The index of a task among the task names, which are configured the same on all members of a fleet.
pub type TaskId = u32;

/// The identifier of one lease of a task. The leader of a term numbers the leases that it grants, and a term has one
/// leader. Therefore no two leases of a task have the same token, and a later lease has a higher token.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken {
    /// The term of the leader that granted the lease.
    pub term: u64,
    /// The number of the lease within the term.
    pub number: u64,
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}
