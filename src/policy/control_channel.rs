//! The control channel: what may be sent now. Ordinary changes leave room for protective ones, and these for drains.

use crate::host::{PolicyHost, Timer};
use crate::state::{ControlChannel, Policy, drop_old};
use std::collections::VecDeque;
use std::time::Duration;

impl ControlChannel {
    /// The share of the queue and of the message limit that an ordinary change of a weight may use.
    pub(super) const ORDINARY_SHARE: f64 = 0.4;
    /// The share that a large cut of a weight may use.
    pub(super) const PROTECTIVE_SHARE: f64 = 0.6;
    /// The share that a cut of a warming server's weight and a change of admission may use.
    pub(super) const OVERLOAD_SHARE: f64 = 0.85;
    /// The share that drains and bindings may use.
    pub(super) const MANDATORY_SHARE: f64 = 0.95;
    /// The largest share of the queue that is used: some entries leave later than counted.
    pub(super) const MAX_QUEUE_SHARE: f64 = 0.7;

    /// The part of its stated pace that the channel is taken to have while acknowledgements come.
    const ASSUMED_PACE: f64 = 0.125;
    /// The part of its stated pace that it is taken to have while none comes.
    const UNACKNOWLEDGED_PACE: f64 = 0.03;
    /// No acknowledgement comes once the last one is older than so many transits.
    const SILENT_TRANSITS: u32 = 2;

    /// Messages of the limit that are reserved for bindings.
    const RESERVED_MESSAGES: f64 = 2.0;
    /// Messages of the limit that are no part of what the shares divide.
    const UNSHARED_MESSAGES: f64 = 1.0;
    /// The message limit over this is how many messages may follow each other at once; later ones are spaced, so that a drain can
    /// still be sent.
    const BURST_DIVISOR: f64 = 4.0;

    /// Entries of a binding message beyond those of the table.
    const BINDING_ENTRIES: f64 = 2.0;
    /// The urgent timer fires after this time.
    const URGENT_DELAY: Duration = Duration::from_millis(100);

    /// Whether so many entries fit into a share of the queue. Entries that no acknowledgement shows to have left count as
    /// queued, at a pace far below the stated one.
    pub(super) fn has_room(&mut self, now: Duration, entries: f64, share: f64) -> bool {
        let acknowledged =
            now.saturating_sub(self.acknowledged_at) < self.limits.max_transit * Self::SILENT_TRANSITS;
        let pace = if acknowledged { Self::ASSUMED_PACE } else { Self::UNACKNOWLEDGED_PACE };
        let delivered = (now - self.drained_at).as_secs_f64() * (self.limits.entries_per_s * pace);
        self.queued = (self.queued - delivered).max(0.0);
        self.drained_at = now;
        self.queued + entries <= self.limits.max_queued_entries * share.min(Self::MAX_QUEUE_SHARE)
    }

    /// Whether another message may go to the proxies that got the `sent` ones.
    pub(super) fn may_send_message(&self, now: Duration, sent: &mut VecDeque<Duration>, share: f64) -> bool {
        drop_old(sent, now, self.limits.window, |at| *at);
        let max = self.limits.max_messages as f64;
        let used = sent.len() as f64;
        let distance_s = self.limits.window.as_secs_f64() / (max - Self::RESERVED_MESSAGES).max(1.0);
        let is_spaced = sent.back().is_none_or(|last| (now - *last).as_secs_f64() >= distance_s);
        let within_share = used < (max - Self::UNSHARED_MESSAGES) * share;
        let within_limit = used < max - Self::RESERVED_MESSAGES;
        max == 0.0 || (within_share && within_limit && (is_spaced || used < max / Self::BURST_DIVISOR))
    }

    /// The table entries that all proxies can be sent at once, for each of them.
    pub(super) fn entries_per_proxy(&self, proxies: f64) -> f64 {
        let queue = Self::MAX_QUEUE_SHARE * self.limits.max_queued_entries;
        queue / proxies - self.limits.message_overhead - Self::BINDING_ENTRIES
    }

    /// The cost of a binding with a table of so many entries.
    pub(super) fn binding_cost(&self, entries: usize) -> f64 {
        Self::BINDING_ENTRIES + entries as f64 + self.limits.message_overhead
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Has what does not fit now tried again soon, and not only at the next tick.
    pub(super) fn set_urgent_timer(&mut self, now: Duration) {
        if !self.channel.urgent_timer_set {
            self.channel.urgent_timer_set = true;
            self.host.set_timer(now + ControlChannel::URGENT_DELAY, Timer::UrgentPublish);
        }
    }

    /// Tells that a proxy has applied everything up to an acknowledgement. Unknown numbers are ignored.
    pub fn acknowledged(&mut self, now: Duration, number: u16) {
        let channel = &mut self.channel;
        let Some(position) = channel.pending_acks.iter().position(|ack| ack.number == number) else { return };
        let last = channel.pending_acks.drain(..=position).next_back();
        let entries_before = last.map_or(0.0, |ack| ack.entries_before);
        channel.queued = channel.queued.min(channel.sent - entries_before);
        channel.acknowledged_at = now;
    }
}
