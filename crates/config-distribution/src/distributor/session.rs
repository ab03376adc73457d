//! The state of a distributor's session with one holder.

use crate::budget::{Rate, TokenBucket};
use crate::chain::{Position, Priority, Revision, ScopeChain, ScopeId, Step};
use crate::message::{ScopeStatus, SessionId};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The next part to send of a snapshot.
#[derive(Debug, Clone, Copy)]
pub(super) struct NextPart {
    /// The position of the snapshot.
    pub(super) position: Position,
    /// Index of the part.
    pub(super) part: u32,
}

/// The progress of a holder in a scope, as far as the distributor knows it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HolderScope {
    pub(super) position: Position,
    pub(super) ready: Revision,
    /// Position up to which links or a snapshot were sent.
    pub(super) sent: Position,
    /// Time at which they were sent.
    pub(super) sent_at: Duration,
    pub(super) next_part: Option<NextPart>,
}

/// One holder's session.
#[derive(Debug, Clone)]
pub(super) struct Session {
    pub(super) id: SessionId,
    pub(super) scopes: BTreeMap<ScopeId, HolderScope>,
    /// Time by which the holder's last lease has expired; zero if the holder has had no lease.
    pub(super) lease_expiry: Duration,
    /// Scopes of which the holder lacks links, the most urgent first.
    pub(super) backlog: BTreeSet<(Priority, ScopeId)>,
    /// Scopes whose sent links or snapshots the holder has not confirmed.
    pub(super) unconfirmed: BTreeSet<ScopeId>,
    /// Scopes for whose newest version the holder is not ready.
    pub(super) behind: BTreeSet<ScopeId>,
    pub(super) bucket: TokenBucket,
}

/// A session that ended while its lease may still run.
#[derive(Debug, Clone)]
pub(super) struct EndedSession {
    pub(super) holder: MemberId,
    pub(super) id: SessionId,
    pub(super) lease_expiry: Duration,
    /// The revision up to which the holder was ready, for each scope that it may apply.
    pub(super) ready: BTreeMap<ScopeId, Revision>,
}

impl Session {
    pub(super) fn new(now: Duration, id: SessionId, budget: Rate) -> Session {
        Session {
            id,
            scopes: BTreeMap::new(),
            lease_expiry: Duration::ZERO,
            backlog: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            behind: BTreeSet::new(),
            bucket: TokenBucket::new(budget, now),
        }
    }

    /// Returns the scopes that the holder subscribes to.
    pub(super) fn scopes(&self) -> impl Iterator<Item = &ScopeId> {
        self.scopes.keys()
    }

    /// Returns the revision of a scope up to which the holder is ready.
    pub(super) fn ready(&self, scope: ScopeId) -> Option<Revision> {
        self.scopes.get(&scope).map(|known| known.ready)
    }

    /// Updates the progress of the holder in a scope by a reported status.
    pub(super) fn update_status(&mut self, status: &ScopeStatus) {
        let known = self.scopes.entry(status.scope).or_default();
        if status.held.revision >= known.position.revision {
            known.position = status.held;
        }
        known.ready = known.ready.max(status.ready.min(status.held.revision));
        if known.sent.revision <= known.position.revision {
            known.sent = known.position;
            self.unconfirmed.remove(&status.scope);
        }
    }

    /// Updates the backlog by a scope, and records if the holder is behind.
    pub(super) fn update_backlog(&mut self, chain: &ScopeChain) {
        let scope = chain.scope();
        let Some(known) = self.scopes.get(&scope) else { return };
        self.backlog.retain(|(_, waiting)| *waiting != scope);
        if known.sent.revision < chain.revision() {
            self.backlog.insert((update_priority(chain, known.sent), scope));
        }
        if known.position.revision > 0 && known.ready < chain.prepared() {
            self.behind.insert(scope);
        } else {
            self.behind.remove(&scope);
        }
    }

    /// Returns the part of the session that matters while its lease may still run.
    pub(super) fn into_ended(self, holder: MemberId) -> EndedSession {
        let applied = self.scopes.iter().filter(|(_, known)| known.position.revision > 0);
        let ready = applied.map(|(scope, known)| (*scope, known.ready)).collect();
        EndedSession { holder, id: self.id, lease_expiry: self.lease_expiry, ready }
    }
}

/// Returns the priority of updating a holder from this position.
fn update_priority(chain: &ScopeChain, from: Position) -> Priority {
    let priority = |step: &Step| match step {
        Step::Prepare(changes) => Priority::of(changes),
        // Until its activation the intersection with the former version applies, so a delayed activation is safe.
        Step::Activate => Priority::Limit,
    };
    let links = chain.links_after(from).into_iter().flatten();
    links.map(|link| priority(&link.step)).min().unwrap_or(Priority::Other)
}
