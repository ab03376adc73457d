//! Which streams leave updates unacknowledged for too long.

use crate::stream_id::StreamId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// An update that was sent and is not acknowledged.
struct Unacknowledged {
    sequence: u64,
    sent_at: Duration,
}

/// Tracks the updates that were sent and are not acknowledged.
///
/// What a proxy does not read lies in some buffer on the way, and nothing but an acknowledgement shows that a drain is
/// in force there. A proxy that applies updates and acknowledges nothing looks the same. A time-out for all proxies at
/// once is a fault of the network, so the time-out has to lie well above the worst transit.
pub struct AckTracker {
    timeout: Duration,
    unacknowledged: BTreeMap<StreamId, VecDeque<Unacknowledged>>,
}

impl AckTracker {
    /// A tracker that calls an update overdue after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        AckTracker { timeout, unacknowledged: BTreeMap::new() }
    }

    /// An update has left for a stream.
    pub fn sent(&mut self, now: Duration, stream: StreamId, sequence: u64) {
        let update = Unacknowledged { sequence, sent_at: now };
        self.unacknowledged.entry(stream).or_default().push_back(update);
    }

    /// An update and all before it are in force.
    pub fn acknowledged(&mut self, stream: StreamId, sequence: u64) {
        if let Some(updates) = self.unacknowledged.get_mut(&stream) {
            updates.retain(|update| update.sequence > sequence);
        }
    }

    /// The stream has ended.
    pub fn stream_closed(&mut self, stream: StreamId) {
        self.unacknowledged.remove(&stream);
    }

    /// Does not count time in which the controller itself was stalled: acknowledgements may have come that it has not
    /// read.
    pub fn waive(&mut self, stalled: Duration) {
        for update in self.unacknowledged.values_mut().flatten() {
            update.sent_at += stalled;
        }
    }

    /// When the next stream is overdue.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.unacknowledged.values().filter_map(|updates| self.deadline(updates)).min()
    }

    /// Streams that are overdue by `now`.
    pub fn overdue(&self, now: Duration) -> Vec<StreamId> {
        let is_overdue = |updates| self.deadline(updates).is_some_and(|deadline| deadline <= now);
        self.unacknowledged
            .iter()
            .filter(|(_, updates)| is_overdue(updates))
            .map(|(stream, _)| *stream)
            .collect()
    }

    /// When the oldest of a stream's updates is overdue.
    fn deadline(&self, updates: &VecDeque<Unacknowledged>) -> Option<Duration> {
        updates.front().map(|update| update.sent_at + self.timeout)
    }
}
