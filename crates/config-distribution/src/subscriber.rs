//! The side of a session that holds: a planner at its relays, a relay at the leader.
//!
//! A lease counts from the sending of the renewal that was answered, and covers the scopes that this renewal, or one
//! before it, told of.

use crate::chain::{Position, Revision, ScopeId};
use crate::message::{Downward, Fact, Refusal, SessionId, Term, Upward};
use grebespool_leader_election::MemberId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A node that did not answer is not turned to for so long, while there are others.
const AVOIDED: Duration = Duration::from_secs(3);
/// Renewals whose answers are waited for.
const MOST_UNANSWERED: usize = 16;
/// Between two looks at whether a more preferred node is back.
const RETURN: Duration = Duration::from_secs(20);

/// How a subscriber behaves.
#[derive(Debug, Clone, Copy)]
pub struct Manner {
    /// Between two renewals.
    pub renew: Duration,
    /// Without an answer for so long, another node is turned to.
    pub silence: Duration,
    /// Sessions that it keeps up at once.
    pub sessions: usize,
}

#[derive(Debug, Clone)]
struct Sent {
    at: Duration,
    facts: Vec<(ScopeId, Position, Revision)>,
}

#[derive(Debug, Clone)]
struct Uplink {
    server: MemberId,
    session: SessionId,
    attached: bool,
    attach_at: Duration,
    heard_at: Duration,
    renew_at: Duration,
    count: u64,
    sent: BTreeMap<u64, Sent>,
    until: Duration,
    /// Scopes that the lease covers.
    covered: BTreeSet<ScopeId>,
    /// Scopes that are to be told of.
    untold: BTreeSet<ScopeId>,
}

/// Messages, and for whom.
pub type Outgoing = Vec<(MemberId, Upward)>;

/// The holding side of a node's sessions.
#[derive(Debug, Clone)]
pub struct Subscriber {
    manner: Manner,
    start: u32,
    sessions: u32,
    /// Nodes to turn to, the most preferred first.
    candidates: Vec<MemberId>,
    avoided: BTreeMap<MemberId, Duration>,
    uplinks: Vec<Uplink>,
    facts: BTreeMap<ScopeId, (Position, Revision)>,
    term: Term,
    return_at: Duration,
    /// The next session may begin then: while nobody leads, all relays would ask all machines without a pause.
    begin_at: Duration,
}

impl Subscriber {
    /// Without a session. `start`: how often the node was started; `sessions`: how many it has begun since.
    pub fn new(manner: Manner, start: u32, sessions: u32, candidates: Vec<MemberId>) -> Subscriber {
        Subscriber {
            manner,
            start,
            sessions,
            candidates,
            avoided: BTreeMap::new(),
            uplinks: vec![],
            facts: BTreeMap::new(),
            term: 0,
            return_at: Duration::ZERO,
            begin_at: Duration::ZERO,
        }
    }

    /// How many sessions it has begun.
    pub fn sessions(&self) -> u32 {
        self.sessions
    }

    /// The newest term that was seen.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Whether a scope is subscribed to.
    pub fn subscribes(&self, scope: ScopeId) -> bool {
        self.facts.contains_key(&scope)
    }

    /// Nodes that it has sessions with.
    pub fn servers(&self) -> Vec<MemberId> {
        self.uplinks.iter().map(|u| u.server).collect()
    }

    /// Until when the node may act on a scope.
    pub fn leased_until(&self, scope: ScopeId) -> Duration {
        let covering = self.uplinks.iter().filter(|u| u.covered.contains(&scope));
        covering.map(|u| u.until).max().unwrap_or_default()
    }

    /// Until when some lease runs.
    pub fn until(&self) -> Duration {
        self.uplinks.iter().map(|u| u.until).max().unwrap_or_default()
    }

    /// Subscribes to a scope, or tells that more of it is held or ready. Told at once where `urgent`.
    pub fn holds(&mut self, scope: ScopeId, held: Position, ready: Revision, urgent: bool) {
        if self.facts.insert(scope, (held, ready)) == Some((held, ready)) {
            return;
        }
        for uplink in &mut self.uplinks {
            uplink.untold.insert(scope);
            if urgent {
                uplink.renew_at = Duration::ZERO;
            }
        }
    }

