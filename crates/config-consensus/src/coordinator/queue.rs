//! The queue of proposals that wait for a version.

use crate::configuration::Change;
use crate::context::Context;
use crate::host::Host;
use crate::message::{Chunk, Message, Proposal, ProposalBody, ProposalOutcome};
use crate::transfer::Download;
use crate::version::{ContentHash, DecidedProposals, ProposalId};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;

/// Maximum number of queued proposals; members retransmit the others until there is space.
const MAX_QUEUED: usize = 512;
// the texts of both reasons go to other members and must not change
/// The reason that is sent for a rejection by a former coordinator.
const REJECTED_BEFORE: &str = "refused by the convener before; its reasons are in that member's log";
/// The reason that is sent if bytes do not decode or have another hash.
const UNREADABLE_CHANGES: &str = "its bytes are no changes, or not those that it told of";

/// Identifies a proposal among those of all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ProposalKey {
    pub proposer: MemberId,
    pub id: ProposalId,
}

/// A proposal whose changes have been received.
#[derive(Debug, Clone)]
pub(super) struct ReadyProposal {
    pub key: ProposalKey,
    pub changes: Vec<Change>,
    pub forced: bool,
}

#[derive(Debug, Clone)]
enum ProposedChanges {
    Ready(Vec<Change>),
    Downloading(Download),
}

/// A proposal in the queue.
#[derive(Debug, Clone)]
pub(super) struct QueuedProposal {
    key: ProposalKey,
    forced: bool,
    changes: ProposedChanges,
}

impl From<ReadyProposal> for QueuedProposal {
    fn from(ready: ReadyProposal) -> QueuedProposal {
        let ReadyProposal { key, changes, forced } = ready;
        QueuedProposal { key, forced, changes: ProposedChanges::Ready(changes) }
    }
}

/// Queued proposals, and rejections that their proposers may not have received yet.
#[derive(Debug, Default)]
pub(super) struct ProposalQueue {
    /// Proposals in the order of arrival; those of one member are also in the order of their ids.
    queued: Vec<QueuedProposal>,
    /// Reasons of rejections, for proposers to which the answer was lost.
    rejected: BTreeMap<ProposalKey, Vec<String>>,
    /// The first proposal of each member that the member has not received an answer to, as of its last message.
    first_unanswered: BTreeMap<MemberId, ProposalId>,
}

impl ProposalQueue {
    /// Returns true if a proposal can become part of a version.
    pub(super) fn has_ready(&self) -> bool {
        self.queued.iter().any(|queued| matches!(queued.changes, ProposedChanges::Ready(_)))
    }

    /// Returns true if the proposer may not have received the outcome of a proposal yet.
    pub(super) fn is_unanswered(&self, key: ProposalKey) -> bool {
        self.first_unanswered.get(&key.proposer).is_none_or(|first| key.id >= *first)
    }

    /// Stores the reasons for which a proposal was rejected.
    pub(super) fn reject(&mut self, key: ProposalKey, reasons: Vec<String>) {
        self.rejected.insert(key, reasons);
    }

    /// Queues the unanswered proposals of a member, in the member's order, and answers those that are decided. `decided` are
    /// the member's decided proposals in the committed version, whose number is `committed`.
    pub(super) fn enqueue(
        &mut self,
        cx: &mut Context<impl Host>,
        proposer: MemberId,
        proposals: Vec<Proposal>,
        committed: u64,
        decided: &DecidedProposals,
    ) {
        let first = proposals.first().map_or(ProposalId::MAX, |proposal| proposal.id);
        self.rejected.retain(|key, _| key.proposer != proposer || key.id >= first);
        self.first_unanswered.insert(proposer, first);
        for proposal in proposals {
            let key = ProposalKey { proposer, id: proposal.id };
            if let Some(outcome) = self.known_outcome(key, committed, decided) {
                cx.send(proposer, Message::ProposalDecided { id: key.id, outcome });
            } else if let Some(queued) = self.queued.iter().find(|queued| queued.key == key) {
                if let ProposedChanges::Downloading(download) = &queued.changes {
                    cx.send(proposer, download.request());
                }
            } else if self.queued.len() >= MAX_QUEUED {
                return;
            } else {
                self.push(cx, key, proposal);
            }
        }
    }

