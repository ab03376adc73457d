//! Messages between nodes.
//!
//! The types are sent, and some of them are stored, as postcard, which encodes positions and not names: variants and
//! fields must not be reordered.

use crate::chain::{Link, Position, Priority, Revision, ScopeId};
use crate::digest::Digest;
use grebespool_config_consensus::Change;
use grebespool_leader_election::MemberId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A leader's term; each later leader has a higher one.
pub type Term = u64;

/// Identifies a session of a holder with a distributor; a later session has a greater id, also across restarts of the
/// holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// Number of starts of the holder.
    pub start: u32,
    /// Number of sessions since that start.
    pub number: u32,
}

/// The progress of a holder in a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeStatus {
    /// The scope.
    pub scope: ScopeId,
    /// Position of the last link that the holder has.
    pub held: Position,
    /// The revision up to which the holder is ready, and with it every node that applies the scope by a lease from the
    /// holder: none of them applies an older revision.
    pub ready: Revision,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The scope.
    pub scope: ScopeId,
    /// Position of the chain that the snapshot was taken at.
    pub position: Position,
    /// Hash of the link before that position.
    pub parent: Digest,
    /// Index of this part, from zero.
    pub part: u32,
    /// Number of parts of the snapshot.
    pub parts: u32,
    /// Bytes of this part of the encoded state.
    pub bytes: Vec<u8>,
}

/// A message from a holder to its distributor, where a holder is a node that receives scopes and leases: a planner sends
/// it to a relay, or a relay to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Upward {
    /// Begins a session, with the status of every scope that the holder subscribes to.
    Attach {
        /// The session.
        session: SessionId,
        /// The highest term that the holder has seen.
        term: Term,
        /// The status of each scope; revision zero if the holder has nothing of the scope.
        statuses: Vec<ScopeStatus>,
    },
    /// Requests a renewal of the lease, with the statuses that changed since the last answer.
    Renew {
        /// The session.
        session: SessionId,
        /// Number of this renewal within the session.
        count: u64,
        /// The statuses of scopes that are new or have advanced.
        statuses: Vec<ScopeStatus>,
    },
    /// Ends a session and releases its lease: no node applies anything by this lease any more.
    Release {
        /// The session.
        session: SessionId,
    },
}

/// A message from a distributor to a holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Downward {
    /// The session has begun.
    Attached {
        /// The session.
        session: SessionId,
        /// The leader's term.
        term: Term,
    },
    /// Answers a renewal: the distributor knows the statuses up to it. The lease counts from when the renewal was sent.
    Granted {
        /// The session.
        session: SessionId,
        /// The leader's term.
        term: Term,
        /// Number of the renewal that is answered.
        count: u64,
        /// Duration of the lease from the sending of the renewal; `None` while the holder is behind or the distributor
        /// has no lease of its own.
        lease: Option<Duration>,
    },
    /// The next links of scopes.
    Links {
        /// The links; those of one scope are in the order of its chain.
        links: Vec<Link>,
    },
    /// A part of a snapshot.
    Part(SnapshotPart),
    /// The sender doesn't lead, so it cannot serve the session.
    NotLeading {
        /// The session that the holder asked for.
        session: SessionId,
        /// The leader, if the sender knows it.
        leader: Option<MemberId>,
    },
    /// The distributor refuses the session.
    Refused {
        /// The session.
        session: SessionId,
        /// The reason.
        why: Refusal,
    },
    /// The distributor shuts down: the holder must not apply anything by its leases any more.
    ShuttingDown,
}

/// A reason to refuse a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The distributor doesn't know the session, for instance because it was restarted.
    UnknownSession,
    /// The distributor has reached its limit of sessions.
    Full,
    /// The holder has another history of this scope.
    OtherHistory(ScopeId),
    /// The holder is in another zone than the distributor.
    OtherZone,
}

/// Identifies a proposal among the proposals of all proposers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalKey {
    /// The proposer.
    pub proposer: MemberId,
    /// Number of the proposal among those of its proposer.
    pub number: u64,
}

/// A proposal to change the configuration of a scope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposer.
    pub proposer: MemberId,
    /// Number of the proposal among those of its proposer. A proposal is retransmitted until it is answered, and the
    /// number ensures that it takes effect only once.
    pub number: u64,
    /// The scope.
    pub scope: ScopeId,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Proposal {
    /// Returns the key of the proposal.
    pub fn key(&self) -> ProposalKey {
        ProposalKey { proposer: self.proposer, number: self.number }
    }

    /// Returns the priority of the proposal's most urgent change.
    pub fn priority(&self) -> Priority {
        Priority::of(&self.changes)
    }
}

/// An entry of the log that the control machines replicate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// The first entry of a leader; committing it commits all entries before it.
    Begin,
    /// A link of a scope, and the proposals that it includes.
    Link(Link, Vec<ProposalKey>),
    /// Permits leases for a relay, which is identified by its id and its number of starts.
    Register(MemberId, u32),
    /// Forbids leases for a relay, whose former leases have expired.
    Unregister(MemberId),
}

/// A record of the log that the control machines replicate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The term of the leader that wrote the record.
    pub term: Term,
    /// The entry.
    pub entry: LogEntry,
}

/// The term and the index of a record. Indices start at one; a later record has a greater position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The record's term.
    pub term: Term,
    /// The record's index.
    pub index: u64,
}

/// A message between the leader and another control machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogMessage {
    /// Announces a leader and asks for the position of the last record. The receiver accepts nothing from leaders of
    /// lower terms any more.
    Recover {
        /// The leader's term.
        term: Term,
    },
    /// Reports the last record on the sender's disk, in answer to `Recover`.
    Recovered {
        /// The leader's term.
        term: Term,
        /// Position of the last record.
        last: LogPosition,
    },
    /// Requests the records from an index on.
    Fetch {
        /// The leader's term.
        term: Term,
        /// The first index.
        from: u64,
    },
    /// Returns records from an index on, in answer to `Fetch`.
    Fetched {
        /// The leader's term.
        term: Term,
        /// The first index.
        from: u64,
        /// The records, at most as many as fit into one message.
        records: Vec<LogRecord>,
    },
    /// Asks the receiver to append records after a given record.
    Append {
        /// The leader's term.
        term: Term,
        /// Position of the record before the first of these.
        previous: LogPosition,
        /// The records.
        records: Vec<LogRecord>,
        /// Number of committed records.
        committed: u64,
    },
    /// Confirms that the sender's disk has the leader's records up to an index.
    Appended {
        /// The leader's term.
        term: Term,
        /// The last index.
        last: u64,
    },
    /// Reports that the sender lacks the record before those to append.
    Missing {
        /// The leader's term.
        term: Term,
        /// The last index up to which both logs may be the same.
        last: u64,
    },
}

/// Any message between nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message to a relay or the leader.
    Upward(Upward),
    /// A message to a planner or a relay.
    Downward(Downward),
    /// A message between control machines.
    Log(LogMessage),
    /// A proposal to a control machine, which forwards it to the leader.
    Propose(Proposal),
    /// Answers a proposal, whose changes are active or rejected.
    Proposed {
        /// Number of the proposal.
        number: u64,
        /// The reason if the proposal was rejected.
        refused: Option<String>,
    },
}
