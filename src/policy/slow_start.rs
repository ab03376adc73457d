//! Slow start: raises the weight of a server after a start or a return, in steps of a quarter.

use super::capacity::FULL_UTILIZATION;
use crate::host::PolicyHost;
use crate::state::{LoadSample, Policy, ServerState, SlowStart};
use std::time::Duration;

impl SlowStart {
    /// The number of steps to the full weight.
    pub(super) const STEPS: u32 = 4;
    /// The largest share of its pool's usable weight that a warming server may have, in multiples of an ordinary share times
    /// the server's step share.
    pub(super) const MAX_SHARE: f64 = 1.25;
    /// The pressure above which a warming server gets no weight.
    const MAX_PRESSURE: f64 = 1.4;
    /// The pressure above which the share of a warming server is reduced.
    const SHARE_REDUCTION_PRESSURE: f64 = 0.9;
    /// The lower bound on the warm-up time, in seconds. It prevents a division by zero.
    const MIN_WARM_UP_S: f64 = 0.001;

    /// Returns true if the full weight is reached.
    pub(super) fn is_complete(&self) -> bool {
        self.step == Self::STEPS
    }

    /// Returns the current step as a share of the full weight.
    pub(super) fn step_share(&self) -> f64 {
        f64::from(self.step) / f64::from(Self::STEPS)
    }

    /// Returns the fraction of an ordinary server that this server counts for in the size of a pool.
    pub(super) fn entry_share(&self) -> f64 {
        if self.warming { self.step_share() } else { 1.0 }
    }

    /// Returns the share of its learned weight that a server may have now. A warming server gets less under pressure,
    /// because proxies avoid full servers and would send it many times its share.
    pub(super) fn weight_share(&self, pressure: f64) -> f64 {
        if !self.warming {
            self.step_share()
        } else if pressure > Self::MAX_PRESSURE {
            0.0
        } else {
            self.step_share() * (Self::SHARE_REDUCTION_PRESSURE / pressure).min(1.0).powi(2)
        }
    }

    /// Returns the number of steps that a server may have reached by its age.
    pub(super) fn steps_by_age(now: Duration, warm_at: Duration, warm_up: Duration) -> u32 {
        let remaining_s = warm_at.saturating_sub(now).as_secs_f64();
        let remaining = remaining_s / warm_up.as_secs_f64().max(Self::MIN_WARM_UP_S);
        1 + ((1.0 - remaining).max(0.0) * f64::from(Self::STEPS - 1)) as u32
    }
}

impl<H: PolicyHost> Policy<H> {
    /// Raises each server by one step if its age, its health and its last report allow it.
    pub(super) fn advance_slow_start(&mut self, now: Duration) {
        for server in &mut self.servers {
            let by_age = SlowStart::steps_by_age(now, server.warm_at, self.timeouts.warm_up);
            let allowed_steps = server.outlier.allowed_steps;
            let may_advance = by_age == SlowStart::STEPS || has_room_for_a_step(server);
            let slow_start = &mut server.slow_start;
            if slow_start.step > 0 && slow_start.step < by_age.min(allowed_steps) && may_advance {
                slow_start.step += 1;
                slow_start.evidence_from = now + self.channel.limits.max_transit;
            }
            slow_start.warming &= by_age < SlowStart::STEPS || slow_start.step < allowed_steps;
        }
    }
}

/// Returns true if the server's last report reflects its current step and shows that another step would not fill the server.
fn has_room_for_a_step(server: &ServerState) -> bool {
    let step = server.slow_start.step;
    let max_utilization = FULL_UTILIZATION * f64::from(step) / f64::from(step + 1);
    let shows_room = |sample: &LoadSample| {
        sample.at > server.slow_start.evidence_from
            && sample.utilization.is_none_or(|utilization| utilization < max_utilization)
    };
    server.load.samples.back().is_some_and(shows_room)
}
