//! A scope's configuration as a chain of links, each of which has the hash of the link before.
//!
//! A change takes two links: the first prepares a new version beside the active one, the second activates the new
//! version. Between the two, a planner applies the intersection of both versions. A link is applied only directly after
//! its parent, so a gap, a wrong order or another history is detected and never applied.

mod error;
mod link;

pub use error::ChainError;
pub use link::{Link, Priority, Revision, ScopeId, ScopeState, Step, Version};

use crate::digest::Digest;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of links that a chain retains to update other nodes; a node that is further behind gets a snapshot.
pub const MAX_RETAINED_LINKS: usize = 64;

/// Identifies the last link of a chain, and so its history.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Revision of the last link.
    pub revision: Revision,
    /// Hash of the last link.
    pub hash: Digest,
}

/// The state of a scope at a position, for a node that is too far behind to be updated by links.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The scope.
    pub scope: ScopeId,
    /// Position of the chain.
    pub position: Position,
    /// Hash of the link before that position.
    pub parent: Digest,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// The chain of a scope: the resulting state and the newest links.
// stored: do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScopeChain {
    scope: ScopeId,
    position: Position,
    parent: Digest,
    state: ScopeState,
    links: VecDeque<Link>,
}

impl ScopeChain {
    /// Returns the chain of a scope that has no links yet.
    pub fn new(scope: ScopeId) -> ScopeChain {
        ScopeChain {
            scope,
            position: Position::default(),
            parent: Digest::default(),
            state: ScopeState::default(),
            links: VecDeque::new(),
        }
    }

    /// Returns the scope.
    pub fn scope(&self) -> ScopeId {
        self.scope
    }

    /// Returns the position of the last link.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the revision of the last link.
    pub fn revision(&self) -> Revision {
        self.position.revision
    }

    /// Returns the state that results from the chain.
    pub fn state(&self) -> &ScopeState {
        &self.state
    }

    /// Returns the revision that prepared the newest version.
    pub fn prepared(&self) -> Revision {
        self.position.revision.saturating_sub(u64::from(self.state.pending.is_none()))
    }

    /// Returns the revision that prepared the active version: a node with an older revision must not act by
    /// the scope's configuration.
    pub fn required(&self) -> Revision {
        self.prepared().saturating_sub(if self.state.pending.is_some() { 2 } else { 0 })
    }

    /// Returns the link that extends the chain by this step.
    ///
    /// # Errors
    ///
    /// Returns a [`ChainError`] if the step prepares a version while one is pending, or activates one while no version is
    /// pending.
    pub fn next(&self, step: Step) -> Result<Link, ChainError> {
        let (revision, parent) = (self.position.revision + 1, self.position.hash);
        let hash = link_hash(self.scope, revision, parent, &self.state.after(&step)?);
        Ok(Link { scope: self.scope, revision, parent, hash, step })
    }

    /// Applies the next link. Any other link leaves the chain unchanged.
    ///
    /// # Errors
    ///
    /// Returns a [`ChainError`] if the link is not the next one of this history.
    pub fn apply(&mut self, link: Link) -> Result<(), ChainError> {
        self.check_follows(&link)?;
        let state = self.state.after(&link.step)?;
        let hash = link_hash(self.scope, link.revision, link.parent, &state);
        if hash != link.hash {
            return Err(ChainError::WrongState { revision: link.revision, found: hash, claimed: link.hash });
        }
        (self.parent, self.state) = (link.parent, state);
        self.position = Position { revision: link.revision, hash };
        self.links.push_back(link);
        if self.links.len() > MAX_RETAINED_LINKS {
            self.links.pop_front();
        }
        Ok(())
    }

    fn check_follows(&self, link: &Link) -> Result<(), ChainError> {
        let held = self.position;
        if link.scope != self.scope {
            return Err(ChainError::OtherScope { found: link.scope, wanted: self.scope });
        }
        if link.revision <= held.revision {
            return Err(ChainError::GoesBack { found: link.revision, held: held.revision });
        }
        if link.revision > held.revision + 1 {
            return Err(ChainError::Gap { found: link.revision, held: held.revision });
        }
        if link.parent != held.hash {
            let (revision, found) = (link.revision, link.parent);
            return Err(ChainError::OtherHistory { revision, found, held: held.hash });
        }
        Ok(())
    }

    /// Returns the links after a position, if the position is in this history and the chain still has all links after it.
    pub fn links_after(&self, position: Position) -> Option<Vec<&Link>> {
        if position == self.position {
            return Some(vec![]);
        }
        let first = self.links.front()?;
        if position.revision + 1 < first.revision || position.revision >= self.position.revision {
            return None;
        }
        let after: Vec<&Link> = self.links.iter().filter(|link| link.revision > position.revision).collect();
        after.first().is_some_and(|link| link.parent == position.hash).then_some(after)
    }

    /// Returns a snapshot at the last link.
    pub fn snapshot(&self) -> Snapshot {
        let state = postcard::to_stdvec(&self.state).expect("encoding into memory does not fail");
        Snapshot { scope: self.scope, position: self.position, parent: self.parent, state }
    }

    /// Replaces the chain by a newer snapshot.
    ///
    /// # Errors
    ///
    /// Returns a [`ChainError`] if the snapshot is of another scope, is not newer, or doesn't match its hash.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Result<(), ChainError> {
        let Snapshot { scope, position, parent, .. } = *snapshot;
        if scope != self.scope {
            return Err(ChainError::OtherScope { found: scope, wanted: self.scope });
        }
        if position.revision <= self.position.revision {
            return Err(ChainError::GoesBack { found: position.revision, held: self.position.revision });
        }
        let state: ScopeState = postcard::from_bytes(&snapshot.state).map_err(|_| ChainError::Unreadable)?;
        let found = link_hash(scope, position.revision, parent, &state);
        if found != position.hash {
            return Err(ChainError::WrongState {
                revision: position.revision,
                found,
                claimed: position.hash,
            });
        }
        *self = ScopeChain { scope, position, parent, state, links: VecDeque::new() };
        Ok(())
    }
}

// Hashes are stored and on the wire: do not change the hashed values or their order.
fn link_hash(scope: ScopeId, revision: Revision, parent: Digest, state: &ScopeState) -> Digest {
    Digest::of(&(scope, revision, parent, Digest::of(state)))
}
