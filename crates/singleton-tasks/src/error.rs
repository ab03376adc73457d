//! Why an operator's request is rejected.

use std::time::Duration;
use thiserror::Error;

/// Why a request on a task is rejected.
// On the wire: the command socket answers with these texts; do not reword.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TaskError {
    /// Only the leader grants tasks.
    #[error("this member does not lead")]
    NotLeader,
    /// The member does not renew leases.
    #[error("that member renews no duties")]
    UnknownMember,
    /// A suspended task cannot be moved.
    #[error("it rests until it is released")]
    Suspended,
    /// A suspension of this length exceeds [`MAX_SUSPENSION`](crate::MAX_SUSPENSION).
    #[error("a hold ends within a day; {0:?} is longer")]
    SuspensionTooLong(Duration),
    /// The task is neither suspended nor assigned to a certain member.
    #[error("neither held nor moved")]
    NothingToRelease,
}
