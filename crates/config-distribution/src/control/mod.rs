//! A control machine: its copy of the log, and, while it leads, the publisher of all scopes.
//!
//! Who leads is told from outside before each call, with a clock that was just read. Versions are committed by a quorum's
//! log; the leader prepares one version of a scope at a time, and activates it once every relay that may apply it by a lease
//! reports that it and its planners are ready, or its lease has expired.

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

/// Proposals that wait for one scope; the rest is retransmitted by their proposers.
const MAX_WAITING: usize = 1024;

/// Whether this machine leads, as the election tells at the time of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Authority {
    /// The term, where this machine leads and its own lease runs.
    pub term: Option<Term>,
    /// The leader, as far as it is known.
    pub leader: Option<MemberId>,
}

/// A control machine.
pub struct ControlMachine {
    own: MemberId,
    settings: Settings,
    replica: LogReplica,
    authority: Authority,
    store: Store,
    /// Relays that may be granted leases, with their starts.
    registered: BTreeMap<MemberId, u32>,
    /// The last proposal of each proposer that is part of a scope.
    applied: BTreeMap<(MemberId, ScopeId), u64>,
    /// Proposals of the pending version of each scope.
    preparing: BTreeMap<ScopeId, Vec<ProposalKey>>,
    publisher: Option<Publisher>,
    outbox: Vec<(MemberId, Message)>,
}

impl ControlMachine {
    /// Starts with what is stored.
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

    /// Messages since this was called last.
    pub fn take_outbox(&mut self) -> Vec<(MemberId, Message)> {
        let log = self.replica.take_outbox().into_iter().map(|(to, message)| (to, Message::Log(message)));
        std::mem::take(&mut self.outbox).into_iter().chain(log).collect()
    }

    /// Writes since this was called last, in their order.
    pub fn take_writes(&mut self) -> Vec<LogWrite> {
        self.replica.take_writes()
    }

    /// Whether it publishes.
    pub fn publishes(&self) -> bool {
        self.publisher.is_some()
    }

    /// A scope's chain, as far as this machine knows it to be committed.
    pub fn chain(&self, scope: ScopeId) -> Option<&ScopeChain> {
        self.store.chain(scope)
    }

    /// Relays that it distributes to.
    pub fn relays(&self) -> usize {
        self.publisher.as_ref().map_or(0, |publisher| publisher.distributor.len())
    }

    /// Sets whether this machine leads at the time of the next call, by a clock that was just read.
    pub fn set_authority(&mut self, now: Duration, authority: Authority) {
        let before = std::mem::replace(&mut self.authority, authority);
        if before.term == authority.term {
            return;
        }
        self.publisher = None;
        match authority.term {
            Some(term) => self.replica.lead(now, term),
            None => self.replica.follow(),
        }
    }

    /// When [`ControlMachine::timer_fired`] is to be called next.
    pub fn next_timer(&self) -> Duration {
        let publisher = self.publisher.as_ref().map_or(Duration::MAX, |p| p.next_timer(&self.store));
        self.replica.next_timer().min(publisher)
    }

    /// The time of [`ControlMachine::next_timer`] has come.
    pub fn timer_fired(&mut self, now: Duration) {
        self.replica.timer_fired(now);
        self.proceed(now);
    }

    /// All writes up to this stamp are on disk.
    pub fn persisted(&mut self, now: Duration, stamp: u64) {
        self.replica.persisted(now, stamp);
        self.proceed(now);
    }

    /// A message was received.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: Message) {
        match message {
            Message::Log(message) => self.replica.message_received(now, from, message),
            Message::Upward(message) => self.upward_received(now, from, message),
            Message::Propose(proposal) => self.propose(proposal),
            Message::Downward(_) | Message::Proposed { .. } => {}
        }
        self.proceed(now);
    }

    /// Proposes changes, or forwards them to the leader.
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

    /// Applies what was committed, and takes every step that is possible now.
    fn proceed(&mut self, now: Duration) {
        for entry in self.replica.take_committed() {
            self.apply_entry(now, entry);
        }
        // A newer leader was heard of before the election told of it.
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

    /// Starts to publish once the leader's own first record is committed, and with it all before it.
    fn start_publishing(&mut self, now: Duration) {
        let leading = self.replica.leading_term();
        let Some(term) = self.authority.term.filter(|term| leading == Some(*term)) else { return };
        if self.publisher.is_none() && self.replica.all_committed() {
            self.publisher =
                Some(Publisher::new(now, term, &self.settings, &self.store, self.registered.clone()));
        }
    }
}
