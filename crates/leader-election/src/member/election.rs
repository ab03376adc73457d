//! Elections: a round of pre-votes, then votes, each of which is made durable before it is granted.

use super::Member;
use super::role::{LeaderState, Role};
use crate::event::ElectionEvent;
use crate::host::Host;
use crate::membership::{MemberId, MembershipVersion};
use crate::message::Message;
use std::collections::BTreeSet;
use std::time::Duration;

impl<H: Host> Member<H> {
    /// Returns true if this member may now grant a vote or a pre-vote to the candidate.
    fn may_vote_for(
        &self,
        now: Duration,
        candidate: MemberId,
        version: MembershipVersion,
        leadership_transfer: bool,
    ) -> bool {
        let known = &self.hard_state.membership;
        let is_unpromised = now >= self.promised_until || leadership_transfer;
        let is_not_leading = !self.holds_lease(now) || leadership_transfer;
        self.is_active_voter()
            && now >= self.silent_until
            && is_unpromised
            && is_not_leading
            && version >= known.version
            && (known.contains(candidate) || version > known.version)
    }

    pub(super) fn start_pre_vote(&mut self, now: Duration) {
        if let Role::Follower { leader: Some(_) } = self.role {
            self.host.log(ElectionEvent::LeaderLost);
        }
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.hard_state.id]) };
        self.reset_election_timer(now);
        self.send_to_peers(&Message::PreVoteRequest {
            term: self.hard_state.term + 1,
            membership_version: self.hard_state.membership.version,
        });
        if self.hard_state.membership.has_quorum(|id| id == self.hard_state.id) {
            self.become_candidate(now, false);
        }
    }

    pub(super) fn receive_pre_vote_request(
        &mut self,
        now: Duration,
        from: MemberId,
        term: u64,
        version: MembershipVersion,
    ) {
        if term <= self.hard_state.term {
            self.host.send(from, Message::NewerTerm { term: self.hard_state.term });
        } else if self.may_vote_for(now, from, version, false) {
            self.host.send(from, Message::PreVoteGranted { term });
        }
    }

    pub(super) fn receive_pre_vote(&mut self, now: Duration, from: MemberId, term: u64) {
        if term != self.hard_state.term + 1 {
            return;
        }
        let Role::PreCandidate { granted } = &mut self.role else { return };
        granted.insert(from);
        if self.hard_state.membership.has_quorum(|id| granted.contains(&id)) {
            self.become_candidate(now, false);
        }
    }

    pub(super) fn receive_leadership_transfer(&mut self, now: Duration, from: MemberId, term: u64) {
        let may_stand = self.is_active_voter() && now >= self.silent_until;
        if self.follows(from) && term == self.hard_state.term && may_stand {
            self.host.log(ElectionEvent::LeadershipOffered);
            self.become_candidate(now, true);
        }
    }

    /// Votes for this member itself in the next term. The votes of the others are requested once that vote is durable.
    fn become_candidate(&mut self, now: Duration, leadership_transfer: bool) {
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.hard_state.id);
        self.role = Role::Candidate { leadership_transfer, requested_at: None, votes: BTreeSet::new() };
        self.reset_election_timer(now);
        self.persist();
        self.request_votes(now);
    }

    /// Requests the votes of the others, once, if this member is a candidate whose own vote is durable.
    pub(super) fn request_votes(&mut self, now: Duration) {
        if !self.is_durable() {
            return;
        }
        let Role::Candidate { leadership_transfer, requested_at, votes } = &mut self.role else { return };
        if requested_at.is_some() {
            return;
        }
        *requested_at = Some(now);
        votes.insert(self.hard_state.id);
        let request = Message::VoteRequest {
            term: self.hard_state.term,
            membership_version: self.hard_state.membership.version,
            leadership_transfer: *leadership_transfer,
        };
        self.send_to_peers(&request);
        self.count_votes(now);
    }

    pub(super) fn receive_vote_request(
        &mut self,
        now: Duration,
        from: MemberId,
        term: u64,
        version: MembershipVersion,
        leadership_transfer: bool,
    ) {
        if term < self.hard_state.term {
            return self.host.send(from, Message::NewerTerm { term: self.hard_state.term });
        }
        let has_free_vote =
            term > self.hard_state.term || self.hard_state.voted_for.is_none_or(|id| id == from);
        // The term is adopted only together with a vote. Otherwise a member that returns from a partition would depose a
        // leader whose heartbeats reach all other members.
        if !has_free_vote || !self.may_vote_for(now, from, version, leadership_transfer) {
            return;
        }
        self.adopt_term(now, term);
        if self.hard_state.voted_for.is_none() {
            self.hard_state.voted_for = Some(from);
            self.persist();
        }
        self.promised_until = now + self.parameters.lease_wait();
        self.follow(now, None);
        self.send_when_durable(from, Message::VoteGranted { term });
    }

    pub(super) fn receive_vote(&mut self, now: Duration, from: MemberId, term: u64) {
        if term == self.hard_state.term
            && let Role::Candidate { votes, requested_at: Some(_), .. } = &mut self.role
        {
            votes.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Duration) {
        let Role::Candidate { requested_at: Some(requested_at), votes, .. } = &self.role else { return };
        let membership = &self.hard_state.membership;
        if !membership.has_quorum(|id| votes.contains(&id)) {
            return;
        }
        // Each voter promised to vote for no other member for at least the length of the lease. The promises began after
        // the request was sent, so the lease may run from there.
        let lease_expires_at = *requested_at + self.parameters.lease;
        if now >= lease_expires_at && membership.voters.len() > 1 {
            return;
        }
        let leader = LeaderState::new(now, *requested_at, votes, lease_expires_at);
        self.start_leading(now, leader);
    }

    fn start_leading(&mut self, now: Duration, leader: LeaderState) {
        self.role = Role::Leader(leader);
        self.step_down_reason = None;
        // The membership is published again in this term, so that it supersedes one of an older term that only a minority
        // of the members may have.
        self.hard_state.membership.version = MembershipVersion { term: self.hard_state.term, number: 0 };
        self.persist();
        self.host.become_leader(self.hard_state.term);
        self.send_heartbeats(now);
    }
}
