//! The outgoing side of a node during one call: messages to itself are queued instead of going over the network.

use crate::host::Host;
use crate::message::Message;
use grebespool_leader_election::MemberId;
use std::collections::VecDeque;
use std::time::Duration;

/// What a node sends through, and to whom.
pub(crate) struct Outgoing<H> {
    pub host: H,
    pub own: MemberId,
    pub voters: Vec<MemberId>,
    /// Messages of this node to itself, in their order.
    pub loopback: VecDeque<Message>,
}

impl<H: Host> Outgoing<H> {
    /// For a call at this time.
    pub(crate) fn at(&mut self, now: Duration) -> Context<'_, H> {
        Context { outgoing: self, now }
    }
}

/// One call of a node: the time, the voters, and where messages go.
pub(crate) struct Context<'a, H> {
    outgoing: &'a mut Outgoing<H>,
    pub now: Duration,
}

impl<H: Host> Context<'_, H> {
    /// Sends a message to a member, this one included.
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

    /// The members that take part.
    pub(crate) fn voters(&self) -> &[MemberId] {
        &self.outgoing.voters
    }

    /// Disk, journal and log.
    pub(crate) fn host(&mut self) -> &mut H {
        &mut self.outgoing.host
    }
}