    fn known_outcome(
        &self,
        key: ProposalKey,
        committed: u64,
        decided: &DecidedProposals,
    ) -> Option<ProposalOutcome> {
        if let Some(reasons) = self.rejected.get(&key) {
            return Some(ProposalOutcome::Rejected(reasons.clone()));
        }
        if key.id > decided.last {
            return None;
        }
        if decided.rejected.contains(&key.id) {
            return Some(ProposalOutcome::Rejected(vec![REJECTED_BEFORE.into()]));
        }
        Some(ProposalOutcome::Activated(committed))
    }

    fn push(&mut self, cx: &mut Context<impl Host>, key: ProposalKey, proposal: Proposal) {
        let changes = match proposal.body {
            ProposalBody::Inline(changes) => ProposedChanges::Ready(changes),
            ProposalBody::ByHash(hash) => {
                let download = Download::new(hash);
                cx.send(key.proposer, download.request());
                ProposedChanges::Downloading(download)
            }
        };
        self.queued.push(QueuedProposal { key, forced: proposal.forced, changes });
    }

    /// Handles a chunk, which may belong to the changes of a proposal.
    pub(super) fn chunk_received(&mut self, cx: &mut Context<impl Host>, from: MemberId, chunk: &Chunk) {
        let downloading =
            self.queued.iter_mut().enumerate().find_map(|(index, queued)| match &mut queued.changes {
                ProposedChanges::Downloading(download)
                    if queued.key.proposer == from && download.hash == chunk.hash =>
                {
                    Some((index, download))
                }
                _ => None,
            });
        let Some((index, download)) = downloading else { return };
        let Some(bytes) = download.receive(chunk) else {
            return cx.send(from, download.request());
        };
        match decode_changes(&bytes, chunk.hash) {
            Some(changes) => self.queued[index].changes = ProposedChanges::Ready(changes),
            None => self.reject_unreadable(cx, index),
        }
    }

    fn reject_unreadable(&mut self, cx: &mut Context<impl Host>, index: usize) {
        let key = self.queued.remove(index).key;
        let reasons = vec![UNREADABLE_CHANGES.to_string()];
        let outcome = ProposalOutcome::Rejected(reasons.clone());
        cx.send(key.proposer, Message::ProposalDecided { id: key.id, outcome });
        self.reject(key, reasons);
    }

    /// Removes and returns all ready proposals. Later proposals of a member wait until its earlier ones are ready.
    pub(super) fn take_ready(&mut self) -> Vec<ReadyProposal> {
        let (mut ready, mut waiting, mut blocked) = (vec![], vec![], vec![]);
        for queued in std::mem::take(&mut self.queued) {
            let QueuedProposal { key, forced, changes } = queued;
            match changes {
                ProposedChanges::Ready(changes) if !blocked.contains(&key.proposer) => {
                    ready.push(ReadyProposal { key, changes, forced });
                }
                changes => {
                    blocked.push(key.proposer);
                    waiting.push(QueuedProposal { key, forced, changes });
                }
            }
        }
        self.queued = waiting;
        ready
    }

    /// Puts proposals back at the front of the queue.
    pub(super) fn requeue(&mut self, proposals: impl Iterator<Item = QueuedProposal>) {
        let queued = std::mem::take(&mut self.queued);
        self.queued = proposals.chain(queued).collect();
    }
}

fn decode_changes(bytes: &[u8], hash: ContentHash) -> Option<Vec<Change>> {
    postcard::from_bytes(bytes).ok().filter(|_| ContentHash::of(bytes) == hash)
}
