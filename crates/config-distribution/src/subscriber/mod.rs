//! The holding side of sessions: a planner at its relays, a relay at the leader.
//!
//! A lease counts from the sending of the renewal that was answered, and covers the scopes whose status that renewal, or one
//! before it, told.

mod uplink;

use crate::chain::{Position, Revision, ScopeId};
use crate::message::{Downward, Refusal, ScopeStatus, SessionId, Term, Upward};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;
use uplink::Uplink;

/// A node that did not answer is avoided for so long, while there are others.
const AVOID_FOR: Duration = Duration::from_secs(3);
/// Between two looks at whether a more preferred node is back.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// Between the beginnings of two sessions, as fractions of the renewal interval.
const MIN_BEGIN_PAUSE: f64 = 0.5;
const BEGIN_PAUSE_RANGE: f64 = 0.5;

/// How many sessions a subscriber has, and when it renews or ends them.
#[derive(Debug, Clone, Copy)]
pub struct SessionPolicy {
    /// Between two renewals.
    pub renew_interval: Duration,
    /// A node that does not answer for so long is avoided.
    pub silence_timeout: Duration,
    /// Sessions that it keeps at once.
    pub sessions: usize,
}

/// Messages, and for whom.
pub(crate) type Outgoing = Vec<(MemberId, Upward)>;

/// What a node has of a scope, and up to which revision it is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldScope {
    position: Position,
    ready: Revision,
}

impl HeldScope {
    fn status(self, scope: ScopeId) -> ScopeStatus {
        ScopeStatus { scope, held: self.position, ready: self.ready }
    }
}

/// The holding side of a node's sessions.
#[derive(Debug, Clone)]
pub struct Subscriber {
    policy: SessionPolicy,
    start: u32,
    sessions: u32,
    /// Nodes to turn to, the most preferred first.
    candidates: Vec<MemberId>,
    avoided: BTreeMap<MemberId, Duration>,
    uplinks: Vec<Uplink>,
    held: BTreeMap<ScopeId, HeldScope>,
    term: Term,
    return_check_at: Duration,
    /// The next session may begin then. Without a pause, all relays would ask all control machines while nobody leads.
    begin_at: Duration,
}

