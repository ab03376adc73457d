//! What waits to be written to one stream.

use grebespool_engine::{Patience, Verdict};
use grebespool_wire::{Message, Proof, Reason};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::time::Instant;

pub struct Outgoing {
    bytes: RefCell<VecDeque<u8>>,
    patience: RefCell<Patience>,
    /// Nothing more is taken; what waits is written if that goes in time.
    closing: Cell<bool>,
    changed: Notify,
    /// What the planner shows when it welcomes this stream.
    pub proof: Cell<Proof>,
    /// Who joined on it.
    pub name: RefCell<Option<String>>,
}

impl Outgoing {
    pub fn new(patience: Patience) -> Self {
        Outgoing {
            bytes: RefCell::default(),
            patience: RefCell::new(patience),
            closing: Cell::new(false),
            changed: Notify::new(),
            proof: Cell::new(Proof([0; 32])),
            name: RefCell::default(),
        }
    }

    pub fn put(&self, now: Duration, message: &Message) {
        if !self.closing.get() {
            let frame = message.frame();
            self.patience.borrow_mut().handed(now, frame.len());
            self.bytes.borrow_mut().extend(frame);
            self.changed.notify_one();
        }
    }

    pub fn close(&self, now: Duration, reason: Reason, text: &str) {
        self.put(now, &Message::Bye { reason, text: text.into() });
        self.closing.set(true);
        self.changed.notify_one();
    }

    /// Writes until the stream is closed, breaks, or is too slow.
    ///
    /// # Errors
    ///
    /// Why it has to end.
    pub async fn write(&self, mut to: OwnedWriteHalf, began: Instant) -> Result<(), Reason> {
        loop {
            // A part at a time: a whole buffer handed to the system at once would tell nothing of progress.
            let part: Vec<u8> = self.bytes.borrow().iter().take(16 << 10).copied().collect();
            if part.is_empty() {
                if self.closing.get() {
                    let _ = to.shutdown().await;
                    return Ok(());
                }
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
                Ok(_) => return Err(Reason::Stopping),
                Err(_) => {}
            }
            if self.patience.borrow().judge(began.elapsed()) != Verdict::Keep {
                return Err(Reason::Slow);
            }
        }
    }
}
