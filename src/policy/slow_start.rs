//! Servers that are fresh or come back.

use super::*;

impl Ramp {
    pub(super) const CROWDED: f64 = 1.4;
    pub(super) const STEPS: u32 = 4;
    /// Of a line's ordinary share, times its step: what a cold one may have of what its pool has left.
    pub(super) const SHARE: f64 = 1.25;
    /// Of the ready servers, cold: past it the warm ones fill up, and what they turn away comes to the cold.
    pub(super) const MANY: f64 = 0.3;

    /// Newly started servers that count in a pool, for each of the others there.
    pub(super) const NEW_PER_OTHER: usize = 2;

    /// What part of an ordinary line a server stands for.
    pub(super) fn line_share(&self) -> f64 {
        if self.cold { f64::from(self.step) / f64::from(Self::STEPS) } else { 1.0 }
    }

    /// Guards against proxies that find the pool crowded and send a cold server many times its share.
    pub(super) fn part(&self, pressure: f64) -> f64 {
        let step = f64::from(self.step) / f64::from(Self::STEPS);
        match pressure {
            _ if !self.cold => step,
            p if p > Self::CROWDED => 0.0,
            p => step * (0.9 / p).min(1.0).powi(2),
        }
    }

    /// The steps a server may have reached by its age, against all proxies together pushing it over.
    pub(super) fn allowed(now: Duration, warm_at: Duration, warm_up: Duration) -> u32 {
        let left = warm_at.saturating_sub(now).as_secs_f64() / warm_up.as_secs_f64().max(0.001);
        1 + ((1.0 - left).max(0.0) * f64::from(Self::STEPS - 1)) as u32
    }
}

impl<H: PolicyHost> Policy<H> {
    pub(super) fn rise(&mut self, now: Duration) {
        for p in &mut self.peers {
            let by_age = Ramp::allowed(now, p.warm_at, self.graces.warm_up);
            // Against a planner that hears little, or a pool that presses hard: it would raise what is full.
            let room = Levels::FULL * f64::from(p.ramp.step) / f64::from(p.ramp.step + 1);
            let eases = |x: &Sample| x.at > p.ramp.since && x.cpu.is_none_or(|busy| busy < room);
            let shown = by_age == Ramp::STEPS || p.load.0.back().is_some_and(eases);
            if p.ramp.step > 0 && p.ramp.step < by_age.min(p.health.allowed) && shown {
                (p.ramp.step, p.ramp.since) = (p.ramp.step + 1, now + self.channel.pace.max_transit);
            }
            p.ramp.cold &= by_age < Ramp::STEPS || p.ramp.step < p.health.allowed;
        }
    }
}
