//! Messages that rest on a write and wait until it is durable.

use crate::membership::MemberId;

#[derive(Debug, Clone)]
struct PendingMessage<M> {
    revision: u64,
    to: MemberId,
    message: M,
}

/// Holds messages back until the writes that they rest on are durable: a promise that a crash takes back was none.
/// Writes are numbered by a revision that rises with each.
#[derive(Debug, Clone)]
pub struct DurableOutbox<M> {
    durable_revision: u64,
    pending: Vec<PendingMessage<M>>,
}

impl<M> DurableOutbox<M> {
    /// Without messages; all is durable up to this revision.
    pub fn new(durable_revision: u64) -> DurableOutbox<M> {
        DurableOutbox { durable_revision, pending: vec![] }
    }

    /// Whether all is durable up to this revision.
    pub fn is_durable(&self, revision: u64) -> bool {
        self.durable_revision >= revision
    }

    /// Takes a message that rests on this revision. Returns it if it may be sent at once.
    pub fn push(&mut self, revision: u64, to: MemberId, message: M) -> Option<M> {
        if self.is_durable(revision) {
            return Some(message);
        }
        self.pending.push(PendingMessage { revision, to, message });
        None
    }

    /// Records that all is durable up to this revision. Returns the messages that may be sent now, in their order.
    pub fn persisted(&mut self, revision: u64) -> Vec<(MemberId, M)> {
        self.durable_revision = self.durable_revision.max(revision);
        let durable = self.durable_revision;
        let (ready, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|pending| pending.revision <= durable);
        self.pending = waiting;
        ready.into_iter().map(|pending| (pending.to, pending.message)).collect()
    }

    /// Drops all messages: their writes failed.
    pub fn clear(&mut self) {
        self.pending.clear();
    }
}
