//! The side of a session that distributes: the leader to relays, a relay to planners.
//!
//! It sends what holders lack, within their budgets and the most urgent first, answers for their leases, and says up to
//! which revision of a scope nobody who may act by one of its leases is behind. What waits for a holder is a set of
//! scopes, never a queue of messages, so it is bounded by what the holder subscribes to.

use crate::budget::{Rate, TokenBucket};
use crate::chain::{Position, Priority, Revision, ScopeChain, ScopeId, Step};
use crate::message::{Downward, Fact, Refusal, SessionId, SnapshotPart, Term};
use crate::settings::Settings;
use crate::store::Store;
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What was sent and is not confirmed so long after is sent again.
const RESEND: Duration = Duration::from_millis(1200);
/// Bytes of links beyond which a snapshot is cheaper to take in.
const MOST_LINK_BYTES: usize = 64 * 1024;
/// Bytes that a message costs beyond its body: length, authentication code, and the transport's headers.
const FRAME_BYTES: usize = 60;

/// What a distributor may spend and grant.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The longest lease that it grants.
    pub lease: Duration,
    /// How long a holder may be behind and still be granted one.
    pub patience: Duration,
    /// Bytes to one holder.
    pub budget: Rate,
    /// Holders at the most.
    pub most: usize,
}

impl Limits {
    /// Of a relay.
    pub fn of_relay(settings: &Settings) -> Limits {
        let Settings { planner_lease: lease, planner_patience: patience, planner_budget: budget, .. } =
            *settings;
        Limits { lease, patience, budget, most: settings.most_planners }
    }

    /// Of the leader.
    pub fn of_leader(settings: &Settings) -> Limits {
        let Settings { relay_lease: lease, relay_patience: patience, relay_budget: budget, .. } = *settings;
        Limits { lease, patience, budget, most: usize::MAX }
    }
}

/// What is known of a holder's scope.
#[derive(Debug, Clone, Copy, Default)]
struct Held {
    position: Position,
    ready: Revision,
    /// Up to where it was sent, and when.
    sent: Position,
    sent_at: Duration,
    /// The next part of a snapshot that is being sent, and of which position.
    next_part: Option<(Position, u32)>,
}

#[derive(Debug, Clone)]
struct Session {
    id: SessionId,
    scopes: BTreeMap<ScopeId, Held>,
    /// Its last lease is surely over then.
    until: Duration,
    /// Scopes of which something is to be sent, the most urgent first.
    waiting: BTreeSet<(Priority, ScopeId)>,
    /// Scopes that were sent and are not confirmed.
    unconfirmed: BTreeSet<ScopeId>,
    /// Scopes whose newest version it is not ready for.
    behind: BTreeSet<ScopeId>,
    bucket: TokenBucket,
}

/// A session that ended while its lease may still run.
#[derive(Debug, Clone)]
struct Ended {
    holder: MemberId,
    id: SessionId,
    until: Duration,
    ready: BTreeMap<ScopeId, Revision>,
}

/// By what right a node grants leases at the moment of a call.
pub struct Grantable<'a> {
    /// The leader's term.
    pub term: Term,
    /// How long its own lease lasts.
    pub lease_left: Option<Duration>,
    /// Whether that covers a scope.
    pub covers: &'a dyn Fn(ScopeId) -> bool,
}

/// Messages, and for whom.
pub type Outgoing = Vec<(MemberId, Downward)>;

/// The distributing side of all sessions of a node.
#[derive(Debug, Clone)]
pub struct Distributor {
    settings: Settings,
    limits: Limits,
    sessions: BTreeMap<MemberId, Session>,
    ended: Vec<Ended>,
    holders: BTreeMap<ScopeId, BTreeSet<MemberId>>,
    /// Up to which revision this node has said that nobody is behind.
    promised: BTreeMap<ScopeId, Revision>,
    /// Leases of a former life of this node are surely over then.
    free_from: Duration,
}

impl Distributor {
    /// Without sessions. `free_from`: until when leases may run that it knows nothing of.
    pub fn new(settings: Settings, limits: Limits, free_from: Duration) -> Distributor {
        Distributor {
            settings,
            limits,
            sessions: BTreeMap::new(),
            ended: vec![],
            holders: BTreeMap::new(),
            promised: BTreeMap::new(),
            free_from,
        }
    }

