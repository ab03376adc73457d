//! The queue of one connection, and the loop that writes the queued bytes.

use crate::backlog::{Backlog, BacklogStatus, WriteLimits};
use crate::memory::QueuedMemory;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Maximum number of bytes in one write. Writing a long queue at once would hide the progress of the reader.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// Memory in bytes that an empty queue keeps allocated, so that a past long message does not occupy memory at every
/// connection.
const IDLE_CAPACITY_BYTES: usize = 4 << 10;

/// The reason for the end of writing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The queue was closed and completely written, or it was aborted.
    Closed,
    /// The connection failed.
    ConnectionLost,
    /// The reader did not read in time, or too many bytes were waiting.
    ReaderTooSlow,
}

/// A queue of bytes to be written to one connection.
///
/// The connection's task owns the queue and calls [`WriteQueue::run`]; any holder of a reference may add messages. All
/// callers are on one thread, and no borrow is held across an await.
pub struct WriteQueue {
    bytes: RefCell<VecDeque<u8>>,
    backlog: RefCell<Backlog>,
    /// True if the queue accepts no more messages. Waiting bytes are still written, unless the queue was aborted.
    closing: Cell<bool>,
    is_aborted: Cell<bool>,
    /// True if the queue was aborted because its reader is too slow.
    too_slow: Cell<bool>,
    changed: Notify,
    aborted: Notify,
    /// The memory of all queues that share this total.
    total: Rc<QueuedMemory>,
    /// The part of the total that this queue has.
    counted: Cell<usize>,
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        self.total.change(self.counted.get(), 0);
    }
}

impl WriteQueue {
    /// Creates an empty queue.
    pub fn new(limits: WriteLimits) -> Self {
        Self::with_total(limits, Rc::default())
    }

    /// Creates an empty queue whose memory counts towards a total.
    pub fn with_total(limits: WriteLimits, total: Rc<QueuedMemory>) -> Self {
        WriteQueue {
            bytes: RefCell::default(),
            backlog: RefCell::new(Backlog::new(limits)),
            closing: Cell::new(false),
            is_aborted: Cell::new(false),
            too_slow: Cell::new(false),
            changed: Notify::new(),
            aborted: Notify::new(),
            total,
            counted: Cell::new(0),
        }
    }

    /// Returns the memory that the queue takes, in bytes: the waiting bytes and the records of their messages.
    pub fn memory(&self) -> usize {
        self.bytes.borrow().capacity() + self.backlog.borrow().memory()
    }

    fn update_total(&self) {
        let memory = self.memory();
        self.total.change(self.counted.replace(memory), memory);
    }

    /// Queues a message. Does nothing once the queue is closed.
    ///
    /// Aborts the queue if the waiting bytes exceed the limit already. Without this limit, a reader that keeps sending
    /// requests without reading the responses would make the queue grow until the deadline of the oldest byte.
    pub fn push(&self, now: Duration, bytes: &[u8]) {
        if self.closing.get() {
            return;
        }
        if self.backlog.borrow().is_full() {
            return self.abort_slow_reader();
        }
        self.backlog.borrow_mut().message_queued(now, bytes.len());
        self.bytes.borrow_mut().extend(bytes);
        self.update_total();
        self.changed.notify_one();
    }

    /// Closes the queue: no more messages are accepted, and waiting bytes are still written.
    pub fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }

    /// Ends writing immediately and releases the waiting bytes, which are not written.
    pub fn abort(&self) {
        self.closing.set(true);
        self.is_aborted.set(true);
        self.bytes.take();
        self.backlog.borrow_mut().clear();
        self.update_total();
        self.aborted.notify_one();
    }

    /// Aborts the queue of a reader that is too slow.
    pub fn abort_slow_reader(&self) {
        self.too_slow.set(true);
        self.abort();
    }

    /// Returns the number of waiting bytes.
    pub fn queued_bytes(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Writes until the queue is closed or aborted, the connection fails, or the reader is too slow. The times passed to
    /// [`WriteQueue::push`] are counted from `epoch`.
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
            // The abort may come while a write is polled, before the task sees its notification.
            if self.is_aborted.get() {
                return self.abort_outcome();
            }
            let chunk = self.next_chunk();
            if chunk.is_empty() {
                if self.closing.get() {
                    let _ = connection.shutdown().await;
                    return WriteOutcome::Closed;
                }
                self.bytes.borrow_mut().shrink_to(IDLE_CAPACITY_BYTES);
                self.update_total();
                self.changed.notified().await;
                continue;
            }
            let deadline = self.backlog.borrow().deadline().unwrap_or_else(|| epoch.elapsed());
            // The write is attempted before the deadline is checked: after a stall of the machine, the connection may accept
            // all bytes although their deadline has passed.
            match tokio::time::timeout_at(epoch + deadline, connection.write(&chunk)).await {
                _ if self.is_aborted.get() => return self.abort_outcome(),
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
        self.backlog.borrow_mut().bytes_written(written);
        self.update_total();
    }
}
