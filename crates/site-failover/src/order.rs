//! Operators' orders on sites.

use crate::SiteId;
use crate::capacity_plan::PlanError;
use crate::state::SiteState;
use thiserror::Error;

/// An operator's order on a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SiteOrder {
    /// Takes the site out of service.
    TakeOut,
    /// Returns a site that was taken out to service, step by step.
    Restore,
}

/// The reason for which an order is rejected. The site's state does not change then.
// On the wire: the command socket answers with these texts; do not reword.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum OrderError {
    /// The site does not exist.
    #[error("there is no site {0}")]
    UnknownSite(SiteId),
    /// The site is already in the state that the order asks for.
    #[error("site {0} is {1} already")]
    AlreadyInState(SiteId, SiteState),
    /// The site has failed and returns automatically once it answers.
    #[error("site {0} answers nobody: it returns once it does")]
    StillFailed(SiteId),
    /// Only these fractions of these routes' requests would be admitted, so the order must be forced.
    #[error("without it this would be throttled: {}", route_fractions(.0))]
    WouldReject(Vec<(usize, f64)>),
    /// No plan is possible for the load that the other sites would take over.
    #[error("{0}")]
    NoPlan(PlanError),
}

fn route_fractions(routes: &[(usize, f64)]) -> String {
    let texts: Vec<String> =
        routes.iter().map(|(route, fraction)| format!("route {route} to {:.0}%", 100.0 * fraction)).collect();
    texts.join(", ")
}
