//! Counts of the bytes that nodes send.

use super::{FIRST_PLANNER, Id, TestFleet};
use grebespool_config_distribution::Message;
use std::collections::BTreeMap;
use std::time::Duration;

/// Size of a frame beyond its body, in bytes: length and authentication code.
const FRAME_BYTES: u64 = 20;

/// Sent bytes per second.
pub struct SentBytes {
    /// Mean over all planners.
    pub planner: f64,
    /// Value of the busiest planner.
    pub busiest_planner: f64,
    /// Value of the busiest control machine, which is the leader.
    pub leader: f64,
}

impl TestFleet {
    /// Starts to count bytes.
    pub fn start_counting_bytes(&mut self) {
        self.sent_bytes = Some(BTreeMap::new());
    }

    pub(super) fn count_bytes_of(&mut self, from: Id, message: &Message) {
        if let Some(sent) = &mut self.sent_bytes {
            let body = postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64);
            *sent.entry(from).or_default() += FRAME_BYTES + body;
        }
    }

    /// Stops counting, and returns the rates over this span.
    pub fn take_sent_bytes(&mut self, span: Duration) -> SentBytes {
        let sent = self.sent_bytes.take().unwrap_or_default();
        let rate = |bytes: u64| bytes as f64 / span.as_secs_f64();
        let (planners, control): (Vec<_>, Vec<_>) =
            sent.into_iter().partition(|(id, _)| *id >= FIRST_PLANNER);
        let most = |of: &[(Id, u64)]| of.iter().map(|(_, bytes)| *bytes).max().unwrap_or_default();
        let all: u64 = planners.iter().map(|(_, bytes)| bytes).sum();
        SentBytes {
            planner: rate(all) / self.planners().len() as f64,
            busiest_planner: rate(most(&planners)),
            leader: rate(most(&control)),
        }
    }
}
