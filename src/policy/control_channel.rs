//! The control channel: decides whether the queue has room for a change.
//!
//! Each kind of change may use a share of the queue and of the message limit: ordinary changes leave room for protective
//! ones, and protective ones for drains. The module [`message_limit`](super::message_limit) applies the message limit.

use crate::host::{PolicyHost, Timer};
use crate::state::{ControlChannel, Policy};
use std::time::Duration;

/// The kinds of changes, in ascending order of priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    /// An increase or a small reduction of a weight.
    Ordinary,
    /// A large reduction of a weight.
    Protective,
    /// A reduction of a warming server's weight, or a change of admission.
    Overload,
    /// A drain or a binding, which may not be missing.
    Mandatory,
}

impl Priority {
    /// Returns the share of the queue and of the message limit that changes of this priority may use.
    pub(super) fn channel_share(self) -> f64 {
        match self {
            Priority::Ordinary => 0.4,
            Priority::Protective => 0.6,
            Priority::Overload => 0.85,
            Priority::Mandatory => 0.95,
        }
    }
}

impl ControlChannel {
    /// The largest share of the queue that any change may use, because some entries are delivered later than estimated.
    pub(super) const MAX_QUEUE_SHARE: f64 = 0.7;

    /// The assumed delivery rate while acknowledgements arrive, as a fraction of the rate in the settings.
    const ASSUMED_RATE_FRACTION: f64 = 0.125;
    /// The assumed delivery rate while no acknowledgements arrive, as a fraction of the rate in the settings.
    const UNACKNOWLEDGED_RATE_FRACTION: f64 = 0.03;
    /// The age of the last acknowledgement from which acknowledgements count as missing, in multiples of the longest
    /// transit.
    const SILENT_TRANSITS: u32 = 2;

    /// The cost of a binding to a table in addition to the entries of the table, in entries.
    const BINDING_ENTRIES: f64 = 2.0;
    /// The delay of the urgent timer.
    pub(super) const URGENT_DELAY: Duration = Duration::from_millis(100);

    /// Returns true if `entries` more entries of a priority fit into the queue. Entries that are not acknowledged count as
    /// queued, and are assumed to be delivered at a rate far below the one in the settings.
    pub(super) fn has_room(&mut self, now: Duration, entries: f64, priority: Priority) -> bool {
        let acknowledged =
            now.saturating_sub(self.acknowledged_at) < self.limits.max_transit * Self::SILENT_TRANSITS;
        let rate_fraction =
            if acknowledged { Self::ASSUMED_RATE_FRACTION } else { Self::UNACKNOWLEDGED_RATE_FRACTION };
        let delivered =
            (now - self.queue_updated_at).as_secs_f64() * (self.limits.entries_per_s * rate_fraction);
        self.queued = (self.queued - delivered).max(0.0);
        self.queue_updated_at = now;
        self.queued + entries
            <= self.limits.max_queued_entries * priority.channel_share().min(Self::MAX_QUEUE_SHARE)
    }

    /// Returns the number of entries of each of `tables` tables that can be sent to all proxies at once.
    pub(super) fn entries_per_table(&self, proxies: f64, tables: usize) -> f64 {
        let queue = Self::MAX_QUEUE_SHARE * self.limits.max_queued_entries;
        (queue / proxies - self.binding_cost(tables, 0)) / tables as f64
    }

    /// Returns the cost of a binding to `tables` tables with `entries` entries in all, in entries.
    pub(super) fn binding_cost(&self, tables: usize, entries: usize) -> f64 {
        Self::BINDING_ENTRIES * tables as f64 + entries as f64 + self.limits.message_overhead
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
