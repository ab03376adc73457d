//! A control machine: its replica of the log, and the publisher of all scopes while the machine leads.
//!
//! The caller sets the authority of the machine before each call, by a clock that was just read. The log commits
//! versions by quorum. The leader prepares one version of a scope at a time, and activates it once each relay either
//! reports that it and its planners are ready, or has no lease any more by which the scope may be applied.

mod commit;
mod proposals;
mod publisher;

use crate::chain::{ScopeChain, ScopeId};
use crate::distributor::{GrantAuthority, HolderRenewal};
use crate::message::{Downward, LogEntry, Message, Proposal, ProposalKey, Term, Upward};
use crate::replica::{LogReplica, LogWrite, StoredLog};
use crate::settings::Settings;
use crate::store::Store;
use grebespool_leader_election::MemberId;
use publisher::Publisher;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of queued proposals of one scope; proposers retransmit those beyond it.
const MAX_QUEUED_PROPOSALS: usize = 1024;

/// The result of the election at the time of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Authority {
    /// The term, if this machine leads and its own lease has not expired.
    pub term: Option<Term>,
    /// The leader, if it is known.
    pub leader: Option<MemberId>,
}

/// A control machine, which replicates the log and, while it leads, publishes all scopes to relays.
pub struct ControlMachine {
    own: MemberId,
    settings: Settings,
    replica: LogReplica,
    authority: Authority,
    store: Store,
    /// Relays that may be granted leases, with their numbers of starts.
    registered: BTreeMap<MemberId, u32>,
    /// Number of the last proposal of each proposer that a scope includes.
    applied: BTreeMap<(MemberId, ScopeId), u64>,
    /// Proposals that each scope's pending version includes.
    preparing: BTreeMap<ScopeId, Vec<ProposalKey>>,
    publisher: Option<Publisher>,
    outbox: Vec<(MemberId, Message)>,
}

impl ControlMachine {
    /// Returns a control machine that starts with the stored log.
    pub fn new(
        own: MemberId,
        others: Vec<MemberId>,
        settings: Settings,
        stored: StoredLog,
    ) -> ControlMachine {
        ControlMachine {
            own,
            settings,
            replica: LogReplica::new(others, stored),
            authority: Authority::default(),
            store: Store::default(),
            registered: BTreeMap::new(),
            applied: BTreeMap::new(),
            preparing: BTreeMap::new(),
            publisher: None,
            outbox: vec![],
        }
    }

