//! Messages between members.

use crate::configuration::Change;
use crate::version::{ContentHash, ProposalId, VersionHeader, VersionId};
use grebespool_singleton_tasks::FencingToken;
use serde::{Deserialize, Serialize};

/// Changes of up to so many encoded bytes travel in one message and in the journal's record; larger ones are fetched.
pub(crate) const MAX_INLINE_BYTES: usize = 96 << 10;

/// The changes of a proposal.
// on the wire: the order of variants is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ProposalBody {
    /// The changes themselves.
    Inline(Vec<Change>),
    /// Hash of the encoded changes, which are fetched from the proposer.
    ByHash(ContentHash),
}

/// Changes that a member proposes.
// on the wire: the order of fields is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Its id.
    pub id: ProposalId,
    /// The changes.
    pub body: ProposalBody,
    /// Whether it may withdraw more capacity at once than the rules allow.
    pub forced: bool,
}

/// What became of a proposal.
// on the wire: the order of variants is the format
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is part of the version of this number, which is active.
    Activated(u64),
    /// It was rejected, for these reasons.
    Rejected(Vec<String>),
}

/// A lease renewal: its count, and the versions that it covers.
// on the wire: the order of fields is the format
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Counts the renewals of the replica.
    pub count: u64,
    /// The committed version.
    pub committed: VersionId,
    /// The version that is prepared beside it.
    pub pending: Option<VersionId>,
}

/// A part of fetched bytes.
// on the wire: the order of fields is the format
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Hash of the whole bytes.
    pub hash: ContentHash,
    /// Index of this chunk, from zero.
    pub index: u32,
    /// How many chunks there are.
    pub count: u32,
    /// The bytes of this chunk.
    pub bytes: Vec<u8>,
}

/// A message between members.
// on the wire: the order of variants and fields is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From the coordinator: announces itself and the committed version.
    Announce {
        /// The coordinator's ownership of the journal.
        token: FencingToken,
        /// The committed version.
        committed: VersionId,
    },
    /// From the coordinator: store this version beside the committed one, and apply the intersection of both from now on.
    Prepare {
        /// The coordinator's ownership of the journal.
        token: FencingToken,
        /// The version.
        header: VersionHeader,
    },
    /// From a replica: the version is on its disk and part of what it applies.
    Prepared {
        /// The coordinator that prepared it.
        token: FencingToken,
        /// The version.
        pending: VersionId,
    },
    /// From the coordinator: apply this version alone from now on.
    Activate {
        /// The coordinator's ownership of the journal.
        token: FencingToken,
        /// The version.
        committed: VersionId,
    },
    /// From a replica: asks to renew its lease, with the versions as they are on its disk.
    Renew {
        /// The coordinator that it asks.
        token: FencingToken,
        /// The renewal.
        renewal: Renewal,
    },
    /// From the coordinator: the lease on exactly these versions runs from when that renewal was sent.
    Renewed {
        /// The coordinator's ownership of the journal.
        token: FencingToken,
        /// The renewal that is answered.
        renewal: Renewal,
    },
    /// Asks for a chunk of the bytes with this hash.
    FetchChunk {
        /// Hash of the whole bytes.
        hash: ContentHash,
        /// Index of the chunk, from zero.
        index: u32,
    },
    /// The chunk that was asked for.
    Chunk(Chunk),
    /// From a proposer: all its undecided proposals in their order, retransmitted until they are decided.
    Propose {
        /// The proposals.
        proposals: Vec<Proposal>,
    },
    /// From the coordinator: a proposal of the receiver is decided.
    ProposalDecided {
        /// The proposal.
        id: ProposalId,
        /// What became of it.
        outcome: ProposalOutcome,
    },
}
