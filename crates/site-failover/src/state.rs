//! The state of a site.

use crate::recovery_ramp::RecoveryRamp;
use std::fmt;
use std::time::Duration;

/// The state of a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SiteState {
    /// There is no evidence of a failure.
    Healthy,
    /// There is evidence of a failure, but not enough to act on.
    Suspected,
    /// The site's servers answer no client; the other sites take over.
    Failed,
    /// The site's servers answer only the site's own clients, and keep serving these.
    Partitioned,
    /// An operator has taken the site out.
    TakenOut,
    /// The site returns: its weight rises step by step.
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
    /// Returns true if the site accepts no requests from other sites.
    pub(crate) fn is_unavailable(&self) -> bool {
        matches!(self, SiteState::Failed | SiteState::Partitioned | SiteState::TakenOut)
    }

    /// Returns true if plans count on none of the site's capacity.
    pub(crate) fn is_out_of_service(&self) -> bool {
        matches!(self, SiteState::Failed | SiteState::TakenOut)
    }

    /// Returns true if the site has its whole weight and no failure or partition is confirmed.
    pub(crate) fn is_in_service(&self) -> bool {
        matches!(self, SiteState::Healthy | SiteState::Suspected)
    }
}

/// The state of a site as reported to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteStatus {
    /// The site's state.
    pub state: SiteState,
    /// The time since which the site has that state.
    pub since: Duration,
    /// The present evidence for and against a failure, as text.
    pub evidence: String,
}
