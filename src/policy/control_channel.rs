//! The control channel: decides whether a message may be sent now.
//!
//! Each kind of change may use a share of the queue and of the message limit: ordinary changes leave room for protective
//! ones, and protective ones for drains.

use crate::host::{PolicyHost, Timer};
use crate::state::{ControlChannel, Policy, evict_expired};
use std::collections::VecDeque;
use std::time::Duration;

impl ControlChannel {
    /// The share of the queue and of the message limit that an ordinary change of a weight may use.
    pub(super) const ORDINARY_SHARE: f64 = 0.4;
    /// The share that a large reduction of a weight may use.
    pub(super) const PROTECTIVE_SHARE: f64 = 0.6;
    /// The share that a reduction of a warming server's weight and a change of admission may use.
    pub(super) const OVERLOAD_SHARE: f64 = 0.85;
    /// The share that drains and bindings may use.
    pub(super) const MANDATORY_SHARE: f64 = 0.95;
    /// The largest share of the queue that any change may use, because some entries are delivered later than estimated.
    pub(super) const MAX_QUEUE_SHARE: f64 = 0.7;

    /// The assumed delivery rate while acknowledgements arrive, as a fraction of the rate in the settings.
    const ASSUMED_RATE_FRACTION: f64 = 0.125;
    /// The assumed delivery rate while no acknowledgements arrive, as a fraction of the rate in the settings.
    const UNACKNOWLEDGED_RATE_FRACTION: f64 = 0.03;
    /// The age of the last acknowledgement from which acknowledgements count as missing, in multiples of the longest
    /// transit.
    const SILENT_TRANSITS: u32 = 2;

    /// The number of messages of the limit that are reserved for bindings.
    const RESERVED_MESSAGES: f64 = 2.0;
    /// The number of messages that are subtracted from the limit before the shares are applied.
    const UNSHARED_MESSAGES: f64 = 1.0;
    /// The divisor of the message limit that gives the largest burst. Messages beyond a burst are spaced, so that a drain
    /// can still be sent.
    const BURST_DIVISOR: f64 = 4.0;

    /// The cost of a binding message in addition to the entries of its table, in entries.
    const BINDING_ENTRIES: f64 = 2.0;
    /// The delay of the urgent timer.
    const URGENT_DELAY: Duration = Duration::from_millis(100);

    /// Returns true if `entries` more entries fit into a share of the queue. Entries that are not acknowledged count as
    /// queued, and are assumed to be delivered at a rate far below the one in the settings.
    pub(super) fn has_room(&mut self, now: Duration, entries: f64, share: f64) -> bool {
        let acknowledged =
            now.saturating_sub(self.acknowledged_at) < self.limits.max_transit * Self::SILENT_TRANSITS;
        let rate_fraction =
            if acknowledged { Self::ASSUMED_RATE_FRACTION } else { Self::UNACKNOWLEDGED_RATE_FRACTION };
        let delivered =
            (now - self.queue_updated_at).as_secs_f64() * (self.limits.entries_per_s * rate_fraction);
        self.queued = (self.queued - delivered).max(0.0);
        self.queue_updated_at = now;
        self.queued + entries <= self.limits.max_queued_entries * share.min(Self::MAX_QUEUE_SHARE)
    }

    /// Returns true if another message may be sent to the proxies that got messages at the times `sent`.
    pub(super) fn may_send_message(&self, now: Duration, sent: &mut VecDeque<Duration>, share: f64) -> bool {
        evict_expired(sent, now, self.limits.window, |at| *at);
        let max = self.limits.max_messages as f64;
        let used = sent.len() as f64;
        let spacing_s = self.limits.window.as_secs_f64() / (max - Self::RESERVED_MESSAGES).max(1.0);
        let is_spaced = sent.back().is_none_or(|last| (now - *last).as_secs_f64() >= spacing_s);
        let within_share = used < (max - Self::UNSHARED_MESSAGES) * share;
        let within_limit = used < max - Self::RESERVED_MESSAGES;
        max == 0.0 || (within_share && within_limit && (is_spaced || used < max / Self::BURST_DIVISOR))
    }

    /// Returns the number of table entries per proxy that can be sent to all proxies at once.
    pub(super) fn entries_per_proxy(&self, proxies: f64) -> f64 {
        let queue = Self::MAX_QUEUE_SHARE * self.limits.max_queued_entries;
        queue / proxies - self.limits.message_overhead - Self::BINDING_ENTRIES
    }

    /// Returns the cost of a binding with a table of `entries` entries, in entries.
    pub(super) fn binding_cost(&self, entries: usize) -> f64 {
        Self::BINDING_ENTRIES + entries as f64 + self.limits.message_overhead
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Sets the urgent timer, so that a change that does not fit now is retried before the next tick.
    pub(super) fn set_urgent_timer(&mut self, now: Duration) {
        if !self.channel.urgent_timer_set {
            self.channel.urgent_timer_set = true;
            self.host.set_timer(now + ControlChannel::URGENT_DELAY, Timer::UrgentPublish);
        }
    }

    /// Records that a proxy has applied all commands up to an acknowledgement. Unknown numbers are ignored.
    pub fn acknowledged(&mut self, now: Duration, number: u16) {
        let channel = &mut self.channel;
        let Some(position) = channel.pending_acks.iter().position(|ack| ack.number == number) else { return };
        let last = channel.pending_acks.drain(..=position).next_back();
        let entries_before = last.map_or(0.0, |ack| ack.entries_before);
        channel.queued = channel.queued.min(channel.sent - entries_before);
        channel.acknowledged_at = now;
    }
}
