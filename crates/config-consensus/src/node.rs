//! One member: replica, proposer, and coordinator while it owns the journal.

use crate::active_versions::ActiveVersions;
use crate::configuration::{Change, EffectiveConfiguration};
use crate::context::{Context, Outgoing};
use crate::coordinator::Coordinator;
use crate::host::Host;
use crate::message::Message;
use crate::proposer::{ProposeError, Proposer};
use crate::replica::{CoordinatorRef, Replica};
use crate::settings::ConsensusSettings;
use crate::transfer::chunk_of;
use crate::version::{ContentHash, ProposalId, StoredState, VersionId};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{FencingToken, StepRecord};
use std::collections::VecDeque;
use std::time::Duration;

/// A member's state, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// The versions that it applies.
    pub active: ActiveVersions,
    /// The committed version.
    pub committed: VersionId,
    /// The version that is prepared beside it.
    pub pending: Option<VersionId>,
    /// The coordinator that it renews its lease with.
    pub coordinator: Option<CoordinatorRef>,
    /// Whether this member coordinates.
    pub coordinates: bool,
    /// Proposals of this member that are undecided.
    pub undecided_proposals: usize,
}

/// A member of a fleet that agrees on a configuration.
///
/// Every call takes the time of the same local monotonic clock. [`ConsensusNode::set_journal_token`] comes before each of
/// them.
pub struct ConsensusNode<H> {
    settings: ConsensusSettings,
    outgoing: Outgoing<H>,
    replica: Replica,
    proposer: Proposer,
    coordinator: Option<Coordinator>,
    /// The token by which this member owns the journal at the time of this call.
    journal_token: Option<FencingToken>,
}

impl<H: Host> ConsensusNode<H> {
    /// Starts with the state that was stored. `start_count` rises with each start, whatever else is lost.
    pub fn new(
        host: H,
        own: MemberId,
        settings: ConsensusSettings,
        stored: StoredState,
        start_count: u32,
    ) -> ConsensusNode<H> {
        ConsensusNode {
            outgoing: Outgoing { host, own, voters: vec![], loopback: VecDeque::new() },
            replica: Replica::new(settings.lease, stored),
            proposer: Proposer::new(start_count),
            settings,
            coordinator: None,
            journal_token: None,
        }
    }

    /// The host that it was started with.
    pub fn host(&mut self) -> &mut H {
        &mut self.outgoing.host
    }

    /// When [`ConsensusNode::timer_fired`] is to be called next.
    pub fn next_timer(&self) -> Duration {
        let owned =
            self.coordinator.as_ref().filter(|coordinator| Some(coordinator.token()) == self.journal_token);
        let coordinator = owned.map_or(Duration::MAX, Coordinator::next_timer);
        self.replica.next_timer().min(self.proposer.next_timer()).min(coordinator)
    }

    /// The versions that it may apply at this time. Ask with a clock that was just read.
    pub fn active_versions(&self, now: Duration) -> ActiveVersions {
        self.replica.active_versions(now)
    }

    /// The configuration that this member has to enforce: the committed version, or the intersection with the pending one.
    /// Operators are shown it; the load-balancing policy does not read it yet. Without a lease it is the last stored one, and the
    /// caller must not raise or place anything by it.
    pub fn effective_configuration(&self) -> EffectiveConfiguration {
        let mut effective = self.replica.effective_configuration();
        self.proposer.drain_withdrawn(&mut effective);
        effective
    }

    /// The versions that it stores.
    pub fn state(&self) -> &StoredState {
        self.replica.state()
    }

    /// Its state at this time, for operators.
    pub fn status(&self, now: Duration) -> NodeStatus {
        let state = self.replica.state();
        NodeStatus {
            active: self.replica.active_versions(now),
            committed: state.committed.id(),
            pending: state.pending_id(),
            coordinator: self.replica.coordinator(),
            coordinates: self.coordinator.is_some(),
            undecided_proposals: self.proposer.undecided(),
        }
    }

    /// Sets whether this member owns the journal at the time of the next call, by a clock that was just read. A process that
    /// was suspended would otherwise grant leases after the next coordinator has waited them out.
    pub fn set_journal_token(&mut self, token: Option<FencingToken>) {
        self.journal_token = token;
    }

    /// Sets the members that take part.
    pub fn set_voters(&mut self, now: Duration, voters: Vec<MemberId>) {
        self.outgoing.voters = voters;
        self.deliver_loopback(now);
    }

    /// Proposes changes to the configuration that is committed by then. [`Host::proposal_decided`] tells the outcome.
    ///
    /// # Errors
    ///
    /// Too many proposals are undecided, or the changes are too large.
    pub fn propose(
        &mut self,
        now: Duration,
        changes: Vec<Change>,
        forced: bool,
    ) -> Result<ProposalId, ProposeError> {
        let id = self.proposer.submit(changes, forced)?;
        self.send_proposals(now);
        self.deliver_loopback(now);
        Ok(id)
    }

    fn send_proposals(&mut self, now: Duration) {
        let coordinator = self.replica.coordinator().map(|coordinator| coordinator.member);
        self.proposer.send(&mut self.outgoing.at(now), coordinator, self.settings.lease.renew_interval);
    }

    /// The time of [`ConsensusNode::next_timer`] has come.
    pub fn timer_fired(&mut self, now: Duration) {
        self.replica.timer_fired(&mut self.outgoing.at(now));
        if self.proposer.is_due(now) {
            self.send_proposals(now);
        }
        if let Some(token) = self.journal_token {
            self.with_coordinator(now, token, |coordinator, cx| coordinator.timer_fired(cx));
        }
        self.deliver_loopback(now);
    }