impl Subscriber {
    /// Without a session. `start`: how often the node was started; `sessions`: how many it has begun since.
    pub fn new(policy: SessionPolicy, start: u32, sessions: u32, candidates: Vec<MemberId>) -> Subscriber {
        Subscriber {
            policy,
            start,
            sessions,
            candidates,
            avoided: BTreeMap::new(),
            uplinks: vec![],
            held: BTreeMap::new(),
            term: 0,
            return_check_at: Duration::ZERO,
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
        self.held.contains_key(&scope)
    }

    /// Nodes that it has sessions with.
    pub fn servers(&self) -> Vec<MemberId> {
        self.uplinks.iter().map(Uplink::server).collect()
    }

    /// Until when the node may apply a scope.
    pub fn leased_until(&self, scope: ScopeId) -> Duration {
        self.uplinks.iter().map(|uplink| uplink.leased_until(scope)).max().unwrap_or_default()
    }

    /// Until when any lease runs.
    pub fn any_leased_until(&self) -> Duration {
        self.uplinks.iter().map(Uplink::until).max().unwrap_or_default()
    }

    /// Subscribes to a scope, or tells at once that more of it is held or ready.
    pub fn set_status(&mut self, status: ScopeStatus) {
        let ScopeStatus { scope, held: position, ready } = status;
        let held = HeldScope { position, ready };
        if self.held.insert(scope, held) != Some(held) {
            self.uplinks.iter_mut().for_each(|uplink| uplink.status_changed(scope));
        }
    }

    fn lacks_sessions(&self) -> bool {
        self.uplinks.len() < self.policy.sessions.min(self.candidates.len())
    }

    /// When [`Subscriber::timer_fired`] is to be called next.
    pub fn next_timer(&self) -> Duration {
        if self.lacks_sessions() {
            return self.begin_at;
        }
        self.uplinks.iter().map(Uplink::next_timer).min().unwrap_or(Duration::MAX)
    }

    /// Begins sessions, renews, and avoids nodes that are silent.
    pub fn timer_fired(&mut self, now: Duration, out: &mut Outgoing) {
        self.avoid_silent(now);
        self.return_to_preferred(now, out);
        while now >= self.begin_at && self.lacks_sessions() {
            let Some(server) = self.next_candidate(now) else { break };
            self.begin(now, server);
        }
        for uplink in &mut self.uplinks {
            uplink.send_due(now, self.policy.renew_interval, self.term, &self.held, out);
        }
    }

    fn avoid_silent(&mut self, now: Duration) {
        let timeout = self.policy.silence_timeout;
        let silent = self.uplinks.iter().filter(|uplink| uplink.is_silent(now, timeout));
        let silent: Vec<MemberId> = silent.map(Uplink::server).collect();
        silent.into_iter().for_each(|server| self.avoid(now, server));
    }

    /// Ends the session with the less preferred of two nodes where a more preferred one may be back, at intervals.
    fn return_to_preferred(&mut self, now: Duration, out: &mut Outgoing) {
        if now < self.return_check_at || self.uplinks.len() < 2 {
            return;
        }
        self.return_check_at = now + RETURN_CHECK_INTERVAL;
        let place = |server: MemberId| {
            self.candidates.iter().position(|candidate| *candidate == server).unwrap_or(usize::MAX)
        };
        let places = self.uplinks.iter().map(|uplink| place(uplink.server()));
        let Some((worst, worst_place)) = places.enumerate().max_by_key(|(_, place)| *place) else { return };
        let better = self.next_candidate(now).is_some_and(|candidate| place(candidate) < worst_place);
        let others = self.uplinks.iter().enumerate().filter(|(index, _)| *index != worst);
        let others_leased = others.map(|(_, uplink)| uplink.until()).any(|until| until > now);
        if better && others_leased {
            let given_up = self.uplinks.remove(worst);
            out.push((given_up.server(), given_up.release()));
        }
    }

    /// The most preferred node without a session that is not avoided; the most preferred of all where all are avoided.
    fn next_candidate(&self, now: Duration) -> Option<MemberId> {
        let has_session =
            |candidate: &MemberId| self.uplinks.iter().any(|uplink| uplink.server() == *candidate);
        let is_avoided = |candidate: &MemberId| self.avoided.get(candidate).is_some_and(|until| now < *until);
        let free: Vec<MemberId> =
            self.candidates.iter().copied().filter(|candidate| !has_session(candidate)).collect();
        free.iter().find(|candidate| !is_avoided(candidate)).or(free.first()).copied()
    }

    fn avoid(&mut self, now: Duration, server: MemberId) {
        self.avoided.insert(server, now + AVOID_FOR);
        self.uplinks.retain(|uplink| uplink.server() != server);
    }

    fn begin(&mut self, now: Duration, server: MemberId) {
        self.sessions += 1;
        if self.sessions as usize > self.policy.sessions {
            self.begin_at = now + self.begin_pause(server);
        }
        let session = SessionId { start: self.start, number: self.sessions };
        self.uplinks.push(Uplink::new(now, server, session));
    }

    /// The pause before the next session: another one for each node and each time, so that not all begin together.
    fn begin_pause(&self, server: MemberId) -> Duration {
        let seed = postcard::to_stdvec(&(server, self.sessions, self.start)).unwrap_or_default();
        let part = f64::from(blake3::hash(&seed).as_bytes()[0]) / f64::from(u8::MAX);
        self.policy.renew_interval.mul_f64(MIN_BEGIN_PAUSE + BEGIN_PAUSE_RANGE * part)
    }

    /// A message of a distributor was received. Links and parts are the caller's to apply.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: &Downward) {
        match message {
            Downward::Attached { session, term } => {
                self.see_term(*term);
                if let Some(uplink) = self.uplink(from, *session) {
                    uplink.attached(now);
                }
            }
            Downward::Granted { session, term, count, lease } => {
                if *term >= self.term {
                    self.see_term(*term);
                    self.granted(now, from, *session, *count, *lease);
                }
            }
            Downward::Refused { session, why } => self.refused(now, from, *session, *why),
            // A repeated answer, or one of a session that was given up, is no reason to avoid the node.
            Downward::NotLeading { session, .. } if self.uplink(from, *session).is_none() => {}
            Downward::NotLeading { leader, .. } => self.not_leading(now, from, *leader),
            Downward::ShuttingDown => self.avoid(now, from),
            Downward::Links { .. } | Downward::Part(_) => {
                if let Some(uplink) = self.uplinks.iter_mut().find(|uplink| uplink.server() == from) {
                    uplink.heard(now);
                }
            }
        }
    }

    fn refused(&mut self, now: Duration, from: MemberId, session: SessionId, why: Refusal) {
        if self.uplink(from, session).is_none() {
            return;
        }
        match why {
            // It was restarted, most likely: a new session is begun at once.
            Refusal::UnknownSession => self.uplinks.retain(|uplink| uplink.server() != from),
            Refusal::Full | Refusal::OtherHistory(_) | Refusal::OtherZone => self.avoid(now, from),
        }
    }

    /// Turns to the leader first, where it is known.
    fn not_leading(&mut self, now: Duration, from: MemberId, leader: Option<MemberId>) {
        self.avoid(now, from);
        if let Some(leader) = leader.filter(|leader| self.candidates.contains(leader)) {
            self.avoided.remove(&leader);
            self.candidates.retain(|candidate| *candidate != leader);
            self.candidates.insert(0, leader);
        }
    }

    /// A term was seen: no lease of an older one is accepted any more.
    pub fn see_term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    fn uplink(&mut self, server: MemberId, session: SessionId) -> Option<&mut Uplink> {
        self.uplinks.iter_mut().find(|uplink| uplink.is(server, session))
    }

    fn granted(
        &mut self,
        now: Duration,
        from: MemberId,
        session: SessionId,
        count: u64,
        lease: Option<Duration>,
    ) {
        if let Some(uplink) = self.uplinks.iter_mut().find(|uplink| uplink.is(from, session)) {
            uplink.granted(now, count, lease, &self.held);
        }
    }

    /// Gives all leases back; nothing may be applied by them any more.
    pub fn release(&mut self, out: &mut Outgoing) {
        out.extend(self.uplinks.drain(..).map(|uplink| (uplink.server(), uplink.release())));
    }
}
