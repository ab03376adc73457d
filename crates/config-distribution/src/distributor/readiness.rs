//! Up to which revision everybody is ready who may apply a scope by a lease of this node.

use super::Distributor;
use super::session::Session;
use crate::chain::{Revision, ScopeId};
use std::time::Duration;

impl Distributor {
    /// Sessions of holders that subscribe to a scope.
    fn sessions_of(&self, scope: ScopeId) -> impl Iterator<Item = &Session> {
        let holders = self.holders.get(&scope).into_iter().flatten();
        holders.filter_map(|holder| self.sessions.get(holder))
    }

    /// Up to which revision of a scope nobody is behind who may apply it by a lease of this node. No bound where there is
    /// nobody.
    pub fn ready(&self, now: Duration, scope: ScopeId) -> Revision {
        if now < self.former_expiry {
            return 0;
        }
        let leased = self.sessions_of(scope).filter(|session| now < session.until);
        let known = leased.filter_map(|session| session.scopes.get(&scope));
        let applying = known.filter(|known| known.position.revision > 0).map(|known| known.ready);
        let ended = self.ended.iter().filter(|ended| now < ended.until);
        let ended = ended.filter_map(|ended| ended.ready.get(&scope).copied());
        applying.chain(ended).min().unwrap_or(Revision::MAX)
    }

    /// When the leases that keep a scope from being ready up to a revision have expired at the latest.
    pub fn ready_at(&self, now: Duration, scope: ScopeId, revision: Revision) -> Duration {
        let is_behind = |session: &&Session| {
            let known = session.scopes.get(&scope);
            known.is_some_and(|known| known.position.revision > 0 && known.ready < revision)
        };
        let sessions = self.sessions_of(scope).filter(is_behind).map(|session| session.until);
        let ended = self.ended.iter();
        let ended = ended.filter(|ended| ended.ready.get(&scope).is_some_and(|ready| *ready < revision));
        let expiries = sessions.chain(ended.map(|ended| ended.until));
        expiries.fold(self.former_expiry, Duration::max).max(now)
    }

    /// From now on no lease is granted to a holder that is behind this revision.
    pub fn promise(&mut self, scope: ScopeId, revision: Revision) {
        let promised = self.promised.entry(scope).or_default();
        *promised = (*promised).max(revision);
    }
}
