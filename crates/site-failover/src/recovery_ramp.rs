//! The recovery ramp: the steps by which the weight of a site rises during its return.

use std::fmt;
use std::time::Duration;

/// The fraction of the site's weight at each step. The number of steps is small enough that each step can receive enough
/// answers within a warm-up, and no step after the first raises the load of the site to much more than double.
const WEIGHT_FRACTIONS: [f64; 5] = [0.1, 0.25, 0.5, 0.75, 1.0];
/// The maximum number of flaps that count: each doubles the duration of a step.
const MAX_FLAPS: u32 = 3;
/// The minimum number of attempts from which a step is judged.
const MIN_ATTEMPTS: f64 = 6.0;
/// The fraction of answered attempts below which the ramp goes back one step.
const STEP_BACK_ANSWERED: f64 = 0.7;
/// The fraction of attempts that must be answered before the next step begins.
const ADVANCE_ANSWERED: f64 = 0.9;
/// The multiple of the mean wait at other sites beyond which a wait is too long.
const MAX_WAIT_RATIO: f64 = 1.5;

/// The parameters of a return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RampParameters {
    /// The warm-up time of a server.
    pub warm_up: Duration,
    /// The time from an order until its effect shows in the observations.
    pub propagation: Duration,
    /// The wait from which an answer is late, in seconds.
    pub late_wait_seconds: f64,
}

/// The progress of a return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryRamp {
    step: usize,
    step_began_at: Duration,
    /// The number of times that the site failed again during a return, up to [`MAX_FLAPS`].
    flaps: u32,
}

/// The observations at a returning site during a step, and at the other sites.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepObservations {
    /// The number of attempts at the site.
    pub attempts: f64,
    /// The number of answered attempts.
    pub answered: f64,
    /// The mean wait of the answered attempts, in seconds.
    pub mean_wait: Option<f64>,
    /// The mean wait at other sites, in seconds.
    pub mean_wait_elsewhere: Option<f64>,
}

/// The reason for which a step is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldReason {
    /// The step has not lasted for its minimum duration.
    MinimumDuration,
    /// Too few attempts were observed.
    TooFewAttempts,
    /// Too few attempts were answered.
    AnswersMissing,
    /// Waits are longer than at other sites.
    WaitsRisen,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HoldReason::MinimumDuration => "the minimum duration has not passed",
            HoldReason::TooFewAttempts => "too few attempts were observed",
            HoldReason::AnswersMissing => "too few attempts were answered",
            HoldReason::WaitsRisen => "waits are longer than at other sites",
        })
    }
}

/// The decision on a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampDecision {
    /// The step continues.
    Hold(HoldReason),
    /// The next step begins.
    Advance,
    /// The previous step begins again; the first step begins again if there is no previous one.
    StepBack,
    /// The last step is proven: the site is healthy.
    Complete,
}

impl RecoveryRamp {
    /// Begins the first step. `flaps` is the number of times that the site failed again in earlier returns.
    pub fn begin(now: Duration, flaps: u32) -> RecoveryRamp {
        RecoveryRamp { step: 0, step_began_at: now, flaps: flaps.min(MAX_FLAPS) }
    }

    /// Returns the fraction of the site's weight that may be used.
    pub fn weight_fraction(&self) -> f64 {
        WEIGHT_FRACTIONS[self.step]
    }

    /// Returns the time at which the step began.
    pub fn step_began_at(&self) -> Duration {
        self.step_began_at
    }

    /// Returns the index of the step.
    pub fn step(&self) -> usize {
        self.step
    }

    /// Returns the minimum duration of a step: an equal part of the warm-up, doubled with each flap up to a whole warm-up,
    /// and at least the propagation time.
    fn min_step_duration(&self, parameters: &RampParameters) -> Duration {
        let part = parameters.warm_up / WEIGHT_FRACTIONS.len() as u32;
        let damped = (part * (1 << self.flaps)).min(parameters.warm_up.max(part));
        damped.max(parameters.propagation)
    }

    /// Decides on the step by the observations since its orders took effect. A step advances only if enough requests were
    /// answered, never by time alone: a site without requests would appear healthy and receive its whole weight.
    pub fn evaluate(
        &mut self,
        now: Duration,
        parameters: &RampParameters,
        observed: &StepObservations,
    ) -> RampDecision {
        let has_enough_attempts = observed.attempts >= MIN_ATTEMPTS;
        if has_enough_attempts && observed.answered < STEP_BACK_ANSWERED * observed.attempts {
            // The first step is not left here: whether the site has failed again is decided by the evidence.
            self.enter_step(now, self.step.saturating_sub(1));
            return RampDecision::StepBack;
        }
        if let Some(reason) = self.hold_reason(now, parameters, observed) {
            return RampDecision::Hold(reason);
        }
        if self.step + 1 == WEIGHT_FRACTIONS.len() {
            return RampDecision::Complete;
        }
        self.enter_step(now, self.step + 1);
        RampDecision::Advance
    }

    fn enter_step(&mut self, now: Duration, step: usize) {
        self.step = step;
        self.step_began_at = now;
    }

    fn hold_reason(
        &self,
        now: Duration,
        parameters: &RampParameters,
        observed: &StepObservations,
    ) -> Option<HoldReason> {
        let elsewhere = observed.mean_wait_elsewhere.unwrap_or(0.0);
        let is_late = |wait: f64| wait > parameters.late_wait_seconds && wait > MAX_WAIT_RATIO * elsewhere;
        if now.saturating_sub(self.step_began_at) < self.min_step_duration(parameters) {
            Some(HoldReason::MinimumDuration)
        } else if observed.attempts < MIN_ATTEMPTS {
            Some(HoldReason::TooFewAttempts)
        } else if observed.answered < ADVANCE_ANSWERED * observed.attempts {
            Some(HoldReason::AnswersMissing)
        } else if observed.mean_wait.is_some_and(is_late) {
            Some(HoldReason::WaitsRisen)
        } else {
            None
        }
    }
}
