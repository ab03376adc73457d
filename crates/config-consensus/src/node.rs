//! One member: a replica, a proposer, and a coordinator while the member owns the journal.

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

/// The state of a member, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeStatus {
    /// The versions that the member applies.
    pub active: ActiveVersions,
    /// The committed version.
    pub committed: VersionId,
    /// The version that is prepared beside the committed one.
    pub pending: Option<VersionId>,
    /// The coordinator that renews the member's lease.
    pub coordinator: Option<CoordinatorRef>,
    /// True if this member coordinates.
    pub coordinates: bool,
    /// Number of undecided proposals of this member.
    pub undecided_proposals: usize,
}

/// A member of a fleet that agrees on a configuration.
///
/// All times that are passed to a node must be read from the same local monotonic clock. The caller must call
/// [`ConsensusNode::set_journal_token`] before each other call.
pub struct ConsensusNode<H> {
    settings: ConsensusSettings,
    outgoing: Outgoing<H>,
    replica: Replica,
    proposer: Proposer,
    coordinator: Option<Coordinator>,
    /// The token under which this member owns the journal at the time of the current call.
    journal_token: Option<FencingToken>,
}

impl<H: Host> ConsensusNode<H> {
    /// Creates a node with the stored state. `start_count` must rise with each start, even if other state is lost.
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

    /// Returns the host that the node was created with.
    pub fn host(&mut self) -> &mut H {
        &mut self.outgoing.host
    }

    /// Returns the time at which [`ConsensusNode::timer_fired`] must be called next.
    pub fn next_timer(&self) -> Duration {
        let owned =
            self.coordinator.as_ref().filter(|coordinator| Some(coordinator.token()) == self.journal_token);
        let coordinator = owned.map_or(Duration::MAX, Coordinator::next_timer);
        self.replica.next_timer().min(self.proposer.next_timer()).min(coordinator)
    }

    /// Returns the versions that the member may apply at this time. `now` must have just been read from the clock.
    pub fn active_versions(&self, now: Duration) -> ActiveVersions {
        self.replica.active_versions(now)
    }

    /// Returns the configuration that this member has to enforce: the committed version, or its intersection with the
    /// pending one. Operators see this configuration; the load-balancing policy does not read it yet. Without a lease, the
    /// last stored one is returned, and the caller must not raise or place anything by it.
    pub fn effective_configuration(&self) -> EffectiveConfiguration {
        let mut effective = self.replica.effective_configuration();
        self.proposer.drain_withdrawn(&mut effective);
        effective
    }

    /// Returns the stored versions.
    pub fn state(&self) -> &StoredState {
        self.replica.state()
    }

    /// Returns the state at this time, for operators.
    pub fn status(&self, now: Duration) -> NodeStatus {
        let state = self.replica.state();
        NodeStatus {
            active: self.replica.active_versions(now),
            committed: state.committed.id(),
            pending: state.pending_id(),
            coordinator: self.replica.coordinator(),
            coordinates: self.coordinator.is_some(),
            undecided_proposals: self.proposer.undecided_count(),
        }
    }

    /// Sets the token under which this member owns the journal at the time of the next call, by a clock that was just read.
    /// Otherwise, a process that was suspended would grant leases after the next coordinator has waited for them to expire.
    pub fn set_journal_token(&mut self, token: Option<FencingToken>) {
        self.journal_token = token;
    }

    /// Sets the members that take part in the agreement.
    pub fn set_voters(&mut self, now: Duration, voters: Vec<MemberId>) {
        self.outgoing.voters = voters;
        self.deliver_loopback(now);
    }

