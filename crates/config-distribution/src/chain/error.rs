//! Errors of links and snapshots.

use super::{Revision, ScopeId};
use crate::digest::Digest;
use thiserror::Error;

/// A reason not to apply a link or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChainError {
    /// The link or snapshot is of another scope.
    #[error("scope {found:?} does not match the expected scope {wanted:?}")]
    OtherScope {
        /// The scope of the link.
        found: ScopeId,
        /// The scope of the chain.
        wanted: ScopeId,
    },
    /// The chain has this revision or a newer one already.
    #[error("revision {found} is not newer than the current revision {held}")]
    GoesBack {
        /// The revision that was received.
        found: Revision,
        /// The chain's revision.
        held: Revision,
    },
    /// Links are missing before this one.
    #[error("revision {found} does not follow the current revision {held}: links are missing")]
    Gap {
        /// The revision that was received.
        found: Revision,
        /// The chain's revision.
        held: Revision,
    },
    /// The parent of the link is not the chain's last link.
    #[error("revision {revision} has the parent {found} instead of {held}: another history")]
    OtherHistory {
        /// The revision that was received.
        revision: Revision,
        /// The parent's hash in the link.
        found: Digest,
        /// The hash of the chain's last link.
        held: Digest,
    },
    /// The hash of the resulting state is not the one in the link or snapshot.
    #[error("revision {revision} results in the hash {found} instead of {claimed}")]
    WrongState {
        /// The revision that was received.
        revision: Revision,
        /// The hash that results.
        found: Digest,
        /// The hash in the link or snapshot.
        claimed: Digest,
    },
    /// The link prepares a version while another is pending.
    #[error("cannot prepare a version while another is pending")]
    PreparedTwice,
    /// The link activates a version while no version is pending.
    #[error("cannot activate a version: no version is pending")]
    NothingPrepared,
    /// The state of a snapshot cannot be decoded.
    #[error("cannot decode the state of a snapshot")]
    Unreadable,
    /// A part of a snapshot does not follow the parts before it.
    #[error("part {part} of {parts} of a snapshot does not follow the parts before")]
    PartOutOfOrder {
        /// Index of the part, from zero.
        part: u32,
        /// Number of parts.
        parts: u32,
    },
}
