//! The paced channel through which all updates leave.

use crate::stream_id::StreamId;
use grebespool::host::ControlChannelLimits;
use grebespool_wire::Update;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// An update that waits for its turn.
struct QueuedUpdate {
    stream: StreamId,
    update: Update,
    /// In table entries, the message's own cost included.
    cost: f64,
}

/// Why an update cannot be queued. The texts go to the proxy. On the wire: do not rename.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChannelFull {
    /// More table entries would wait than may.
    #[error("the channel is full")]
    QueuedEntries,
    /// More updates would go to this proxy within the window than may.
    #[error("as many messages were sent as may be")]
    UpdatesInWindow,
}

/// A first-in, first-out queue that updates leave one after another, each as long as its table entries take.
///
/// The policy keeps to the limits by what it can tell of the channel. Here they are enforced by count, as a last
/// resort: what would exceed one is not queued, and its proxy has to join anew.
pub struct UpdateChannel {
    limits: ControlChannelLimits,
    queue: VecDeque<QueuedUpdate>,
    queued_entries: f64,
    /// When the update at the front may begin to leave.
    free_at: Duration,
    /// When updates were queued, by stream, no older than the window.
    queued_at: BTreeMap<StreamId, VecDeque<Duration>>,
}

impl UpdateChannel {
    /// An empty channel.
    pub fn new(limits: ControlChannelLimits) -> Self {
        UpdateChannel {
            limits,
            queue: VecDeque::new(),
            queued_entries: 0.0,
            free_at: Duration::ZERO,
            queued_at: BTreeMap::new(),
        }
    }

    /// Queues an update of so many table entries.
    ///
    /// # Errors
    ///
    /// The limit that it would exceed. Nothing is queued then.
    pub fn enqueue(
        &mut self,
        now: Duration,
        stream: StreamId,
        update: Update,
        entries: usize,
    ) -> Result<(), ChannelFull> {
        let cost = entries as f64 + self.limits.message_overhead;
        self.forget_old_updates(now, stream);
        if self.queued_entries + cost > self.limits.max_queued_entries {
            return Err(ChannelFull::QueuedEntries);
        }
        self.count_update(now, stream)?;
        if self.queue.is_empty() {
            self.free_at = self.free_at.max(now);
        }
        self.queued_entries += cost;
        self.queue.push_back(QueuedUpdate { stream, update, cost });
        Ok(())
    }

    fn forget_old_updates(&mut self, now: Duration, stream: StreamId) {
        let queued_at = self.queued_at.entry(stream).or_default();
        while queued_at.front().is_some_and(|at| now.saturating_sub(*at) > self.limits.window) {
            queued_at.pop_front();
        }
    }

    fn count_update(&mut self, now: Duration, stream: StreamId) -> Result<(), ChannelFull> {
        let max_updates = self.limits.max_messages;
        if max_updates == 0 {
            return Ok(());
        }
        let queued_at = self.queued_at.entry(stream).or_default();
        if queued_at.len() >= max_updates {
            return Err(ChannelFull::UpdatesInWindow);
        }
        queued_at.push_back(now);
        Ok(())
    }

    /// When the next update leaves.
    pub fn next_departure(&self) -> Option<Duration> {
        let next = self.queue.front()?;
        Some(self.free_at + Duration::from_secs_f64(next.cost / self.limits.entries_per_s))
    }

    /// Takes the next update that has left by now.
    pub fn dequeue(&mut self, now: Duration) -> Option<(StreamId, Update)> {
        let departure = self.next_departure().filter(|departure| *departure <= now)?;
        let next = self.queue.pop_front()?;
        self.free_at = departure;
        self.queued_entries = (self.queued_entries - next.cost).max(0.0);
        if self.queue.is_empty() {
            self.queued_entries = 0.0;
        }
        Some((next.stream, next.update))
    }

    /// Drops what waits for a stream that has ended.
    pub fn drop_stream(&mut self, stream: StreamId) {
        self.queued_at.remove(&stream);
        for update in self.queue.iter().filter(|update| update.stream == stream) {
            self.queued_entries -= update.cost;
        }
        self.queue.retain(|update| update.stream != stream);
    }

    /// Table entries that wait, the cost of each message included.
    pub fn queued_entries(&self) -> f64 {
        self.queued_entries
    }
}
