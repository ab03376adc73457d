//! The coordinator: the owner of the journal numbers versions, prepares each version on all replicas, and activates it.

mod batch;
mod leases;
mod queue;
mod recovery;

use crate::context::Context;
use crate::host::Host;
use crate::message::{Chunk, Message, Proposal, ProposalOutcome};
use crate::settings::ConsensusSettings;
use crate::version::{ConfigVersion, ContentHash, ProposalId, StoredState, VersionHeader, VersionId};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{FencingToken, StepRecord};
use leases::ReplicaLeases;
use queue::{ProposalKey, ProposalQueue};
use recovery::Recovery;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A version that is being prepared.
#[derive(Debug, Clone)]
struct PendingVersion {
    version: ConfigVersion,
    header: VersionHeader,
    /// Replicas that have the version on disk and apply its intersection with the preceding one.
    prepared_by: BTreeSet<MemberId>,
    journal_write_started: bool,
    /// True if a quorum has stored the version's journal record.
    durable: bool,
    /// True if a former coordinator has already activated the version on a replica.
    activated_by_predecessor: bool,
    /// Proposals that are answered once the version is active.
    proposals: Vec<ProposalKey>,
}

impl PendingVersion {
    /// Creates the state of a version that this coordinator assembled.
    fn proposed(
        version: ConfigVersion,
        header: VersionHeader,
        proposals: Vec<ProposalKey>,
    ) -> PendingVersion {
        PendingVersion {
            version,
            header,
            prepared_by: BTreeSet::new(),
            journal_write_started: false,
            durable: false,
            activated_by_predecessor: false,
            proposals,
        }
    }

    /// Creates the state of a version that was found in the journal.
    fn recovered(version: ConfigVersion, header: VersionHeader) -> PendingVersion {
        let proposed = PendingVersion::proposed(version, header, vec![]);
        PendingVersion { journal_write_started: true, durable: true, ..proposed }
    }
}

#[derive(Debug, Clone)]
enum Phase {
    /// The version of the journal's last record has not been found yet.
    Recovering(Recovery),
    /// No version is being prepared.
    Idle,
    /// A version is being prepared.
    Preparing(Box<PendingVersion>),
}

/// The coordinator of a fleet during one ownership of the journal.
#[derive(Debug)]
pub(crate) struct Coordinator {
    token: FencingToken,
    settings: ConsensusSettings,
    phase: Phase,
    committed: ConfigVersion,
    leases: ReplicaLeases,
    queue: ProposalQueue,
    /// True if the journal accepts a new step, because the previous one is finished.
    journal_ready: bool,
    /// True if the version of the last step is active, and the journal has not been asked to finish the step yet.
    must_finish_journal_step: bool,
    retransmit_at: Duration,
    /// Replicas with another history, each with the hash that was logged last.
    conflicting: BTreeMap<MemberId, ContentHash>,
}

impl Coordinator {
    /// Creates a coordinator from the state that this member stores and the journal's last record.
    pub(crate) fn new(
        cx: &mut Context<impl Host>,
        token: FencingToken,
        settings: ConsensusSettings,
        stored: &StoredState,
        last: Option<&StepRecord>,
    ) -> Self {
        let mut coordinator = Coordinator {
            token,
            phase: Phase::Idle,
            committed: ConfigVersion::default(),
            leases: ReplicaLeases::new(cx.now, settings.lease),
            settings,
            queue: ProposalQueue::default(),
            journal_ready: last.is_none_or(|record| record.completed),
            must_finish_journal_step: false,
            retransmit_at: cx.now,
            conflicting: BTreeMap::new(),
        };
        if let Some(record) = last {
            coordinator.recover(cx, stored, record);
        }
        coordinator
    }

    /// Returns the token of this ownership of the journal.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the time at which [`Coordinator::timer_fired`] must be called next.
    pub(crate) fn next_timer(&self) -> Duration {
        let expiry = match &self.phase {
            Phase::Preparing(pending) if pending.durable => self.leases.last_expiry(),
            _ => Duration::MAX,
        };
        let earliest = self.retransmit_at.saturating_sub(self.settings.lease.renew_interval);
        self.retransmit_at.min(expiry.max(earliest))
    }

    /// Retransmits messages if it is time, and takes every step that is possible.
    pub(crate) fn timer_fired(&mut self, cx: &mut Context<impl Host>) {
        if cx.now >= self.retransmit_at {
            self.retransmit_at = cx.now + self.settings.lease.renew_interval;
            self.retransmit(cx);
        }
        self.proceed(cx);
    }

    /// Retransmits the messages that were not answered.
    fn retransmit(&mut self, cx: &mut Context<impl Host>) {
        let announce = Message::Announce { token: self.token, committed: self.committed.id() };
        match &self.phase {
            Phase::Recovering(recovery) => {
                let request = recovery.download.request();
                for voter in cx.voters().to_vec() {
                    cx.send(voter, request.clone());
                    // The replica answers with a renewal that contains its versions; one may be the version to recover.
                    cx.send(voter, announce.clone());
                }
            }
            Phase::Preparing(pending) => {
                let prepare = Message::Prepare { token: self.token, header: pending.header.clone() };
                for voter in cx.voters().to_vec() {
                    if !pending.prepared_by.contains(&voter) {
                        cx.send(voter, prepare.clone());
                    }
                }
            }
            Phase::Idle => {
                for voter in cx.voters().to_vec() {
                    if self.leases.is_renewal_overdue(voter, cx.now) {
                        cx.send(voter, announce.clone());
                    }
                }
            }
        }
    }

