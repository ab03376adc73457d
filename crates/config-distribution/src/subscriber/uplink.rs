//! The state of one session of a subscriber.

use super::{HeldScope, Outgoing};
use crate::chain::ScopeId;
use crate::message::{ScopeStatus, SessionId, Term, Upward};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum number of unanswered renewals whose answers are still accepted.
const MAX_UNANSWERED: usize = 16;

/// A renewal that is not answered yet.
#[derive(Debug, Clone)]
struct SentRenewal {
    sent_at: Duration,
    statuses: Vec<ScopeStatus>,
}

/// One session with a distributor.
#[derive(Debug, Clone)]
pub(super) struct Uplink {
    server: MemberId,
    session: SessionId,
    attached: bool,
    attach_at: Duration,
    last_message_at: Duration,
    renew_at: Duration,
    count: u64,
    /// Renewals without an answer, by their numbers.
    sent: BTreeMap<u64, SentRenewal>,
    /// Time at which the lease ends.
    lease_expiry: Duration,
    /// Scopes that the lease covers.
    covered: BTreeSet<ScopeId>,
    /// Scopes whose status the distributor has not confirmed.
    unconfirmed: BTreeSet<ScopeId>,
}

impl Uplink {
    pub(super) fn new(now: Duration, server: MemberId, session: SessionId) -> Uplink {
        Uplink {
            server,
            session,
            attached: false,
            attach_at: now,
            last_message_at: now,
            renew_at: now,
            count: 0,
            sent: BTreeMap::new(),
            lease_expiry: Duration::ZERO,
            covered: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
        }
    }

    pub(super) fn server(&self) -> MemberId {
        self.server
    }

    pub(super) fn matches(&self, server: MemberId, session: SessionId) -> bool {
        self.server == server && self.session == session
    }

    pub(super) fn lease_expiry(&self) -> Duration {
        self.lease_expiry
    }

    /// Returns the time until which the lease covers a scope; zero if the lease doesn't cover it.
    pub(super) fn leased_until(&self, scope: ScopeId) -> Duration {
        if self.covered.contains(&scope) { self.lease_expiry } else { Duration::ZERO }
    }

    pub(super) fn is_silent(&self, now: Duration, timeout: Duration) -> bool {
        now >= self.last_message_at + timeout
    }

    pub(super) fn message_received(&mut self, now: Duration) {
        self.last_message_at = now;
    }

    pub(super) fn next_timer(&self) -> Duration {
        if self.attached { self.renew_at } else { self.attach_at }
    }

    /// Makes the next [`Uplink::send_due`] send the changed status of a scope.
    pub(super) fn status_changed(&mut self, scope: ScopeId) {
        self.unconfirmed.insert(scope);
        self.renew_at = Duration::ZERO;
    }

    /// Sends a request to attach or to renew, if one is due.
    pub(super) fn send_due(
        &mut self,
        now: Duration,
        renew_interval: Duration,
        term: Term,
        held: &BTreeMap<ScopeId, HeldScope>,
        out: &mut Outgoing,
    ) {
        if !self.attached && now >= self.attach_at {
            self.attach_at = now + renew_interval;
            out.push((self.server, self.attach(term, held)));
        } else if self.attached && now >= self.renew_at {
            self.renew_at = now + renew_interval;
            out.push((self.server, self.renew(now, held)));
        }
    }

    fn attach(&mut self, term: Term, held: &BTreeMap<ScopeId, HeldScope>) -> Upward {
        self.unconfirmed = held.keys().copied().collect();
        let statuses = held.iter().map(|(scope, held)| held.status(*scope)).collect();
        Upward::Attach { session: self.session, term, statuses }
    }

    fn renew(&mut self, now: Duration, held: &BTreeMap<ScopeId, HeldScope>) -> Upward {
        self.count += 1;
        let status = |scope: &ScopeId| Some(held.get(scope)?.status(*scope));
        let statuses: Vec<ScopeStatus> = self.unconfirmed.iter().filter_map(status).collect();
        self.sent.insert(self.count, SentRenewal { sent_at: now, statuses: statuses.clone() });
        if self.sent.len() > MAX_UNANSWERED {
            self.sent.pop_first();
        }
        Upward::Renew { session: self.session, count: self.count, statuses }
    }

    pub(super) fn attached(&mut self, now: Duration) {
        self.last_message_at = now;
        if !std::mem::replace(&mut self.attached, true) {
            self.renew_at = now;
        }
    }

    /// Handles the answer to a renewal. The lease covers the scopes that the renewal reported with a revision above
    /// zero: for other scopes, the distributor doesn't count this node among those that may apply them.
    pub(super) fn granted(
        &mut self,
        now: Duration,
        count: u64,
        lease: Option<Duration>,
        held: &BTreeMap<ScopeId, HeldScope>,
    ) {
        self.last_message_at = now;
        let (Some(lease), Some(sent)) = (lease, self.sent.get(&count)) else { return };
        self.lease_expiry = self.lease_expiry.max(sent.sent_at + lease);
        for status in &sent.statuses {
            if status.held.revision > 0 {
                self.covered.insert(status.scope);
            }
            if held.get(&status.scope).is_some_and(|held| held.status(status.scope) == *status) {
                self.unconfirmed.remove(&status.scope);
            }
        }
        self.sent = self.sent.split_off(&(count + 1));
    }

    /// Returns the message that releases the lease.
    pub(super) fn release(&self) -> Upward {
        Upward::Release { session: self.session }
    }
}
