//! What a planner rejects.

use crate::chain::{ChainError, ScopeId};
use grebespool_leader_election::MemberId;
use std::fmt;
use thiserror::Error;

/// What was rejected, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Links and snapshots that are older than what is held; most are copies by the second relay.
    pub outdated: u64,
    /// Links over a gap, of another history, or not what their hash says.
    pub invalid: u64,
    /// Planners of another zone.
    pub other_zone: u64,
}

/// Why a link or a snapshot is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RejectCause {
    /// The scope is not subscribed to.
    #[error("it is not subscribed to")]
    NotSubscribed,
    /// It does not fit the chain.
    #[error(transparent)]
    Chain(#[from] ChainError),
}

/// A link or a snapshot that was rejected, for the log; what is held stays in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerEvent {
    /// The scope.
    pub scope: ScopeId,
    /// The sender.
    pub from: MemberId,
    /// Why.
    pub cause: RejectCause,
}

impl fmt::Display for PlannerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PlannerEvent { scope, from, cause } = self;
        write!(f, "scope {}, from {from:016x}: {cause}; what was held stays in force", scope.0)
    }
}
