//! Rejections of a planner.

use crate::chain::{ChainError, ScopeId};
use grebespool_leader_election::MemberId;
use std::fmt;
use thiserror::Error;

/// Numbers of rejections, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// Links and snapshots that are not newer than the planner's chain; most are copies from the second relay.
    pub outdated: u64,
    /// Links and snapshots of scopes that the planner doesn't subscribe to, over a gap, of another history, or with a
    /// wrong hash.
    pub invalid: u64,
    /// Attempts of planners of another zone to begin a session.
    pub other_zone: u64,
}

/// A reason to reject a link or a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RejectCause {
    /// The planner doesn't subscribe to the scope.
    #[error("the scope is not subscribed to")]
    NotSubscribed,
    /// The link or snapshot doesn't fit the chain.
    #[error(transparent)]
    Chain(#[from] ChainError),
}

/// The rejection of a link or a snapshot, to be logged; the planner's chain stays in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlannerEvent {
    /// The scope.
    pub scope: ScopeId,
    /// The sender.
    pub from: MemberId,
    /// The reason.
    pub cause: RejectCause,
}

impl fmt::Display for PlannerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PlannerEvent { scope, from, cause } = self;
        write!(
            f,
            "rejecting an update of scope {} from {from:016x}: {cause}; keeping the previous chain",
            scope.0
        )
    }
}
