//! The state of tasks as reported to operators.

use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;
use std::time::Duration;

/// The state of a task as known to the leader. Times are by the leader's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The member that holds the task, if any.
    pub holder: Option<MemberId>,
    /// The token of the last lease.
    pub token: FencingToken,
    /// The time since which `holder` has its present value.
    pub since: Duration,
    /// The former holder, while it may still be completing a step of the task.
    pub releasing: Option<MemberId>,
    /// The time at which the suspension ends; unset if the task is not suspended.
    pub suspended_until: Option<Duration>,
    /// The member to which an operator moved the task, if any.
    pub preferred: Option<MemberId>,
}

/// A holder that sent a request after a higher token had been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleHolder {
    /// The task.
    pub task: TaskId,
    /// The stale holder.
    pub from: MemberId,
    /// The token of its request.
    pub token: FencingToken,
    /// The highest token seen before the request.
    pub highest_token: FencingToken,
    /// The time at which the request arrived, by this member's clock.
    pub at: Duration,
}

/// The requests that this member rejected because of their tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FencingStats {
    /// The last rejected request.
    pub last: Option<StaleHolder>,
    /// The number of rejected requests since the start.
    pub rejected: u64,
}
