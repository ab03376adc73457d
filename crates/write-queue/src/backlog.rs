//! Decides when a connection that does not read its bytes has to be closed.

use std::collections::VecDeque;
use std::time::Duration;

/// The limits of the bytes that wait for one connection.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    /// Maximum time for which a byte may wait.
    pub max_wait: Duration,
    /// Maximum number of waiting bytes. The message that exceeds the limit is still queued.
    pub max_bytes: usize,
}

/// The state of a connection with respect to its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BacklogStatus {
    /// The connection is within its limits.
    WithinLimits,
    /// The oldest byte has waited for too long.
    Stalled,
    /// Too many bytes are waiting.
    Full,
}

/// A message that is not completely written.
struct QueuedMessage {
    queued_at: Duration,
    /// Total number of bytes ever queued, up to the end of this message.
    end: u64,
}

/// A counter of the bytes that wait for one connection.
///
/// The time limit applies to the age of the oldest waiting byte, not to the time since the last read: a reader that takes
/// a byte now and then would never exceed the latter.
pub struct Backlog {
    limits: WriteLimits,
    messages: VecDeque<QueuedMessage>,
    queued_bytes: u64,
    written_bytes: u64,
}

impl Backlog {
    /// Creates an empty backlog.
    pub fn new(limits: WriteLimits) -> Self {
        Backlog { limits, messages: VecDeque::new(), queued_bytes: 0, written_bytes: 0 }
    }

    /// Records a queued message of `bytes` bytes.
    pub fn message_queued(&mut self, now: Duration, bytes: usize) {
        self.queued_bytes += bytes as u64;
        self.messages.push_back(QueuedMessage { queued_at: now, end: self.queued_bytes });
    }

    /// Records that `bytes` bytes were written to the connection.
    pub fn bytes_written(&mut self, bytes: usize) {
        self.written_bytes += bytes as u64;
        while self.messages.front().is_some_and(|message| message.end <= self.written_bytes) {
            self.messages.pop_front();
        }
    }

    /// Forgets all waiting messages.
    pub(crate) fn clear(&mut self) {
        self.messages = VecDeque::new();
        self.written_bytes = self.queued_bytes;
    }

    /// Returns the memory that the records of the waiting messages take, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.messages.capacity() * size_of::<QueuedMessage>()
    }

    /// Returns the time at which the oldest waiting message reaches the time limit; `None` if no message waits.
    pub fn deadline(&self) -> Option<Duration> {
        self.messages.front().map(|message| message.queued_at + self.limits.max_wait)
    }

    /// Returns true if the waiting bytes exceed the limit.
    pub fn is_full(&self) -> bool {
        self.queued_bytes - self.written_bytes > self.limits.max_bytes as u64
    }

    /// Returns the state of the connection at `now`.
    pub fn status(&self, now: Duration) -> BacklogStatus {
        match self.deadline() {
            Some(deadline) if now >= deadline => BacklogStatus::Stalled,
            _ if self.is_full() => BacklogStatus::Full,
            _ => BacklogStatus::WithinLimits,
        }
    }
}
