//! Messages between members.

use crate::configuration::Change;
use crate::version::{ContentHash, ProposalId, VersionHeader, VersionId};
use grebespool_singleton_tasks::FencingToken;
use serde::{Deserialize, Serialize};

/// Maximum encoded size of changes, in bytes, that are part of a message or a journal record; larger ones are fetched.
pub(crate) const MAX_INLINE_BYTES: usize = 96 << 10;

/// The changes of a proposal.
// on the wire: the order of variants is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ProposalBody {
    /// The changes themselves.
    Inline(Vec<Change>),
    /// Hash of the encoded changes, which the coordinator fetches from the proposer.
    ByHash(ContentHash),
}

/// Changes that a member proposes.
// on the wire: the order of fields is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    /// Id of the proposal, unique for its proposer.
    pub id: ProposalId,
    /// The changes.
    pub body: ProposalBody,
    /// True if the proposal may withdraw more capacity at once than the rules allow.
    pub forced: bool,
}

/// The outcome of a proposal.
// on the wire: the order of variants is the format
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal is part of the active version, which has this number.
    Activated(u64),
    /// The proposal was rejected for these reasons.
    Rejected(Vec<String>),
}

/// A lease renewal: its number, and the versions that it covers.
// on the wire: the order of fields is the format
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Number of this renewal among those of the replica.
    pub count: u64,
    /// The committed version.
    pub committed: VersionId,
    /// The version that is prepared beside the committed one.
    pub pending: Option<VersionId>,
}

/// A chunk of fetched bytes.
// on the wire: the order of fields is the format
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Hash of the whole bytes.
    pub hash: ContentHash,
    /// Index of this chunk, from zero.
    pub index: u32,
    /// Number of chunks.
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
        /// Token of the coordinator's ownership of the journal.
        token: FencingToken,
        /// The committed version.
        committed: VersionId,
    },
    /// From the coordinator: asks to store this version beside the committed one, and to apply the intersection of both.
    Prepare {
        /// Token of the coordinator's ownership of the journal.
        token: FencingToken,
        /// The version.
        header: VersionHeader,
    },
    /// From a replica: the version is on the replica's disk, and the replica applies the intersection with it.
    Prepared {
        /// Token of the coordinator that prepared the version.
        token: FencingToken,
        /// The version.
        pending: VersionId,
    },
    /// From the coordinator: asks to apply this version alone from now on.
    Activate {
        /// Token of the coordinator's ownership of the journal.
        token: FencingToken,
        /// The version.
        committed: VersionId,
    },
    /// From a replica: asks to renew the lease on the versions that are on the replica's disk.
    Renew {
        /// Token of the coordinator that is asked.
        token: FencingToken,
        /// The renewal.
        renewal: Renewal,
    },
    /// From the coordinator: the lease on exactly these versions runs from when the renewal with this count was sent.
    Renewed {
        /// Token of the coordinator's ownership of the journal.
        token: FencingToken,
        /// The renewal that is answered.
        renewal: Renewal,
    },
    /// Requests a chunk of the bytes with this hash.
    FetchChunk {
        /// Hash of the whole bytes.
        hash: ContentHash,
        /// Index of the chunk, from zero.
        index: u32,
    },
    /// The requested chunk.
    Chunk(Chunk),
    /// From a proposer: its undecided proposals by id, as many as one message holds, retransmitted until decided.
    Propose {
        /// The proposals.
        proposals: Vec<Proposal>,
    },
    /// From the coordinator: a proposal of the receiver is decided.
    ProposalDecided {
        /// The proposal.
        id: ProposalId,
        /// Outcome of the proposal.
        outcome: ProposalOutcome,
    },
}