    /// Until when leases may run that it knows nothing of.
    pub fn free_from(&self) -> Duration {
        self.free_from
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
        self.sessions.get(&holder).map(|s| s.id.start)
    }

    /// A holder begins a session. The lease of its former one runs out by itself.
    pub fn attach(
        &mut self,
        now: Duration,
        store: &Store,
        (from, id, term): (MemberId, SessionId, Term),
        facts: &[Fact],
        out: &mut Outgoing,
    ) {
        match self.sessions.get(&from).map(|s| s.id.cmp(&id)) {
            Some(std::cmp::Ordering::Greater) => return,
            Some(std::cmp::Ordering::Equal) => {
                return out.push((from, Downward::Attached { session: id, term }));
            }
            Some(std::cmp::Ordering::Less) => self.end(now, from),
            None if self.sessions.len() >= self.limits.most => {
                return out.push((from, Downward::Refused { session: id, why: Refusal::Full }));
            }
            None => {}
        }
        let other = |f: &&Fact| {
            let own = store.position(f.scope);
            own.revision > 0 && own.revision == f.held.revision && own.hash != f.held.hash
        };
        if let Some(fact) = facts.iter().find(other) {
            let why = Refusal::OtherHistory(fact.scope);
            return out.push((from, Downward::Refused { session: id, why }));
        }
        let session = Session {
            id,
            scopes: BTreeMap::new(),
            until: Duration::ZERO,
            waiting: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            behind: BTreeSet::new(),
            bucket: TokenBucket::new(self.limits.budget, now),
        };
        self.sessions.insert(from, session);
        facts.iter().for_each(|fact| self.learn(store, from, fact));
        out.push((from, Downward::Attached { session: id, term }));
    }

    /// A holder may act by a lease of a former leader until then.
    pub fn assume_lease(&mut self, holder: MemberId, until: Duration) {
        if let Some(session) = self.sessions.get_mut(&holder) {
            session.until = session.until.max(until);
        }
    }

    /// What a holder says of a scope. Facts only grow, so an older one that comes late changes nothing.
    fn learn(&mut self, store: &Store, from: MemberId, fact: &Fact) {
        let Some(session) = self.sessions.get_mut(&from) else { return };
        let held = session.scopes.entry(fact.scope).or_default();
        if fact.held.revision >= held.position.revision {
            held.position = fact.held;
        }
        held.ready = held.ready.max(fact.ready.min(fact.held.revision));
        if held.sent.revision <= held.position.revision {
            held.sent = held.position;
            session.unconfirmed.remove(&fact.scope);
        }
        self.holders.entry(fact.scope).or_default().insert(from);
        self.compare(store, fact.scope, from);
    }

