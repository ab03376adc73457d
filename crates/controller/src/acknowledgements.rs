//! Finds streams that leave updates unacknowledged for too long.

use crate::stream_id::StreamId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// An update that was sent and is not yet acknowledged.
struct Unacknowledged {
    sequence: u64,
    sent_at: Duration,
}

/// A tracker of the updates that were sent and are not yet acknowledged.
///
/// Sent bytes may remain in a buffer on the way, so only an acknowledgement shows that a proxy has applied a drain. A
/// proxy that applies updates but acknowledges none cannot be told apart from one that does not read. The time-out has
/// to be well above the longest transit time: otherwise one network fault would make all proxies overdue at once.
pub struct AckTracker {
    timeout: Duration,
    unacknowledged: BTreeMap<StreamId, VecDeque<Unacknowledged>>,
}

impl AckTracker {
    /// Creates a tracker that reports an update as overdue `timeout` after it was sent.
    pub fn new(timeout: Duration) -> Self {
        AckTracker { timeout, unacknowledged: BTreeMap::new() }
    }

    /// Records that an update was sent on a stream.
    pub fn sent(&mut self, now: Duration, stream: StreamId, sequence: u64) {
        let update = Unacknowledged { sequence, sent_at: now };
        self.unacknowledged.entry(stream).or_default().push_back(update);
    }

    /// Records the acknowledgement of an update and of all updates before it.
    pub fn acknowledged(&mut self, stream: StreamId, sequence: u64) {
        if let Some(updates) = self.unacknowledged.get_mut(&stream) {
            updates.retain(|update| update.sequence > sequence);
        }
    }

    /// Drops the updates of a stream that has ended.
    pub fn stream_closed(&mut self, stream: StreamId) {
        self.unacknowledged.remove(&stream);
    }

    /// Postpones all deadlines by the time for which the controller itself was stalled: acknowledgements may have arrived
    /// that it has not read.
    pub fn postpone_deadlines(&mut self, stalled: Duration) {
        for update in self.unacknowledged.values_mut().flatten() {
            update.sent_at += stalled;
        }
    }

    /// Returns the time at which the next stream becomes overdue.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.unacknowledged.values().filter_map(|updates| self.deadline(updates)).min()
    }

    /// Returns the streams that are overdue by `now`.
    pub fn overdue(&self, now: Duration) -> Vec<StreamId> {
        let is_overdue = |updates| self.deadline(updates).is_some_and(|deadline| deadline <= now);
        self.unacknowledged
            .iter()
            .filter(|(_, updates)| is_overdue(updates))
            .map(|(stream, _)| *stream)
            .collect()
    }

    /// Returns the time at which the oldest of a stream's updates becomes overdue.
    fn deadline(&self, updates: &VecDeque<Unacknowledged>) -> Option<Duration> {
        updates.front().map(|update| update.sent_at + self.timeout)
    }
}
