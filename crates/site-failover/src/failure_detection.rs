//! Failure detection: the evidence on a site and the verdict that follows from it.

use std::fmt;

/// The fraction of answered attempts below which a site counts as dead.
pub(crate) const DEAD_BELOW: f64 = 0.1;
/// The fraction of answered attempts from which a site counts as alive, though some of its servers may have failed.
const ALIVE_FROM: f64 = 0.3;
/// A failure or a partition requires that more than this fraction of the other sites see the site as dead.
const MIN_OBSERVERS_FAILING: f64 = 0.9;

/// The evidence for and against the failure of a site. A value is unset if too little was observed.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Evidence {
    /// The fraction of other sites' attempts at the site that were answered.
    pub answered_to_others: Option<f64>,
    /// The fraction of its own clients' attempts at the site that were answered, while these clients report.
    pub answered_to_itself: Option<f64>,
    /// The fraction of the other sites that see the site as dead, among those that made attempts there. A failure is seen by
    /// all of them; if only some see it, a network partition between sites is more likely.
    pub observers_failing: Option<f64>,
    /// True if a recent health check was answered, false if recent health checks failed.
    pub health_checks_answered: Option<bool>,
    /// True if the site's clients no longer report, or its proxies' streams have ended, while reports of other sites arrive.
    pub is_silent: bool,
    /// True if the endpoint list has dropped all servers of the site.
    pub is_unlisted: bool,
    /// True if, by the endpoint list, servers of the site were started or listed again since its failure.
    pub has_started_servers: bool,
}

/// The conclusion from the evidence on a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is no evidence of a failure, or too little to act on.
    Healthy,
    /// There is evidence of a failure, but not enough to act on.
    Suspected,
    /// The site's servers answer no client that reports.
    Failed,
    /// The site's servers answer only the site's own clients.
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
    /// Returns the verdict that follows from the evidence.
    ///
    /// A failure requires that attempts from all other sites fail, and a second kind of evidence. Each kind alone may have a
    /// harmless cause: an overloaded fleet, a collector that stopped reporting, or an endpoint list that is late or wrong. A
    /// site that answers any client or health check has not failed.
    pub fn verdict(&self) -> Verdict {
        let failing = self.observers_failing.unwrap_or(0.0);
        if self.is_partitioned(failing) {
            return Verdict::Partitioned;
        }
        if self.answers_anyone() {
            return if failing > 0.0 { Verdict::Suspected } else { Verdict::Healthy };
        }
        // Without listed servers a site receives no requests, so no other evidence can be expected.
        if self.is_unlisted {
            return Verdict::Failed;
        }
        self.verdict_without_answers(failing)
    }

    fn is_partitioned(&self, failing: f64) -> bool {
        is_alive(self.answered_to_itself)
            && is_dead(self.answered_to_others)
            && failing > MIN_OBSERVERS_FAILING
    }

    fn answers_anyone(&self) -> bool {
        is_alive(self.answered_to_others)
            || is_alive(self.answered_to_itself)
            || self.health_checks_answered == Some(true)
    }

    /// Returns the verdict on a listed site that answers neither clients nor health checks.
    fn verdict_without_answers(&self, failing: f64) -> Verdict {
        let fails_everywhere = is_dead(self.answered_to_others) && failing > MIN_OBSERVERS_FAILING;
        let health_checks_fail = self.health_checks_answered == Some(false);
        let other_evidence = [health_checks_fail, self.is_silent, is_dead(self.answered_to_itself)];
        let confirming = other_evidence.iter().filter(|holds| **holds).count();
        // If there were no recent attempts, failed health checks together with another kind of evidence suffice.
        let is_unobserved = self.answered_to_others.is_none();
        if (fails_everywhere && confirming > 0) || (is_unobserved && health_checks_fail && confirming > 1) {
            Verdict::Failed
        } else if confirming == 0 && !fails_everywhere {
            Verdict::Healthy
        } else {
            Verdict::Suspected
        }
    }

    /// Returns true if the site answers anyone, or servers were started there since its failure.
    pub fn shows_recovery(&self) -> bool {
        self.answers_anyone() || self.has_started_servers
    }
}
