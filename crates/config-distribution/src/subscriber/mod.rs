//! The holder's side of sessions: a planner's with its relays, and a relay's with the leader.
//!
//! A lease counts from the sending of the renewal that was answered. It covers the scopes whose status was in that
//! renewal or in one before.

mod uplink;

use crate::chain::{Position, Revision, ScopeId};
use crate::message::{Downward, Refusal, ScopeStatus, SessionId, Term, Upward};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;
use uplink::Uplink;

/// Time for which a node that did not answer is avoided, while other nodes are left.
const AVOID_FOR: Duration = Duration::from_secs(3);
/// Time between two checks if a more preferred node is back.
const RETURN_CHECK_INTERVAL: Duration = Duration::from_secs(20);
/// Minimum time between the beginnings of two sessions, as a fraction of the renewal interval.
const MIN_BEGIN_PAUSE: f64 = 0.5;
/// Range of the varying part of that time, as a fraction of the renewal interval.
const BEGIN_PAUSE_RANGE: f64 = 0.5;

/// The number of sessions of a subscriber, and the times at which it renews or ends them.
#[derive(Debug, Clone, Copy)]
pub struct SessionPolicy {
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Time without an answer after which a node is avoided.
    pub silence_timeout: Duration,
    /// Number of concurrent sessions.
    pub sessions: usize,
}

/// Messages with their receivers.
pub(crate) type Outgoing = Vec<(MemberId, Upward)>;

/// The position of a node in a scope, and the revision up to which it is ready.
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

/// The holder's side of a node's sessions.
#[derive(Debug, Clone)]
pub struct Subscriber {
    policy: SessionPolicy,
    start: u32,
    /// Number of sessions begun since the start of the node.
    sessions: u32,
    /// Nodes to begin sessions with, the most preferred first.
    candidates: Vec<MemberId>,
    /// Nodes to avoid, with the time until which they are avoided.
    avoided: BTreeMap<MemberId, Duration>,
    uplinks: Vec<Uplink>,
    held: BTreeMap<ScopeId, HeldScope>,
    term: Term,
    return_check_at: Duration,
    /// Time at which the next session may begin. Without a pause between sessions, all relays would ask all control
    /// machines in quick succession while no machine leads.
    begin_at: Duration,
}

impl Subscriber {
    /// Returns a subscriber without a session. `start` is the number of starts of the node; `sessions` is the number of
    /// sessions that the node has begun since the last start.
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

    /// Returns the number of sessions that were begun since the start of the node.
    pub fn sessions(&self) -> u32 {
        self.sessions
    }

    /// Returns the highest term that was seen.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns true if the node subscribes to a scope.
    pub fn subscribes(&self, scope: ScopeId) -> bool {
        self.held.contains_key(&scope)
    }

    /// Returns the nodes with which a session is running.
    pub fn servers(&self) -> Vec<MemberId> {
        self.uplinks.iter().map(Uplink::server).collect()
    }

    /// Returns the time until which the node may apply a scope.
    pub fn leased_until(&self, scope: ScopeId) -> Duration {
        self.uplinks.iter().map(|uplink| uplink.leased_until(scope)).max().unwrap_or_default()
    }

    /// Returns the time at which the last of the leases ends.
    pub fn any_leased_until(&self) -> Duration {
        self.uplinks.iter().map(Uplink::lease_expiry).max().unwrap_or_default()
    }

    /// Subscribes to a scope, or updates its status. A changed status is sent with the next call of
    /// [`Subscriber::timer_fired`].
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

    /// Returns the time at which [`Subscriber::timer_fired`] has to be called.
    pub fn next_timer(&self) -> Duration {
        if self.lacks_sessions() {
            return self.begin_at;
        }
        self.uplinks.iter().map(Uplink::next_timer).min().unwrap_or(Duration::MAX)
    }

