//! A scope's configuration as a chain of links, each with the hash of the one before it.
//!
//! A change goes through two links: one prepares a new version beside the active one, the next activates it. In between, a
//! planner applies the intersection of both. A link is applied only on exactly the link before it, so a gap, a wrong order
//! or another history is detected and never applied.

mod error;
mod link;

pub use error::ChainError;
pub use link::{Link, Priority, Revision, ScopeId, ScopeState, Step, Version};

use crate::digest::Digest;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Links that are kept to bring others up to date; a node that is further behind gets a snapshot.
pub const LINKS_KEPT: usize = 64;

/// The last link of a chain.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The last link's revision.
    pub revision: Revision,
    /// Its hash.
    pub hash: Digest,
}

/// The whole of a scope at a position, for a node that is too far behind for links.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The scope.
    pub scope: ScopeId,
    /// Position of its chain.
    pub position: Position,
    /// Hash of the link before that position.
    pub parent: Digest,
    /// The encoded state.
    pub state: Vec<u8>,
}

/// A scope's chain: the state that it results in, and its newest links.
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
    /// Of a scope that has no link yet.
    pub fn new(scope: ScopeId) -> ScopeChain {
        ScopeChain {
            scope,
            position: Position::default(),
            parent: Digest::default(),
            state: ScopeState::default(),
            links: VecDeque::new(),
        }
    }

    /// The scope.
    pub fn scope(&self) -> ScopeId {
        self.scope
    }

    /// The last link.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The last link's revision.
    pub fn revision(&self) -> Revision {
        self.position.revision
    }

    /// The state that it results in.
    pub fn state(&self) -> &ScopeState {
        &self.state
    }

    /// The revision that prepared the newest version.
    pub fn prepared(&self) -> Revision {
        self.position.revision.saturating_sub(u64::from(self.state.pending.is_none()))
    }

    /// The revision that prepared the active version: a node with an older one may not apply the scope.
    pub fn required(&self) -> Revision {
        self.prepared().saturating_sub(if self.state.pending.is_some() { 2 } else { 0 })
    }

    /// The next link, which does this.
    ///
    /// # Errors
    ///
    /// The step does not follow: a version is pending already, or none is.
    pub fn next(&self, step: Step) -> Result<Link, ChainError> {
        let (revision, parent) = (self.position.revision + 1, self.position.hash);
        let hash = hash_of(self.scope, revision, parent, &self.state.after(&step)?);
        Ok(Link { scope: self.scope, revision, parent, hash, step })
    }

    /// Applies the next link; any other leaves the chain as it is.
    ///
    /// # Errors
    ///
    /// It is not the next link of this history.
    pub fn apply(&mut self, link: Link) -> Result<(), ChainError> {
        self.check_follows(&link)?;
        let state = self.state.after(&link.step)?;
        let hash = hash_of(self.scope, link.revision, link.parent, &state);
        if hash != link.hash {
            return Err(ChainError::WrongState { revision: link.revision, found: hash, told: link.hash });
        }
        (self.parent, self.state) = (link.parent, state);
        self.position = Position { revision: link.revision, hash };
        self.links.push_back(link);
        if self.links.len() > LINKS_KEPT {
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

    /// The links after a position, if that is in this history and all of them are kept.
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

    /// A snapshot at the last link.
    pub fn snapshot(&self) -> Snapshot {
        let state = postcard::to_stdvec(&self.state).expect("encoding into memory does not fail");
        Snapshot { scope: self.scope, position: self.position, parent: self.parent, state }
    }

    /// Replaces the chain by a newer snapshot.
    ///
    /// # Errors
    ///
    /// It is of another scope, not newer, or not what its hash says.
    pub fn restore(&mut self, snapshot: &Snapshot) -> Result<(), ChainError> {
        let Snapshot { scope, position, parent, .. } = *snapshot;
        if scope != self.scope {
            return Err(ChainError::OtherScope { found: scope, wanted: self.scope });
        }
        if position.revision <= self.position.revision {
            return Err(ChainError::GoesBack { found: position.revision, held: self.position.revision });
        }
        let state: ScopeState = postcard::from_bytes(&snapshot.state).map_err(|_| ChainError::Unreadable)?;
        let found = hash_of(scope, position.revision, parent, &state);
        if found != position.hash {
            return Err(ChainError::WrongState { revision: position.revision, found, told: position.hash });
        }
        *self = ScopeChain { scope, position, parent, state, links: VecDeque::new() };
        Ok(())
    }
}

// Hashes are stored and on the wire: do not change what they are of.
fn hash_of(scope: ScopeId, revision: Revision, parent: Digest, state: &ScopeState) -> Digest {
    Digest::of(&(scope, revision, parent, Digest::of(state)))
}
