//! The paced channel through which all updates are sent.

use crate::stream_id::StreamId;
use grebespool::host::ControlChannelLimits;
use grebespool_wire::Update;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use thiserror::Error;

/// An update that waits in the channel.
struct QueuedUpdate {
    stream: StreamId,
    update: Update,
    /// The cost in table entries, including the cost of the message itself.
    cost: f64,
}

/// The limit because of which an update cannot be queued. The proxy receives these texts: do not reword.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChannelFull {
    /// The update would exceed the limit of queued table entries.
    #[error("the channel is full")]
    QueuedEntries,
    /// The update would exceed the limit of updates to one proxy within the window.
    #[error("as many messages were sent as may be")]
    UpdatesInWindow,
}

/// A first-in, first-out queue of updates. Each takes time to leave in proportion to its cost in table entries.
///
/// The policy respects the limits by its own estimate of the channel's load. The channel enforces them by exact counts
/// as a last resort: an update that would exceed a limit is not queued, and its proxy has to join again.
pub struct UpdateChannel {
    limits: ControlChannelLimits,
    queue: VecDeque<QueuedUpdate>,
    queued_entries: f64,
    /// The time at which the update at the front may begin to leave.
    free_at: Duration,
    /// The times within the window at which updates were queued, by stream.
    queued_at: BTreeMap<StreamId, VecDeque<Duration>>,
}

impl UpdateChannel {
    /// Creates an empty channel.
    pub fn new(limits: ControlChannelLimits) -> Self {
        UpdateChannel {
            limits,
            queue: VecDeque::new(),
            queued_entries: 0.0,
            free_at: Duration::ZERO,
            queued_at: BTreeMap::new(),
        }
    }

    /// Queues an update that occupies `entries` table entries.
    ///
    /// # Errors
    ///
    /// Returns the limit if the update would exceed one. The update is not queued then.
    pub fn enqueue(
        &mut self,
        now: Duration,
        stream: StreamId,
        update: Update,
        entries: usize,
    ) -> Result<(), ChannelFull> {
        let cost = entries as f64 + self.limits.message_overhead;
        self.evict_expired(now, stream);
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

    /// Drops the times of a stream's updates that are older than the window.
    fn evict_expired(&mut self, now: Duration, stream: StreamId) {
        let queued_at = self.queued_at.entry(stream).or_default();
        while queued_at.front().is_some_and(|at| now.saturating_sub(*at) > self.limits.window) {
            queued_at.pop_front();
        }
    }

    /// Counts an update against the limit of its stream, if there is a limit.
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

    /// Returns the time at which the next update leaves; `None` if the channel is empty.
    pub fn next_departure(&self) -> Option<Duration> {
        let next = self.queue.front()?;
        Some(self.free_at + Duration::from_secs_f64(next.cost / self.limits.entries_per_s))
    }

    /// Takes the next update that has left by `now`.
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

    /// Drops the queued updates of a stream that has ended.
    pub fn drop_stream(&mut self, stream: StreamId) {
        self.queued_at.remove(&stream);
        for update in self.queue.iter().filter(|update| update.stream == stream) {
            self.queued_entries -= update.cost;
        }
        self.queue.retain(|update| update.stream != stream);
    }

    /// Returns the number of queued table entries, including the cost of each message.
    pub fn queued_entries(&self) -> f64 {
        self.queued_entries
    }
}
