//! Heartbeats and the leader lease. The lease runs from the time at which the leader sent the newest heartbeat that a
//! quorum acknowledged.

use super::Member;
use super::role::{LeaderState, Role};
use crate::event::{ElectionEvent, StepDownReason};
use crate::host::Host;
use crate::membership::{MemberId, MembershipVersion};
use crate::message::Message;
use std::time::Duration;

/// The maximum number of heartbeats that may still be acknowledged.
const MAX_UNACKNOWLEDGED_HEARTBEATS: usize = 64;

impl<H: Host> Member<H> {
    pub(super) fn send_heartbeats(&mut self, now: Duration) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_number += 1;
        leader.next_heartbeat_at = now + self.parameters.heartbeat_interval;
        leader.heartbeats_sent.insert(leader.heartbeat_number, now);
        while leader.heartbeats_sent.len() > MAX_UNACKNOWLEDGED_HEARTBEATS {
            leader.heartbeats_sent.pop_first();
        }
        let heartbeat = Message::Heartbeat {
            term: self.hard_state.term,
            number: leader.heartbeat_number,
            membership_version: self.hard_state.membership.version,
        };
        self.send_to_peers(&heartbeat);
        self.renew_lease(now);
    }

    /// Extends the lease from the newest heartbeat that a quorum acknowledged; the leader itself counts as acknowledging at
    /// `now`.
    fn renew_lease(&mut self, now: Duration) {
        let own_id = self.hard_state.id;
        let Role::Leader(leader) = &mut self.role else { return };
        let voters = &self.hard_state.membership.voters;
        let acknowledged = |id: &MemberId| leader.acknowledged.get(id).copied().unwrap_or_default();
        let mut newest_first: Vec<Duration> =
            voters.keys().map(|id| if *id == own_id { now } else { acknowledged(id) }).collect();
        newest_first.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(quorum_acknowledged) = newest_first.get(voters.len() / 2) {
            leader.lease_expires_at =
                leader.lease_expires_at.max(*quorum_acknowledged + self.parameters.lease);
        }
    }

    pub(super) fn receive_heartbeat(&mut self, now: Duration, from: MemberId, term: u64, number: u64) {
        if term < self.hard_state.term {
            return self.host.send(from, Message::NewerTerm { term: self.hard_state.term });
        }
        if term == self.hard_state.term && self.is_leader() {
            // Possible only if a voter's stored state was set back to an older one and the voter voted twice.
            self.host.log(ElectionEvent::DuplicateLeader { other: from, term });
            return self.stop_leading(now, StepDownReason::HigherTerm(term));
        }
        self.adopt_term(now, term);
        self.promised_until = now + self.parameters.lease_wait();
        self.last_heartbeat_at = now;
        self.follow(now, Some(from));
        let durable_version =
            if self.is_durable() { self.hard_state.membership.version } else { MembershipVersion::default() };
        self.host.send(from, Message::HeartbeatAck { term, number, membership_version: durable_version });
    }

    pub(super) fn receive_heartbeat_ack(
        &mut self,
        now: Duration,
        from: MemberId,
        term: u64,
        number: u64,
        version: MembershipVersion,
    ) {
        if term != self.hard_state.term {
            return;
        }
        let Role::Leader(leader) = &mut self.role else { return };
        if let Some(sent_at) = leader.heartbeats_sent.get(&number).copied() {
            let newest = leader.acknowledged.entry(from).or_default();
            *newest = sent_at.max(*newest);
        }
        let newest = leader.durable_versions.entry(from).or_default();
        *newest = version.max(*newest);
        // An expired lease is not renewed: the acknowledgement may have been sent before the lease ended.
        if now < leader.lease_expires_at {
            self.renew_lease(now);
        }
        let membership = &self.hard_state.membership;
        if version < membership.version && membership.contains(from) {
            let update = Message::MembershipUpdate { term, membership: membership.clone() };
            self.send_when_durable(from, update);
        }
        self.leave_if_removed(now);
    }

    /// Returns the voters that have acknowledged no heartbeat within the lease.
    pub(super) fn unreachable_voters(&self, leader: &LeaderState, now: Duration) -> Vec<MemberId> {
        let is_silent = |id: &MemberId| {
            let acknowledged = leader.acknowledged.get(id);
            acknowledged.is_none_or(|at| now > *at + self.parameters.lease)
        };
        let peers = self.hard_state.membership.peers_of(self.hard_state.id);
        peers.into_iter().filter(is_silent).collect()
    }
}
