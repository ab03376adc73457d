//! The distributing side of sessions: the leader to relays, a relay to planners.
//!
//! It sends what holders lack, within their budgets and the most urgent first, grants them leases, and knows up to which
//! revision of a scope nobody is behind who may apply it by one of its leases. What waits for a holder is a set of scopes,
//! never a queue of messages, so it is bounded by what the holder subscribes to.

mod readiness;
mod sending;
mod session;

use crate::budget::Rate;
use crate::chain::{Revision, ScopeId};
use crate::message::{Downward, Refusal, ScopeStatus, SessionId, Term};
use crate::settings::Settings;
use crate::store::Store;
use grebespool_leader_election::MemberId;
use session::{EndedSession, Session};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What a distributor may grant and spend.
#[derive(Debug, Clone, Copy)]
pub struct GrantLimits {
    /// The longest lease that it grants.
    pub max_lease: Duration,
    /// How long a holder may be behind and still be granted a lease.
    pub patience: Duration,
    /// Bytes to one holder.
    pub budget: Rate,
    /// The most holders.
    pub max_holders: usize,
}

impl GrantLimits {
    /// Of a relay.
    pub fn of_relay(settings: &Settings) -> GrantLimits {
        GrantLimits {
            max_lease: settings.planner_lease,
            patience: settings.planner_patience,
            budget: settings.planner_budget,
            max_holders: settings.most_planners,
        }
    }

    /// Of the leader.
    pub fn of_leader(settings: &Settings) -> GrantLimits {
        GrantLimits {
            max_lease: settings.relay_lease,
            patience: settings.relay_patience,
            budget: settings.relay_budget,
            max_holders: usize::MAX,
        }
    }
}

/// By what right a node grants leases at the time of a call.
pub struct GrantAuthority<'a> {
    /// The leader's term.
    pub term: Term,
    /// How long its own lease lasts.
    pub lease_left: Option<Duration>,
    /// Whether that covers a scope.
    pub covers: &'a dyn Fn(ScopeId) -> bool,
}

/// A renewal of a holder.
pub struct HolderRenewal<'a> {
    /// The holder.
    pub holder: MemberId,
    /// Its session.
    pub session: SessionId,
    /// Counts renewals of the session.
    pub count: u64,
    /// Scopes that are new or have advanced.
    pub statuses: &'a [ScopeStatus],
}

/// Messages, and for whom.
pub(crate) type Outgoing = Vec<(MemberId, Downward)>;

/// The distributing side of all sessions of a node.
#[derive(Debug, Clone)]
pub struct Distributor {
    settings: Settings,
    limits: GrantLimits,
    sessions: BTreeMap<MemberId, Session>,
    ended: Vec<EndedSession>,
    /// Holders that subscribe to each scope.
    holders: BTreeMap<ScopeId, BTreeSet<MemberId>>,
    /// Up to which revision this node has reported that nobody is behind.
    promised: BTreeMap<ScopeId, Revision>,
    /// Leases of a former start of this node have expired by then.
    former_expiry: Duration,
}

impl Distributor {
    /// Without sessions. Leases that it knows nothing of have expired by `former_expiry`.
    pub fn new(settings: Settings, limits: GrantLimits, former_expiry: Duration) -> Distributor {
        Distributor {
            settings,
            limits,
            sessions: BTreeMap::new(),
            ended: vec![],
            holders: BTreeMap::new(),
            promised: BTreeMap::new(),
            former_expiry,
        }
    }

    /// When leases that it knows nothing of have expired.
    pub fn former_expiry(&self) -> Duration {
        self.former_expiry
    }

    /// Holders with a session.
    pub fn holders(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.sessions.keys().copied()
    }

