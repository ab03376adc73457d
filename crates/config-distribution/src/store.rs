//! The chains that a node holds.

use crate::chain::{ChainError, Link, Position, Revision, ScopeChain, ScopeId, Snapshot};
use crate::message::SnapshotPart;
use std::collections::BTreeMap;
use std::time::Duration;

/// Chains by scope, when each last advanced, and snapshots whose parts are on their way.
#[derive(Debug, Clone, Default)]
pub struct Store {
    chains: BTreeMap<ScopeId, ScopeChain>,
    advanced: BTreeMap<ScopeId, Duration>,
    incoming: BTreeMap<ScopeId, Incoming>,
}

#[derive(Debug, Clone)]
struct Incoming {
    snapshot: Snapshot,
    next: u32,
    parts: u32,
}

impl Store {
    /// From the disk.
    pub fn of(chains: impl IntoIterator<Item = ScopeChain>) -> Store {
        let chains = chains.into_iter().map(|chain| (chain.scope(), chain)).collect();
        Store { chains, ..Store::default() }
    }

    /// A scope's chain.
    pub fn chain(&self, scope: ScopeId) -> Option<&ScopeChain> {
        self.chains.get(&scope)
    }

    /// All chains.
    pub fn chains(&self) -> impl Iterator<Item = &ScopeChain> {
        self.chains.values()
    }

    /// What is held of a scope; the beginning where nothing is.
    pub fn position(&self, scope: ScopeId) -> Position {
        self.chain(scope).map_or(Position::default(), ScopeChain::position)
    }

    /// The last revision that is held of a scope.
    pub fn revision(&self, scope: ScopeId) -> Revision {
        self.position(scope).revision
    }

    /// When a scope last advanced.
    pub fn advanced_at(&self, scope: ScopeId) -> Duration {
        self.advanced.get(&scope).copied().unwrap_or_default()
    }

    /// Applies the next link of a scope.
    ///
    /// # Errors
    ///
    /// It does not follow what is held.
    pub fn apply(&mut self, now: Duration, link: Link) -> Result<(), ChainError> {
        let scope = link.scope;
        let held = self.chains.contains_key(&scope);
        let chain = self.chains.entry(scope).or_insert_with(|| ScopeChain::new(scope));
        let applied = chain.apply(link);
        match applied {
            Ok(()) => drop(self.advanced.insert(scope, now)),
            Err(_) if !held => drop(self.chains.remove(&scope)),
            Err(_) => {}
        }
        applied
    }

    /// Takes a part of a snapshot; whether the scope has advanced by it.
    ///
    /// # Errors
    ///
    /// It does not follow the parts before it, is not newer than what is held, or the whole is not what its hash says.
    pub fn part(&mut self, now: Duration, part: SnapshotPart) -> Result<bool, ChainError> {
        let SnapshotPart { scope, position, parent, part: number, parts, bytes } = part;
        let held = self.revision(scope);
        if position.revision <= held {
            self.incoming.remove(&scope);
            return Err(ChainError::GoesBack { found: position.revision, held });
        }
        if number == 0 {
            let snapshot = Snapshot { scope, position, parent, state: vec![] };
            self.incoming.insert(scope, Incoming { snapshot, next: 0, parts });
        }
        let follows =
            |i: &&mut Incoming| i.snapshot.position == position && i.next == number && i.parts == parts;
        let Some(incoming) = self.incoming.get_mut(&scope).filter(follows) else {
            return Err(ChainError::PartOutOfOrder { part: number, parts });
        };
        incoming.snapshot.state.extend_from_slice(&bytes);
        incoming.next += 1;
        if incoming.next < parts {
            return Ok(false);
        }
        let Some(Incoming { snapshot, .. }) = self.incoming.remove(&scope) else { return Ok(false) };
        let mut chain = self.chains.get(&scope).cloned().unwrap_or_else(|| ScopeChain::new(scope));
        chain.restore(&snapshot)?;
        self.chains.insert(scope, chain);
        self.advanced.insert(scope, now);
        Ok(true)
    }
}
