//! The leader's publisher: pending scopes, and the relays to which the leader distributes them.

use super::{ControlMachine, MAX_QUEUED_PROPOSALS};
use crate::chain::{ScopeChain, ScopeId, Step};
use crate::distributor::{Distributor, GrantLimits, Outgoing};
use crate::message::{LogEntry, Proposal, ScopeStatus, SessionId, Term};
use crate::settings::Settings;
use crate::store::Store;
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time from the end of a relay's lease until the relay is unregistered, if it doesn't renew.
const UNREGISTER_AFTER: Duration = Duration::from_secs(5);
/// Time after which a registration that is not committed is appended to the log again.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// The state of publishing in one term.
pub(super) struct Publisher {
    pub(super) term: Term,
    pub(super) distributor: Distributor,
    /// Proposals that no version includes yet.
    pub(super) queue: BTreeMap<ScopeId, Vec<Proposal>>,
    /// Scopes with a link that is not committed yet.
    pub(super) in_log: BTreeSet<ScopeId>,
    /// Scopes with a pending version.
    pub(super) pending: BTreeSet<ScopeId>,
    /// Relays of a former leader that have not attached to this one, with their numbers of starts.
    unattached: BTreeMap<MemberId, u32>,
    /// Time by which all leases from former leaders have expired.
    former_expiry: Duration,
    /// Relays to be registered, with their numbers of starts.
    registering: BTreeMap<MemberId, u32>,
    /// Relays whose end of registration is not committed yet. They are granted no lease, since the next leader would
    /// not know of it.
    unregistering: BTreeSet<MemberId>,
    /// Time at which each registration that is not committed yet was appended to the log.
    registered_at: BTreeMap<MemberId, Duration>,
    /// Time at which a budget allows more bytes, if messages are waiting for it.
    pub(super) flush_at: Option<Duration>,
}

impl Publisher {
    /// Returns the publisher of a leader that starts now; `registered` are the relays to which a former leader may have
    /// granted leases.
    pub(super) fn new(
        now: Duration,
        term: Term,
        settings: &Settings,
        store: &Store,
        registered: BTreeMap<MemberId, u32>,
    ) -> Publisher {
        let is_pending = |chain: &&ScopeChain| chain.state().pending.is_some();
        Publisher {
            term,
            distributor: Distributor::new(*settings, GrantLimits::of_leader(settings), Duration::ZERO),
            queue: BTreeMap::new(),
            in_log: BTreeSet::new(),
            pending: store.chains().filter(is_pending).map(ScopeChain::scope).collect(),
            unattached: registered,
            former_expiry: now + settings.lease_expiry_wait(settings.relay_lease),
            registering: BTreeMap::new(),
            unregistering: BTreeSet::new(),
            registered_at: BTreeMap::new(),
            flush_at: None,
        }
    }

    /// Returns the earliest time at which a pending scope is sure to be ready or a budget allows more bytes.
    pub(super) fn next_timer(&self, store: &Store) -> Duration {
        let former = if self.unattached.is_empty() { Duration::ZERO } else { self.former_expiry };
        let waiting = self.pending.iter().filter(|scope| !self.in_log.contains(scope));
        let ready = waiting.map(|scope| {
            self.distributor.ready_at(Duration::ZERO, *scope, store.revision(*scope)).max(former)
        });
        ready.chain(self.flush_at).min().unwrap_or(Duration::MAX)
    }

    /// Queues a proposal, unless it is in the queue already or the queue of its scope is full.
    pub(super) fn enqueue(&mut self, proposal: Proposal) {
        let queued = self.queue.entry(proposal.scope).or_default();
        let is_known = queued.iter().any(|known| known.key() == proposal.key());
        if queued.len() < MAX_QUEUED_PROPOSALS && !is_known {
            queued.push(proposal);
        }
    }

    /// Begins a session with a relay.
    pub(super) fn attach(
        &mut self,
        now: Duration,
        store: &Store,
        relay: MemberId,
        session: SessionId,
        statuses: &[ScopeStatus],
        out: &mut Outgoing,
    ) {
        self.distributor.attach(now, store, (relay, session, self.term), statuses, out);
        if self.unattached.get(&relay) == Some(&session.start) {
            self.unattached.remove(&relay);
            self.distributor.assume_lease(relay, self.former_expiry);
        }
    }

    /// Returns true if a relay with this number of starts is registered, so that it may be granted a lease. Otherwise
    /// requests its registration.
    pub(super) fn is_registered(
        &mut self,
        now: Duration,
        relay: MemberId,
        start: u32,
        registered: &BTreeMap<MemberId, u32>,
    ) -> bool {
        let is_registered = registered.get(&relay) == Some(&start) && !self.unregistering.contains(&relay);
        let is_requested = self.registered_at.get(&relay).is_some_and(|at| now < *at + REGISTER_RETRY);
        if !is_registered && !is_requested {
            self.registering.insert(relay, start);
            self.registered_at.insert(relay, now);
        }
        is_registered
    }

    /// Handles a committed registration.
    pub(super) fn registered(&mut self, relay: MemberId) {
        self.registered_at.remove(&relay);
    }

    /// Handles the committed end of a registration.
    pub(super) fn unregistered(&mut self, relay: MemberId) {
        self.unregistering.remove(&relay);
    }

    /// Handles a committed link of a scope.
    pub(super) fn link_committed(&mut self, store: &Store, scope: ScopeId, prepares: bool) {
        self.in_log.remove(&scope);
        if prepares {
            self.pending.insert(scope);
        } else {
            self.pending.remove(&scope);
        }
        self.distributor.scope_advanced(store, scope);
    }

    /// Removes and returns the relays that have stopped renewing, or have not attached to this leader in time.
    fn take_lost_relays(&mut self, now: Duration) -> Vec<MemberId> {
        let mut lost = self.distributor.expire(now, UNREGISTER_AFTER);
        if now >= self.former_expiry {
            lost.extend(std::mem::take(&mut self.unattached).into_keys());
        }
        lost
    }
}

impl ControlMachine {
    /// Returns entries that register and unregister relays.
    pub(super) fn registrations(&mut self, now: Duration) -> Vec<LogEntry> {
        let Some(publisher) = &mut self.publisher else { return vec![] };
        let registering = std::mem::take(&mut publisher.registering).into_iter();
        let mut entries: Vec<LogEntry> =
            registering.map(|(relay, start)| LogEntry::Register(relay, start)).collect();
        for relay in publisher.take_lost_relays(now) {
            let registered = self.registered.contains_key(&relay);
            let is_attached = publisher.distributor.start_of(relay).is_some();
            if registered && !is_attached && publisher.unregistering.insert(relay) {
                entries.push(LogEntry::Unregister(relay));
            }
        }
        entries
    }

    /// Returns links that activate the pending versions for which all relays and their planners are ready.
    pub(super) fn activations(&mut self, now: Duration) -> Vec<LogEntry> {
        let Some(publisher) = &mut self.publisher else { return vec![] };
        if !publisher.unattached.is_empty() && now < publisher.former_expiry {
            return vec![];
        }
        let mut entries = vec![];
        for scope in publisher.pending.difference(&publisher.in_log).copied().collect::<Vec<_>>() {
            let Some(chain) = self.store.chain(scope) else { continue };
            if publisher.distributor.ready_revision(now, scope) >= chain.revision()
                && let Ok(link) = chain.next(Step::Activate)
            {
                publisher.distributor.require_ready(scope, chain.revision());
                publisher.in_log.insert(scope);
                entries.push(LogEntry::Link(link, vec![]));
            }
        }
        entries
    }
}
