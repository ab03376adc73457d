//! The writing side of one stream, and the proxy that joined on the stream.

use grebespool_controller::StreamId;
use grebespool_wire::{Close, CloseReason, Message, Proof};
use grebespool_write_queue::{WriteLimits, WriteOutcome, WriteQueue};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

/// All open connections by stream, shared by the tasks of one thread.
pub(crate) type Connections = Rc<RefCell<BTreeMap<StreamId, Rc<Connection>>>>;

/// A connection of a proxy, joined or not. The session's task owns the connection; other tasks only write to it.
pub(crate) struct Connection {
    queue: WriteQueue,
    /// The controller's proof for the welcome message; all zeros until the proxy's own proof has been checked.
    pub(crate) proof: Cell<Proof>,
    /// The name of the proxy that joined on the stream; `None` before the join.
    pub(crate) name: RefCell<Option<String>>,
}

impl Connection {
    pub(crate) fn new(limits: WriteLimits) -> Self {
        Connection {
            queue: WriteQueue::new(limits),
            proof: Cell::new(Proof([0; 32])),
            name: RefCell::default(),
        }
    }

    /// Queues a message.
    pub(crate) fn send(&self, now: Duration, message: &Message) {
        self.queue.push(now, &message.to_frame());
    }

    /// Queues the last message of the stream, which is written if the peer reads it in time.
    pub(crate) fn close(&self, now: Duration, reason: CloseReason, text: &str) {
        self.send(now, &Message::Close(Close { reason, text: text.into() }));
        self.queue.close();
    }

    /// Writes queued messages until the stream is closed.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream ends before everything was written.
    pub(crate) async fn write(&self, socket: OwnedWriteHalf, started_at: Instant) -> Result<(), CloseReason> {
        match self.queue.run(socket, started_at).await {
            WriteOutcome::Closed => Ok(()),
            WriteOutcome::ConnectionLost => Err(CloseReason::ShuttingDown),
            WriteOutcome::ReaderTooSlow => Err(CloseReason::TooSlow),
        }
    }
}
