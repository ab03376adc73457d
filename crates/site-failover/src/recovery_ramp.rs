//! The recovery ramp: the steps by which a site's weight returns.

use std::fmt;
use std::time::Duration;

/// The fractions of a site's weight, by step: few enough that each can be proven within a warm-up, and none but the
/// first more than about doubles what the site receives.
const WEIGHT_FRACTIONS: [f64; 5] = [0.1, 0.25, 0.5, 0.75, 1.0];
/// Each earlier failure during a return doubles the duration of a step, up to this many.
const MAX_FLAPS: u32 = 3;
/// The fewest attempts that prove anything.
const MIN_ATTEMPTS: f64 = 6.0;
/// With a smaller fraction of attempts answered, the ramp goes back one step.
const STEP_BACK_ANSWERED: f64 = 0.7;
/// The fraction of attempts that must be answered for the next step.
const ADVANCE_ANSWERED: f64 = 0.9;
/// Waits are too long at this multiple of the mean wait elsewhere.
const MAX_WAIT_RATIO: f64 = 1.5;

/// The parameters of a return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RampParameters {
    /// The warm-up time of a server.
    pub warm_up: Duration,
    /// How long an order takes to show in what is observed.
    pub propagation: Duration,
    /// The wait from which an answer is late, in seconds.
    pub late_wait_seconds: f64,
}

/// The progress of a return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryRamp {
    step: usize,
    step_began_at: Duration,
    /// How often the site failed again before it was healthy.
    flaps: u32,
}

/// What was observed at a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StepObservations {
    /// The attempts.
    pub attempts: f64,
    /// How many were answered.
    pub answered: f64,
    /// The mean wait of the answered, in seconds.
    pub mean_wait: Option<f64>,
    /// The mean wait at other sites, in seconds.
    pub mean_wait_elsewhere: Option<f64>,
}

/// Why a step is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldReason {
    /// The step has not lasted for its minimum duration.
    MinimumDuration,
    /// Too few attempts were observed.
    TooFewAttempts,
    /// Too few attempts were answered.
    AnswersMissing,
    /// Waits are longer than elsewhere.
    WaitsRisen,
}

impl fmt::Display for HoldReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            HoldReason::MinimumDuration => "its time is not over",
            HoldReason::TooFewAttempts => "too few calls have shown it",
            HoldReason::AnswersMissing => "answers are missing",
            HoldReason::WaitsRisen => "waits have risen",
        })
    }
}

/// What becomes of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RampDecision {
    /// It goes on as it is.
    Hold(HoldReason),
    /// The next step begins.
    Advance,
    /// The step before begins again.
    StepBack,
    /// The last step is proven: the site is healthy.
    Complete,
}

impl RecoveryRamp {
    /// Begins the first step. `flaps` is how often the site failed again in earlier returns.
    pub fn begin(now: Duration, flaps: u32) -> RecoveryRamp {
        RecoveryRamp { step: 0, step_began_at: now, flaps: flaps.min(MAX_FLAPS) }
    }

    /// The fraction of the site's weight that may be used.
    pub fn weight_fraction(&self) -> f64 {
        WEIGHT_FRACTIONS[self.step]
    }

    /// When the step began.
    pub fn step_began_at(&self) -> Duration {
        self.step_began_at
    }

    /// The index of the step.
    pub fn step(&self) -> usize {
        self.step
    }

    /// The minimum duration of a step: its part of the warm-up, doubled with each flap up to a whole warm-up.
    fn min_step_duration(&self, parameters: &RampParameters) -> Duration {
        let part = parameters.warm_up / WEIGHT_FRACTIONS.len() as u32;
        let damped = (part * (1 << self.flaps)).min(parameters.warm_up.max(part));
        damped.max(parameters.propagation)
    }

    /// Decides on the step by what was observed since its orders are in force. Only answers prove a step, never the
    /// time alone: a site without requests would look healthy and be given everything.
    pub fn evaluate(
        &mut self,
        now: Duration,
        parameters: &RampParameters,
        observed: &StepObservations,
    ) -> RampDecision {
        let is_telling = observed.attempts >= MIN_ATTEMPTS;
        if is_telling && observed.answered < STEP_BACK_ANSWERED * observed.attempts {
            // There is nothing below the first step but the failure, which has its own evidence.
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