    /// Takes every step that is possible now.
    fn proceed(&mut self, cx: &mut Context<impl Host>) {
        if std::mem::take(&mut self.must_finish_journal_step) {
            cx.host().finish_journal_step(self.token);
        }
        self.prepare_next(cx);
        self.write_journal(cx);
        self.activate(cx);
    }

    /// Writes the pending version's header into the journal, once a later coordinator can recover the version: the header
    /// contains the changes, or a quorum has the version on disk.
    fn write_journal(&mut self, cx: &mut Context<impl Host>) {
        let Phase::Preparing(pending) = &mut self.phase else { return };
        let voters = cx.voters();
        let prepared = voters.iter().filter(|voter| pending.prepared_by.contains(voter)).count();
        let quorum = prepared * 2 > voters.len();
        if !pending.journal_write_started && (pending.header.changes.is_some() || quorum) {
            pending.journal_write_started = true;
            let content = postcard::to_stdvec(&pending.header).expect("encoding into memory does not fail");
            cx.host().write_journal(self.token, content);
        }
    }

    /// Activates the pending version, once it is durable and no replica may apply the preceding version alone.
    fn activate(&mut self, cx: &mut Context<impl Host>) {
        let Phase::Preparing(pending) = &self.phase else { return };
        let settled =
            |voter: &MemberId| pending.prepared_by.contains(voter) || self.leases.is_expired(*voter, cx.now);
        let safe = pending.activated_by_predecessor || cx.voters().iter().all(settled);
        if !pending.durable || !safe {
            return;
        }
        let Phase::Preparing(pending) = std::mem::replace(&mut self.phase, Phase::Idle) else { return };
        self.committed = pending.version;
        let committed = self.committed.id();
        cx.broadcast(&Message::Activate { token: self.token, committed });
        for ProposalKey { proposer, id } in pending.proposals {
            let outcome = ProposalOutcome::Activated(committed.number);
            cx.send(proposer, Message::ProposalDecided { id, outcome });
        }
        cx.host().finish_journal_step(self.token);
    }

    /// Records that a quorum has stored the started step of the journal.
    pub(crate) fn journal_durable(&mut self, cx: &mut Context<impl Host>) {
        if let Phase::Preparing(pending) = &mut self.phase {
            pending.durable = true;
        }
        self.proceed(cx);
    }

    /// Records that the step of the journal could not be started, so that it is retried.
    pub(crate) fn journal_write_rejected(&mut self) {
        if let Phase::Preparing(pending) = &mut self.phase {
            pending.journal_write_started = pending.durable;
        }
    }

    /// Records that a quorum has stored that the step of the journal is finished.
    pub(crate) fn journal_step_finished(&mut self, cx: &mut Context<impl Host>) {
        self.journal_ready = true;
        self.proceed(cx);
    }

    /// Records that a replica has prepared a version.
    pub(crate) fn prepared(&mut self, cx: &mut Context<impl Host>, from: MemberId, version: VersionId) {
        if let Phase::Preparing(pending) = &mut self.phase
            && pending.version.id() == version
        {
            pending.prepared_by.insert(from);
            self.proceed(cx);
        }
    }

    /// Handles the undecided proposals of a member.
    pub(crate) fn propose(
        &mut self,
        cx: &mut Context<impl Host>,
        from: MemberId,
        mut proposals: Vec<Proposal>,
    ) {
        let decided = self.committed.decided(from);
        if let Phase::Preparing(pending) = &mut self.phase
            && let Some(deciding) = pending.header.decided.get(&from)
        {
            // Proposals that this or a former coordinator made part of the pending version are answered once it is active.
            let is_part =
                |id: ProposalId| id > decided.last && id <= deciding.last && !deciding.rejected.contains(&id);
            let keys = proposals.iter().map(|proposal| ProposalKey { proposer: from, id: proposal.id });
            let unknown: Vec<ProposalKey> =
                keys.filter(|key| is_part(key.id) && !pending.proposals.contains(key)).collect();
            pending.proposals.extend(unknown);
            proposals.retain(|proposal| !is_part(proposal.id));
        }
        self.queue.enqueue(cx, from, proposals, self.committed.number(), &decided);
        self.proceed(cx);
    }

    /// Handles a chunk of fetched bytes from a member.
    pub(crate) fn chunk_received(&mut self, cx: &mut Context<impl Host>, from: MemberId, chunk: &Chunk) {
        self.chunk_recovered(cx, from, chunk);
        self.queue.chunk_received(cx, from, chunk);
        self.proceed(cx);
    }

    /// Returns the encoded version with this hash, if it is the pending or the committed one.
    pub(crate) fn bytes(&self, hash: ContentHash) -> Option<Vec<u8>> {
        let pending = if let Phase::Preparing(pending) = &self.phase { Some(&pending.version) } else { None };
        let known = pending.into_iter().chain([&self.committed]);
        known.filter(|version| version.hash == hash).map(|version| version.body.encode()).next()
    }
}