    /// Notes whether a holder has to be sent something, and whether it is behind.
    fn compare(&mut self, store: &Store, scope: ScopeId, holder: MemberId) {
        let (Some(session), Some(chain)) = (self.sessions.get_mut(&holder), store.chain(scope)) else {
            return;
        };
        let Some(held) = session.scopes.get(&scope) else { return };
        session.waiting.retain(|(_, waiting)| *waiting != scope);
        if held.sent.revision < chain.revision() {
            session.waiting.insert((urgency(chain, held.sent), scope));
        }
        if held.position.revision > 0 && held.ready < chain.prepared() {
            session.behind.insert(scope);
        } else {
            session.behind.remove(&scope);
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
        (from, id, count): (MemberId, SessionId, u64),
        facts: &[Fact],
        authority: &Grantable,
        out: &mut Outgoing,
    ) {
        let Grantable { term, lease_left, covers } = *authority;
        if self.sessions.get(&from).is_none_or(|s| s.id != id) {
            let newer = self.sessions.get(&from).is_some_and(|s| s.id > id);
            if !newer {
                out.push((from, Downward::Refused { session: id, why: Refusal::UnknownSession }));
            }
            return;
        }
        facts.iter().for_each(|fact| self.learn(store, from, fact));
        self.resend(now, store, from);
        let lease = lease_left
            .map(|left| left.min(self.limits.lease))
            .filter(|lease| !lease.is_zero() && self.may_grant(now, store, from, facts, covers));
        let wait = lease.map(|lease| self.settings.outlasting(lease));
        if let (Some(session), Some(wait)) = (self.sessions.get_mut(&from), wait) {
            session.until = session.until.max(now + wait);
        }
        out.push((from, Downward::Granted { session: id, term, count, lease }));
    }

    /// Whether a holder may act by what it has: it is not behind what this node has promised, nor for longer than it may.
    fn may_grant(
        &self,
        now: Duration,
        store: &Store,
        holder: MemberId,
        facts: &[Fact],
        covered: &dyn Fn(ScopeId) -> bool,
    ) -> bool {
        let Some(session) = self.sessions.get(&holder) else { return false };
        let late = |scope: &ScopeId| {
            let (Some(chain), Some(held)) = (store.chain(*scope), session.scopes.get(scope)) else {
                return false;
            };
            let promised = self.promised.get(scope).copied().unwrap_or_default();
            let overdue = now >= store.advanced_at(*scope) + self.limits.patience;
            held.ready < chain.required().max(promised) || overdue
        };
        facts.iter().all(|f| f.held.revision == 0 || covered(f.scope)) && !session.behind.iter().any(late)
    }

    fn resend(&mut self, now: Duration, store: &Store, holder: MemberId) {
        let Some(session) = self.sessions.get_mut(&holder) else { return };
        let mut again = vec![];
        for scope in &session.unconfirmed {
            if let Some(held) = session.scopes.get_mut(scope)
                && now >= held.sent_at + RESEND
            {
                (held.sent, held.next_part) = (held.position, None);
                again.push(*scope);
            }
        }
        session.unconfirmed.retain(|scope| !again.contains(scope));
        again.into_iter().for_each(|scope| self.compare(store, scope, holder));
    }

    /// A holder gives its lease back, and with it the session.
    pub fn release(&mut self, from: MemberId, id: SessionId) {
        if self.sessions.get(&from).is_some_and(|s| s.id == id) {
            self.forget(from);
        }
        // Leases of a former life of the holder, which those behind it may still act by, are none of these.
        self.ended.retain(|e| (e.holder, e.id) != (from, id));
    }

    /// Ends a session whose lease may still run.
    fn end(&mut self, now: Duration, holder: MemberId) {
        let Some(session) = self.forget(holder) else { return };
        if now < session.until {
            let acting = session.scopes.iter().filter(|(_, held)| held.position.revision > 0);
            let ready = acting.map(|(scope, held)| (*scope, held.ready)).collect();
            self.ended.push(Ended { holder, id: session.id, until: session.until, ready });
        }
    }

    fn forget(&mut self, holder: MemberId) -> Option<Session> {
        let session = self.sessions.remove(&holder)?;
        for scope in session.scopes.keys() {
            if let Some(holders) = self.holders.get_mut(scope) {
                holders.remove(&holder);
                if holders.is_empty() {
                    self.holders.remove(scope);
                }
            }
        }
        Some(session)
    }

    /// Drops sessions that have not renewed for long, and leases that are over. Gives the holders that are gone.
    pub fn expire(&mut self, now: Duration, silence: Duration) -> Vec<MemberId> {
        self.ended.retain(|e| now < e.until);
        let silent = |s: &Session| now >= s.until + silence && !s.until.is_zero();
        let gone: Vec<MemberId> =
            self.sessions.iter().filter(|(_, s)| silent(s)).map(|(id, _)| *id).collect();
        gone.iter().for_each(|holder| drop(self.forget(*holder)));
        gone
    }

    /// Up to which revision of a scope nobody is behind who may act by a lease of this node. No bound where there is nobody.
    pub fn ready(&self, now: Duration, scope: ScopeId) -> Revision {
        if now < self.free_from {
            return 0;
        }
        let holders = self.holders.get(&scope).into_iter().flatten();
        let sessions = holders.filter_map(|holder| self.sessions.get(holder)).filter(|s| now < s.until);
        let held = sessions.filter_map(|s| s.scopes.get(&scope)).filter(|h| h.position.revision > 0);
        let ended = self.ended.iter().filter(|e| now < e.until).filter_map(|e| e.ready.get(&scope).copied());
        held.map(|h| h.ready).chain(ended).min().unwrap_or(Revision::MAX)
    }

    /// When leases that hold up a scope end at the latest.
    pub fn ready_at(&self, now: Duration, scope: ScopeId, revision: Revision) -> Duration {
        let holders = self.holders.get(&scope).into_iter().flatten();
        let sessions = holders.filter_map(|holder| self.sessions.get(holder));
        let behind = |s: &&Session| {
            s.scopes.get(&scope).is_some_and(|h| h.position.revision > 0 && h.ready < revision)
        };
        let ended =
            self.ended.iter().filter(|e| e.ready.get(&scope).is_some_and(|r| *r < revision)).map(|e| e.until);
        sessions
            .filter(behind)
            .map(|s| s.until)
            .chain(ended)
            .chain([self.free_from])
            .max()
            .unwrap_or(now)
            .max(now)
    }

    /// From here on no lease is granted to who is behind this revision.
    pub fn promise(&mut self, scope: ScopeId, revision: Revision) {
        let promised = self.promised.entry(scope).or_default();
        *promised = (*promised).max(revision);
    }

    /// Sends what waits, as far as budgets allow. Gives when to call it again, if anything still waits.
    pub fn flush(&mut self, now: Duration, store: &Store, out: &mut Outgoing) -> Option<Duration> {
        let part_bytes = self.settings.part_bytes;
        let mut again: Option<Duration> = None;
        for (holder, session) in self.sessions.iter_mut().filter(|(_, s)| !s.waiting.is_empty()) {
            while let Some((priority, scope)) = session.waiting.first().copied() {
                let Some(chain) = store.chain(scope) else {
                    session.waiting.pop_first();
                    continue;
                };
                let Some(held) = session.scopes.get_mut(&scope) else {
                    session.waiting.pop_first();
                    continue;
                };
                let (message, bytes) = next_message(chain, held, part_bytes);
                // A drain does not wait for what was sent before it; the rest then waits for longer.
                if priority > Priority::Drain && !session.bucket.allows(now, bytes) {
                    let ready = session.bucket.ready_at(now, bytes);
                    again = Some(again.map_or(ready, |at| at.min(ready)));
                    break;
                }
                session.bucket.spend(now, bytes);
                out.push((*holder, message));
                if held.next_part.is_none() {
                    (held.sent, held.sent_at) = (chain.position(), now);
                    session.unconfirmed.insert(scope);
                    session.waiting.pop_first();
                }
            }
        }
        again
    }
}

/// How urgent it is to bring a holder from this position up to date.
fn urgency(chain: &ScopeChain, from: Position) -> Priority {
    let one = |step: &Step| match step {
        Step::Prepare(changes) => Priority::of(changes),
        // Until it is activated nothing that it raises is in force; nothing breaks by that.
        Step::Activate => Priority::Limit,
    };
    chain.links_after(from).into_iter().flatten().map(|l| one(&l.step)).min().unwrap_or(Priority::Other)
}

/// The next message that brings a holder up to date, and what it costs. Advances the parts of a snapshot.
fn next_message(chain: &ScopeChain, held: &mut Held, part_bytes: usize) -> (Downward, usize) {
    if held.next_part.is_none()
        && let Some(links) = chain.links_after(held.sent)
    {
        let links: Vec<_> = links.into_iter().cloned().collect();
        let bytes = postcard::to_stdvec(&links).map_or(0, |b| b.len());
        if bytes <= MOST_LINK_BYTES {
            return (Downward::Links { links }, bytes + FRAME_BYTES);
        }
    }
    let snapshot = chain.snapshot();
    let parts = snapshot.state.len().div_ceil(part_bytes).max(1) as u32;
    let part = held.next_part.filter(|(of, _)| *of == snapshot.position).map_or(0, |(_, part)| part);
    let from = part as usize * part_bytes;
    let bytes = snapshot.state[from..snapshot.state.len().min(from + part_bytes)].to_vec();
    held.next_part = (part + 1 < parts).then_some((snapshot.position, part + 1));
    let cost = bytes.len() + FRAME_BYTES;
    let (scope, position, parent) = (snapshot.scope, snapshot.position, snapshot.parent);
    (Downward::Part(SnapshotPart { scope, position, parent, part, parts, bytes }), cost)
}
