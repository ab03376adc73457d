//! Why a link or a snapshot is not applied.

use super::{Revision, ScopeId};
use crate::digest::Digest;
use thiserror::Error;

/// Why a link or a snapshot is not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChainError {
    /// The link or snapshot is of another scope.
    #[error("it is of scope {found:?} and not of {wanted:?}")]
    OtherScope {
        /// The scope of the link.
        found: ScopeId,
        /// The scope of the chain.
        wanted: ScopeId,
    },
    /// The chain has this revision already, or a newer one.
    #[error("revision {found} comes after {held} is held")]
    GoesBack {
        /// The revision that was received.
        found: Revision,
        /// The chain's revision.
        held: Revision,
    },
    /// Links are missing before this one.
    #[error("revision {found} comes while {held} is held: links between are missing")]
    Gap {
        /// The revision that was received.
        found: Revision,
        /// The chain's revision.
        held: Revision,
    },
    /// The link names another parent than the chain's last link.
    #[error("revision {revision} follows {found}, and {held} is held: two histories")]
    OtherHistory {
        /// The revision that was received.
        revision: Revision,
        /// The parent that the link names.
        found: Digest,
        /// The hash of the chain's last link.
        held: Digest,
    },
    /// The state that results has another hash than the link claims.
    #[error("revision {revision} comes to {found} and says {told}")]
    WrongState {
        /// The revision that was received.
        revision: Revision,
        /// The hash of the state that results.
        found: Digest,
        /// The hash that the link claims.
        told: Digest,
    },
    /// The link prepares a version while another is pending.
    #[error("it prepares a version while another is pending")]
    PreparedTwice,
    /// The link activates a version, and none is pending.
    #[error("it activates a version and none is prepared")]
    NothingPrepared,
    /// The state of a snapshot cannot be decoded.
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
