//! The state machine of one member. This module dispatches messages and timers, and holds the state that all roles share.
//!
//! Votes are in `election`, heartbeats and the leader lease in `lease`, changes of the set of voters in
//! `membership_change`, durable writes in `persistence`.

mod election;
mod lease;
mod membership_change;
mod persistence;
mod role;

use crate::durable_outbox::DurableOutbox;
use crate::error::MembershipError;
use crate::event::{ElectionEvent, StepDownReason};
use crate::host::{HardState, Host};
use crate::lease_parameters::LeaseParameters;
use crate::membership::MemberId;
use crate::message::Message;
use crate::status::{MemberRole, Status};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use role::Role;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum random part of the election timeout, as a multiple of [`LeaseParameters::lease_wait`]. The random part
/// makes it unlikely that two members become candidates at the same time.
const ELECTION_JITTER: f64 = 0.6;

/// One member of a fleet. All times are by the member's own clock.
#[derive(Debug, Clone)]
pub struct Member<H> {
    host: H,
    hard_state: HardState,
    storage_failed: bool,
    parameters: LeaseParameters,
    rng: Pcg64Mcg,
    role: Role,
    /// The time until which the member grants no vote, since it voted or received a heartbeat; a candidate to which the
    /// leader transfers its leadership is exempt.
    promised_until: Duration,
    /// The time until which the member grants no vote to anyone: it may have made a promise before it was restarted.
    silent_until: Duration,
    election_at: Duration,
    /// Messages that wait for a revision of the hard state to be durable.
    outbox: DurableOutbox<Message>,
    last_heartbeat_at: Duration,
    step_down_reason: Option<StepDownReason>,
    /// The newest revision of its hard state that each other member reported.
    peer_revisions: BTreeMap<MemberId, u64>,
}

impl<H: Host> Member<H> {
    /// Creates a member from the state that was found on disk. Unless it is the only voter, the member grants no vote
    /// within its first [`LeaseParameters::lease_wait`], since it does not know what it promised before it was restarted.
    /// `seed` seeds the election jitter.
    pub fn new(
        host: H,
        hard_state: HardState,
        parameters: LeaseParameters,
        seed: u64,
        now: Duration,
    ) -> Member<H> {
        let is_alone = hard_state.membership.voters.len() == 1;
        let silent_until = if is_alone { now } else { now + parameters.lease_wait() };
        let mut member = Member {
            host,
            outbox: DurableOutbox::new(hard_state.revision),
            hard_state,
            storage_failed: false,
            parameters,
            rng: Pcg64Mcg::seed_from_u64(seed),
            role: Role::Follower { leader: None },
            promised_until: now,
            silent_until,
            election_at: silent_until,
            last_heartbeat_at: now,
            step_down_reason: None,
            peer_revisions: BTreeMap::new(),
        };
        if !is_alone {
            member.reset_election_timer(now);
        }
        member
    }

    /// Returns the host.
    pub fn host(&mut self) -> &mut H {
        &mut self.host
    }

    /// Returns the newest hard state, which may not be durable yet.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Returns the time at which [`Member::timer_fired`] must be called next.
    pub fn next_deadline(&self) -> Duration {
        match &self.role {
            Role::Leader(leader) => leader.next_heartbeat_at.min(leader.lease_expires_at),
            _ => self.election_at,
        }
    }

    /// Returns true if this member may send an order at this moment. `now` must be read right before the call: the lease may
    /// have expired during a stall, whatever the member was doing.
    pub fn holds_lease(&self, now: Duration) -> bool {
        matches!(&self.role, Role::Leader(leader) if now < leader.lease_expires_at)
    }

    /// Returns the time at which this member's lease as leader expires; zero if it does not lead.
    pub fn lease_expires_at(&self) -> Duration {
        match &self.role {
            Role::Leader(leader) => leader.lease_expires_at,
            _ => Duration::ZERO,
        }
    }

    /// Returns true if this member leads as far as it knows; its lease may have expired meanwhile.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the newest term that this member has seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader, as far as this member knows.
    pub fn leader(&self) -> Option<MemberId> {
        match &self.role {
            Role::Follower { leader } => *leader,
            Role::Leader(_) => Some(self.hard_state.id),
            _ => None,
        }
    }

    /// Returns the state that is reported to operators.
    pub fn status(&self, now: Duration) -> Status {
        let (role, since) = self.reported_role(now);
        let leader = match &self.role {
            Role::Leader(leader) => Some(leader),
            _ => None,
        };
        Status {
            id: self.hard_state.id,
            role,
            term: self.hard_state.term,
            since,
            step_down_reason: self.step_down_reason,
            membership: self.hard_state.membership.clone(),
            membership_committed: leader.is_some_and(|leader| self.is_membership_committed(leader)),
            unreachable: leader.map_or_else(Vec::new, |leader| self.unreachable_voters(leader, now)),
        }
    }

