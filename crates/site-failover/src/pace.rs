//! The steps by which a site returns.

use std::time::Duration;

/// How a return goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pacing {
    /// How long a server may be cold.
    pub warm_up: Duration,
    /// How long an order takes to show in what is heard.
    pub settling: Duration,
    /// The wait, in seconds, from which answers are late.
    pub late: f64,
}

/// Where a return stands.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    step: usize,
    since: Duration,
    /// How often the site was lost again before it was whole.
    flaps: u32,
}

/// What becomes of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It goes on as it is, and why.
    Held(&'static str),
    Next,
    Back,
    /// The site is whole.
    Done,
}

impl Pace {
    /// Parts of the site's servers' weight. Few enough that each can be proven within a warm-up, and none more than
    /// doubles what is sent there but the first.
    const PARTS: [f64; 5] = [0.1, 0.25, 0.5, 0.75, 1.0];
    /// Each flap makes the return slower, up to a warm-up for each step.
    const MOST_FLAPS: u32 = 3;
    const LEAST_TRIES: f64 = 6.0;

    pub fn begin(now: Duration, flaps: u32) -> Pace {
        Pace { step: 0, since: now, flaps: flaps.min(Self::MOST_FLAPS) }
    }

    pub fn part(&self) -> f64 {
        Self::PARTS[self.step]
    }

    pub fn since(&self) -> Duration {
        self.since
    }

    pub fn step(&self) -> usize {
        self.step
    }

    /// How long a step takes at the least: its part of the warm-up, which the servers need whatever is proven, doubled
    /// with each flap.
    pub fn least(&self, pacing: &Pacing) -> Duration {
        let part = pacing.warm_up / Self::PARTS.len() as u32;
        (part * (1 << self.flaps)).min(pacing.warm_up.max(part)).max(pacing.settling)
    }

    /// Looks at what the step has shown: tries, answers and the mean wait there since orders of this step are in force,
    /// beside the usual wait elsewhere. Only answers prove a step, never mere time: a site that looks well because nobody
    /// calls it would be given everything.
    pub fn look(
        &mut self,
        now: Duration,
        pacing: &Pacing,
        (tries, answered, wait): (f64, f64, Option<f64>),
        usual: Option<f64>,
    ) -> Step {
        if tries >= Self::LEAST_TRIES && answered < 0.7 * tries {
            // The first step is as little as there is: below it is the loss, which has its own signs.
            (self.step, self.since) = (self.step.saturating_sub(1), now);
            return Step::Back;
        }
        if now.saturating_sub(self.since) < self.least(pacing) {
            return Step::Held("its time is not over");
        }
        if tries < Self::LEAST_TRIES {
            return Step::Held("too few calls have shown it");
        }
        if answered < 0.9 * tries {
            return Step::Held("answers are missing");
        }
        let slow = wait.is_some_and(|w| w > pacing.late && w > 1.5 * usual.unwrap_or(0.0));
        if slow {
            return Step::Held("waits have risen");
        }
        if self.step + 1 == Self::PARTS.len() {
            return Step::Done;
        }
        (self.step, self.since) = (self.step + 1, now);
        Step::Next
    }
}
