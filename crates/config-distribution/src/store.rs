//! The chains that a node has.

use crate::chain::{ChainError, Link, Position, Revision, ScopeChain, ScopeId, Snapshot};
use crate::message::SnapshotPart;
use std::collections::BTreeMap;
use std::time::Duration;

/// The chains of a node by scope, the time at which each last advanced, and snapshots of which some parts were received.
#[derive(Debug, Clone, Default)]
pub struct Store {
    chains: BTreeMap<ScopeId, ScopeChain>,
    advanced: BTreeMap<ScopeId, Duration>,
    incoming: BTreeMap<ScopeId, IncomingSnapshot>,
}

#[derive(Debug, Clone)]
struct IncomingSnapshot {
    snapshot: Snapshot,
    next_part: u32,
    parts: u32,
}

impl Store {
    /// Returns a store of chains, for instance those read from disk.
    pub fn from_chains(chains: impl IntoIterator<Item = ScopeChain>) -> Store {
        let chains = chains.into_iter().map(|chain| (chain.scope(), chain)).collect();
        Store { chains, ..Store::default() }
    }

    /// Returns a scope's chain.
    pub fn chain(&self, scope: ScopeId) -> Option<&ScopeChain> {
        self.chains.get(&scope)
    }

    /// Returns all chains.
    pub fn chains(&self) -> impl Iterator<Item = &ScopeChain> {
        self.chains.values()
    }

    /// Returns the position of a scope's chain; the default position if the node has nothing of the scope.
    pub fn position(&self, scope: ScopeId) -> Position {
        self.chain(scope).map_or(Position::default(), ScopeChain::position)
    }

    /// Returns the last revision of a scope; zero if the node has nothing of it.
    pub fn revision(&self, scope: ScopeId) -> Revision {
        self.position(scope).revision
    }

    /// Returns the time at which a scope last advanced.
    pub fn advanced_at(&self, scope: ScopeId) -> Duration {
        self.advanced.get(&scope).copied().unwrap_or_default()
    }

    /// Applies the next link of a scope.
    ///
    /// # Errors
    ///
    /// Returns a [`ChainError`] if the link doesn't follow the chain.
    pub fn apply(&mut self, now: Duration, link: Link) -> Result<(), ChainError> {
        let scope = link.scope;
        let existed = self.chains.contains_key(&scope);
        let chain = self.chains.entry(scope).or_insert_with(|| ScopeChain::new(scope));
        let applied = chain.apply(link);
        match applied {
            Ok(()) => drop(self.advanced.insert(scope, now)),
            Err(_) if !existed => drop(self.chains.remove(&scope)),
            Err(_) => {}
        }
        applied
    }

    /// Adds a part of a snapshot. Returns true if the part was the last one, so that the scope has advanced.
    ///
    /// # Errors
    ///
    /// Returns a [`ChainError`] if the part doesn't follow the parts before it, the snapshot is not newer than the
    /// chain, or its state doesn't match its hash.
    pub fn add_part(&mut self, now: Duration, part: SnapshotPart) -> Result<bool, ChainError> {
        let SnapshotPart { scope, position, parent, part: number, parts, bytes } = part;
        let held = self.revision(scope);
        if position.revision <= held {
            self.incoming.remove(&scope);
            return Err(ChainError::GoesBack { found: position.revision, held });
        }
        if number == 0 {
            let snapshot = Snapshot { scope, position, parent, state: vec![] };
            self.incoming.insert(scope, IncomingSnapshot { snapshot, next_part: 0, parts });
        }
        let follows = |incoming: &&mut IncomingSnapshot| {
            incoming.snapshot.position == position && incoming.next_part == number && incoming.parts == parts
        };
        let Some(incoming) = self.incoming.get_mut(&scope).filter(follows) else {
            return Err(ChainError::PartOutOfOrder { part: number, parts });
        };
        incoming.snapshot.state.extend_from_slice(&bytes);
        incoming.next_part += 1;
        if incoming.next_part < parts {
            return Ok(false);
        }
        let Some(IncomingSnapshot { snapshot, .. }) = self.incoming.remove(&scope) else { return Ok(false) };
        let mut chain = self.chains.get(&scope).cloned().unwrap_or_else(|| ScopeChain::new(scope));
        chain.restore(&snapshot)?;
        self.chains.insert(scope, chain);
        self.advanced.insert(scope, now);
        Ok(true)
    }
}
