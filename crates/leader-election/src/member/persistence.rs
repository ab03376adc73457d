//! Durable writes: a message that depends on a write is sent once that write is durable.

use super::{Member, Role};
use crate::event::{ElectionEvent, StepDownReason};
use crate::host::Host;
use crate::membership::MemberId;
use crate::message::Message;
use std::time::Duration;

impl<H: Host> Member<H> {
    /// Handles the completion of the writes of the hard state up to this revision, which are now durable.
    pub fn persisted(&mut self, now: Duration, revision: u64) {
        if std::mem::take(&mut self.storage_failed) {
            self.host.log(ElectionEvent::StorageRecovered);
        }
        for (to, message) in self.outbox.persisted(revision) {
            self.host.send(to, message);
        }
        self.request_votes(now);
        if let Role::Leader(leader) = &mut self.role {
            leader.durable_versions.insert(self.hard_state.id, self.hard_state.membership.version);
        }
    }

    /// Handles the failure of a write, which is not durable and may never be.
    pub fn storage_failed(&mut self, now: Duration) {
        self.storage_failed = true;
        self.outbox.clear();
        // The lease is still valid, as it depends on votes on other members' disks. But this member can make no durable
        // promise until a write succeeds.
        self.stop_leading(now, StepDownReason::StorageFailed);
        self.reset_election_timer(now);
    }

    pub(super) fn persist(&mut self) {
        self.hard_state.revision += 1;
        self.host.persist(&self.hard_state);
    }

    pub(super) fn is_durable(&self) -> bool {
        self.outbox.is_durable(self.hard_state.revision)
    }

    /// Sends the message once all writes requested before this call are durable.
    pub(super) fn send_when_durable(&mut self, to: MemberId, message: Message) {
        if let Some(message) = self.outbox.push(self.hard_state.revision, to, message) {
            self.host.send(to, message);
        }
    }
}
