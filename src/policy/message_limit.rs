//! The message limit: decides whether a message may be sent to a pool's proxies now.
//!
//! The limit allows a number of messages in a sliding window. An urgent change, which has to take effect within a time limit,
//! is sent at once if others can follow it, and otherwise as late as its time limit permits, together with all that have
//! come until then. Any other change is sent only if urgent ones can still follow it at the shortest interval at which they
//! may have to. Where the limit admits urgent messages at that interval without end, an urgent change is always in time.
//! Where it does not, one is in time unless [`MessageLimit::reserved_messages`] urgent messages were sent within the window,
//! and waits for [`MessageLimit::sustained_interval`] at most.

use super::control_channel::Priority;
use crate::host::{ControlChannelLimits, PolicyHost};
use crate::state::{Policy, evict_expired};
use std::collections::VecDeque;
use std::iter;
use std::time::Duration;

/// The limit on the messages to each proxy, and the time for which it may delay an urgent change.
#[derive(Clone, Copy)]
pub(super) struct MessageLimit {
    /// The largest number of messages within `window`; 0 means no limit.
    max_messages: usize,
    /// The sliding window.
    window: Duration,
    /// The longest time for which an urgent change may wait and still take effect in time; `None` if no time limit is known.
    max_wait: Option<Duration>,
}

impl MessageLimit {
    /// The number of messages of the limit that are not used: one for the binding of a proxy, and one because the delays of
    /// messages vary, so that more of them may arrive within a window than were sent within one.
    const UNUSED_MESSAGES: usize = 2;
    /// The number of messages that are subtracted from the limit before the shares are applied.
    const UNSHARED_MESSAGES: usize = 1;

    /// Returns true if a message may be sent to the proxies that got messages at the times `sent`. `waiting_since` is the
    /// time of the first attempt to send an urgent change, if one waits.
    pub(super) fn may_send(
        &self,
        now: Duration,
        sent: &mut VecDeque<Duration>,
        priority: Priority,
        waiting_since: Option<Duration>,
    ) -> bool {
        if self.max_messages == 0 {
            return true;
        }
        evict_expired(sent, now, self.window, |at| *at);
        if priority == Priority::Mandatory && self.may_wait_no_longer(now, waiting_since) {
            return self.urgent_may_follow(now, sent, 0);
        }
        let within_share = (sent.len() as f64) < self.shared_messages() * priority.channel_share();
        let is_spaced = sent.back().is_none_or(|last| now >= *last + self.even_interval());
        // Shedding load cannot wait. Other changes leave the spare messages of the grace to it.
        let may_follow_early = priority == Priority::Overload;
        within_share
            && (is_spaced || may_follow_early)
            && self.urgent_may_follow(now, sent, self.reserved_messages())
    }

    /// Returns true if an urgent change that was first tried at `waiting_since`, or now, takes effect late unless it is sent
    /// now.
    fn may_wait_no_longer(&self, now: Duration, waiting_since: Option<Duration>) -> bool {
        let waited = now.saturating_sub(waiting_since.unwrap_or(now));
        self.max_wait.is_some_and(|max_wait| waited >= max_wait)
    }

    /// Returns the shortest interval at which messages can be sent without end.
    fn even_interval(&self) -> Duration {
        self.interval_of(self.available_messages())
    }

    /// Returns the interval of this number of messages in a window, or of one message if it is 0.
    fn interval_of(&self, messages: usize) -> Duration {
        // Rounded up, so that no window contains one message too many.
        let nanos = self.window.as_nanos().div_ceil(messages.max(1) as u128);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns the shortest interval at which urgent changes have to be sent: each waits for as long as it may, together with
    /// those that come meanwhile.
    fn urgent_interval(&self) -> Duration {
        self.max_wait.unwrap_or_else(|| self.even_interval())
    }

    /// Returns true if the limit admits urgent messages at their shortest interval without end.
    fn admits_all_urgent(&self) -> bool {
        self.urgent_interval() >= self.even_interval()
    }

    /// Returns the number of messages that are reserved for urgent changes at their shortest interval, where the limit does
    /// not admit them without end: half of the available messages, because limits admit all that cannot wait twice over.
    fn reserved_messages(&self) -> usize {
        if self.admits_all_urgent() { 0 } else { self.available_messages().div_ceil(2) }
    }

    /// Returns the interval at which urgent messages can be sent without end, after the reserved ones.
    fn sustained_interval(&self) -> Duration {
        if self.admits_all_urgent() {
            self.urgent_interval()
        } else {
            self.interval_of(self.available_messages() - self.reserved_messages())
        }
    }

    /// Returns true if a message may be sent now, and urgent ones may follow it: `reserved` ones at their shortest interval,
    /// and then others at the sustained interval without end.
    ///
    /// Each message shares a window with those after it, and with the urgent ones that follow before it leaves the window.
    fn urgent_may_follow(&self, now: Duration, sent: &VecDeque<Duration>, reserved: usize) -> bool {
        let burst = self.urgent_interval().saturating_mul(u32::try_from(reserved).unwrap_or(u32::MAX));
        let fits = |(position, at): (usize, &Duration)| {
            let remaining = (*at + self.window).saturating_sub(now);
            let early = intervals_within(remaining, self.urgent_interval()).min(reserved as u128);
            let later = intervals_within(remaining.saturating_sub(burst), self.sustained_interval());
            let until_now = (sent.len() + 1 - position) as u128;
            remaining.is_zero() || until_now + early + later <= self.available_messages() as u128
        };
        sent.iter().chain(iter::once(&now)).enumerate().all(fits)
    }

    /// Returns the number of messages of the limit that may be used.
    fn available_messages(&self) -> usize {
        self.max_messages.saturating_sub(Self::UNUSED_MESSAGES).max(1)
    }

    /// Returns the number of messages of which each kind of change may use its share.
    fn shared_messages(&self) -> f64 {
        self.available_messages().max(self.max_messages - Self::UNSHARED_MESSAGES) as f64
    }
}

/// Returns the number of whole intervals that end before `length` is over.
fn intervals_within(length: Duration, interval: Duration) -> u128 {
    length.as_nanos().div_ceil(interval.as_nanos().max(1)).saturating_sub(1)
}

impl<H: PolicyHost> Policy<H> {
    /// Returns the limit on the messages to each proxy.
    pub(super) fn message_limit(&self, now: Duration) -> MessageLimit {
        let ControlChannelLimits { max_messages, window, .. } = self.channel.limits;
        let delivery_time = self.urgent_delivery_time(now, 0.0);
        let max_wait = self.max_urgent_delay().map(|max_delay| max_delay.saturating_sub(delivery_time));
        MessageLimit { max_messages, window, max_wait }
    }
}
