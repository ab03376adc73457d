//! Identifiers of tasks and of their leases.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A task, by its index among the names that all members of a fleet are configured with alike.
pub type TaskId = u32;

/// Identifies one lease of a task. The leader of a term numbers the leases within it, and a term has one leader: no two
/// leases of a task have the same token, and a later one's is higher.
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
