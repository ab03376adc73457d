//! When a connection that does not take its bytes is given up.

use std::collections::VecDeque;
use std::time::Duration;

/// What may wait for one connection.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimits {
    /// How long a byte may wait.
    pub max_wait: Duration,
    /// How many bytes may wait; the message that exceeds it is still queued.
    pub max_bytes: usize,
}

/// Whether a connection keeps to its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BacklogStatus {
    /// It does.
    WithinLimits,
    /// Its oldest byte has waited for too long.
    Stalled,
    /// Too many bytes wait.
    Full,
}

/// A queued message: when it was queued, and how many bytes had been queued by its end.
struct QueuedMessage {
    queued_at: Duration,
    end: u64,
}

/// Counts the bytes that wait for one connection.
///
/// A reader that takes a byte now and then never stalls entirely, so what counts is when the oldest waiting byte was
/// queued, not when one was last taken.
pub struct Backlog {
    limits: WriteLimits,
    messages: VecDeque<QueuedMessage>,
    queued_bytes: u64,
    written_bytes: u64,
}

impl Backlog {
    /// An empty backlog.
    pub fn new(limits: WriteLimits) -> Self {
        Backlog { limits, messages: VecDeque::new(), queued_bytes: 0, written_bytes: 0 }
    }

    /// A message of so many bytes was queued.
    pub fn queued(&mut self, now: Duration, bytes: usize) {
        self.queued_bytes += bytes as u64;
        self.messages.push_back(QueuedMessage { queued_at: now, end: self.queued_bytes });
    }

    /// The connection has taken so many bytes.
    pub fn written(&mut self, bytes: usize) {
        self.written_bytes += bytes as u64;
        while self.messages.front().is_some_and(|message| message.end <= self.written_bytes) {
            self.messages.pop_front();
        }
    }

    /// When the oldest waiting message will have waited for as long as it may; `None` while nothing waits.
    pub fn deadline(&self) -> Option<Duration> {
        self.messages.front().map(|message| message.queued_at + self.limits.max_wait)
    }

    /// Whether more bytes wait than may.
    pub fn is_full(&self) -> bool {
        self.queued_bytes - self.written_bytes > self.limits.max_bytes as u64
    }

    /// Whether the connection keeps to its limits now.
    pub fn status(&self, now: Duration) -> BacklogStatus {
        match self.deadline() {
            Some(deadline) if now >= deadline => BacklogStatus::Stalled,
            _ if self.is_full() => BacklogStatus::Full,
            _ => BacklogStatus::WithinLimits,
        }
    }
}