    /// Returns the messages to send since the last call.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, Message)> {
        let log = self.replica.take_outbox().into_iter().map(|(to, message)| (to, Message::Log(message)));
        std::mem::take(&mut self.outbox).into_iter().chain(log).collect()
    }

    /// Returns the writes to carry out since the last call, in order.
    pub fn take_writes(&mut self) -> Vec<LogWrite> {
        self.replica.take_writes()
    }

    /// Returns true if this machine is the leader and publishes scopes.
    pub fn is_publishing(&self) -> bool {
        self.publisher.is_some()
    }

    /// Returns a scope's chain up to the last link that this machine knows to be committed.
    pub fn chain(&self, scope: ScopeId) -> Option<&ScopeChain> {
        self.store.chain(scope)
    }

    /// Returns the number of relays that have a session with this machine.
    pub fn relay_count(&self) -> usize {
        self.publisher.as_ref().map_or(0, |publisher| publisher.distributor.len())
    }

    /// Sets the result of the election, which holds for the next call. `now` has to be from a clock that was just read.
    pub fn set_authority(&mut self, now: Duration, authority: Authority) {
        let before = std::mem::replace(&mut self.authority, authority);
        if before.term == authority.term {
            return;
        }
        self.publisher = None;
        match authority.term {
            Some(term) => self.replica.become_leader(now, term),
            None => self.replica.step_down(),
        }
    }

    /// Returns the time at which [`ControlMachine::timer_fired`] has to be called.
    pub fn next_timer(&self) -> Duration {
        let publisher = self.publisher.as_ref().map_or(Duration::MAX, |p| p.next_timer(&self.store));
        self.replica.next_timer().min(publisher)
    }

    /// Does what is due at the time of [`ControlMachine::next_timer`].
    pub fn timer_fired(&mut self, now: Duration) {
        self.replica.timer_fired(now);
        self.proceed(now);
    }

    /// Handles the completion of all writes up to this stamp.
    pub fn persisted(&mut self, now: Duration, stamp: u64) {
        self.replica.persisted(now, stamp);
        self.proceed(now);
    }

    /// Handles a message from another node.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: Message) {
        match message {
            Message::Log(message) => self.replica.message_received(now, from, message),
            Message::Upward(message) => self.upward_received(now, from, message),
            Message::Propose(proposal) => self.propose(proposal),
            Message::Downward(_) | Message::Proposed { .. } => {}
        }
        self.proceed(now);
    }

    /// Queues a proposal, or forwards it to the leader.
    pub fn propose(&mut self, proposal: Proposal) {
        let Some(publisher) = &mut self.publisher else {
            if let Some(leader) = self.authority.leader.filter(|leader| *leader != self.own) {
                self.outbox.push((leader, Message::Propose(proposal)));
            }
            return;
        };
        let applied = self.applied.get(&(proposal.proposer, proposal.scope)).copied().unwrap_or_default();
        if proposal.number > applied {
            return publisher.enqueue(proposal);
        }
        let preparing = self.preparing.get(&proposal.scope);
        if !preparing.is_some_and(|preparing| preparing.contains(&proposal.key())) {
            let answer = Message::Proposed { number: proposal.number, refused: None };
            self.outbox.push((proposal.proposer, answer));
        }
    }

    fn upward_received(&mut self, now: Duration, from: MemberId, message: Upward) {
        let Some(publisher) = &mut self.publisher else {
            let leader = self.authority.leader.filter(|leader| *leader != self.own);
            let (Upward::Attach { session, .. }
            | Upward::Renew { session, .. }
            | Upward::Release { session }) = message;
            return self.outbox.push((from, Message::Downward(Downward::NotLeading { session, leader })));
        };
        let mut out = vec![];
        match message {
            Upward::Attach { session, statuses, .. } => {
                publisher.attach(now, &self.store, from, session, &statuses, &mut out);
            }
            Upward::Renew { session, count, statuses } => {
                let may_lease = publisher.is_registered(now, from, session.start, &self.registered);
                let lease_left = self.authority.term.filter(|_| may_lease).map(|_| self.settings.relay_lease);
                let renewal = HolderRenewal { holder: from, session, count, statuses: &statuses };
                let authority = GrantAuthority { term: publisher.term, lease_left, covers: &|_| true };
                publisher.distributor.renew(now, &self.store, &renewal, &authority, &mut out);
            }
            Upward::Release { session } => publisher.distributor.release(from, session),
        }
        self.send_downward(out);
    }

    fn send_downward(&mut self, messages: Vec<(MemberId, Downward)>) {
        self.outbox.extend(messages.into_iter().map(|(to, message)| (to, Message::Downward(message))));
    }

    /// Applies committed entries, appends the entries that are due, and sends what budgets allow.
    fn proceed(&mut self, now: Duration) {
        for entry in self.replica.take_committed() {
            self.apply_entry(now, entry);
        }
        // A message of a newer leader may arrive before `set_authority` ends this machine's leadership.
        if self
            .publisher
            .as_ref()
            .is_some_and(|publisher| self.replica.leading_term() != Some(publisher.term))
        {
            self.publisher = None;
        }
        self.start_publishing(now);
        let mut entries: Vec<LogEntry> = self.registrations(now);
        entries.extend(self.activations(now));
        entries.extend(self.preparations());
        if !entries.is_empty() {
            self.replica.append(now, entries);
        }
        if let Some(publisher) = &mut self.publisher {
            let mut out = vec![];
            publisher.flush_at = publisher.distributor.flush(now, &self.store, &mut out);
            self.send_downward(out);
        }
    }

    /// Starts to publish once the leader's own first record is committed, and all records before it with it.
    fn start_publishing(&mut self, now: Duration) {
        let leading = self.replica.leading_term();
        let Some(term) = self.authority.term.filter(|term| leading == Some(*term)) else { return };
        if self.publisher.is_none() && self.replica.all_committed() {
            self.publisher =
                Some(Publisher::new(now, term, &self.settings, &self.store, self.registered.clone()));
        }
    }
}
