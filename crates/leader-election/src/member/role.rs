//! The roles of a member and the state of each role.

use crate::membership::{MemberId, MembershipVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The role of a member.
#[derive(Debug, Clone)]
pub(super) enum Role {
    /// The member follows the leader, if it knows one.
    Follower { leader: Option<MemberId> },
    /// The member asks the others whether they would vote for it; `granted` are those that would.
    PreCandidate { granted: BTreeSet<MemberId> },
    /// The member stands for election. It requests votes once its own vote is durable.
    Candidate { leadership_transfer: bool, requested_at: Option<Duration>, votes: BTreeSet<MemberId> },
    /// The member leads until its lease expires.
    Leader(LeaderState),
}

/// The state of a leader.
#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    /// The time of the election.
    pub(super) since: Duration,
    /// The number of the newest heartbeat.
    pub(super) heartbeat_number: u64,
    /// The sending times of the heartbeats that may still be acknowledged, by heartbeat number.
    pub(super) heartbeats_sent: BTreeMap<u64, Duration>,
    /// The sending time of the newest heartbeat that each member acknowledged.
    pub(super) acknowledged: BTreeMap<MemberId, Duration>,
    /// The version of the membership that each member reported to have on disk.
    pub(super) durable_versions: BTreeMap<MemberId, MembershipVersion>,
    /// The time at which the leader's lease expires.
    pub(super) lease_expires_at: Duration,
    /// The time at which the next heartbeat must be sent.
    pub(super) next_heartbeat_at: Duration,
}

impl LeaderState {
    /// Creates the state of a leader that has just been elected by `votes`, which it requested at `requested_at`.
    pub(super) fn new(
        now: Duration,
        requested_at: Duration,
        votes: &BTreeSet<MemberId>,
        lease_expires_at: Duration,
    ) -> LeaderState {
        LeaderState {
            since: now,
            heartbeat_number: 0,
            heartbeats_sent: BTreeMap::new(),
            acknowledged: votes.iter().map(|id| (*id, requested_at)).collect(),
            durable_versions: BTreeMap::new(),
            lease_expires_at,
            next_heartbeat_at: now,
        }
    }
}
