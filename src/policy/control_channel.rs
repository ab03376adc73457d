//! What may be sent now: ordinary pushes leave room for withdrawals, and these for drains.

use super::*;

impl Channel {
    pub(super) const ORDINARY: f64 = 0.4;
    pub(super) const GUARDING: f64 = 0.6;
    pub(super) const CROWDED: f64 = 0.85;
    pub(super) const BINDING: f64 = 0.95;
    pub(super) const USED: f64 = 0.7;

    /// The least part of its stated pace, while marks are answered and while none is.
    pub(super) const SLOWEST: (f64, f64) = (0.125, 0.03);

    /// Against a channel that is slower than stated: what no answered mark shows to have left still waits.
    pub(super) fn room(&mut self, now: Duration, lines: f64, share: f64) -> bool {
        let heard = now.saturating_sub(self.answered_at) < self.pace.max_transit * 2;
        let rate = self.pace.entries_per_s * if heard { Self::SLOWEST.0 } else { Self::SLOWEST.1 };
        let gone = (now - self.drained_at).as_secs_f64() * rate;
        (self.waiting, self.drained_at) = ((self.waiting - gone).max(0.0), now);
        // Some leave later than counted even so: the last three tenths are not used.
        self.waiting + lines <= self.pace.max_queued_entries * share.min(Self::USED)
    }

    /// Two messages stay for binding; past a quarter of the cap they keep apart, so that a drain finds one.
    pub(super) fn may_message(&self, now: Duration, sent: &mut VecDeque<Duration>, share: f64) -> bool {
        drop_old(sent, now, self.pace.window, |t| *t);
        let (most, used) = (self.pace.max_messages as f64, sent.len() as f64);
        let apart = self.pace.window.as_secs_f64() / (most - 2.0).max(1.0);
        let late = sent.back().is_none_or(|t| (now - *t).as_secs_f64() >= apart);
        most == 0.0 || (used < (most - 1.0) * share && used < most - 2.0 && (late || used < most / 4.0))
    }
}

impl<H: PolicyHost> Policy<H> {
    pub(super) fn wake_urgent(&mut self, now: Duration) {
        if !self.channel.urgent_set {
            self.channel.urgent_set = true;
            self.host.set_timer(now + LOOK / 10, Timer::UrgentPublish);
        }
    }

    pub fn acknowledged(&mut self, now: Duration, number: u16) {
        let channel = &mut self.channel;
        if let Some(i) = channel.unanswered.iter().position(|m| m.0 == number) {
            let before = channel.unanswered.drain(..=i).next_back().map_or(0.0, |m| m.1);
            (channel.waiting, channel.answered_at) = (channel.waiting.min(channel.ordered - before), now);
        }
    }
}
