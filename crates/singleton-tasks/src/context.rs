//! The environment that all parts of a task manager share: the host, the members, and the time of the current call.

use crate::host::Host;
use crate::message::Message;
use grebespool_leader_election::MemberId;
use std::collections::VecDeque;
use std::time::Duration;

/// The environment of a task manager's parts. Messages of a member to itself are queued here and handled within the same
/// call.
#[derive(Debug)]
pub(crate) struct Context<H> {
    pub(crate) host: H,
    pub(crate) own_id: MemberId,
    /// The time of the current call, by this member's clock.
    pub(crate) now: Duration,
    /// All voters, including this member if it is a voter.
    pub(crate) members: Vec<MemberId>,
    /// The time after which an unanswered request is sent again.
    pub(crate) retry_interval: Duration,
    loopback: VecDeque<Message>,
}

impl<H: Host> Context<H> {
    pub(crate) fn new(host: H, own_id: MemberId, retry_interval: Duration) -> Context<H> {
        Context {
            host,
            own_id,
            now: Duration::ZERO,
            members: vec![],
            retry_interval,
            loopback: VecDeque::new(),
        }
    }

    pub(crate) fn send(&mut self, to: MemberId, message: Message) {
        if to == self.own_id {
            self.loopback.push_back(message);
        } else {
            self.host.send(to, message);
        }
    }

    /// Takes the next message of this member to itself.
    pub(crate) fn next_own_message(&mut self) -> Option<Message> {
        self.loopback.pop_front()
    }

    pub(crate) fn has_own_messages(&self) -> bool {
        !self.loopback.is_empty()
    }

    pub(crate) fn is_member(&self) -> bool {
        self.members.contains(&self.own_id)
    }

    /// Returns all members except this one.
    pub(crate) fn peers(&self) -> Vec<MemberId> {
        self.members.iter().copied().filter(|id| *id != self.own_id).collect()
    }

    /// Returns true if more than half of the members satisfy the predicate.
    pub(crate) fn has_quorum(&self, predicate: impl Fn(&MemberId) -> bool) -> bool {
        self.members.iter().filter(|id| predicate(id)).count() * 2 > self.members.len()
    }
}
