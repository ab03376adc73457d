//! The events that a member reports for the log.

use crate::membership::MemberId;
use std::fmt;

/// The reason for which a member stopped leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// No quorum acknowledged a heartbeat within the lease.
    LeaseExpired,
    /// Another member or a proxy reported this newer term.
    HigherTerm(u64),
    /// An operator requested the transfer of the leadership.
    Requested,
    /// The member is no longer a voter.
    Removed,
    /// The member cannot persist its hard state.
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

/// An event that is written to the log for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This member follows a new leader.
    FollowsLeader {
        /// The leader's name.
        leader: String,
        /// The leader's term.
        term: u64,
    },
    /// No heartbeat arrived within the election timeout.
    LeaderLost,
    /// The leader asked this member to take over.
    LeadershipOffered,
    /// Another member leads in this member's own term: a voter voted twice because its stored state was set back.
    DuplicateLeader {
        /// The other leader.
        other: MemberId,
        /// The term in which both lead.
        term: u64,
    },
    /// The hard state can be persisted again.
    StorageRecovered,
    /// This member became a voter.
    BecameVoter,
    /// This member is no longer a voter.
    LostVote,
    /// This leader removed a voter.
    VoterRemoved {
        /// The voter's name.
        name: String,
    },
}

// Logged as a whole: a participle phrase whose subject is this process.
impl fmt::Display for ElectionEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ElectionEvent::FollowsLeader { leader, term } => {
                write!(f, "following leader {leader} in term {term}")
            }
            ElectionEvent::LeaderLost => f.write_str("receiving no heartbeats from the leader"),
            ElectionEvent::LeadershipOffered => {
                f.write_str("standing for election at the request of the leader, which is stepping down")
            }
            ElectionEvent::DuplicateLeader { other, term } => {
                write!(
                    f,
                    "finding a second leader {other:016x} in term {term}: a voter's stored state was set back"
                )
            }
            ElectionEvent::StorageRecovered => f.write_str("persisting the hard state again"),
            ElectionEvent::BecameVoter => f.write_str("becoming a voter"),
            ElectionEvent::LostVote => f.write_str("leaving the set of voters"),
            ElectionEvent::VoterRemoved { name } => write!(f, "removing the voter {name}"),
        }
    }
}
