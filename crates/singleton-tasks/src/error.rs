//! The errors of operators' requests on tasks.

use std::time::Duration;
use thiserror::Error;

/// The reason for which a request on a task is rejected.
// On the wire: the command socket answers with these texts; do not reword.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TaskError {
    /// This member does not lead, and only the leader grants tasks.
    #[error("this member does not lead")]
    NotLeader,
    /// The target member does not renew leases.
    #[error("that member renews no duties")]
    UnknownMember,
    /// The task is suspended, so it cannot be moved.
    #[error("it rests until it is released")]
    Suspended,
    /// The suspension would have this length, which exceeds [`MAX_SUSPENSION`](crate::MAX_SUSPENSION).
    #[error("a hold ends within a day; {0:?} is longer")]
    SuspensionTooLong(Duration),
    /// The task is neither suspended nor moved to a certain member.
    #[error("neither held nor moved")]
    NothingToRelease,
}
