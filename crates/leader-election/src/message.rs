//! The messages between members.

use crate::membership::{Membership, MembershipVersion};
use serde::{Deserialize, Serialize};

/// A message from one member to another.
// On the wire by the order of variants and fields: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in this term. This message precedes a vote request, so that a
    /// member that alone is cut off from the leader does not raise the term repeatedly.
    PreVoteRequest {
        /// The term in which the sender would be a candidate.
        term: u64,
        /// The newest membership that the sender knows.
        membership_version: MembershipVersion,
    },
    /// Answers that the sender would vote for the receiver.
    PreVoteGranted {
        /// The term of the request.
        term: u64,
    },
    /// Asks for a vote.
    VoteRequest {
        /// The term in which the sender is a candidate.
        term: u64,
        /// The newest membership that the sender knows.
        membership_version: MembershipVersion,
        /// True if the leader transferred its leadership to the sender, so that voters need not wait for the leader's lease.
        leadership_transfer: bool,
    },
    /// Grants a vote; sent only once the vote is durable.
    VoteGranted {
        /// The term of the request.
        term: u64,
    },
    /// Announces the leader.
    Heartbeat {
        /// The leader's term.
        term: u64,
        /// The number of the heartbeat, which rises with each heartbeat of the term.
        number: u64,
        /// The membership that the leader has published.
        membership_version: MembershipVersion,
    },
    /// Acknowledges a heartbeat, or (with number 0) a membership update.
    HeartbeatAck {
        /// The leader's term.
        term: u64,
        /// The heartbeat that is acknowledged.
        number: u64,
        /// The membership that the sender has on disk.
        membership_version: MembershipVersion,
    },
    /// Informs the receiver that its term is out of date.
    NewerTerm {
        /// The newest term that the sender has seen.
        term: u64,
    },
    /// Publishes the set of voters.
    MembershipUpdate {
        /// The leader's term.
        term: u64,
        /// The set of voters.
        membership: Membership,
    },
    /// Asks the receiver to take over: the leader of this term has stepped down in favour of the receiver.
    TransferLeadership {
        /// The term that the sender led in.
        term: u64,
    },
}

impl Message {
    /// Returns the term of the message.
    pub fn term(&self) -> u64 {
        match self {
            Message::PreVoteRequest { term, .. }
            | Message::PreVoteGranted { term }
            | Message::VoteRequest { term, .. }
            | Message::VoteGranted { term }
            | Message::Heartbeat { term, .. }
            | Message::HeartbeatAck { term, .. }
            | Message::NewerTerm { term }
            | Message::MembershipUpdate { term, .. }
            | Message::TransferLeadership { term } => *term,
        }
    }
}
