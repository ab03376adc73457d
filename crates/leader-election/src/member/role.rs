//! The roles of a member, with the state that each has.

use crate::membership::{MemberId, MembershipVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The role of a member.
#[derive(Debug, Clone)]
pub(super) enum Role {
    /// It follows the leader, if it knows one.
    Follower { leader: Option<MemberId> },
    /// It asks whether others would vote for it.
    PreCandidate { granted: BTreeSet<MemberId> },
    /// It stands for election. Votes are requested once its own vote is durable.
    Candidate { leadership_transfer: bool, requested_at: Option<Duration>, votes: BTreeSet<MemberId> },
    /// It leads while its lease lasts.
    Leader(LeaderState),
}

/// The state of a leader.
#[derive(Debug, Clone)]
pub(super) struct LeaderState {
    /// When it was elected.
    pub(super) since: Duration,
    /// The number of the newest heartbeat.
    pub(super) heartbeat_number: u64,
    /// When the heartbeats that may still be acknowledged were sent, by number.
    pub(super) heartbeats_sent: BTreeMap<u64, Duration>,
    /// When the newest heartbeat was sent that each voter acknowledged.
    pub(super) acknowledged: BTreeMap<MemberId, Duration>,
    /// The membership that each voter reported to have on disk.
    pub(super) durable_versions: BTreeMap<MemberId, MembershipVersion>,
    /// When its lease expires.
    pub(super) lease_expires_at: Duration,
    /// When the next heartbeat is to be sent.
    pub(super) next_heartbeat_at: Duration,
}

impl LeaderState {
    /// The state right after an election, in which the voters were asked at `requested_at`.
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