    /// Proposes changes to the configuration that is committed when the proposal is decided. [`Host::proposal_decided`]
    /// reports the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if too many proposals are undecided, or if the changes are too large or cannot be encoded.
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
        self.proposer.send(&mut self.outgoing.context(now), coordinator, self.settings.lease.renew_interval);
    }

    /// Handles the timer that [`ConsensusNode::next_timer`] announced.
    pub fn timer_fired(&mut self, now: Duration) {
        self.replica.timer_fired(&mut self.outgoing.context(now));
        if self.proposer.is_due(now) {
            self.send_proposals(now);
        }
        if let Some(token) = self.journal_token {
            self.with_coordinator(now, token, |coordinator, cx| coordinator.timer_fired(cx));
        }
        self.deliver_loopback(now);
    }

    /// Records that all states up to this stamp are on disk.
    pub fn persisted(&mut self, now: Duration, stamp: u64) {
        self.replica.persisted(&mut self.outgoing.context(now), stamp);
        self.deliver_loopback(now);
    }

    /// Starts to coordinate: this member owns the journal under `token`, and `last` is the journal's last record.
    pub fn start_coordinating(&mut self, now: Duration, token: FencingToken, last: Option<&StepRecord>) {
        self.journal_token = Some(token);
        let stored = self.replica.state();
        let coordinator =
            Coordinator::new(&mut self.outgoing.context(now), token, self.settings.clone(), stored, last);
        self.coordinator = Some(coordinator);
        self.timer_fired(now);
    }

    /// Stops coordinating: this member no longer owns the journal.
    pub fn stop_coordinating(&mut self, now: Duration) {
        if let Some(stopped) = self.coordinator.take()
            && self.replica.coordinator().is_some_and(|coordinator| coordinator.token == stopped.token())
        {
            self.replica.clear_coordinator();
        }
        self.deliver_loopback(now);
    }

    /// Records that a quorum has stored the started step of the journal.
    pub fn journal_durable(&mut self, now: Duration, token: FencingToken) {
        self.with_coordinator(now, token, |coordinator, cx| coordinator.journal_durable(cx));
        self.deliver_loopback(now);
    }

    /// Records that the step of the journal could not be started, so that it is retried.
    pub fn journal_write_rejected(&mut self, now: Duration, token: FencingToken) {
        self.with_coordinator(now, token, |coordinator, _| coordinator.journal_write_rejected());
        self.deliver_loopback(now);
    }

    /// Records that a quorum has stored that the step of the journal is finished.
    pub fn journal_step_finished(&mut self, now: Duration, token: FencingToken) {
        self.with_coordinator(now, token, |coordinator, cx| coordinator.journal_step_finished(cx));
        self.deliver_loopback(now);
    }

    /// Calls the coordinator, if this member coordinates under this token and owns the journal under it now.
    fn with_coordinator(
        &mut self,
        now: Duration,
        token: FencingToken,
        call: impl FnOnce(&mut Coordinator, &mut Context<H>),
    ) {
        let owned = self.journal_token == Some(token);
        if let Some(coordinator) = self.coordinator.as_mut().filter(|c| owned && c.token() == token) {
            call(coordinator, &mut self.outgoing.context(now));
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

    /// Handles a message from a member.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: Message) {
        self.handle(now, from, message);
        self.deliver_loopback(now);
    }

    fn handle(&mut self, now: Duration, from: MemberId, message: Message) {
        let sender = |token| CoordinatorRef { token, member: from };
        match message {
            Message::Announce { token, committed } => {
                self.replica.coordinator_announced(&mut self.outgoing.context(now), sender(token), committed);
            }
            Message::Prepare { token, header } => {
                self.replica.prepare(&mut self.outgoing.context(now), sender(token), header);
            }
            Message::Activate { token, committed } => {
                self.replica.activate(&mut self.outgoing.context(now), sender(token), committed);
            }
            Message::Renewed { token, renewal } => {
                self.replica.renewed(&mut self.outgoing.context(now), sender(token), renewal);
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
                self.replica.chunk_received(&mut self.outgoing.context(now), &chunk);
            }
        }
    }

    fn send_chunk(&mut self, now: Duration, to: MemberId, hash: ContentHash, index: u32) {
        let chunk = self.bytes(hash).and_then(|bytes| chunk_of(hash, &bytes, index));
        if let Some(message) = chunk {
            self.outgoing.context(now).send(to, message);
        }
    }

    /// Returns the bytes with this hash: of a stored version, of a version that is coordinated, or of a proposal.
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