    /// When [`Subscriber::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        if self.uplinks.len() < self.manner.sessions.min(self.candidates.len()) {
            return self.begin_at;
        }
        let of = |u: &Uplink| if u.attached { u.renew_at } else { u.attach_at };
        self.uplinks.iter().map(of).min().unwrap_or(Duration::MAX)
    }

    /// Time has passed: begins sessions, renews, and turns away from who is silent.
    pub fn woken(&mut self, now: Duration, out: &mut Outgoing) {
        let silent: Vec<MemberId> = self
            .uplinks
            .iter()
            .filter(|u| now >= u.heard_at + self.manner.silence)
            .map(|u| u.server)
            .collect();
        silent.into_iter().for_each(|server| self.avoid(now, server));
        self.go_back(now, out);
        while now >= self.begin_at && self.uplinks.len() < self.manner.sessions.min(self.candidates.len()) {
            let Some(server) = self.next_candidate(now) else { break };
            self.begin(now, server);
        }
        for index in 0..self.uplinks.len() {
            let uplink = &self.uplinks[index];
            if !uplink.attached && now >= uplink.attach_at {
                self.attach(now, index, out);
            } else if uplink.attached && now >= uplink.renew_at {
                self.renew(now, index, out);
            }
        }
    }

    /// Gives the less preferred of two sessions up for a more preferred node that may be back.
    fn go_back(&mut self, now: Duration, out: &mut Outgoing) {
        if now < self.return_at || self.uplinks.len() < 2 {
            return;
        }
        self.return_at = now + RETURN;
        let place =
            |server: MemberId| self.candidates.iter().position(|c| *c == server).unwrap_or(usize::MAX);
        let worst = (0..self.uplinks.len()).max_by_key(|i| place(self.uplinks[*i].server));
        let Some(worst) = worst else { return };
        let better = self.next_candidate(now).filter(|c| place(*c) < place(self.uplinks[worst].server));
        let others_leased = self.uplinks.iter().enumerate().any(|(i, u)| i != worst && u.until > now);
        if better.is_some() && others_leased {
            let gone = self.uplinks.remove(worst);
            out.push((gone.server, Upward::Release { session: gone.session }));
        }
    }

    fn next_candidate(&self, now: Duration) -> Option<MemberId> {
        let free = |c: &&MemberId| !self.uplinks.iter().any(|u| u.server == **c);
        let avoided = |c: &MemberId| self.avoided.get(c).is_some_and(|until| now < *until);
        let mut free = self.candidates.iter().filter(free).peekable();
        let first = free.peek().copied().copied();
        free.find(|c| !avoided(c)).copied().or(first)
    }

    fn avoid(&mut self, now: Duration, server: MemberId) {
        self.avoided.insert(server, now + AVOIDED);
        self.uplinks.retain(|u| u.server != server);
    }

    fn begin(&mut self, now: Duration, server: MemberId) {
        self.sessions += 1;
        if self.sessions as usize > self.manner.sessions {
            // Between a half and the whole of a renewal's time, another each time and for each node.
            let seed = postcard::to_stdvec(&(server, self.sessions, self.start)).unwrap_or_default();
            let part = f64::from(blake3::hash(&seed).as_bytes()[0]) / f64::from(u8::MAX);
            self.begin_at = now + self.manner.renew.mul_f64(0.5 + 0.5 * part);
        }
        self.uplinks.push(Uplink {
            server,
            session: SessionId { start: self.start, number: self.sessions },
            attached: false,
            attach_at: now,
            heard_at: now,
            renew_at: now,
            count: 0,
            sent: BTreeMap::new(),
            until: Duration::ZERO,
            covered: BTreeSet::new(),
            untold: BTreeSet::new(),
        });
    }

    fn attach(&mut self, now: Duration, index: usize, out: &mut Outgoing) {
        let fact = |(scope, (held, ready)): (&ScopeId, &(Position, Revision))| Fact {
            scope: *scope,
            held: *held,
            ready: *ready,
        };
        let facts: Vec<Fact> = self.facts.iter().map(fact).collect();
        let (term, renew) = (self.term, self.manner.renew);
        let uplink = &mut self.uplinks[index];
        uplink.attach_at = now + renew;
        uplink.untold = facts.iter().map(|f| f.scope).collect();
        out.push((uplink.server, Upward::Attach { session: uplink.session, term, facts }));
    }

    fn renew(&mut self, now: Duration, index: usize, out: &mut Outgoing) {
        let uplink = &mut self.uplinks[index];
        uplink.renew_at = now + self.manner.renew;
        uplink.count += 1;
        let facts = uplink.untold.iter().filter_map(|scope| {
            let (held, ready) = *self.facts.get(scope)?;
            Some(Fact { scope: *scope, held, ready })
        });
        let facts: Vec<Fact> = facts.collect();
        let told = facts.iter().map(|f| (f.scope, f.held, f.ready)).collect();
        uplink.sent.insert(uplink.count, Sent { at: now, facts: told });
        if uplink.sent.len() > MOST_UNANSWERED {
            uplink.sent.pop_first();
        }
        let (session, count) = (uplink.session, uplink.count);
        out.push((uplink.server, Upward::Renew { session, count, facts }));
    }

    /// An answer of a node. Links and parts are the caller's to apply.
    pub fn heard(&mut self, now: Duration, from: MemberId, message: &Downward) {
        match message {
            Downward::Attached { session, term } => {
                self.see(*term);
                if let Some(uplink) = self.uplink(from, *session) {
                    uplink.heard_at = now;
                    if !std::mem::replace(&mut uplink.attached, true) {
                        uplink.renew_at = now;
                    }
                }
            }
            Downward::Granted { session, term, count, lease } => {
                if *term >= self.term {
                    self.see(*term);
                    self.granted(now, (from, *session, *count), *lease);
                }
            }
            Downward::Refused { session, why } => {
                if self.uplink(from, *session).is_some() {
                    match why {
                        // It has been restarted, most likely: the session is begun anew at once.
                        Refusal::UnknownSession => self.uplinks.retain(|u| u.server != from),
                        _ => self.avoid(now, from),
                    }
                }
            }
            // One that was sent twice, or is of a session that was given up, is no reason to try another once more.
            Downward::NotLeading { session, .. } if self.uplink(from, *session).is_none() => {}
            Downward::NotLeading { leader, .. } => {
                self.avoid(now, from);
                if let Some(leader) = leader.filter(|l| self.candidates.contains(l)) {
                    self.avoided.remove(&leader);
                    self.candidates.retain(|c| *c != leader);
                    self.candidates.insert(0, leader);
                }
            }
            Downward::Leaving => self.avoid(now, from),
            Downward::Links { .. } | Downward::Part(_) => {
                if let Some(uplink) = self.uplinks.iter_mut().find(|u| u.server == from) {
                    uplink.heard_at = now;
                }
            }
        }
    }

    /// A term was seen: no lease of an older one is taken any more.
    pub fn see(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    fn uplink(&mut self, server: MemberId, session: SessionId) -> Option<&mut Uplink> {
        self.uplinks.iter_mut().find(|u| u.server == server && u.session == session)
    }

    fn granted(
        &mut self,
        now: Duration,
        (from, session, count): (MemberId, SessionId, u64),
        lease: Option<Duration>,
    ) {
        let facts = &self.facts;
        let of = |u: &&mut Uplink| u.server == from && u.session == session;
        let Some(uplink) = self.uplinks.iter_mut().find(of) else { return };
        uplink.heard_at = now;
        let (Some(lease), Some(sent)) = (lease, uplink.sent.get(&count)) else { return };
        uplink.until = uplink.until.max(sent.at + lease);
        for (scope, held, ready) in &sent.facts {
            // Of a scope that was told as not held, the other side does not count this node among those that act.
            if held.revision > 0 {
                uplink.covered.insert(*scope);
            }
            if facts.get(scope) == Some(&(*held, *ready)) {
                uplink.untold.remove(scope);
            }
        }
        uplink.sent = uplink.sent.split_off(&(count + 1));
    }

    /// Gives all leases back; nothing may be acted by any more.
    pub fn release(&mut self, out: &mut Outgoing) {
        for uplink in self.uplinks.drain(..) {
            out.push((uplink.server, Upward::Release { session: uplink.session }));
        }
    }
}
