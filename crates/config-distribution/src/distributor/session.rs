//! What a distributor knows of one holder.

use crate::budget::{Rate, TokenBucket};
use crate::chain::{Position, Priority, Revision, ScopeChain, ScopeId, Step};
use crate::message::{ScopeStatus, SessionId};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The next part of a snapshot that is being sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct NextPart {
    /// The position of the snapshot.
    pub(super) position: Position,
    pub(super) part: u32,
}

/// What is known of a holder's scope.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HolderScope {
    pub(super) position: Position,
    pub(super) ready: Revision,
    /// Up to where it was sent, and when.
    pub(super) sent: Position,
    pub(super) sent_at: Duration,
    pub(super) next_part: Option<NextPart>,
}

/// One holder's session.
#[derive(Debug, Clone)]
pub(super) struct Session {
    pub(super) id: SessionId,
    pub(super) scopes: BTreeMap<ScopeId, HolderScope>,
    /// Its last lease has expired by then.
    pub(super) until: Duration,
    /// Scopes of which something is to be sent, the most urgent first.
    pub(super) waiting: BTreeSet<(Priority, ScopeId)>,
    /// Scopes that were sent and are not confirmed.
    pub(super) unconfirmed: BTreeSet<ScopeId>,
    /// Scopes whose newest version it is not ready for.
    pub(super) behind: BTreeSet<ScopeId>,
    pub(super) bucket: TokenBucket,
}

/// A session that ended while its lease may still run.
#[derive(Debug, Clone)]
pub(super) struct EndedSession {
    pub(super) holder: MemberId,
    pub(super) id: SessionId,
    pub(super) until: Duration,
    /// Up to which revision the holder was ready, of each scope that it applied.
    pub(super) ready: BTreeMap<ScopeId, Revision>,
}

impl Session {
    pub(super) fn new(now: Duration, id: SessionId, budget: Rate) -> Session {
        Session {
            id,
            scopes: BTreeMap::new(),
            until: Duration::ZERO,
            waiting: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            behind: BTreeSet::new(),
            bucket: TokenBucket::new(budget, now),
        }
    }

    /// Scopes that the holder subscribes to.
    pub(super) fn scopes(&self) -> impl Iterator<Item = &ScopeId> {
        self.scopes.keys()
    }

    /// Up to which revision the holder is ready.
    pub(super) fn ready(&self, scope: ScopeId) -> Option<Revision> {
        self.scopes.get(&scope).map(|known| known.ready)
    }

    /// Takes the status of a scope.
    pub(super) fn learn(&mut self, status: &ScopeStatus) {
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

    /// Notes whether something of a scope is to be sent, and whether the holder is behind.
    pub(super) fn compare(&mut self, chain: &ScopeChain) {
        let scope = chain.scope();
        let Some(known) = self.scopes.get(&scope) else { return };
        self.waiting.retain(|(_, waiting)| *waiting != scope);
        if known.sent.revision < chain.revision() {
            self.waiting.insert((urgency(chain, known.sent), scope));
        }
        if known.position.revision > 0 && known.ready < chain.prepared() {
            self.behind.insert(scope);
        } else {
            self.behind.remove(&scope);
        }
    }

    /// What remains of the session while its lease may still run.
    pub(super) fn end(self, holder: MemberId) -> EndedSession {
        let applied = self.scopes.iter().filter(|(_, known)| known.position.revision > 0);
        let ready = applied.map(|(scope, known)| (*scope, known.ready)).collect();
        EndedSession { holder, id: self.id, until: self.until, ready }
    }
}

/// How urgent it is to bring a holder from this position up to date.
fn urgency(chain: &ScopeChain, from: Position) -> Priority {
    let priority = |step: &Step| match step {
        Step::Prepare(changes) => Priority::of(changes),
        // What it raises is not in force until it is activated, so nothing breaks meanwhile.
        Step::Activate => Priority::Limit,
    };
    let links = chain.links_after(from).into_iter().flatten();
    links.map(|link| priority(&link.step)).min().unwrap_or(Priority::Other)
}
