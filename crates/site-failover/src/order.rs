//! Operators' orders.

use crate::SiteId;
use crate::capacity_plan::PlanError;
use crate::state::SiteState;
use thiserror::Error;

/// What an operator may order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteOrder {
    /// Take the site out.
    TakeOut,
    /// Let a site that was taken out return step by step.
    Restore,
}

/// Why an order is rejected. The site's state stays as it is.
// On the wire: the command socket answers with these texts; do not reword.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum OrderError {
    /// There is no such site.
    #[error("there is no site {0}")]
    UnknownSite(SiteId),
    /// The site is taken out already, or never was.
    #[error("site {0} is {1} already")]
    AlreadyInState(SiteId, SiteState),
    /// The site has failed: it returns by itself once it answers.
    #[error("site {0} answers nobody: it returns once it does")]
    StillFailed(SiteId),
    /// These routes would be admitted below this fraction; the order has to be forced.
    #[error("without it this would be throttled: {}", route_fractions(.0))]
    WouldReject(Vec<(usize, f64)>),
    /// What the other sites would take over is unknown.
    #[error("{0}")]
    NoPlan(PlanError),
}

fn route_fractions(routes: &[(usize, f64)]) -> String {
    let texts: Vec<String> =
        routes.iter().map(|(route, fraction)| format!("route {route} to {:.0}%", 100.0 * fraction)).collect();
    texts.join(", ")
}
