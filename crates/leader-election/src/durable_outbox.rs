//! An outbox for messages that depend on a write and wait until that write is durable.

use crate::membership::MemberId;

#[derive(Debug, Clone)]
struct PendingMessage<M> {
    revision: u64,
    to: MemberId,
    message: M,
}

/// Holds each message back until the write that it depends on is durable, so that a crash cannot undo what the message
/// promises. Writes are numbered by a revision that rises with each write.
#[derive(Debug, Clone)]
pub struct DurableOutbox<M> {
    durable_revision: u64,
    pending: Vec<PendingMessage<M>>,
}

impl<M> DurableOutbox<M> {
    /// Creates an empty outbox; all writes up to this revision are durable.
    pub fn new(durable_revision: u64) -> DurableOutbox<M> {
        DurableOutbox { durable_revision, pending: vec![] }
    }

    /// Returns true if all writes up to this revision are durable.
    pub fn is_durable(&self, revision: u64) -> bool {
        self.durable_revision >= revision
    }

    /// Returns the message if the write of this revision is durable, so that the message may be sent at once. Otherwise
    /// keeps the message until then.
    pub fn push(&mut self, revision: u64, to: MemberId, message: M) -> Option<M> {
        if self.is_durable(revision) {
            return Some(message);
        }
        self.pending.push(PendingMessage { revision, to, message });
        None
    }

    /// Records that all writes up to this revision are durable. Returns the messages that may be sent now, in the order in
    /// which they were pushed.
    pub fn persisted(&mut self, revision: u64) -> Vec<(MemberId, M)> {
        self.durable_revision = self.durable_revision.max(revision);
        let durable = self.durable_revision;
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|pending| pending.revision <= durable);
        self.pending = waiting;
        ready.into_iter().map(|pending| (pending.to, pending.message)).collect()
    }

    /// Drops all messages; to be called when their writes have failed.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
