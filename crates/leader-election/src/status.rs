//! The state of a member as reported to operators.

use crate::event::StepDownReason;
use crate::membership::{MemberId, Membership};
use std::time::Duration;

/// The present role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// The member knows of no leader whose heartbeats still arrive.
    NoLeader,
    /// The member follows this leader.
    Follower(MemberId),
    /// The member leads.
    Leader,
    /// The member may not vote: it is not a voter, has just started, or cannot persist its hard state.
    NonVoting,
}

/// The state of a member as reported to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The member's id.
    pub id: MemberId,
    /// The member's role.
    pub role: MemberRole,
    /// The newest term that the member has seen.
    pub term: u64,
    /// The time, by this member's clock, at which it became leader or received the newest heartbeat of a leader.
    pub since: Duration,
    /// The reason for which the member last stopped leading; unset while it leads.
    pub step_down_reason: Option<StepDownReason>,
    /// The newest set of voters that the member has received.
    pub membership: Membership,
    /// True if this member leads and knows that a quorum has this membership on disk.
    pub membership_committed: bool,
    /// The voters that have acknowledged no heartbeat within the lease; empty unless this member leads.
    pub unreachable: Vec<MemberId>,
}
