//! What a member reports for the log.

use crate::membership::MemberId;
use std::fmt;

/// Why a member stopped leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// No quorum acknowledged a heartbeat within the lease.
    LeaseExpired,
    /// This newer term was seen at a member or a proxy.
    HigherTerm(u64),
    /// An operator asked for it.
    Requested,
    /// It is no voter any more.
    Removed,
    /// It cannot persist its hard state.
    StorageFailed,
}

// On the wire: the command socket answers with these texts; do not reword.
impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepDownReason::LeaseExpired => {
                f.write_str("no majority has heard this member for as long as its lease")
            }
            StepDownReason::HigherTerm(term) => write!(f, "epoch {term} has been seen"),
            StepDownReason::Requested => f.write_str("it was asked to"),
            StepDownReason::Removed => f.write_str("it takes no part any more"),
            StepDownReason::StorageFailed => f.write_str("its disk fails"),
        }
    }
}

/// Something that an operator may want to read in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This member follows a new leader.
    FollowsLeader {
        /// The leader's name.
        leader: String,
        /// Its term.
        term: u64,
    },
    /// No heartbeat arrived within the election timeout.
    LeaderLost,
    /// The leader handed its leadership over to this member.
    LeadershipOffered,
    /// Another member leads in this member's own term: the stored state of a voter was set back.
    DuplicateLeader {
        /// The other leader.
        other: MemberId,
        /// The term of both.
        term: u64,
    },
    /// The hard state can be persisted again.
    StorageRecovered,
    /// This member became a voter.
    BecameVoter,
    /// This member is no voter any more.
    LostVote,
    /// This leader removed a voter.
    VoterRemoved {
        /// The voter's name.
        name: String,
    },
}

impl fmt::Display for ElectionEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ElectionEvent::FollowsLeader { leader, term } => {
                write!(f, "follows leader {leader} in term {term}")
            }
            ElectionEvent::LeaderLost => f.write_str("receives no heartbeats from the leader any more"),
            ElectionEvent::LeadershipOffered => f.write_str("takes over from a leader that steps down"),
            ElectionEvent::DuplicateLeader { other, term } => {
                write!(f, "finds a second leader {other:016x} in term {term}: a member's state was set back")
            }
            ElectionEvent::StorageRecovered => f.write_str("persists its state again"),
            ElectionEvent::BecameVoter => f.write_str("becomes a voter"),
            ElectionEvent::LostVote => f.write_str("is no voter any more"),
            ElectionEvent::VoterRemoved { name } => write!(f, "removes the voter {name}"),
        }
    }
}
