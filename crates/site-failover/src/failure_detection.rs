//! Failure detection: what the evidence about a site means.

use std::fmt;

/// Below this fraction of answered attempts a site is dead: all but none are answered.
pub(crate) const DEAD_BELOW: f64 = 0.1;
/// From this fraction on a site is alive, though some of its servers may not be.
const ALIVE_FROM: f64 = 0.3;
/// The fraction of other sites that must see a site dead.
const MOST_OBSERVERS: f64 = 0.9;

/// What speaks for and against the failure of a site. Unset where nothing was observed that could tell.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Evidence {
    /// The fraction of other sites' attempts that were answered there.
    pub answered_to_others: Option<f64>,
    /// The same of its own clients, while these report.
    pub answered_to_itself: Option<f64>,
    /// Of the other sites that made attempts, the fraction that sees it dead: all for a failure, some for a partition.
    pub observers_failing: Option<f64>,
    /// Whether health checks are answered.
    pub health_checks_answered: Option<bool>,
    /// Its proxies' streams have ended and its clients report nothing.
    pub is_silent: bool,
    /// The endpoint list has dropped all of its servers.
    pub is_unlisted: bool,
    /// By the endpoint list, servers were started since its failure, or are there again.
    pub has_started_servers: bool,
}

/// What the evidence says of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing speaks against it, or too little to act on.
    Healthy,
    /// Something speaks against it, but not enough for a failure.
    Suspected,
    /// Its servers answer nobody who reports.
    Failed,
    /// Its servers answer its own clients, and nobody else.
    Partitioned,
}

// On the wire: the command socket answers with this text; do not reword.
impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |fraction: Option<f64>| {
            fraction.map_or_else(|| "unheard".to_owned(), |fraction| format!("{:.0}%", 100.0 * fraction))
        };
        let health_checks = match self.health_checks_answered {
            None => "none",
            Some(true) => "answered",
            Some(false) => "fail",
        };
        write!(f, "answered to others {}, ", percent(self.answered_to_others))?;
        write!(f, "to its own {}, ", percent(self.answered_to_itself))?;
        write!(f, "failing ways {}, ", percent(self.observers_failing))?;
        write!(f, "probes {health_checks}, ")?;
        write!(f, "its callers {}, ", if self.is_silent { "silent" } else { "heard" })?;
        write!(f, "list {}", if self.is_unlisted { "without it" } else { "with it" })
    }
}

fn is_dead(answered: Option<f64>) -> bool {
    answered.is_some_and(|fraction| fraction < DEAD_BELOW)
}

fn is_alive(answered: Option<f64>) -> bool {
    answered.is_some_and(|fraction| fraction >= ALIVE_FROM)
}

impl Evidence {
    /// What the evidence means.
    ///
    /// A failure needs attempts that fail from everywhere and a second kind of evidence. Each alone has a harmless
    /// cause: an overloaded fleet, a collector that fell silent, an endpoint list that is late or wrong. A site that
    /// answers anybody has not failed.
    pub fn verdict(&self) -> Verdict {
        let failing = self.observers_failing.unwrap_or(0.0);
        if self.is_partitioned(failing) {
            return Verdict::Partitioned;
        }
        if self.answers_somebody() {
            return if failing > 0.0 { Verdict::Suspected } else { Verdict::Healthy };
        }
        // Nobody sends requests to a site without listed servers, so nothing else can tell.
        if self.is_unlisted {
            return Verdict::Failed;
        }
        self.verdict_on_silence(failing)
    }

    fn is_partitioned(&self, failing: f64) -> bool {
        is_alive(self.answered_to_itself) && is_dead(self.answered_to_others) && failing > MOST_OBSERVERS
    }

    fn answers_somebody(&self) -> bool {
        is_alive(self.answered_to_others)
            || is_alive(self.answered_to_itself)
            || self.health_checks_answered == Some(true)
    }

    /// The verdict on a listed site that answers nobody.
    fn verdict_on_silence(&self, failing: f64) -> Verdict {
        let fails_everywhere = is_dead(self.answered_to_others) && failing > MOST_OBSERVERS;
        let health_checks_fail = self.health_checks_answered == Some(false);
        let others = [health_checks_fail, self.is_silent, is_dead(self.answered_to_itself)];
        let confirming = others.iter().filter(|holds| **holds).count();
        // Without recent attempts, failed health checks and another sign together are as good.
        let is_unobserved = self.answered_to_others.is_none();
        if (fails_everywhere && confirming > 0) || (is_unobserved && health_checks_fail && confirming > 1) {
            Verdict::Failed
        } else if confirming == 0 && !fails_everywhere {
            Verdict::Healthy
        } else {
            Verdict::Suspected
        }
    }

    /// Whether something answers there, or was started there since.
    pub fn shows_life(&self) -> bool {
        self.answers_somebody() || self.has_started_servers
    }
}
