//! Assembly of the next version: queued proposals are validated one by one and applied to it.

use super::queue::{ProposalKey, QueuedProposal, ReadyProposal};
use super::{Coordinator, PendingVersion, Phase};
use crate::configuration::{Change, Configuration, ValidationError, validate};
use crate::context::Context;
use crate::host::Host;
use crate::message::{MAX_INLINE_BYTES, Message, ProposalOutcome};
use crate::settings::ValidationRules;
use crate::version::{ConfigVersion, DecidedProposals, VersionHeader};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use thiserror::Error;

/// Reasons why a proposal is rejected.
// the texts go to other members and must not change; tests of `grebespool-cli` match the beginning of the second
#[derive(Debug, Clone, PartialEq, Error)]
enum RejectReason {
    /// The configuration with the proposed changes is invalid.
    #[error(transparent)]
    Invalid(#[from] ValidationError),
    /// The proposal sets the state of a server that does not exist.
    #[error("nothing of that name to change: {0:?}")]
    NothingToChange(Change),
}

/// Proposals that are combined into one version, which is validated against the committed one.
struct Batch<'a> {
    rules: &'a ValidationRules<'a>,
    committed: &'a ConfigVersion,
    configuration: Configuration,
    changes: Vec<Change>,
    decided: BTreeMap<MemberId, DecidedProposals>,
    accepted: Vec<ProposalKey>,
    /// Proposals that wait for the next version.
    deferred: Vec<ReadyProposal>,
}

/// The result of adding a proposal to a batch.
enum BatchResult {
    Accepted,
    Deferred,
    Rejected(Vec<RejectReason>),
}

impl<'a> Batch<'a> {
    fn new(rules: &'a ValidationRules<'a>, committed: &'a ConfigVersion) -> Batch<'a> {
        Batch {
            rules,
            committed,
            configuration: committed.configuration().clone(),
            changes: vec![],
            decided: BTreeMap::new(),
            accepted: vec![],
            deferred: vec![],
        }
    }

    /// Adds a proposal to the version, if it is valid after those that were added before. A proposal that is valid only
    /// without them (together they withdraw too much) is deferred to the next version, and so are later ones of its proposer.
    fn add(&mut self, proposal: ReadyProposal) -> BatchResult {
        let ProposalKey { proposer, id } = proposal.key;
        if self.deferred.iter().any(|deferred| deferred.key.proposer == proposer) {
            self.deferred.push(proposal);
            return BatchResult::Deferred;
        }
        match self.apply(&self.configuration, &proposal) {
            Ok(configuration) => {
                self.configuration = configuration;
                self.changes.extend(proposal.changes);
                self.accepted.push(proposal.key);
                self.decisions_of(proposer).last = id;
                BatchResult::Accepted
            }
            Err(_) if self.is_valid_alone(&proposal) => {
                self.deferred.push(proposal);
                BatchResult::Deferred
            }
            Err(reasons) => {
                let decided = self.decisions_of(proposer);
                decided.last = id;
                decided.rejected.insert(id);
                BatchResult::Rejected(reasons)
            }
        }
    }

    fn decisions_of(&mut self, proposer: MemberId) -> &mut DecidedProposals {
        self.decided.entry(proposer).or_insert_with(|| self.committed.decided(proposer))
    }

    fn is_valid_alone(&self, proposal: &ReadyProposal) -> bool {
        !self.changes.is_empty() && self.apply(self.committed.configuration(), proposal).is_ok()
    }

    /// Returns `base` with the changes of a proposal, if the result is valid.
    fn apply(
        &self,
        base: &Configuration,
        proposal: &ReadyProposal,
    ) -> Result<Configuration, Vec<RejectReason>> {
        let mut next = base.clone();
        let ineffective: Vec<RejectReason> = (proposal.changes.iter())
            .filter(|change| !change.apply(&mut next))
            .map(|change| RejectReason::NothingToChange(change.clone()))
            .collect();
        validate(self.committed.configuration(), &next, self.rules, proposal.forced)
            .map_err(|errors| errors.into_iter().map(RejectReason::Invalid).collect::<Vec<_>>())?;
        if ineffective.is_empty() { Ok(next) } else { Err(ineffective) }
    }
}

impl Coordinator {
    /// Prepares the next version from the proposals that are ready, if no version is pending and the journal accepts a step.
    pub(super) fn prepare_next(&mut self, cx: &mut Context<impl Host>) {
        if !matches!(self.phase, Phase::Idle) || !self.journal_ready || !self.queue.has_ready() {
            return;
        }
        let mut batch = Batch::new(&self.settings.validation, &self.committed);
        for proposal in self.queue.take_ready() {
            let key = proposal.key;
            if let BatchResult::Rejected(reasons) = batch.add(proposal) {
                let reasons: Vec<String> = reasons.iter().map(ToString::to_string).collect();
                self.queue.reject(key, reasons.clone());
                let outcome = ProposalOutcome::Rejected(reasons);
                cx.send(key.proposer, Message::ProposalDecided { id: key.id, outcome });
            }
        }
        let Batch { changes, mut decided, accepted, deferred, .. } = batch;
        self.queue.requeue(deferred.into_iter().map(QueuedProposal::from));
        // A rejection that the proposer has received need not be part of later versions.
        for (proposer, decided) in &mut decided {
            decided
                .rejected
                .retain(|id| self.queue.is_unanswered(ProposalKey { proposer: *proposer, id: *id }));
        }
        if !changes.is_empty() {
            self.start_preparing(cx, changes, decided, accepted);
        }
    }

    fn start_preparing(
        &mut self,
        cx: &mut Context<impl Host>,
        changes: Vec<Change>,
        decided: BTreeMap<MemberId, DecidedProposals>,
        accepted: Vec<ProposalKey>,
    ) {
        let version = self.committed.successor(&changes, &decided);
        let inline = postcard::to_stdvec(&changes).is_ok_and(|bytes| bytes.len() <= MAX_INLINE_BYTES);
        let header = VersionHeader {
            number: version.number(),
            hash: version.hash,
            parent: self.committed.hash,
            changes: inline.then_some(changes),
            decided,
        };
        cx.broadcast(&Message::Prepare { token: self.token, header: header.clone() });
        self.phase = Phase::Preparing(Box::new(PendingVersion::proposed(version, header, accepted)));
        self.journal_ready = false;
    }
}
