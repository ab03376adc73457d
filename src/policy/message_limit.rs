//! The message limit: decides whether a message may be sent to a pool's proxies now.
//!
//! The limit allows a number of messages in a sliding window. Messages that use it up early would leave none for a drain
//! until the oldest of them leaves the window, so a message is sent only if urgent changes can still follow it at intervals
//! of [`ControlChannel::max_urgent_delay`]. This holds whatever was sent before: an urgent change waits no longer than that.

use super::control_channel::Priority;
use crate::state::{ControlChannel, evict_expired};
use std::collections::VecDeque;
use std::time::Duration;

impl ControlChannel {
    /// The number of messages of the limit that are reserved: one for the binding of a proxy, and one because the delays of
    /// messages vary, so that more of them may arrive within a window than were sent within one.
    const RESERVED_MESSAGES: usize = 2;
    /// The number of messages that are subtracted from the limit before the shares are applied.
    const UNSHARED_MESSAGES: usize = 1;

    /// Returns true if another message may be sent to the proxies that got messages at the times `sent`.
    pub(super) fn may_send_message(
        &self,
        now: Duration,
        sent: &mut VecDeque<Duration>,
        priority: Priority,
    ) -> bool {
        if self.limits.max_messages == 0 {
            return true;
        }
        evict_expired(sent, now, self.limits.window, |at| *at);
        let within_share = (sent.len() as f64) < self.shared_messages() * priority.channel_share();
        let is_spaced = sent.back().is_none_or(|last| now >= *last + self.even_interval());
        // Shedding load cannot wait. Other changes leave the spare messages of the grace to it.
        let may_follow_early = priority == Priority::Overload;
        within_share && (is_spaced || may_follow_early) && self.urgent_may_follow(now, sent)
    }

    /// Returns the longest time for which the message limit delays an urgent change, whatever was sent before: the drain
    /// grace less the time in which a message takes effect, or [`Self::even_interval`] if that is longer or if the grace is
    /// not known.
    fn max_urgent_delay(&self) -> Duration {
        let until_effect = self.limits.max_transit + Self::URGENT_DELAY;
        let by_grace = self.drain_grace.map(|grace| grace.saturating_sub(until_effect));
        by_grace.unwrap_or_default().max(self.even_interval())
    }

    /// Returns the shortest interval at which messages can be sent without end.
    fn even_interval(&self) -> Duration {
        // Rounded up, so that no window contains one message too many.
        let nanos = self.limits.window.as_nanos().div_ceil(self.available_messages() as u128);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns true if a message may be sent now, and urgent ones may follow it at intervals of the longest urgent delay.
    ///
    /// Each earlier message shares a window with those after it, with the message of now, and with the urgent ones that
    /// follow before it leaves the window. Without earlier messages the interval alone keeps to the limit.
    fn urgent_may_follow(&self, now: Duration, sent: &VecDeque<Duration>) -> bool {
        let interval = self.max_urgent_delay().as_nanos().max(1);
        let fits = |(position, earlier): (usize, &Duration)| {
            let remaining = (*earlier + self.limits.window).saturating_sub(now).as_nanos();
            let following = remaining.div_ceil(interval).saturating_sub(1);
            let others = (sent.len() - position) as u128;
            remaining == 0 || others + 1 + following <= self.available_messages() as u128
        };
        sent.iter().enumerate().all(fits)
    }

    /// Returns the number of messages of the limit that are not reserved.
    fn available_messages(&self) -> usize {
        self.limits.max_messages.saturating_sub(Self::RESERVED_MESSAGES).max(1)
    }

    /// Returns the number of messages of which each kind of change may use its share.
    fn shared_messages(&self) -> f64 {
        self.available_messages().max(self.limits.max_messages - Self::UNSHARED_MESSAGES) as f64
    }
}
