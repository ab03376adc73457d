//! The outgoing side of a node during one call: messages to itself are queued instead of going over the network.

use crate::host::Host;
use crate::message::Message;
use grebespool_leader_election::MemberId;
use std::collections::VecDeque;
use std::time::Duration;

/// The host and the members that a node sends to.
pub(crate) struct Outgoing<H> {
    pub host: H,
    pub own: MemberId,
    pub voters: Vec<MemberId>,
    /// Messages of this node to itself, in the order in which they were sent.
    pub loopback: VecDeque<Message>,
}

impl<H: Host> Outgoing<H> {
    /// Returns the context of a call at this time.
    pub(crate) fn context(&mut self, now: Duration) -> Context<'_, H> {
        Context { outgoing: self, now }
    }
}

/// The context of one call of a node: its time, the host, and the members.
pub(crate) struct Context<'a, H> {
    outgoing: &'a mut Outgoing<H>,
    pub now: Duration,
}

impl<H: Host> Context<'_, H> {
    /// Sends a message to a member, which may be this one.
    pub(crate) fn send(&mut self, to: MemberId, message: Message) {
        if to == self.outgoing.own {
            self.outgoing.loopback.push_back(message);
        } else {
            self.outgoing.host.send(to, message);
        }
    }

    /// Sends a message to all voters, in the order of their ids.
    pub(crate) fn broadcast(&mut self, message: &Message) {
        for voter in self.outgoing.voters.clone() {
            self.send(voter, message.clone());
        }
    }

    /// Returns the members that take part in the agreement.
    pub(crate) fn voters(&self) -> &[MemberId] {
        &self.outgoing.voters
    }

    /// Returns the host, for its disk, journal and log.
    pub(crate) fn host(&mut self) -> &mut H {
        &mut self.outgoing.host
    }
}
