//! The state of tasks as it is reported to operators.

use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;
use std::time::Duration;

/// A task as its leader sees it. Times are by the leader's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// Who holds it.
    pub holder: Option<MemberId>,
    /// The token of the last lease.
    pub token: FencingToken,
    /// Since when it has this holder, or none.
    pub since: Duration,
    /// The member that may still be completing a step of it.
    pub releasing: Option<MemberId>,
    /// Until when it is suspended.
    pub suspended_until: Option<Duration>,
    /// Where an operator wants it.
    pub preferred: Option<MemberId>,
}

/// A holder that sent a request after a higher token had been seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StaleHolder {
    /// The task.
    pub task: TaskId,
    /// The holder.
    pub from: MemberId,
    /// Its token.
    pub token: FencingToken,
    /// The highest token that had been seen.
    pub highest_token: FencingToken,
    /// When the request came, by this member's clock.
    pub at: Duration,
}

/// The requests that this member rejected because of their tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FencingStats {
    /// The last one.
    pub last: Option<StaleHolder>,
    /// How many there were since the start.
    pub rejected: u64,
}
