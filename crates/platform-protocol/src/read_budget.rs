//! The memory for received bytes: how many bytes may be read from a connection before its messages are handled.
//!
//! Each connection may always hold a chunk of bytes, in which messages of the usual length fit. A longer message needs a
//! reservation of its whole length from a pool that all connections share. While the pool is exhausted, the bytes of further
//! long messages stay unread, until a reservation ends with its message, its time limit or its connection. So no peer delays
//! the usual messages of another, and the bytes held for all peers are bounded by the settings alone.

/// The bytes that may be held for received messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadLimits {
    /// The number of bytes that are read from a connection at once. A message up to this length needs no reservation.
    pub chunk: usize,
    /// The number of bytes that may be reserved for longer messages, over all connections.
    pub pool: usize,
}

impl ReadLimits {
    /// The longest chunk, in bytes: a report with a few dozen names fits.
    const MAX_CHUNK: usize = 4 << 10;
    /// The shortest chunk, in bytes: any message without metrics fits.
    const MIN_CHUNK: usize = 512;
    /// The part of the memory that the chunks of all connections may take. A connection holds up to two chunks: an incomplete
    /// message, and the bytes that were read after it.
    const CHUNK_PART: usize = 8;
    /// The part of the memory that reservations may take.
    const POOL_PART: usize = 8;

    /// Returns the limits for a process with this memory, in bytes, and this number of connections. One message of
    /// `max_message` bytes can always be reserved.
    pub fn new(memory: usize, connections: usize, max_message: usize) -> Self {
        let chunk = memory / Self::CHUNK_PART / 2 / connections.max(1);
        ReadLimits {
            chunk: chunk.clamp(Self::MIN_CHUNK, Self::MAX_CHUNK),
            pool: (memory / Self::POOL_PART).max(max_message),
        }
    }
}

/// The pool from which long messages are reserved.
pub(crate) struct ReadBudget {
    limits: ReadLimits,
    reserved: usize,
}

impl ReadBudget {
    /// Creates a budget without reservations.
    pub(crate) fn new(limits: ReadLimits) -> Self {
        ReadBudget { limits, reserved: 0 }
    }

    /// Returns the limits of the budget.
    pub(crate) fn limits(&self) -> ReadLimits {
        self.limits
    }

    /// Reserves bytes. Returns false and reserves nothing if the pool has not enough of them.
    pub(crate) fn try_reserve(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.limits.pool - self.reserved;
        if fits {
            self.reserved += bytes;
        }
        fits
    }

    /// Ends a reservation.
    pub(crate) fn release(&mut self, bytes: usize) {
        self.reserved -= bytes;
    }
}
