//! Which streams leave orders unconfirmed for too long.

use crate::engine::StreamId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Against a proxy that does not read: what it was sent lies in some buffer between, and nothing but an
/// answer shows that a drain is in force there. One that obeys and answers nothing looks the same and
/// is cut off as well: it keeps its tables, joins anew and gets a whole one. It also catches ways that lose
/// one direction only. Harm: orders that take longer than this for all (a slow network) would cut off every
/// proxy, so the limit has to lie well above the worst transit, and a planner that was itself stalled
/// counts none of that time.
pub struct Confirm {
    longest: Duration,
    /// Messages sent and not answered, by stream: their numbers, and when they were sent.
    open: BTreeMap<StreamId, VecDeque<(u64, Duration)>>,
}

impl Confirm {
    pub fn new(longest: Duration) -> Self {
        Confirm { longest, open: BTreeMap::new() }
    }

    pub fn sent(&mut self, now: Duration, stream: StreamId, seq: u64) {
        self.open.entry(stream).or_default().push_back((seq, now));
    }

    /// An answer to one message is one to all before it.
    pub fn answered(&mut self, stream: StreamId, seq: u64) {
        if let Some(open) = self.open.get_mut(&stream) {
            open.retain(|m| m.0 > seq);
        }
    }

    pub fn ended(&mut self, stream: StreamId) {
        self.open.remove(&stream);
    }

    /// The planner itself stood still for so long: answers may have come that it has not heard.
    pub fn excuse(&mut self, stalled: Duration) {
        self.open.values_mut().flatten().for_each(|m| m.1 += stalled);
    }

    pub fn due(&self) -> Option<Duration> {
        self.open.values().filter_map(|o| o.front()).map(|m| m.1 + self.longest).min()
    }

    pub fn overdue(&self, now: Duration) -> Vec<StreamId> {
        let late = |o: &VecDeque<(u64, Duration)>| o.front().is_some_and(|m| m.1 + self.longest <= now);
        self.open.iter().filter(|o| late(o.1)).map(|o| *o.0).collect()
    }
}
