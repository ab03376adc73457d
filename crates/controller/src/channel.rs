//! The queue through which all orders leave, and its pace.

use crate::engine::StreamId;
use grebespool::host::ControlChannelLimits;
use grebespool_wire::Orders;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

struct Waiting {
    stream: StreamId,
    orders: Orders,
    cost: f64,
}

/// Why a message cannot be queued for a proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overrun {
    /// More lines would wait than may.
    Lines,
    /// More messages would go to this proxy within the window than may.
    Messages,
}

/// Messages leave one after another, each as many lines long as it holds, and `head` more.
///
/// The decisions keep to the limits by what they can tell of the channel. Here they are kept by count, as a
/// last net: what would pass one is not queued, and the proxy concerned has to join anew.
pub struct Channel {
    pace: ControlChannelLimits,
    queue: VecDeque<Waiting>,
    lines: f64,
    /// When the message at the front may begin to leave.
    free_at: Duration,
    /// When messages were ordered, by stream, no older than the window.
    sent: BTreeMap<StreamId, VecDeque<Duration>>,
}

impl Channel {
    pub fn new(pace: ControlChannelLimits) -> Self {
        Channel { pace, queue: VecDeque::new(), lines: 0.0, free_at: Duration::ZERO, sent: BTreeMap::new() }
    }

    /// Queues a message that holds so many lines.
    ///
    /// # Errors
    ///
    /// The limit that it would pass. Nothing is queued then.
    pub fn put(&mut self, now: Duration, to: StreamId, orders: Orders, lines: usize) -> Result<(), Overrun> {
        let cost = lines as f64 + self.pace.message_overhead;
        let sent = self.sent.entry(to).or_default();
        while sent.front().is_some_and(|t| now.saturating_sub(*t) > self.pace.window) {
            sent.pop_front();
        }
        if self.lines + cost > self.pace.max_queued_entries {
            return Err(Overrun::Lines);
        }
        if self.pace.max_messages > 0 && sent.len() >= self.pace.max_messages {
            return Err(Overrun::Messages);
        }
        if self.pace.max_messages > 0 {
            sent.push_back(now);
        }
        if self.queue.is_empty() {
            self.free_at = self.free_at.max(now);
        }
        self.lines += cost;
        self.queue.push_back(Waiting { stream: to, orders, cost });
        Ok(())
    }

    fn leaves_at(&self, cost: f64) -> Duration {
        self.free_at + Duration::from_secs_f64(cost / self.pace.entries_per_s)
    }

    /// When the next message leaves.
    pub fn due(&self) -> Option<Duration> {
        self.queue.front().map(|w| self.leaves_at(w.cost))
    }

    /// The next message that has left by now.
    pub fn leave(&mut self, now: Duration) -> Option<(StreamId, Orders)> {
        let at = self.due().filter(|at| *at <= now)?;
        let left = self.queue.pop_front()?;
        (self.free_at, self.lines) = (at, (self.lines - left.cost).max(0.0));
        if self.queue.is_empty() {
            self.lines = 0.0;
        }
        Some((left.stream, left.orders))
    }

    /// Drops what waits for a stream that is no more.
    pub fn drop_stream(&mut self, stream: StreamId) {
        self.sent.remove(&stream);
        let lines = &mut self.lines;
        self.queue.retain(|w| {
            *lines -= if w.stream == stream { w.cost } else { 0.0 };
            w.stream != stream
        });
    }

    /// Lines that wait, heads included.
    pub fn waiting(&self) -> f64 {
        self.lines
    }
}
