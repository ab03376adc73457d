//! The distributing side of sessions: the leader's with relays, and a relay's with planners.
//!
//! A distributor sends holders the links and snapshots that they lack, within their budgets and the most urgent first.
//! It grants leases to holders, and computes the revision of a scope up to which every node is ready that may apply the
//! scope by one of these leases. The backlog of a holder is a set of scopes and not a queue of messages, so its size is
//! bounded by the number of scopes that the holder subscribes to.

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

/// Limits on the leases, bytes and holders of a distributor.
#[derive(Debug, Clone, Copy)]
pub struct GrantLimits {
    /// Longest lease that the distributor grants.
    pub max_lease: Duration,
    /// Time for which a holder may be behind and still be granted a lease.
    pub patience: Duration,
    /// Rate and burst of bytes to one holder.
    pub budget: Rate,
    /// Maximum number of holders.
    pub max_holders: usize,
}

impl GrantLimits {
    /// Returns the limits of a relay.
    pub fn of_relay(settings: &Settings) -> GrantLimits {
        GrantLimits {
            max_lease: settings.planner_lease,
            patience: settings.planner_patience,
            budget: settings.planner_budget,
            max_holders: settings.most_planners,
        }
    }

    /// Returns the limits of the leader.
    pub fn of_leader(settings: &Settings) -> GrantLimits {
        GrantLimits {
            max_lease: settings.relay_lease,
            patience: settings.relay_patience,
            budget: settings.relay_budget,
            max_holders: usize::MAX,
        }
    }
}

/// The authority by which a node grants leases, at the time of a call.
pub struct GrantAuthority<'a> {
    /// The leader's term.
    pub term: Term,
    /// Remaining duration of the node's own lease, if the node may grant leases.
    pub lease_left: Option<Duration>,
    /// Returns true if the node's own lease covers a scope.
    pub covers: &'a dyn Fn(ScopeId) -> bool,
}

/// A holder's request to renew its lease.
pub struct HolderRenewal<'a> {
    /// The holder.
    pub holder: MemberId,
    /// The holder's session.
    pub session: SessionId,
    /// Number of this renewal within the session.
    pub count: u64,
    /// The statuses of scopes that are new or have advanced.
    pub statuses: &'a [ScopeStatus],
}

/// Messages with their receivers.
pub(crate) type Outgoing = Vec<(MemberId, Downward)>;

/// The distributing side of all sessions of a node.
#[derive(Debug, Clone)]
pub struct Distributor {
    settings: Settings,
    limits: GrantLimits,
    sessions: BTreeMap<MemberId, Session>,
    /// Sessions that have ended while their leases may still run.
    ended: Vec<EndedSession>,
    /// Holders that subscribe to each scope.
    holders: BTreeMap<ScopeId, BTreeSet<MemberId>>,
    /// The revision of each scope that a holder has to be ready for to be granted a lease.
    required: BTreeMap<ScopeId, Revision>,
    /// Time by which all leases from former starts of this node have expired.
    former_expiry: Duration,
}

impl Distributor {
    /// Returns a distributor without sessions. Leases from former starts of this node have expired by `former_expiry`.
    pub fn new(settings: Settings, limits: GrantLimits, former_expiry: Duration) -> Distributor {
        Distributor {
            settings,
            limits,
            sessions: BTreeMap::new(),
            ended: vec![],
            holders: BTreeMap::new(),
            required: BTreeMap::new(),
            former_expiry,
        }
    }

    /// Returns the time by which all leases from former starts of this node have expired.
    pub fn former_expiry(&self) -> Duration {
        self.former_expiry
    }

    /// Returns the holders that have a session.
    pub fn holders(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.sessions.keys().copied()
    }

