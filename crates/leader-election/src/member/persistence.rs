//! Durable writes: a message that rests on a write is sent once that write is durable.

use super::{Member, Role};
use crate::event::{ElectionEvent, StepDownReason};
use crate::host::Host;
use crate::membership::MemberId;
use crate::message::Message;
use std::time::Duration;

/// A message that waits for a revision of the hard state to be durable.
#[derive(Debug, Clone)]
pub(super) struct PendingMessage {
    revision: u64,
    to: MemberId,
    message: Message,
}

impl<H: Host> Member<H> {
    /// Handles that the hard state is durable up to this revision.
    pub fn persisted(&mut self, now: Duration, revision: u64) {
        self.durable_revision = self.durable_revision.max(revision);
        if std::mem::take(&mut self.storage_failed) {
            self.host.log(ElectionEvent::StorageRecovered);
        }
        self.send_pending_messages();
        self.request_votes(now);
        if let Role::Leader(leader) = &mut self.role {
            leader.durable_versions.insert(self.hard_state.id, self.hard_state.membership.version);
        }
    }

    fn send_pending_messages(&mut self) {
        let durable = self.durable_revision;
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_messages).into_iter().partition(|m| m.revision <= durable);
        self.pending_messages = waiting;
        for pending in ready {
            self.host.send(pending.to, pending.message);
        }
    }

    /// Handles that a write failed: it is not durable, and may never be.
    pub fn storage_failed(&mut self, now: Duration) {
        self.storage_failed = true;
        self.pending_messages.clear();
        // Its lease rests on votes that are on others' disks, but it can keep no promise from here on.
        self.stop_leading(now, StepDownReason::StorageFailed);
        self.reset_election_timer(now);
    }

    pub(super) fn persist(&mut self) {
        self.hard_state.revision += 1;
        self.host.persist(&self.hard_state);
    }

    pub(super) fn is_durable(&self) -> bool {
        self.durable_revision >= self.hard_state.revision
    }

    /// Sends the message once all that was written so far is durable.
    pub(super) fn send_when_durable(&mut self, to: MemberId, message: Message) {
        if self.is_durable() {
            self.host.send(to, message);
        } else {
            self.pending_messages.push(PendingMessage { revision: self.hard_state.revision, to, message });
        }
    }
}
