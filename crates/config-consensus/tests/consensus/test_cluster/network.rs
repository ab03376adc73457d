//! The simulated network: messages between members, and journal steps that are in flight.

use super::{DisabledGuard, MS, TestCluster};
use grebespool_config_consensus::*;
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::FencingToken;
use rand::Rng;
use std::time::Duration;

/// Size of a message that is not a chunk, in bytes, if the bandwidth is limited.
const MESSAGE_BYTES: usize = 200;

pub enum InFlight {
    Message { to: MemberId, from: MemberId, message: Message },
    JournalWrite(MemberId, FencingToken, Vec<u8>),
    JournalFinish(MemberId, FencingToken),
}

impl TestCluster {
    /// Delivers a message or a journal step after a random delay.
    pub(super) fn schedule(&mut self, delivery: InFlight) {
        let delay = self.max_delay.mul_f64(self.rng.random_range(0.1..1.0));
        self.deliver_at(self.now + delay, delivery);
    }

    fn deliver_at(&mut self, at: Duration, delivery: InFlight) {
        self.sent += 1;
        self.in_flight.insert((at, self.sent), delivery);
    }

    pub(super) fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        if let Message::Renew { renewal, .. } = &message {
            self.nodes.get_mut(&from).unwrap().renewals = renewal.count;
        }
        self.transmit(from, to, message.clone());
        if let (DisabledGuard::ActivationWait, Message::Prepare { token, header }) = (self.disabled, message)
        {
            self.transmit(from, to, Message::Activate { token, committed: header.id() });
        }
    }

    fn transmit(&mut self, from: MemberId, to: MemberId, message: Message) {
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let message = message.clone();
            if self.bandwidth.is_finite() {
                let bytes =
                    if let Message::Chunk(chunk) = &message { chunk.bytes.len() } else { MESSAGE_BYTES };
                let free_at = self.link_free_at.entry((from, to)).or_default();
                *free_at = (*free_at).max(self.now) + Duration::from_secs_f64(bytes as f64 / self.bandwidth);
                let at = *free_at;
                self.deliver_at(at, InFlight::Message { to, from, message });
            } else {
                self.schedule(InFlight::Message { to, from, message });
            }
        }
    }

    pub(super) fn deliver_due(&mut self) {
        while let Some(first) = self.in_flight.first_entry().filter(|first| first.key().0 <= self.now) {
            let delivery = first.remove();
            self.deliver(delivery);
        }
    }

    fn deliver(&mut self, delivery: InFlight) {
        match delivery {
            InFlight::Message { to, from, message } => self.deliver_message(to, from, message),
            InFlight::JournalWrite(id, token, content) => self.deliver_journal_write(id, token, content),
            InFlight::JournalFinish(id, token) => self.deliver_journal_finish(id, token),
        }
    }

    fn deliver_message(&mut self, to: MemberId, from: MemberId, mut message: Message) {
        if self.nodes.get(&to).is_some_and(|node| node.suspended) {
            // The message stays in the socket's buffer.
            return self.deliver_at(self.now + MS(20), InFlight::Message { to, from, message });
        }
        if let (DisabledGuard::LeaseFromSending, Message::Renewed { renewal, .. }) =
            (self.disabled, &mut message)
        {
            renewal.count = self.nodes[&to].renewals;
        }
        self.call(to, |node, now| node.message_received(now, from, message));
    }

    pub(super) fn is_up(&self, id: MemberId) -> bool {
        self.nodes.get(&id).is_some_and(|node| node.consensus.is_some() && !node.suspended)
    }

    fn is_connected(&self, a: MemberId, b: MemberId) -> bool {
        self.is_up(a) && self.is_up(b) && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a))
    }

    /// Returns true if a member is connected to a quorum of members whose disks are not full.
    pub(super) fn has_quorum(&self, id: MemberId) -> bool {
        let writable = |other: &&MemberId| self.is_connected(id, **other) && !self.nodes[*other].disk_full;
        self.nodes.keys().filter(writable).count() * 2 > self.nodes.len()
    }

    /// Cuts the links from a member to others (`outgoing`), and from others to it (`incoming`).
    pub fn cut_off(&mut self, id: MemberId, outgoing: bool, incoming: bool) {
        for other in self.nodes.keys().copied().filter(|other| *other != id) {
            self.cut.extend(outgoing.then_some((id, other)));
            self.cut.extend(incoming.then_some((other, id)));
        }
    }
}
