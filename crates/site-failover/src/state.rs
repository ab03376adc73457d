//! The state of a site.

use crate::recovery_ramp::RecoveryRamp;
use std::fmt;
use std::time::Duration;

/// The state of a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SiteState {
    /// Nothing speaks against it.
    Healthy,
    /// Something speaks against it; nothing is done.
    Suspected,
    /// Its servers answer nobody; the others take over.
    Failed,
    /// Its servers answer the site's own clients only, and go on doing so.
    Partitioned,
    /// An operator has taken it out.
    TakenOut,
    /// Its weight rises step by step.
    Recovering(RecoveryRamp),
}

// On the wire: the command socket answers with these texts; do not reword.
impl fmt::Display for SiteState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SiteState::Healthy => f.write_str("whole"),
            SiteState::Suspected => f.write_str("doubted"),
            SiteState::Failed => f.write_str("lost"),
            SiteState::Partitioned => f.write_str("cut off"),
            SiteState::TakenOut => f.write_str("held out"),
            SiteState::Recovering(ramp) => {
                write!(f, "returning at {:.0}%", 100.0 * ramp.weight_fraction())
            }
        }
    }
}

impl SiteState {
    /// Whether the site takes no requests from elsewhere.
    pub(crate) fn is_unavailable(&self) -> bool {
        matches!(self, SiteState::Failed | SiteState::Partitioned | SiteState::TakenOut)
    }

    /// Whether nothing of the site's capacity is counted on.
    pub(crate) fn is_out_of_service(&self) -> bool {
        matches!(self, SiteState::Failed | SiteState::TakenOut)
    }

    /// Whether the site has all its weight and no failure is confirmed.
    pub(crate) fn is_in_service(&self) -> bool {
        matches!(self, SiteState::Healthy | SiteState::Suspected)
    }
}

/// The state of a site as operators see it.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteStatus {
    /// Its state.
    pub state: SiteState,
    /// Since when it has that state.
    pub since: Duration,
    /// What speaks for and against a failure now, as text.
    pub evidence: String,
}
