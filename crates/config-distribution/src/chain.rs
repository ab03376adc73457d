//! A scope's configuration as a chain of links, each with the hash of the one before it.
//!
//! A change goes through two links: one prepares a new version beside the active one, the next activates it. Between them
//! a planner acts by what both versions allow. A link is applied only on exactly the link before it, so a gap, a wrong
//! order or another history is detected and never applied.

use crate::digest::Digest;
use grebespool_config_consensus::{Change, Configuration, EffectiveConfiguration};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use thiserror::Error;

/// A zone or a service, by the number that the control machines gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ScopeId(pub u32);

/// The place of a link in its scope's chain; the first link has one.
pub type Revision = u64;

/// Links that are kept to bring others up to date; who is further behind gets a snapshot.
pub const LINKS_KEPT: usize = 64;

/// How urgent a change is; a lower one is sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// It takes servers away from calls.
    Drain,
    /// It changes a bound.
    Limit,
    /// Anything else.
    Other,
}

impl Priority {
    /// Of the most urgent of these changes.
    pub fn of(changes: &[Change]) -> Priority {
        let one = |change: &Change| match change {
            change if change.withdrawn_server().is_some() => Priority::Drain,
            Change::Limit(..) | Change::Route(..) => Priority::Limit,
            _ => Priority::Other,
        };
        changes.iter().map(one).min().unwrap_or(Priority::Other)
    }
}

/// What a link does.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// A new version is to be held beside the active one, made from it by these changes.
    Prepare(Vec<Change>),
    /// The prepared version is active alone.
    Activate,
}

/// One link of a scope's chain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// The scope.
    pub scope: ScopeId,
    /// Its place in the chain.
    pub revision: Revision,
    /// The hash of the link before it.
    pub parent: Digest,
    /// Its own hash: of the scope, the place, the parent and the state after it.
    pub hash: Digest,
    /// What it does.
    pub step: Step,
}

/// A version of a scope's content.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// How many versions were prepared before it.
    pub number: u64,
    /// The content.
    pub content: Configuration,
}

/// What a chain comes to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ScopeState {
    /// The version that is in force.
    pub active: Version,
    /// The version that is prepared beside it.
    pub pending: Option<Version>,
}

impl ScopeState {
    /// What may be acted by: the active version, or what it and the pending one both allow.
    pub fn view(&self) -> EffectiveConfiguration {
        match &self.pending {
            None => EffectiveConfiguration::single(&self.active.content),
            Some(pending) => EffectiveConfiguration::intersect(&self.active.content, &pending.content),
        }
    }

    /// The numbers of the versions that are acted by.
    pub fn versions(&self) -> (u64, Option<u64>) {
        (self.active.number, self.pending.as_ref().map(|p| p.number))
    }

    fn after(&self, step: &Step) -> Result<ScopeState, ChainError> {
        match (step, &self.pending) {
            (Step::Prepare(changes), None) => {
                let mut content = self.active.content.clone();
                for change in changes {
                    change.apply(&mut content);
                }
                let pending = Some(Version { number: self.active.number + 1, content });
                Ok(ScopeState { active: self.active.clone(), pending })
            }
            (Step::Activate, Some(pending)) => Ok(ScopeState { active: pending.clone(), pending: None }),
            (Step::Prepare(_), Some(_)) => Err(ChainError::PreparedTwice),
            (Step::Activate, None) => Err(ChainError::NothingPrepared),
        }
    }
}

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

/// Where a chain stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The last link.
    pub revision: Revision,
    /// Its hash.
    pub hash: Digest,
}

/// The whole of a scope at a position, for who is too far behind for links.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The scope.
    pub scope: ScopeId,
    /// Where its chain stands.
    pub position: Position,
    /// The hash of the link before that.
    pub parent: Digest,
    /// The state, serialized.
    pub state: Vec<u8>,
}

/// A scope's chain: the state that it comes to, and its newest links.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScopeChain {
    scope: ScopeId,
    position: Position,
    parent: Digest,
    state: ScopeState,
    links: VecDeque<Link>,
}

fn hash_of(scope: ScopeId, revision: Revision, parent: Digest, state: &ScopeState) -> Digest {
    Digest::of(&(scope, revision, parent, Digest::of(state)))
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

    /// Where it stands.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The last revision.
    pub fn revision(&self) -> Revision {
        self.position.revision
    }

    /// What it comes to.
    pub fn state(&self) -> &ScopeState {
        &self.state
    }

    /// The revision that prepared the newest version.
    pub fn prepared(&self) -> Revision {
        self.position.revision.saturating_sub(u64::from(self.state.pending.is_none()))
    }

    /// Who holds an older revision than this may not act: it prepared the version that is active now.
    pub fn required(&self) -> Revision {
        self.prepared().saturating_sub(if self.state.pending.is_some() { 2 } else { 0 })
    }

    /// The next link.
    ///
    /// # Errors
    ///
    /// The step does not follow: one is prepared already, or none is.
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
            let Link { revision, parent: found, .. } = link;
            return Err(ChainError::OtherHistory { revision, found, held: held.hash });
        }
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

    /// The links after a position, where that is in this history and all of them are kept.
    pub fn links_after(&self, position: Position) -> Option<Vec<&Link>> {
        if position == self.position {
            return Some(vec![]);
        }
        let first = self.links.front()?;
        if position.revision + 1 < first.revision || position.revision >= self.position.revision {
            return None;
        }
        let after: Vec<&Link> = self.links.iter().filter(|l| l.revision > position.revision).collect();
        after.first().is_some_and(|l| l.parent == position.hash).then_some(after)
    }

    /// The whole of it.
    pub fn snapshot(&self) -> Snapshot {
        let state = postcard::to_stdvec(&self.state).expect("memory takes all");
        Snapshot { scope: self.scope, position: self.position, parent: self.parent, state }
    }

    /// Takes a newer snapshot in place of what is held.
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