    /// Returns the number of holders that have a session.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns true if no holder has a session and no lease of an ended session runs.
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty() && self.ended.is_empty()
    }

    /// Returns the scopes that holders subscribe to.
    pub fn scopes(&self) -> impl Iterator<Item = ScopeId> + '_ {
        self.holders.keys().copied()
    }

    /// Returns the number of starts of a holder, if the holder has a session.
    pub fn start_of(&self, holder: MemberId) -> Option<u32> {
        self.sessions.get(&holder).map(|session| session.id.start)
    }

    /// Begins a session with a holder. The lease of the holder's former session stays in force until it expires.
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
            Some(Ordering::Less) => self.end_session(now, holder),
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
        statuses.iter().for_each(|status| self.update_status(store, holder, status));
        out.push((holder, Downward::Attached { session, term }));
    }

    /// Extends the lease expiry of a holder that may have a lease from a former leader until this time.
    pub fn assume_lease(&mut self, holder: MemberId, until: Duration) {
        if let Some(session) = self.sessions.get_mut(&holder) {
            session.lease_expiry = session.lease_expiry.max(until);
        }
    }

    /// Updates the status of a holder's scope. Statuses only advance, so an older one that arrives late has no effect.
    fn update_status(&mut self, store: &Store, holder: MemberId, status: &ScopeStatus) {
        let Some(session) = self.sessions.get_mut(&holder) else { return };
        session.update_status(status);
        self.holders.entry(status.scope).or_default().insert(holder);
        self.update_backlog(store, status.scope, holder);
    }

    /// Updates the backlog of a holder by a scope, and records if the holder is behind.
    fn update_backlog(&mut self, store: &Store, scope: ScopeId, holder: MemberId) {
        if let (Some(session), Some(chain)) = (self.sessions.get_mut(&holder), store.chain(scope)) {
            session.update_backlog(chain);
        }
    }

    /// Updates the backlog of all holders after a scope of the store has advanced.
    pub fn scope_advanced(&mut self, store: &Store, scope: ScopeId) {
        let holders: Vec<MemberId> = self.holders.get(&scope).into_iter().flatten().copied().collect();
        holders.into_iter().for_each(|holder| self.update_backlog(store, scope, holder));
    }

    /// Handles a renewal, and grants the holder a lease if that is permitted.
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
        statuses.iter().for_each(|status| self.update_status(store, holder, status));
        self.resend_unconfirmed(now, store, holder);
        let lease = authority.lease_left.map(|left| left.min(self.limits.max_lease)).filter(|lease| {
            !lease.is_zero() && self.may_grant(now, store, holder, statuses, authority.covers)
        });
        if let (Some(known), Some(lease)) = (self.sessions.get_mut(&holder), lease) {
            known.lease_expiry = known.lease_expiry.max(now + self.settings.lease_expiry_wait(lease));
        }
        out.push((holder, Downward::Granted { session, term: authority.term, count, lease }));
    }

    /// Returns true if a holder may be granted a lease: this node's own lease covers the holder's scopes, the holder is
    /// ready for the required revisions, and it has not been behind for longer than permitted.
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
            let required = self.required.get(scope).copied().unwrap_or_default();
            let overdue = now >= store.advanced_at(*scope) + self.limits.patience;
            session.ready(*scope).is_some_and(|ready| ready < chain.required().max(required) || overdue)
        };
        let covered = |status: &ScopeStatus| status.held.revision == 0 || covers(status.scope);
        statuses.iter().all(covered) && !session.behind.iter().any(is_late)
    }

    /// Ends a session whose holder has released its lease.
    pub fn release(&mut self, holder: MemberId, session: SessionId) {
        if self.sessions.get(&holder).is_some_and(|known| known.id == session) {
            self.remove_session(holder);
        }
        // Other ended sessions stay: the planners of a relay may still act by a lease from a former start of the relay.
        self.ended.retain(|ended| (ended.holder, ended.id) != (holder, session));
    }

    /// Ends a session, and records its lease if the lease may still run.
    fn end_session(&mut self, now: Duration, holder: MemberId) {
        if let Some(session) = self.remove_session(holder)
            && now < session.lease_expiry
        {
            self.ended.push(session.into_ended(holder));
        }
    }

    fn remove_session(&mut self, holder: MemberId) -> Option<Session> {
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

    /// Removes expired leases, and sessions that were not renewed for `timeout` after their lease. Returns the holders
    /// of the removed sessions.
    pub fn expire(&mut self, now: Duration, timeout: Duration) -> Vec<MemberId> {
        self.ended.retain(|ended| now < ended.lease_expiry);
        // A session that was never granted a lease is not removed here.
        let is_silent =
            |session: &Session| now >= session.lease_expiry + timeout && !session.lease_expiry.is_zero();
        let silent = self.sessions.iter().filter(|(_, session)| is_silent(session));
        let expired: Vec<MemberId> = silent.map(|(holder, _)| *holder).collect();
        for holder in &expired {
            self.remove_session(*holder);
        }
        expired
    }
}

fn has_other_history(store: &Store, status: &ScopeStatus) -> bool {
    let own = store.position(status.scope);
    own.revision > 0 && own.revision == status.held.revision && own.hash != status.held.hash
}