    /// How many holders have a session.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Whether nobody has a session, and no lease of a former one runs.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty() && self.ended.is_empty()
    }

    /// Scopes that holders subscribe to.
    pub fn scopes(&self) -> impl Iterator<Item = ScopeId> + '_ {
        self.holders.keys().copied()
    }

    /// The start of a holder that has a session.
    pub fn start_of(&self, holder: MemberId) -> Option<u32> {
        self.sessions.get(&holder).map(|session| session.id.start)
    }

    /// A holder begins a session. The lease of its former one runs out by itself.
    pub fn attach(
        &mut self,
        now: Duration,
        store: &Store,
        (holder, session, term): (MemberId, SessionId, Term),
        statuses: &[ScopeStatus],
        out: &mut Outgoing,
    ) {
        match self.sessions.get(&holder).map(|known| known.id.cmp(&session)) {
            Some(Ordering::Greater) => return,
            Some(Ordering::Equal) => return out.push((holder, Downward::Attached { session, term })),
            Some(Ordering::Less) => self.end(now, holder),
            None if self.sessions.len() >= self.limits.max_holders => {
                return out.push((holder, Downward::Refused { session, why: Refusal::Full }));
            }
            None => {}
        }
        if let Some(status) = statuses.iter().find(|status| has_other_history(store, status)) {
            let why = Refusal::OtherHistory(status.scope);
            return out.push((holder, Downward::Refused { session, why }));
        }
        self.sessions.insert(holder, Session::new(now, session, self.limits.budget));
        statuses.iter().for_each(|status| self.learn(store, holder, status));
        out.push((holder, Downward::Attached { session, term }));
    }

    /// A holder may have a lease of a former leader until then.
    pub fn assume_lease(&mut self, holder: MemberId, until: Duration) {
        if let Some(session) = self.sessions.get_mut(&holder) {
            session.until = session.until.max(until);
        }
    }

    /// A holder reports the status of a scope. Statuses only grow, so an older one that is late changes nothing.
    fn learn(&mut self, store: &Store, holder: MemberId, status: &ScopeStatus) {
        let Some(session) = self.sessions.get_mut(&holder) else { return };
        session.learn(status);
        self.holders.entry(status.scope).or_default().insert(holder);
        self.compare(store, status.scope, holder);
    }

    /// Notes whether a holder has to be sent something of a scope, and whether it is behind.
    fn compare(&mut self, store: &Store, scope: ScopeId, holder: MemberId) {
        if let (Some(session), Some(chain)) = (self.sessions.get_mut(&holder), store.chain(scope)) {
            session.compare(chain);
        }
    }

    /// A scope of the store has advanced.
    pub fn advanced(&mut self, store: &Store, scope: ScopeId) {
        let holders: Vec<MemberId> = self.holders.get(&scope).into_iter().flatten().copied().collect();
        holders.into_iter().for_each(|holder| self.compare(store, scope, holder));
    }

    /// A holder asks for its lease.
    pub fn renew(
        &mut self,
        now: Duration,
        store: &Store,
        renewal: &HolderRenewal,
        authority: &GrantAuthority,
        out: &mut Outgoing,
    ) {
        let HolderRenewal { holder, session, count, statuses } = *renewal;
        match self.sessions.get(&holder).map(|known| known.id.cmp(&session)) {
            Some(Ordering::Equal) => {}
            Some(Ordering::Greater) => return,
            Some(Ordering::Less) | None => {
                let why = Refusal::UnknownSession;
                return out.push((holder, Downward::Refused { session, why }));
            }
        }
        statuses.iter().for_each(|status| self.learn(store, holder, status));
        self.resend_unconfirmed(now, store, holder);
        let lease = authority.lease_left.map(|left| left.min(self.limits.max_lease)).filter(|lease| {
            !lease.is_zero() && self.may_grant(now, store, holder, statuses, authority.covers)
        });
        if let (Some(known), Some(lease)) = (self.sessions.get_mut(&holder), lease) {
            known.until = known.until.max(now + self.settings.lease_expiry_wait(lease));
        }
        out.push((holder, Downward::Granted { session, term: authority.term, count, lease }));
    }

    /// Whether a holder may be granted a lease: this node's own lease covers its scopes, and it is not behind what this node
    /// has reported, nor for longer than it may.
    fn may_grant(
        &self,
        now: Duration,
        store: &Store,
        holder: MemberId,
        statuses: &[ScopeStatus],
        covers: &dyn Fn(ScopeId) -> bool,
    ) -> bool {
        let Some(session) = self.sessions.get(&holder) else { return false };
        let is_late = |scope: &ScopeId| {
            let Some(chain) = store.chain(*scope) else { return false };
            let promised = self.promised.get(scope).copied().unwrap_or_default();
            let overdue = now >= store.advanced_at(*scope) + self.limits.patience;
            session.ready(*scope).is_some_and(|ready| ready < chain.required().max(promised) || overdue)
        };
        let covered = |status: &ScopeStatus| status.held.revision == 0 || covers(status.scope);
        statuses.iter().all(covered) && !session.behind.iter().any(is_late)
    }

    /// A holder gives its lease back, and with it the session.
    pub fn release(&mut self, holder: MemberId, session: SessionId) {
        if self.sessions.get(&holder).is_some_and(|known| known.id == session) {
            self.forget(holder);
        }
        // Leases of a former start of the holder, by which those behind it may still act, are none of these.
        self.ended.retain(|ended| (ended.holder, ended.id) != (holder, session));
    }

    /// Ends a session whose lease may still run.
    fn end(&mut self, now: Duration, holder: MemberId) {
        if let Some(session) = self.forget(holder)
            && now < session.until
        {
            self.ended.push(session.end(holder));
        }
    }

    fn forget(&mut self, holder: MemberId) -> Option<Session> {
        let session = self.sessions.remove(&holder)?;
        for scope in session.scopes() {
            if let Some(holders) = self.holders.get_mut(scope) {
                holders.remove(&holder);
                if holders.is_empty() {
                    self.holders.remove(scope);
                }
            }
        }
        Some(session)
    }

    /// Forgets sessions that have not renewed for long, and leases that have expired. Returns the holders that are gone.
    pub fn expire(&mut self, now: Duration, silence: Duration) -> Vec<MemberId> {
        self.ended.retain(|ended| now < ended.until);
        let is_silent = |session: &Session| now >= session.until + silence && !session.until.is_zero();
        let silent = self.sessions.iter().filter(|(_, session)| is_silent(session));
        let gone: Vec<MemberId> = silent.map(|(holder, _)| *holder).collect();
        for holder in &gone {
            self.forget(*holder);
        }
        gone
    }
}

fn has_other_history(store: &Store, status: &ScopeStatus) -> bool {
    let own = store.position(status.scope);
    own.revision > 0 && own.revision == status.held.revision && own.hash != status.held.hash
}