    /// Begins sessions, renews leases, and avoids nodes that don't answer.
    pub fn timer_fired(&mut self, now: Duration, out: &mut Outgoing) {
        self.avoid_silent(now);
        self.return_to_preferred(now, out);
        while now >= self.begin_at && self.lacks_sessions() {
            let Some(server) = self.next_candidate(now) else { break };
            self.begin_session(now, server);
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

    /// Ends the session with the least preferred node if a more preferred one may be back. This is checked at
    /// intervals, and only while the lease of another session runs.
    fn return_to_preferred(&mut self, now: Duration, out: &mut Outgoing) {
        if now < self.return_check_at || self.uplinks.len() < 2 {
            return;
        }
        self.return_check_at = now + RETURN_CHECK_INTERVAL;
        let rank = |server: MemberId| {
            self.candidates.iter().position(|candidate| *candidate == server).unwrap_or(usize::MAX)
        };
        let ranks = self.uplinks.iter().map(|uplink| rank(uplink.server()));
        let Some((worst, worst_rank)) = ranks.enumerate().max_by_key(|(_, rank)| *rank) else { return };
        let better = self.next_candidate(now).is_some_and(|candidate| rank(candidate) < worst_rank);
        let others = self.uplinks.iter().enumerate().filter(|(index, _)| *index != worst);
        let others_leased = others.map(|(_, uplink)| uplink.lease_expiry()).any(|until| until > now);
        if better && others_leased {
            let removed = self.uplinks.remove(worst);
            out.push((removed.server(), removed.release()));
        }
    }

    /// Returns the most preferred node that has no session and is not avoided. If all nodes without a session are
    /// avoided, returns the most preferred of these.
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

    fn begin_session(&mut self, now: Duration, server: MemberId) {
        self.sessions += 1;
        if self.sessions as usize > self.policy.sessions {
            self.begin_at = now + self.begin_pause(server);
        }
        let session = SessionId { start: self.start, number: self.sessions };
        self.uplinks.push(Uplink::new(now, server, session));
    }

    /// Returns the pause before the next session. The pause differs by node and session, so that nodes don't begin
    /// sessions at the same time.
    fn begin_pause(&self, server: MemberId) -> Duration {
        // The pause is derived from a hash: these values and their order must not change.
        let seed = postcard::to_stdvec(&(server, self.sessions, self.start)).unwrap_or_default();
        let part = f64::from(blake3::hash(&seed).as_bytes()[0]) / f64::from(u8::MAX);
        self.policy.renew_interval.mul_f64(MIN_BEGIN_PAUSE + BEGIN_PAUSE_RANGE * part)
    }

    /// Handles a message from a distributor. The caller applies links and parts of snapshots.
    pub fn message_received(&mut self, now: Duration, from: MemberId, message: &Downward) {
        match message {
            Downward::Attached { session, term } => {
                self.observe_term(*term);
                if let Some(uplink) = self.uplink(from, *session) {
                    uplink.attached(now);
                }
            }
            Downward::Granted { session, term, count, lease } => {
                if *term >= self.term {
                    self.observe_term(*term);
                    self.granted(now, from, *session, *count, *lease);
                }
            }
            Downward::Refused { session, why } => self.refused(now, from, *session, *why),
            // The node is not avoided because of a repeated answer or one for a session that has ended.
            Downward::NotLeading { session, .. } if self.uplink(from, *session).is_none() => {}
            Downward::NotLeading { leader, .. } => self.not_leading(now, from, *leader),
            Downward::ShuttingDown => self.avoid(now, from),
            Downward::Links { .. } | Downward::Part(_) => {
                if let Some(uplink) = self.uplinks.iter_mut().find(|uplink| uplink.server() == from) {
                    uplink.message_received(now);
                }
            }
        }
    }

    fn refused(&mut self, now: Duration, from: MemberId, session: SessionId, why: Refusal) {
        if self.uplink(from, session).is_none() {
            return;
        }
        match why {
            // The node has most likely been restarted, so a new session with it may begin.
            Refusal::UnknownSession => self.uplinks.retain(|uplink| uplink.server() != from),
            Refusal::Full | Refusal::OtherHistory(_) | Refusal::OtherZone => self.avoid(now, from),
        }
    }

    /// Avoids a node that doesn't lead, and makes the leader the most preferred node if it is known.
    fn not_leading(&mut self, now: Duration, from: MemberId, leader: Option<MemberId>) {
        self.avoid(now, from);
        if let Some(leader) = leader.filter(|leader| self.candidates.contains(leader)) {
            self.avoided.remove(&leader);
            self.candidates.retain(|candidate| *candidate != leader);
            self.candidates.insert(0, leader);
        }
    }

    /// Updates the highest term that was seen. No lease from a lower term is accepted any more.
    pub fn observe_term(&mut self, term: Term) {
        self.term = self.term.max(term);
    }

    fn uplink(&mut self, server: MemberId, session: SessionId) -> Option<&mut Uplink> {
        self.uplinks.iter_mut().find(|uplink| uplink.matches(server, session))
    }

    fn granted(
        &mut self,
        now: Duration,
        from: MemberId,
        session: SessionId,
        count: u64,
        lease: Option<Duration>,
    ) {
        if let Some(uplink) = self.uplinks.iter_mut().find(|uplink| uplink.matches(from, session)) {
            uplink.granted(now, count, lease, &self.held);
        }
    }

    /// Ends all sessions and releases their leases; nothing may be applied by these leases any more.
    pub fn release(&mut self, out: &mut Outgoing) {
        out.extend(self.uplinks.drain(..).map(|uplink| (uplink.server(), uplink.release())));
    }
}
