//! Preparation of the next version of a scope from queued proposals.

use super::ControlMachine;
use crate::chain::{Priority, ScopeChain, ScopeId, Step};
use crate::message::{LogEntry, Message, Proposal, ProposalKey};
use grebespool_config_consensus::{Change, ValidationError, ValidationRules, validate};
use thiserror::Error;

/// A reason to reject a proposal.
// the text is sent to the proposer, also the Debug form of the change
#[derive(Debug, Clone, PartialEq, Error)]
enum ProposalError {
    /// A change names an object that the configuration doesn't contain.
    #[error("scope {}: nothing of that name to change: {change:?}", .scope.0)]
    NothingToChange { scope: ScopeId, change: Change },
    /// The configuration with the proposal is not valid.
    #[error("scope {}: {}", .scope.0, join_errors(.errors))]
    Invalid { scope: ScopeId, errors: Vec<ValidationError> },
}

fn join_errors(errors: &[ValidationError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

/// The proposals that the next version of a scope will include.
#[derive(Default)]
struct Batch {
    changes: Vec<Change>,
    accepted: Vec<ProposalKey>,
}

impl ControlMachine {
    /// Returns links that each prepare a version of a scope from its queued proposals, the most urgent link first.
    /// Invalid proposals are rejected.
    pub(super) fn preparations(&mut self) -> Vec<LogEntry> {
        let Some(publisher) = &mut self.publisher else { return vec![] };
        let mut entries: Vec<(Priority, LogEntry)> = vec![];
        let scopes: Vec<ScopeId> = publisher.queue.keys().copied().collect();
        for scope in scopes {
            if publisher.pending.contains(&scope) || publisher.in_log.contains(&scope) {
                continue;
            }
            let Some(proposals) = publisher.queue.remove(&scope) else { continue };
            let empty = ScopeChain::new(scope);
            let chain = self.store.chain(scope).unwrap_or(&empty);
            let Batch { changes, accepted } = merge_proposals(chain, proposals, &mut self.outbox);
            let priority = Priority::of(&changes);
            if let (false, Ok(link)) = (accepted.is_empty(), chain.next(Step::Prepare(changes))) {
                publisher.in_log.insert(scope);
                entries.push((priority, LogEntry::Link(link, accepted)));
            }
        }
        entries.sort_by_key(|(priority, _)| *priority);
        entries.into_iter().map(|(_, entry)| entry).collect()
    }
}

fn merge_proposals(chain: &ScopeChain, proposals: Vec<Proposal>, outbox: &mut Vec<(u64, Message)>) -> Batch {
    let mut batch = Batch::default();
    for proposal in proposals {
        match validate_proposal(chain, &batch.changes, &proposal) {
            Ok(()) => {
                batch.accepted.push(proposal.key());
                batch.changes.extend(proposal.changes);
            }
            Err(error) => {
                let refused = Some(error.to_string());
                outbox.push((proposal.proposer, Message::Proposed { number: proposal.number, refused }));
            }
        }
    }
    batch
}

/// Validates a proposal on top of the changes that the next version already includes. The share of servers that may be
/// withdrawn at once is not checked here: proposers check it over all scopes.
fn validate_proposal(
    chain: &ScopeChain,
    before: &[Change],
    proposal: &Proposal,
) -> Result<(), ProposalError> {
    let scope = proposal.scope;
    let active = &chain.state().active.configuration;
    let mut next = active.clone();
    for change in before {
        change.apply(&mut next);
    }
    if let Some(ineffective) = proposal.changes.iter().find(|change| !change.apply(&mut next)) {
        return Err(ProposalError::NothingToChange { scope, change: ineffective.clone() });
    }
    let known_limits = next.limits.keys().map(String::as_str).collect();
    let rules = ValidationRules { max_withdrawn_share: 1.0, known_limits };
    validate(active, &next, &rules, true).map_err(|errors| ProposalError::Invalid { scope, errors })
}
