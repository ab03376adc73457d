//! The memory that several queues take together.

use crate::queue::WriteQueue;
use std::cell::Cell;

/// A counter of the bytes of memory that the queues of several connections take.
#[derive(Debug, Default)]
pub struct QueuedMemory(Cell<usize>);

impl QueuedMemory {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.0.get()
    }

    /// Aborts the longest of the queues until all of them take at most `max` bytes: their readers are the slowest.
    pub fn limit<'a>(&self, max: usize, queues: impl Iterator<Item = &'a WriteQueue> + Clone) {
        while self.bytes() > max {
            let longest = queues.clone().max_by_key(|queue| queue.memory());
            let Some(longest) = longest.filter(|queue| queue.memory() > 0) else { return };
            longest.abort_slow_reader();
        }
    }

    /// Replaces the part of one queue.
    pub(crate) fn change(&self, before: usize, after: usize) {
        self.0.set(self.0.get() - before + after);
    }
}