    fn reported_role(&self, now: Duration) -> (MemberRole, Duration) {
        let role = match &self.role {
            Role::Leader(leader) => return (MemberRole::Leader, leader.since),
            _ if !self.is_active_voter() => MemberRole::NonVoting,
            Role::Follower { leader: Some(id) } if now < self.promised_until => MemberRole::Follower(*id),
            _ if now < self.silent_until => MemberRole::NonVoting,
            _ => MemberRole::NoLeader,
        };
        (role, self.last_heartbeat_at)
    }

    /// Handles the connection of another member, which reported the revision of its hard state.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError::NotAMember`] if this member is a voter and the other is not, and
    /// [`MembershipError::StaleState`] if the other member reported a newer revision before.
    pub fn peer_connected(&mut self, id: MemberId, revision: u64) -> Result<(), MembershipError> {
        let membership = &self.hard_state.membership;
        if !membership.contains(id) && membership.contains(self.hard_state.id) {
            return Err(MembershipError::NotAMember);
        }
        let known = self.peer_revisions.entry(id).or_insert(revision);
        if revision < *known {
            return Err(MembershipError::StaleState { reported: revision, known: *known });
        }
        *known = revision;
        Ok(())
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Duration, from: MemberId, message: Message) {
        match message {
            Message::PreVoteRequest { term, membership_version } => {
                self.receive_pre_vote_request(now, from, term, membership_version);
            }
            Message::PreVoteGranted { term } => self.receive_pre_vote(now, from, term),
            Message::VoteRequest { term, membership_version, leadership_transfer } => {
                self.receive_vote_request(now, from, term, membership_version, leadership_transfer);
            }
            Message::VoteGranted { term } => self.receive_vote(now, from, term),
            Message::Heartbeat { term, number, .. } => self.receive_heartbeat(now, from, term, number),
            Message::HeartbeatAck { term, number, membership_version } => {
                self.receive_heartbeat_ack(now, from, term, number, membership_version);
            }
            Message::NewerTerm { term } => self.adopt_term(now, term),
            Message::MembershipUpdate { term, membership } => {
                self.receive_membership(now, from, term, membership);
            }
            Message::TransferLeadership { term } => self.receive_leadership_transfer(now, from, term),
        }
    }

    /// Handles the expiry of [`Member::next_deadline`].
    pub fn timer_fired(&mut self, now: Duration) {
        match &self.role {
            Role::Leader(leader) if now >= leader.lease_expires_at => {
                self.stop_leading(now, StepDownReason::LeaseExpired);
            }
            Role::Leader(leader) if now >= leader.next_heartbeat_at => {
                self.send_heartbeats(now);
                self.leave_if_removed(now);
            }
            Role::Leader(_) => {}
            _ if now < self.election_at => {}
            _ if !self.is_active_voter() || now < self.silent_until || now < self.promised_until => {
                self.reset_election_timer(now);
            }
            _ => self.start_pre_vote(now),
        }
    }

    /// Handles a newer term that a proxy reports: another leader was elected, or the fleet was set up again and its terms
    /// must continue from that one.
    pub fn higher_term_seen(&mut self, now: Duration, term: u64) {
        self.adopt_term(now, term);
    }

    /// Adopts the term if it is newer than this member's own, which ends this member's leadership.
    fn adopt_term(&mut self, now: Duration, term: u64) {
        if term > self.hard_state.term {
            self.stop_leading(now, StepDownReason::HigherTerm(term));
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.persist();
        }
    }

    fn follow(&mut self, now: Duration, leader: Option<MemberId>) {
        let is_known = matches!(&self.role, Role::Follower { leader: known } if *known == leader);
        if !is_known {
            if let Some(id) = leader {
                let leader = self.member_name(id);
                self.host.log(ElectionEvent::FollowsLeader { leader, term: self.hard_state.term });
            }
            self.role = Role::Follower { leader };
        }
        self.reset_election_timer(now);
    }

    fn stop_leading(&mut self, now: Duration, reason: StepDownReason) {
        if let Role::Leader(_) = self.role {
            self.step_down_reason = Some(reason);
            self.host.step_down(self.hard_state.term, reason);
        }
        self.follow(now, None);
    }

    fn reset_election_timer(&mut self, now: Duration) {
        let jitter = self.parameters.lease_wait().mul_f64(self.rng.random_range(0.0..ELECTION_JITTER));
        let earliest = now.max(self.promised_until).max(self.silent_until);
        self.election_at = earliest + jitter + self.parameters.heartbeat_interval;
    }

    fn is_active_voter(&self) -> bool {
        self.hard_state.membership.contains(self.hard_state.id) && !self.storage_failed
    }

    fn follows(&self, id: MemberId) -> bool {
        matches!(&self.role, Role::Follower { leader: Some(leader) } if *leader == id)
    }

    fn member_name(&self, id: MemberId) -> String {
        let voter = self.hard_state.membership.voters.get(&id);
        voter.map_or_else(|| format!("{id:016x}"), |voter| voter.name.clone())
    }

    fn send_to_peers(&mut self, message: &Message) {
        for peer in self.hard_state.membership.peers_of(self.hard_state.id) {
            self.host.send(peer, message.clone());
        }
    }
}
