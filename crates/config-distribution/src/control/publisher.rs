//! What a leader publishes: pending scopes, and the relays that it distributes to.

use super::{ControlMachine, MAX_WAITING};
use crate::chain::{ScopeChain, ScopeId, Step};
use crate::distributor::{Distributor, GrantLimits, Outgoing};
use crate::message::{LogEntry, Proposal, ScopeStatus, SessionId, Term};
use crate::settings::Settings;
use crate::store::Store;
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A relay that does not renew for so long after its lease is unregistered.
const UNREGISTER_AFTER: Duration = Duration::from_secs(5);
/// A registration that is not committed after so long is put into the log again.
const REGISTER_RETRY: Duration = Duration::from_secs(1);

/// One term of publishing.
pub(super) struct Publisher {
    pub(super) term: Term,
    pub(super) distributor: Distributor,
    pub(super) queue: BTreeMap<ScopeId, Vec<Proposal>>,
    /// Scopes with a link that is not committed yet.
    pub(super) in_log: BTreeSet<ScopeId>,
    /// Scopes with a pending version.
    pub(super) pending: BTreeSet<ScopeId>,
    /// Relays of a former leader that have not turned to this one, with their starts.
    unheard: BTreeMap<MemberId, u32>,
    /// Leases of a former leader have expired by then.
    former_expiry: Duration,
    /// Relays to be registered, with their starts.
    registering: BTreeMap<MemberId, u32>,
    /// Relays that are being unregistered: a lease that is granted meanwhile would be unknown to the next leader.
    unregistering: BTreeSet<MemberId>,
    /// When a registration that is not committed yet was put into the log.
    registered_at: BTreeMap<MemberId, Duration>,
    pub(super) flush_at: Option<Duration>,
}

impl Publisher {
    /// Of a leader that starts now; `registered` are the relays that a former leader may have granted leases.
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
            unheard: registered,
            former_expiry: now + settings.lease_expiry_wait(settings.relay_lease),
            registering: BTreeMap::new(),
            unregistering: BTreeSet::new(),
            registered_at: BTreeMap::new(),
            flush_at: None,
        }
    }

    /// When something is to be done next: a scope becomes ready, or a budget allows more bytes.
    pub(super) fn next_timer(&self, store: &Store) -> Duration {
        let former = if self.unheard.is_empty() { Duration::ZERO } else { self.former_expiry };
        let waiting = self.pending.iter().filter(|scope| !self.in_log.contains(scope));
        let ready = waiting.map(|scope| {
            self.distributor.ready_at(Duration::ZERO, *scope, store.revision(*scope)).max(former)
        });
        ready.chain(self.flush_at).min().unwrap_or(Duration::MAX)
    }

    /// Takes a proposal, unless it waits already or too many do.
    pub(super) fn enqueue(&mut self, proposal: Proposal) {
        let waiting = self.queue.entry(proposal.scope).or_default();
        let is_known = waiting.iter().any(|known| known.key() == proposal.key());
        if waiting.len() < MAX_WAITING && !is_known {
            waiting.push(proposal);
        }
    }

    /// A relay begins a session.
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
        if self.unheard.get(&relay) == Some(&session.start) {
            self.unheard.remove(&relay);
            self.distributor.assume_lease(relay, self.former_expiry);
        }
    }

    /// Whether a relay with this start is registered, and so may be granted a lease. If not, it is registered.
    pub(super) fn is_registered(
        &mut self,
        now: Duration,
        relay: MemberId,
        start: u32,
        registered: &BTreeMap<MemberId, u32>,
    ) -> bool {
        let is_registered = registered.get(&relay) == Some(&start) && !self.unregistering.contains(&relay);
        let asked = self.registered_at.get(&relay).is_some_and(|at| now < *at + REGISTER_RETRY);
        if !is_registered && !asked {
            self.registering.insert(relay, start);
            self.registered_at.insert(relay, now);
        }
        is_registered
    }

    /// A registration was committed.
    pub(super) fn registered(&mut self, relay: MemberId) {
        self.registered_at.remove(&relay);
    }

    /// The end of a registration was committed.
    pub(super) fn unregistered(&mut self, relay: MemberId) {
        self.unregistering.remove(&relay);
    }

    /// A link of a scope was committed.
    pub(super) fn link_committed(&mut self, store: &Store, scope: ScopeId, prepares: bool) {
        self.in_log.remove(&scope);
        if prepares {
            self.pending.insert(scope);
        } else {
            self.pending.remove(&scope);
        }
        self.distributor.advanced(store, scope);
    }

    /// Relays that are silent, or that have not turned to this leader in time.
    fn take_gone(&mut self, now: Duration) -> Vec<MemberId> {
        let mut gone = self.distributor.expire(now, UNREGISTER_AFTER);
        if now >= self.former_expiry {
            gone.extend(std::mem::take(&mut self.unheard).into_keys());
        }
        gone
    }
}

impl ControlMachine {
    /// Entries that register and unregister relays.
    pub(super) fn registrations(&mut self, now: Duration) -> Vec<LogEntry> {
        let Some(publisher) = &mut self.publisher else { return vec![] };
        let registering = std::mem::take(&mut publisher.registering).into_iter();
        let mut entries: Vec<LogEntry> =
            registering.map(|(relay, start)| LogEntry::Register(relay, start)).collect();
        for relay in publisher.take_gone(now) {
            let registered = self.registered.contains_key(&relay);
            let back = publisher.distributor.start_of(relay).is_some();
            if registered && !back && publisher.unregistering.insert(relay) {
                entries.push(LogEntry::Unregister(relay));
            }
        }
        entries
    }

    /// Links that activate the pending versions that everybody is ready for.
    pub(super) fn activations(&mut self, now: Duration) -> Vec<LogEntry> {
        let Some(publisher) = &mut self.publisher else { return vec![] };
        if !publisher.unheard.is_empty() && now < publisher.former_expiry {
            return vec![];
        }
        let mut entries = vec![];
        for scope in publisher.pending.difference(&publisher.in_log).copied().collect::<Vec<_>>() {
            let Some(chain) = self.store.chain(scope) else { continue };
            if publisher.distributor.ready(now, scope) >= chain.revision()
                && let Ok(link) = chain.next(Step::Activate)
            {
                publisher.distributor.promise(scope, chain.revision());
                publisher.in_log.insert(scope);
                entries.push(LogEntry::Link(link, vec![]));
            }
        }
        entries
    }
}
