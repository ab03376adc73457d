//! What members say of editions.

use crate::content::Change;
use crate::edition::{Done, Hash};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::Token;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Changes of so many bytes go in one word, and in the journal's record.
pub(crate) const MOST_INLINE: usize = 96 << 10;

/// A member's proposal: a later one has a higher number, over all starts of the member.
pub type Ticket = u64;

/// What stands for an edition in the convener's journal, and travels ahead of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    pub number: u64,
    pub hash: Hash,
    /// The one before it.
    pub base: Hash,
    /// What makes the one out of the other, where that is small; else the whole is asked for.
    pub changes: Option<Vec<Change>>,
    pub done: BTreeMap<MemberId, Done>,
}

/// What is proposed: itself, or what its bytes are asked for by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Changes(Vec<Change>),
    Bytes(Hash),
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Proposal {
    pub ticket: Ticket,
    pub body: Body,
    /// More may be withdrawn at once than is allowed.
    pub forced: bool,
}

/// An edition by its number and hash.
pub type Name = (u64, Hash);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// From the convener: it is there, and this stands.
    Call {
        token: Token,
        standing: Name,
    },
    /// To be kept beside what stands, and acted by together with it from now on.
    Prepare {
        token: Token,
        manifest: Manifest,
    },
    /// It is on this member's disk, and acted by.
    Prepared {
        token: Token,
        next: Name,
    },
    /// From here on this one is acted by alone.
    Hold {
        token: Token,
        standing: Name,
    },
    /// A member goes on with what stands and what is prepared, both as they are on its disk.
    Renew {
        token: Token,
        count: u64,
        standing: Name,
        next: Option<Name>,
    },
    /// The lease on exactly this runs on from when that renewal was sent.
    Renewed {
        token: Token,
        count: u64,
        standing: Name,
        next: Option<Name>,
    },
    /// Hand over a part of these bytes.
    Want {
        hash: Hash,
        part: u32,
    },
    Part {
        hash: Hash,
        part: u32,
        parts: u32,
        bytes: Vec<u8>,
    },
    /// All of a member's proposals that were not answered yet, in their order, and again until they are.
    Propose {
        proposals: Vec<Proposal>,
    },
    /// It is part of the edition of this number, which holds; or why it came to nothing.
    Proposed {
        ticket: Ticket,
        done: Result<u64, Vec<String>>,
    },
}
