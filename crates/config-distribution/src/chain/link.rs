//! Links of a chain, and the state that they result in.

use super::ChainError;
use crate::digest::Digest;
use grebespool_config_consensus::{Change, Configuration, EffectiveConfiguration};
use serde::{Deserialize, Serialize};

/// A zone or a service, by the number that the control machines gave it.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ScopeId(pub u32);

/// The place of a link in its scope's chain; the first link has one.
pub type Revision = u64;

/// How urgent a change is; a lower one is sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// It takes servers out of service.
    Drain,
    /// It changes a bound.
    Limit,
    /// Anything else.
    Other,
}

impl Priority {
    /// The priority of the most urgent of these changes.
    pub fn of(changes: &[Change]) -> Priority {
        let priority = |change: &Change| match change {
            change if change.withdrawn_server().is_some() => Priority::Drain,
            Change::Limit(..) | Change::Route(..) => Priority::Limit,
            _ => Priority::Other,
        };
        changes.iter().map(priority).min().unwrap_or(Priority::Other)
    }
}

/// What a link does.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// Prepares a new version beside the active one, made from it by these changes.
    Prepare(Vec<Change>),
    /// Activates the pending version.
    Activate,
}

/// One link of a scope's chain.
// stored and on the wire: do not reorder
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
// stored and on the wire: do not reorder
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// How many versions were prepared before it.
    pub number: u64,
    /// The configuration.
    pub configuration: Configuration,
}

/// The state that a chain results in.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ScopeState {
    /// The version that is active alone.
    pub active: Version,
    /// The version that is prepared beside it.
    pub pending: Option<Version>,
}

impl ScopeState {
    /// The active configuration, or its intersection with the pending one.
    pub fn effective_configuration(&self) -> EffectiveConfiguration {
        match &self.pending {
            None => EffectiveConfiguration::single(&self.active.configuration),
            Some(pending) => {
                EffectiveConfiguration::intersect(&self.active.configuration, &pending.configuration)
            }
        }
    }

    /// The numbers of the active and the pending version.
    pub fn versions(&self) -> (u64, Option<u64>) {
        (self.active.number, self.pending.as_ref().map(|pending| pending.number))
    }

    /// The state after a step.
    pub(super) fn after(&self, step: &Step) -> Result<ScopeState, ChainError> {
        match (step, &self.pending) {
            (Step::Prepare(changes), None) => {
                let mut configuration = self.active.configuration.clone();
                for change in changes {
                    change.apply(&mut configuration);
                }
                let pending = Some(Version { number: self.active.number + 1, configuration });
                Ok(ScopeState { active: self.active.clone(), pending })
            }
            (Step::Activate, Some(pending)) => Ok(ScopeState { active: pending.clone(), pending: None }),
            (Step::Prepare(_), Some(_)) => Err(ChainError::PreparedTwice),
            (Step::Activate, None) => Err(ChainError::NothingPrepared),
        }
    }
}
