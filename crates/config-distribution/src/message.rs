//! What nodes say to one another.

use crate::chain::{Link, Position, Priority, Revision, ScopeId};
use crate::digest::Digest;
use grebespool_config_consensus::Change;
use grebespool_leader_election::MemberId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A leader's term; a later leader's is higher.
pub type Term = u64;

/// One attachment of a holder to a distributor: later ones are higher, over all starts of the holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// How often the holder was started.
    pub start: u32,
    /// Attachments since that start.
    pub number: u32,
}

/// What a holder has of a scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The scope.
    pub scope: ScopeId,
    /// What it holds.
    pub held: Position,
    /// Up to which revision it, and everybody whose lease it answers for, is ready: nobody among them acts by an older one.
    pub ready: Revision,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The scope.
    pub scope: ScopeId,
    /// Where its chain stands.
    pub position: Position,
    /// The hash of the link before that.
    pub parent: Digest,
    /// This part, from zero.
    pub part: u32,
    /// How many there are.
    pub parts: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// From a holder of configuration to who distributes it: a planner to its relays, a relay to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Upward {
    /// Begins a session. Everything that is subscribed to is listed, with what is held of it.
    Attach {
        /// The session.
        session: SessionId,
        /// The newest term that the holder has seen.
        term: Term,
        /// What is subscribed to; revision zero where nothing is held.
        facts: Vec<Fact>,
    },
    /// Goes on with a session: asks for the lease, and tells what changed since the last answer.
    Renew {
        /// The session.
        session: SessionId,
        /// Counts renewals of the session.
        count: u64,
        /// Scopes that are new or have advanced.
        facts: Vec<Fact>,
    },
    /// Ends a session and gives its lease back: nobody acts by it any more.
    Release {
        /// The session.
        session: SessionId,
    },
}

/// From who distributes to a holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Downward {
    /// The session has begun.
    Attached {
        /// The session.
        session: SessionId,
        /// The leader's term.
        term: Term,
    },
    /// The facts up to this renewal are known. With a lease: it runs on from when that renewal was sent.
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
    /// Another leads, or nobody that this node knows.
    NotLeading {
        /// The session that was asked for.
        session: SessionId,
        /// Who leads, where it is known.
        leader: Option<MemberId>,
    },
    /// There is no such session, or no room for it.
    Refused {
        /// The session.
        session: SessionId,
        /// Why.
        why: Refusal,
    },
    /// The distributor is about to stop: its leases are not to be acted by any more.
    Leaving,
}

/// Why a session is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It is not known here, after a restart say.
    UnknownSession,
    /// The distributor has as many as it takes.
    Full,
    /// The holder has another history of this scope.
    OtherHistory(ScopeId),
    /// The holder is not of the distributor's zone.
    OtherZone,
}

/// Changes that are proposed for a scope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Who proposes.
    pub proposer: MemberId,
    /// Counts its proposals; it is proposed again until it is answered, and takes effect once.
    pub number: u64,
    /// The scope.
    pub scope: ScopeId,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Proposal {
    /// How urgent it is.
    pub fn priority(&self) -> Priority {
        Priority::of(&self.changes)
    }
}

/// Something that a majority of control machines has fixed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// A leader has begun; what is before it is fixed with it.
    Begin,
    /// A link of a scope, and the proposals that are part of it.
    Link(Link, Vec<(MemberId, u64)>),
    /// A relay may be granted leases; its start tells it from a former life.
    Register(MemberId, u32),
    /// Its leases are over, and it is granted none.
    Unregister(MemberId),
}

/// An entry of the log of control machines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The leader that wrote it.
    pub term: Term,
    /// What it says.
    pub entry: Entry,
}

/// The term and place of a record; places begin with one.
pub type RecordId = (Term, u64);

/// Among control machines, from and to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Control {
    /// A leader has begun: nothing of a former one is taken any more. What do you have?
    Recover {
        /// Its term.
        term: Term,
    },
    /// The last record that is on this machine's disk.
    Recovered {
        /// The leader's term.
        term: Term,
        /// The last record.
        last: RecordId,
    },
    /// Hand over the records from this place on.
    Fetch {
        /// The leader's term.
        term: Term,
        /// The first place.
        from: u64,
    },
    /// Records from a place on.
    Fetched {
        /// The leader's term.
        term: Term,
        /// The first place.
        from: u64,
        /// The records; fewer than there are where they are many.
        records: Vec<Record>,
    },
    /// Write these after that record.
    Append {
        /// The leader's term.
        term: Term,
        /// The record before them.
        previous: RecordId,
        /// The records.
        records: Vec<Record>,
        /// How many records are fixed.
        committed: u64,
    },
    /// All up to this place is on this machine's disk, as the leader has it.
    Appended {
        /// The leader's term.
        term: Term,
        /// The last place.
        last: u64,
    },
    /// The record before is not here: so many are that may be the same.
    Missing {
        /// The leader's term.
        term: Term,
        /// The last place that may be the same.
        last: u64,
    },
}

/// Everything that nodes say.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// To a relay or the leader.
    Upward(Upward),
    /// To a planner or a relay.
    Downward(Downward),
    /// Among control machines.
    Control(Control),
    /// To a control machine, which passes it on to the leader.
    Propose(Proposal),
    /// What became of a proposal: it is in force, or why not.
    Proposed {
        /// The proposal.
        number: u64,
        /// Why it came to nothing.
        refused: Option<String>,
    },
}
