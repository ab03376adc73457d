//! The queue of one connection, and the task that writes it.

use crate::backlog::{Backlog, BacklogStatus, WriteLimits};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes that are handed to the system at once. With a whole queue handed over, its progress could not be seen.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// Memory that an empty queue keeps: one long message leaves no more than this behind at each connection.
const IDLE_CAPACITY_BYTES: usize = 4 << 10;

/// Why writing ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The queue was closed and all of it was written, or it was aborted.
    Closed,
    /// The connection failed.
    ConnectionLost,
    /// The reader did not take its bytes in time, or too many wait.
    ReaderTooSlow,
}

/// Bytes that wait to be written to one connection.
///
/// Owned by the connection's task; whoever holds a reference may add to it. All of it is on one thread, and no borrow
/// lives over an await.
pub struct WriteQueue {
    bytes: RefCell<VecDeque<u8>>,
    backlog: RefCell<Backlog>,
    /// Nothing more is taken; what waits is written if that goes in time.
    closing: Cell<bool>,
    /// Set where the queue was aborted because its reader is too slow.
    too_slow: Cell<bool>,
    changed: Notify,
    aborted: Notify,
}

impl WriteQueue {
    /// An empty queue.
    pub fn new(limits: WriteLimits) -> Self {
        WriteQueue {
            bytes: RefCell::default(),
            backlog: RefCell::new(Backlog::new(limits)),
            closing: Cell::new(false),
            too_slow: Cell::new(false),
            changed: Notify::new(),
            aborted: Notify::new(),
        }
    }

    /// Queues a message. Does nothing once the queue is closed.
    ///
    /// Where more bytes wait already than may, the reader is too slow and the queue is aborted: a reader that goes on
    /// sending requests and takes no response would else make it grow until the oldest byte's deadline.
    pub fn push(&self, now: Duration, bytes: &[u8]) {
        if self.closing.get() {
            return;
        }
        if self.backlog.borrow().is_full() {
            self.too_slow.set(true);
            return self.abort();
        }
        self.backlog.borrow_mut().queued(now, bytes.len());
        self.bytes.borrow_mut().extend(bytes);
        self.changed.notify_one();
    }

    /// Takes no more messages; what waits is written.
    pub fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }

    /// Ends writing at once, whatever waits.
    pub fn abort(&self) {
        self.closing.set(true);
        self.aborted.notify_one();
    }

    /// Bytes that wait.
    pub fn queued_bytes(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Writes until the queue is closed or aborted, the connection fails, or the reader is too slow. Times of
    /// [`WriteQueue::push`] count from `epoch`.
    pub async fn run(&self, connection: OwnedWriteHalf, epoch: Instant) -> WriteOutcome {
        tokio::select! {
            outcome = self.write_all(connection, epoch) => outcome,
            () = self.aborted.notified() => self.abort_outcome(),
        }
    }

    fn abort_outcome(&self) -> WriteOutcome {
        if self.too_slow.get() { WriteOutcome::ReaderTooSlow } else { WriteOutcome::Closed }
    }

    async fn write_all(&self, mut connection: OwnedWriteHalf, epoch: Instant) -> WriteOutcome {
        loop {
            let chunk = self.next_chunk();
            if chunk.is_empty() {
                if self.closing.get() {
                    let _ = connection.shutdown().await;
                    return WriteOutcome::Closed;
                }
                self.bytes.borrow_mut().shrink_to(IDLE_CAPACITY_BYTES);
                self.changed.notified().await;
                continue;
            }
            let deadline = self.backlog.borrow().deadline().unwrap_or_else(|| epoch.elapsed());
            // The connection is tried before the clock is read: after a stall of the machine it may well take all.
            match tokio::time::timeout_at(epoch + deadline, connection.write(&chunk)).await {
                Ok(Ok(written)) if written > 0 => self.take_written(written),
                Ok(_) => return WriteOutcome::ConnectionLost,
                Err(_) => {}
            }
            if self.backlog.borrow().status(epoch.elapsed()) != BacklogStatus::WithinLimits {
                return WriteOutcome::ReaderTooSlow;
            }
        }
    }

    fn next_chunk(&self) -> Vec<u8> {
        self.bytes.borrow().iter().take(MAX_WRITE_BYTES).copied().collect()
    }

    fn take_written(&self, written: usize) {
        self.bytes.borrow_mut().drain(..written);
        self.backlog.borrow_mut().written(written);
    }
}
