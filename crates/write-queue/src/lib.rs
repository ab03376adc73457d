//! What waits to be written to one connection, whatever the protocol: one slow reader delays nobody else, and holds no
//! more than it may.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod patience;

pub use patience::{Patience, Verdict};

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Why writing ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// It was closed, and all that waited was written.
    Closed,
    /// The connection broke.
    Broken,
    /// The reader did not take its bytes in time, or too many wait.
    Slow,
}

pub struct Outgoing {
    bytes: RefCell<VecDeque<u8>>,
    patience: RefCell<Patience>,
    /// Nothing more is taken; what waits is written if that goes in time.
    closing: Cell<bool>,
    /// It was cut because it did not take its bytes.
    slow: Cell<bool>,
    changed: Notify,
    cut: Notify,
}

impl Outgoing {
    pub fn new(patience: Patience) -> Self {
        Outgoing {
            bytes: RefCell::default(),
            patience: RefCell::new(patience),
            closing: Cell::new(false),
            slow: Cell::new(false),
            changed: Notify::new(),
            cut: Notify::new(),
        }
    }

    /// Against one who goes on asking and takes no answer: until its oldest byte has waited for too long, what waits
    /// would grow as fast as it can ask. Where more waits already than may, it is too slow. Harm: a reader that is
    /// handed all that in one turn, before any of it could be written, goes with the next message.
    pub fn put(&self, now: Duration, bytes: &[u8]) {
        if self.closing.get() {
            return;
        }
        if self.patience.borrow().full() {
            self.slow.set(true);
            return self.cut();
        }
        self.patience.borrow_mut().handed(now, bytes.len());
        self.bytes.borrow_mut().extend(bytes);
        self.changed.notify_one();
    }

    pub fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }

    /// Ends at once, whatever waits: a reader that takes nothing would keep its connection until it is too slow.
    pub fn cut(&self) {
        self.closing.set(true);
        self.cut.notify_one();
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Writes until the connection is closed, breaks, or is too slow.
    pub async fn write(&self, to: OwnedWriteHalf, began: Instant) -> Ended {
        tokio::select! {
            ended = self.write_all(to, began) => ended,
            () = self.cut.notified() => if self.slow.get() { Ended::Slow } else { Ended::Closed },
        }
    }

    async fn write_all(&self, mut to: OwnedWriteHalf, began: Instant) -> Ended {
        loop {
            // A part at a time: a whole buffer handed to the system at once would tell nothing of progress.
            let part: Vec<u8> = self.bytes.borrow().iter().take(16 << 10).copied().collect();
            if part.is_empty() {
                if self.closing.get() {
                    let _ = to.shutdown().await;
                    return Ended::Closed;
                }
                // Against memory that one long message leaves held at every connection.
                self.bytes.borrow_mut().shrink_to(4 << 10);
                self.changed.notified().await;
                continue;
            }
            let due = self.patience.borrow().due().map_or(began.elapsed(), |due| due);
            // The stream is tried before the clock is read: after a stall of the machine it may well take all.
            match tokio::time::timeout_at(began + due, to.write(&part)).await {
                Ok(Ok(n)) if n > 0 => {
                    self.bytes.borrow_mut().drain(..n);
                    self.patience.borrow_mut().taken(n);
                }
                Ok(_) => return Ended::Broken,
                Err(_) => {}
            }
            if self.patience.borrow().judge(began.elapsed()) != Verdict::Keep {
                return Ended::Slow;
            }
        }
    }
}