    /// All states up to this stamp are on disk.
    pub fn persisted(&mut self, now: Duration, stamp: u64) {
        self.replica.persisted(&mut self.outgoing.at(now), stamp);
        self.deliver_loopback(now);
    }

    /// This member owns the journal under this token; `last` is the journal's last record.
    pub fn start_coordinating(&mut self, now: Duration, token: FencingToken, last: Option<&StepRecord>) {
        self.journal_token = Some(token);
        let stored = self.replica.state();
        let coordinator =
            Coordinator::new(&mut self.outgoing.at(now), token, self.settings.clone(), stored, last);
        self.coordinator = Some(coordinator);
        self.timer_fired(now);
    }

    /// This member owns the journal no longer.
    pub fn stop_coordinating(&mut self, now: Duration) {
        if let Some(stopped) = self.coordinator.take()
            && self.replica.coordinator().is_some_and(|coordinator| coordinator.token == stopped.token())
        {
            self.replica.forget_coordinator();
        }
        self.deliver_loopback(now);
    }

    /// A quorum has the step of the journal that was started.
    pub fn journal_durable(&mut self, now: Duration, token: FencingToken) {
        self.with_coordinator(now, token, |coordinator, cx| coordinator.journal_durable(cx));
        self.deliver_loopback(now);
    }

    /// The step of the journal could not be started; it is retried.
    pub fn journal_write_rejected(&mut self, now: Duration, token: FencingToken) {
        self.with_coordinator(now, token, |coordinator, _| coordinator.journal_write_rejected());
        self.deliver_loopback(now);
    }

    /// A quorum knows that the step of the journal is finished.
    pub fn journal_step_finished(&mut self, now: Duration, token: FencingToken) {
        self.with_coordinator(now, token, |coordinator, cx| coordinator.journal_step_finished(cx));
        self.deliver_loopback(now);
    }

    /// Calls the coordinator, if this member coordinates under this token and owns the journal by it now.
    fn with_coordinator(
        &mut self,
        now: Duration,
        token: FencingToken,
        call: impl FnOnce(&mut Coordinator, &mut Context<H>),
    ) {
        let owned = self.journal_token == Some(token);
        if let Some(coordinator) = self.coordinator.as_mut().filter(|c| owned && c.token() == token) {
            call(coordinator, &mut self.outgoing.at(now));
        }
    }

    /// Calls the coordinator for a message of a voter, if this member owns the journal now.
    fn with_coordinator_of_voter(
        &mut self,
        now: Duration,
        from: MemberId,
        call: impl FnOnce(&mut Coordinator, &mut Context<H>),
    ) {
        if let Some(token) = self.journal_token.filter(|_| self.outgoing.voters.contains(&from)) {
            self.with_coordinator(now, token, call);
        }
    }

    /// A message was received from a member.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: Message) {
        self.handle(now, from, message);
        self.deliver_loopback(now);
    }

    fn handle(&mut self, now: Duration, from: MemberId, message: Message) {
        let sender = |token| CoordinatorRef { token, member: from };
        match message {
            Message::Announce { token, committed } => {
                self.replica.coordinator_announced(&mut self.outgoing.at(now), sender(token), committed);
            }
            Message::Prepare { token, header } => {
                self.replica.prepare(&mut self.outgoing.at(now), sender(token), header);
            }
            Message::Activate { token, committed } => {
                self.replica.activate(&mut self.outgoing.at(now), sender(token), committed);
            }
            Message::Renewed { token, renewal } => {
                self.replica.renewed(&mut self.outgoing.at(now), sender(token), renewal);
            }
            Message::Prepared { token, pending } if self.journal_token == Some(token) => {
                self.with_coordinator_of_voter(now, from, |c, cx| c.prepared(cx, from, pending));
            }
            Message::Renew { token, renewal } if self.journal_token == Some(token) => {
                self.with_coordinator_of_voter(now, from, |c, cx| c.renew(cx, from, renewal));
            }
            Message::Prepared { .. } | Message::Renew { .. } => {}
            Message::Propose { proposals } => {
                self.with_coordinator_of_voter(now, from, |c, cx| c.propose(cx, from, proposals));
            }
            Message::ProposalDecided { id, outcome } => {
                if self.proposer.decide(id) {
                    self.outgoing.host.proposal_decided(id, outcome);
                }
            }
            Message::FetchChunk { hash, index } => self.send_chunk(now, from, hash, index),
            Message::Chunk(chunk) => {
                if let Some(token) = self.journal_token {
                    self.with_coordinator(now, token, |c, cx| c.chunk_received(cx, from, &chunk));
                }
                self.replica.chunk_received(&mut self.outgoing.at(now), &chunk);
            }
        }
    }

    fn send_chunk(&mut self, now: Duration, to: MemberId, hash: ContentHash, index: u32) {
        let chunk = self.bytes(hash).and_then(|bytes| chunk_of(hash, &bytes, index));
        if let Some(message) = chunk {
            self.outgoing.at(now).send(to, message);
        }
    }

    /// The bytes with this hash: of a stored version, of one that is coordinated, or of a proposal.
    fn bytes(&self, hash: ContentHash) -> Option<Vec<u8>> {
        let stored = self.replica.state().find(hash).map(|version| version.body.encode());
        let coordinated = || self.coordinator.as_ref()?.bytes(hash);
        stored.or_else(coordinated).or_else(|| self.proposer.bytes(hash))
    }

    /// Handles the messages that this node sent to itself.
    fn deliver_loopback(&mut self, now: Duration) {
        while let Some(message) = self.outgoing.loopback.pop_front() {
            self.handle(now, self.outgoing.own, message);
        }
    }
}
