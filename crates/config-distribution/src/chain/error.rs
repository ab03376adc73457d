//! Why a link or a snapshot is not applied.

use super::{Revision, ScopeId};
use crate::digest::Digest;
use thiserror::Error;

/// Why a link or a snapshot is not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChainError {
    /// It belongs to another scope.
    #[error("it is of scope {found:?} and not of {wanted:?}")]
    OtherScope {
        /// The scope of the link.
        found: ScopeId,
        /// The scope of the chain.
        wanted: ScopeId,
    },
    /// What is held is as new or newer.
    #[error("revision {found} comes after {held} is held")]
    GoesBack {
        /// The revision that came.
        found: Revision,
        /// The revision that is held.
        held: Revision,
    },
    /// Links between are missing.
    #[error("revision {found} comes while {held} is held: links between are missing")]
    Gap {
        /// The revision that came.
        found: Revision,
        /// The revision that is held.
        held: Revision,
    },
    /// The link before it is another one.
    #[error("revision {revision} follows {found}, and {held} is held: two histories")]
    OtherHistory {
        /// The revision that came.
        revision: Revision,
        /// The parent that it names.
        found: Digest,
        /// The hash that is held.
        held: Digest,
    },
    /// The state after it has another hash than it says.
    #[error("revision {revision} comes to {found} and says {told}")]
    WrongState {
        /// The revision that came.
        revision: Revision,
        /// The hash of the state after it.
        found: Digest,
        /// The hash that it names.
        told: Digest,
    },
    /// It prepares a version beside one that is prepared already.
    #[error("it prepares a version while another is pending")]
    PreparedTwice,
    /// It activates a version, and none is prepared.
    #[error("it activates a version and none is prepared")]
    NothingPrepared,
    /// The bytes of a snapshot are none.
    #[error("the bytes of a snapshot cannot be read")]
    Unreadable,
    /// A part of a snapshot does not follow the parts before it.
    #[error("part {part} of {parts} of a snapshot does not follow those before it")]
    PartOutOfOrder {
        /// The part.
        part: u32,
        /// How many there are.
        parts: u32,
    },
}
