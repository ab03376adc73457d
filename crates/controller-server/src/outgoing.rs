//! What waits to be written to one stream, and who joined on it.

use grebespool_wire::{Message, Proof, Reason};
use grebespool_write_queue::{WriteLimits, WriteOutcome, WriteQueue};
use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

pub struct Outgoing {
    bytes: WriteQueue,
    /// What the planner shows when it welcomes this stream.
    pub proof: Cell<Proof>,
    /// Who joined on it.
    pub name: RefCell<Option<String>>,
}

impl Outgoing {
    pub fn new(limits: WriteLimits) -> Self {
        Outgoing {
            bytes: WriteQueue::new(limits),
            proof: Cell::new(Proof([0; 32])),
            name: RefCell::default(),
        }
    }

    pub fn put(&self, now: Duration, message: &Message) {
        self.bytes.push(now, &message.frame());
    }

    pub fn close(&self, now: Duration, reason: Reason, text: &str) {
        self.put(now, &Message::Bye { reason, text: text.into() });
        self.bytes.close();
    }

    /// Writes until the stream is closed, breaks, or is too slow.
    ///
    /// # Errors
    ///
    /// Why it has to end.
    pub async fn write(&self, to: OwnedWriteHalf, began: Instant) -> Result<(), Reason> {
        match self.bytes.run(to, began).await {
            WriteOutcome::Closed => Ok(()),
            WriteOutcome::ConnectionLost => Err(Reason::Stopping),
            WriteOutcome::ReaderTooSlow => Err(Reason::Slow),
        }
    }
}
