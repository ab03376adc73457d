//! Changes of the set of voters, which the leader publishes one voter at a time.

use super::Member;
use super::role::{LeaderState, Role};
use crate::error::MembershipError;
use crate::event::{ElectionEvent, StepDownReason};
use crate::host::Host;
use crate::membership::{MemberId, Membership, Voter};
use crate::message::Message;
use std::time::Duration;

impl<H: Host> Member<H> {
    /// Adds a voter.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError::NotLeader`] if this member does not lead, [`MembershipError::ChangePending`] if the
    /// previous change is not committed, and [`MembershipError::AlreadyMember`] if the name or the id is taken.
    pub fn add_voter(&mut self, now: Duration, id: MemberId, voter: Voter) -> Result<(), MembershipError> {
        self.check_change_allowed()?;
        let membership = &mut self.hard_state.membership;
        let is_name_taken = membership.voters.values().any(|known| known.name == voter.name);
        if membership.contains(id) || is_name_taken {
            return Err(MembershipError::AlreadyMember(voter.name));
        }
        membership.voters.insert(id, voter);
        self.publish_membership(now);
        Ok(())
    }

    /// Removes a voter. A leader that removes itself leads until a quorum of the others has the new membership.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError::NotLeader`] if this member does not lead, [`MembershipError::ChangePending`] if the
    /// previous change is not committed, [`MembershipError::UnknownMember`] if no voter has the name, and
    /// [`MembershipError::LastMember`] if the voter is the only one.
    pub fn remove_voter(&mut self, now: Duration, name: &str) -> Result<(), MembershipError> {
        self.check_change_allowed()?;
        let voters = &mut self.hard_state.membership.voters;
        let Some(id) = voters.iter().find(|(_, voter)| voter.name == name).map(|(id, _)| *id) else {
            return Err(MembershipError::UnknownMember(name.into()));
        };
        if voters.len() == 1 {
            return Err(MembershipError::LastMember);
        }
        voters.remove(&id);
        self.publish_membership(now);
        if id != self.hard_state.id {
            self.host.log(ElectionEvent::VoterRemoved { name: name.into() });
            // The removed voter receives the membership too, so that it stops standing for election. Safety does not depend
            // on whether this message arrives.
            let update = self.membership_update();
            self.send_when_durable(id, update);
        }
        Ok(())
    }

    /// Hands the leadership over to the voter that acknowledged a heartbeat last.
    ///
    /// # Errors
    ///
    /// Returns [`MembershipError::NotLeader`] if this member does not lead, and [`MembershipError::LastMember`] if it is the
    /// only voter.
    pub fn step_down(&mut self, now: Duration) -> Result<(), MembershipError> {
        let Role::Leader(leader) = &self.role else { return Err(self.not_leader()) };
        let peers = self.hard_state.membership.peers_of(self.hard_state.id);
        let acknowledged = |id: &MemberId| leader.acknowledged.get(id).copied().unwrap_or_default();
        let Some(successor) = peers.into_iter().max_by_key(|id| (acknowledged(id), *id)) else {
            return Err(MembershipError::LastMember);
        };
        let term = self.hard_state.term;
        self.stop_leading(now, StepDownReason::Requested);
        // Voters may vote for the successor at once, this member included. This member's own election timer still runs, so
        // it becomes a candidate again only if nobody is elected.
        self.promised_until = now;
        self.host.send(successor, Message::TransferLeadership { term });
        Ok(())
    }

    pub(super) fn receive_membership(
        &mut self,
        now: Duration,
        from: MemberId,
        term: u64,
        membership: Membership,
    ) {
        let is_newer = membership.version > self.hard_state.membership.version;
        if term != self.hard_state.term || !self.follows(from) || !is_newer {
            return;
        }
        let was_voter = self.hard_state.membership.contains(self.hard_state.id);
        let version = membership.version;
        self.hard_state.membership = membership;
        self.persist();
        match (was_voter, self.hard_state.membership.contains(self.hard_state.id)) {
            (true, false) => self.host.log(ElectionEvent::LostVote),
            (false, true) => self.host.log(ElectionEvent::BecameVoter),
            _ => {}
        }
        self.reset_election_timer(now);
        self.send_when_durable(from, Message::HeartbeatAck { term, number: 0, membership_version: version });
    }

    /// Returns true if a quorum has the newest membership on disk.
    pub(super) fn is_membership_committed(&self, leader: &LeaderState) -> bool {
        let newest = self.hard_state.membership.version;
        let has_newest = |id| leader.durable_versions.get(&id).is_some_and(|version| *version == newest);
        self.hard_state.membership.has_quorum(has_newest)
    }

    /// Stops leading if this leader removed itself and a quorum of the others has the new membership.
    pub(super) fn leave_if_removed(&mut self, now: Duration) {
        if let Role::Leader(leader) = &self.role
            && !self.hard_state.membership.contains(self.hard_state.id)
            && self.is_membership_committed(leader)
        {
            self.stop_leading(now, StepDownReason::Removed);
        }
    }

    fn check_change_allowed(&self) -> Result<(), MembershipError> {
        match &self.role {
            Role::Leader(leader) if self.is_membership_committed(leader) => Ok(()),
            Role::Leader(_) => Err(MembershipError::ChangePending),
            _ => Err(self.not_leader()),
        }
    }

    fn not_leader(&self) -> MembershipError {
        MembershipError::NotLeader { leader: self.leader().map(|id| self.member_name(id)) }
    }

    fn membership_update(&self) -> Message {
        let membership = self.hard_state.membership.clone();
        Message::MembershipUpdate { term: self.hard_state.term, membership }
    }

    /// Publishes the changed membership to all voters at once, without waiting for the next acknowledgement of a heartbeat.
    fn publish_membership(&mut self, now: Duration) {
        self.hard_state.membership.version.number += 1;
        self.persist();
        let update = self.membership_update();
        for peer in self.hard_state.membership.peers_of(self.hard_state.id) {
            self.send_when_durable(peer, update.clone());
        }
        self.send_heartbeats(now);
    }
}
