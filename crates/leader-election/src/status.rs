//! A member's state as it is reported to operators.

use crate::event::StepDownReason;
use crate::membership::{MemberId, Membership};
use std::time::Duration;

/// What a member is at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberRole {
    /// It has heard no leader for a while.
    NoLeader,
    /// It follows this leader.
    Follower(MemberId),
    /// It leads.
    Leader,
    /// It may not vote: it is no voter, started a moment ago, or cannot persist its hard state.
    NonVoting,
}

/// The state of a member as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The member.
    pub id: MemberId,
    /// What it is.
    pub role: MemberRole,
    /// The newest term that it has seen.
    pub term: u64,
    /// By this member's clock: since when it leads, or when it last heard the leader.
    pub since: Duration,
    /// Why it last stopped leading.
    pub step_down_reason: Option<StepDownReason>,
    /// The set of voters that it knows.
    pub membership: Membership,
    /// Whether the leader knows that a quorum has this membership; false on all others.
    pub membership_committed: bool,
    /// Voters that have acknowledged no heartbeat within the lease; known to the leader only.
    pub unreachable: Vec<MemberId>,
}
