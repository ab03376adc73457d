//! The requests of operators on whole sites. The error texts are answers on the command socket: do not reword.

use grebespool_controller::SiteOrder;
use thiserror::Error;
use tokio::sync::oneshot;

/// The kind of an operator's request.
pub enum SiteQuery {
    /// Shows the status of all sites.
    Show,
    /// Takes a site out, or lets it return.
    Command {
        /// The site's name.
        site: String,
        /// The order to carry out.
        order: SiteOrder,
        /// True if the order is to be carried out even if requests of some routes have to be shed.
        forced: bool,
        /// True if the effect of the order is to be shown instead of carrying it out.
        dry_run: bool,
    },
}

/// The reason why a request is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SiteRequestError {
    /// The deployment does not watch sites.
    #[error("sites are not watched: deployment.sites.watched is not set")]
    NotWatched,
    /// No site has the requested name.
    #[error("there is no site {site:?}; there are {known}")]
    UnknownSite {
        /// The requested name.
        site: String,
        /// The names of all sites, separated by commas.
        known: String,
    },
    /// The command cannot be carried out in the current state of the sites.
    #[error("{0}")]
    Refused(String),
}

/// An operator's request, and the channel for its answer: lines for the operator, or the reason of a rejection.
pub struct SiteRequest {
    /// The request.
    pub query: SiteQuery,
    /// The channel for the answer.
    pub answer: oneshot::Sender<Result<Vec<String>, SiteRequestError>>,
}
