//! Links of a chain, and the state that results from them.

use super::ChainError;
use crate::digest::Digest;
use grebespool_config_consensus::{Change, Configuration, EffectiveConfiguration};
use serde::{Deserialize, Serialize};

/// Identifies a scope, which is a zone or a service, by the number that the control machines gave to it.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ScopeId(pub u32);

/// Number of a link in its scope's chain, from one.
pub type Revision = u64;

/// Urgency of a change; the lowest value is sent first.
// the order of the variants is the order of sending
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// The change withdraws a server.
    Drain,
    /// The change sets a limit or a route.
    Limit,
    /// Any other change.
    Other,
}

impl Priority {
    /// Returns the priority of the most urgent of these changes.
    pub fn of(changes: &[Change]) -> Priority {
        let priority = |change: &Change| match change {
            change if change.withdrawn_server().is_some() => Priority::Drain,
            Change::Limit(..) | Change::Route(..) => Priority::Limit,
            _ => Priority::Other,
        };
        changes.iter().map(priority).min().unwrap_or(Priority::Other)
    }
}

/// The effect of a link on the state.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Step {
    /// Prepares a new version beside the active one: the active version with these changes.
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
    /// Number of the link in the chain.
    pub revision: Revision,
    /// Hash of the link before.
    pub parent: Digest,
    /// Hash of this link, over the scope, the revision, the parent and the state after the link.
    pub hash: Digest,
    /// The effect of the link.
    pub step: Step,
}

/// A version of a scope's content.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Number of the version: zero for the initial empty one, and one more for each version that is prepared.
    pub number: u64,
    /// The configuration.
    pub configuration: Configuration,
}

/// The state that results from a chain.
// stored and on the wire: do not reorder
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ScopeState {
    /// The active version, which applies alone while no version is pending.
    pub active: Version,
    /// The version that is prepared and not yet active.
    pub pending: Option<Version>,
}

impl ScopeState {
    /// Returns the active configuration, or its intersection with the pending one.
    pub fn effective_configuration(&self) -> EffectiveConfiguration {
        match &self.pending {
            None => EffectiveConfiguration::single(&self.active.configuration),
            Some(pending) => {
                EffectiveConfiguration::intersect(&self.active.configuration, &pending.configuration)
            }
        }
    }

    /// Returns the numbers of the active and the pending version.
    pub fn versions(&self) -> (u64, Option<u64>) {
        (self.active.number, self.pending.as_ref().map(|pending| pending.number))
    }

    /// Returns the state after a step.
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
