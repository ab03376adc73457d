//! The channel's delay: decides what may be queued in the control channel so that urgent changes are still delivered in time.
//!
//! The channel delivers in order, so an urgent change waits for all entries that were queued before it.

use super::pool_updates::WeightChange;
use crate::host::PolicyHost;
use crate::state::{ControlChannel, Policy};
use std::time::Duration;

impl<H: PolicyHost> Policy<H> {
    /// Returns the longest time that an urgent change may spend before its transit, less the time until a retry; `None` if no
    /// time limit is known. A drain and the first server of an empty table have different limits, of which the shorter applies.
    pub(super) fn max_urgent_delay(&self) -> Option<Duration> {
        let until_effect = self.channel.limits.max_transit + ControlChannel::URGENT_DELAY;
        let time_limits = [self.timeouts.drain_grace, self.timeouts.max_unserved];
        time_limits.into_iter().flatten().min().map(|limit| limit.saturating_sub(until_effect))
    }

    /// Returns the time until an urgent change has reached all proxies, if it is queued behind `entries` more entries.
    pub(super) fn urgent_delivery_time(&self, now: Duration, entries: f64) -> Duration {
        let proxies = self.proxies.values().filter(|proxy| proxy.bound).count();
        self.channel.delivery_time(now, entries + self.message_cost(proxies as f64, 1))
    }

    /// Returns true if a message of `entries` entries reaches its proxies in time to make an urgent change take effect that
    /// has waited since `waiting_since`.
    pub(super) fn is_in_time(&self, now: Duration, entries: f64, waiting_since: Option<Duration>) -> bool {
        let waited = now.saturating_sub(waiting_since.unwrap_or(now));
        let delivered_after = waited.saturating_add(self.channel.delivery_time(now, entries));
        self.max_urgent_delay().is_none_or(|max_delay| delivered_after <= max_delay)
    }

    /// Returns the number of entries that can be queued and leave time for an urgent change behind them. All can, if an urgent
    /// change would be late without them as well.
    fn entries_before_urgent(&self, now: Duration) -> f64 {
        let Some(max_delay) = self.max_urgent_delay() else { return f64::INFINITY };
        let delivery_time = self.urgent_delivery_time(now, 0.0);
        let waiting = self.channel.free_at.saturating_sub(now);
        if delivery_time.saturating_sub(waiting) > max_delay {
            return f64::INFINITY;
        }
        max_delay.saturating_sub(delivery_time).as_secs_f64() * self.channel.limits.entries_per_s
    }

    /// Returns true if a message of `entries` entries that may wait can be sent. An empty channel takes any message, so that
    /// such messages are sent also where the settings leave no time for them.
    pub(super) fn may_delay_urgent(&self, now: Duration, entries: f64) -> bool {
        entries <= self.entries_before_urgent(now) || self.channel.free_at <= now
    }

    /// Removes the smallest changes, until a message with the rest, and `others` more entries, to each of `proxies` proxies
    /// leaves time for an urgent change. If not even one change does, all remain if the channel is empty, and none otherwise.
    pub(super) fn limit_to_largest(
        &self,
        now: Duration,
        changes: &mut Vec<WeightChange>,
        proxies: f64,
        others: usize,
    ) {
        let entries = self.entries_before_urgent(now) - self.message_cost(proxies, others);
        let fitting = (entries / proxies) as usize;
        if fitting < changes.len() && (fitting > 0 || self.channel.free_at > now) {
            changes.sort_by(|one, other| other.magnitude().total_cmp(&one.magnitude()));
            changes.truncate(fitting);
        }
    }
}
