//! Messages between nodes.
//!
//! On the wire, and in part stored: variants and fields must not be reordered.

use crate::chain::{Link, Position, Priority, Revision, ScopeId};
use crate::digest::Digest;
use grebespool_config_consensus::Change;
use grebespool_leader_election::MemberId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A leader's term; a later leader's is higher.
pub type Term = u64;

/// A session of a holder with a distributor; later ones are higher, across restarts of the holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// How often the holder was started.
    pub start: u32,
    /// Sessions since that start.
    pub number: u32,
}

/// What a holder has of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScopeStatus {
    /// The scope.
    pub scope: ScopeId,
    /// The last link that it has.
    pub held: Position,
    /// Up to which revision it, and everybody whose lease it answers for, is ready: none of them applies an older one.
    pub ready: Revision,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The scope.
    pub scope: ScopeId,
    /// Position of its chain.
    pub position: Position,
    /// Hash of the link before that position.
    pub parent: Digest,
    /// Index of this part, from zero.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// From a holder of configuration to its distributor: a planner to its relays, a relay to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Upward {
    /// Begins a session, with the status of every scope that is subscribed to.
    Attach {
        /// The session.
        session: SessionId,
        /// The newest term that the holder has seen.
        term: Term,
        /// The status of each scope; revision zero where nothing is held.
        statuses: Vec<ScopeStatus>,
    },
    /// Asks to renew the lease, with the statuses that changed since the last answer.
    Renew {
        /// The session.
        session: SessionId,
        /// Counts renewals of the session.
        count: u64,
        /// Scopes that are new or have advanced.
        statuses: Vec<ScopeStatus>,
    },
    /// Ends a session and gives its lease back: nobody applies anything by it any more.
    Release {
        /// The session.
        session: SessionId,
    },
}

/// From a distributor to a holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Downward {
    /// The session has begun.
    Attached {
        /// The session.
        session: SessionId,
        /// The leader's term.
        term: Term,
    },
    /// The statuses up to this renewal are known. A lease runs from when that renewal was sent.
    Granted {
        /// The session.
        session: SessionId,
        /// The leader's term.
        term: Term,
        /// The renewal that is answered.
        count: u64,
        /// How long, from the sending; none while the holder is behind or the distributor has no lease itself.
        lease: Option<Duration>,
    },
    /// The next links of scopes.
    Links {
        /// The links, in the order of each chain.
        links: Vec<Link>,
    },
    /// A part of a snapshot.
    Part(SnapshotPart),
    /// Another machine leads, or none that this node knows.
    NotLeading {
        /// The session that was asked for.
        session: SessionId,
        /// The leader, where it is known.
        leader: Option<MemberId>,
    },
    /// The session is refused.
    Refused {
        /// The session.
        session: SessionId,
        /// Why.
        why: Refusal,
    },
    /// The distributor shuts down: nothing may be applied by its leases any more.
    ShuttingDown,
}

/// Why a session is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It is not known here, for instance after a restart.
    UnknownSession,
    /// The distributor has as many sessions as it takes.
    Full,
    /// The holder has another history of this scope.
    OtherHistory(ScopeId),
    /// The holder is not of the distributor's zone.
    OtherZone,
}

/// Identifies a proposal among those of all proposers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalKey {
    /// The proposer.
    pub proposer: MemberId,
    /// The proposal's number.
    pub number: u64,
}

/// Changes that are proposed for a scope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// The proposer.
    pub proposer: MemberId,
    /// Counts its proposals. A proposal is retransmitted until it is answered, and takes effect once.
    pub number: u64,
    /// The scope.
    pub scope: ScopeId,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Proposal {
    /// Its proposer and number.
    pub fn key(&self) -> ProposalKey {
        ProposalKey { proposer: self.proposer, number: self.number }
    }

    /// How urgent it is.
    pub fn priority(&self) -> Priority {
        Priority::of(&self.changes)
    }
}

/// An entry of the log of control machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogEntry {
    /// A leader has begun; what is before it is committed with it.
    Begin,
    /// A link of a scope, and the proposals that are part of it.
    Link(Link, Vec<ProposalKey>),
    /// A relay, with its start, may be granted leases.
    Register(MemberId, u32),
    /// A relay's leases are over, and it is granted none.
    Unregister(MemberId),
}

/// A record of the log of control machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its entry.
    pub entry: LogEntry,
}

/// The term and the index of a record; indices begin with one. A later record is greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The record's term.
    pub term: Term,
    /// The record's index.
    pub index: u64,
}

/// Among control machines, from and to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogMessage {
    /// A leader has begun: nothing of a former one is accepted any more. Asks for the last record.
    Recover {
        /// The leader's term.
        term: Term,
    },
    /// The last record that is on this machine's disk.
    Recovered {
        /// The leader's term.
        term: Term,
        /// The last record.
        last: LogPosition,
    },
    /// Asks for the records from this index on.
    Fetch {
        /// The leader's term.
        term: Term,
        /// The first index.
        from: u64,
    },
    /// Records from an index on.
    Fetched {
        /// The leader's term.
        term: Term,
        /// The first index.
        from: u64,
        /// The records; fewer than there are where they are many.
        records: Vec<LogRecord>,
    },
    /// Append these after that record.
    Append {
        /// The leader's term.
        term: Term,
        /// The record before them.
        previous: LogPosition,
        /// The records.
        records: Vec<LogRecord>,
        /// How many records are committed.
        committed: u64,
    },
    /// All records up to this index are on this machine's disk, as the leader has them.
    Appended {
        /// The leader's term.
        term: Term,
        /// The last index.
        last: u64,
    },
    /// The record before is not here; up to this index the records may be the same.
    Missing {
        /// The leader's term.
        term: Term,
        /// The last index that may be the same.
        last: u64,
    },
}

/// Any message between nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a relay or the leader.
    Upward(Upward),
    /// To a planner or a relay.
    Downward(Downward),
    /// Among control machines.
    Log(LogMessage),
    /// To a control machine, which forwards it to the leader.
    Propose(Proposal),
    /// A proposal is active, or rejected.
    Proposed {
        /// The proposal.
        number: u64,
        /// Why it was rejected.
        refused: Option<String>,
    },
}
