//! The revision up to which all nodes are ready that may apply a scope by a lease from this node.

use super::Distributor;
use super::session::Session;
use crate::chain::{Revision, ScopeId};
use std::time::Duration;

impl Distributor {
    /// Returns the sessions of holders that subscribe to a scope.
    fn sessions_of(&self, scope: ScopeId) -> impl Iterator<Item = &Session> {
        let holders = self.holders.get(&scope).into_iter().flatten();
        holders.filter_map(|holder| self.sessions.get(holder))
    }

    /// Returns the revision of a scope up to which all nodes are ready that may apply the scope by a lease from this
    /// node. Returns [`Revision::MAX`] if no node may apply the scope, and zero while leases from a former start may
    /// still run.
    pub fn ready_revision(&self, now: Duration, scope: ScopeId) -> Revision {
        if now < self.former_expiry {
            return 0;
        }
        let leased = self.sessions_of(scope).filter(|session| now < session.lease_expiry);
        let known = leased.filter_map(|session| session.scopes.get(&scope));
        let applying = known.filter(|known| known.position.revision > 0).map(|known| known.ready);
        let ended = self.ended.iter().filter(|ended| now < ended.lease_expiry);
        let ended = ended.filter_map(|ended| ended.ready.get(&scope).copied());
        applying.chain(ended).min().unwrap_or(Revision::MAX)
    }

    /// Returns the time by which the leases have expired whose holders are not ready for a revision of a scope.
    pub fn ready_at(&self, now: Duration, scope: ScopeId, revision: Revision) -> Duration {
        let is_behind = |session: &&Session| {
            let known = session.scopes.get(&scope);
            known.is_some_and(|known| known.position.revision > 0 && known.ready < revision)
        };
        let sessions = self.sessions_of(scope).filter(is_behind).map(|session| session.lease_expiry);
        let ended = self.ended.iter();
        let ended = ended.filter(|ended| ended.ready.get(&scope).is_some_and(|ready| *ready < revision));
        let expiries = sessions.chain(ended.map(|ended| ended.lease_expiry));
        expiries.fold(self.former_expiry, Duration::max).max(now)
    }

    /// Requires holders to be ready for this revision of a scope before they are granted a lease.
    pub fn require_ready(&mut self, scope: ScopeId, revision: Revision) {
        let required = self.required.entry(scope).or_default();
        *required = (*required).max(revision);
    }
}
