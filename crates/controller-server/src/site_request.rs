//! What operators request of whole sites. The texts are answers on the command socket: do not rename.

use grebespool_controller::SiteOrder;
use thiserror::Error;
use tokio::sync::oneshot;

/// What an operator requests.
pub enum SiteQuery {
    /// Shows all sites.
    Show,
    /// Takes a site out, or back.
    Command {
        /// The site's name.
        site: String,
        /// What is to be done.
        order: SiteOrder,
        /// Whether it is to be done even if routes are throttled by it.
        forced: bool,
        /// Whether only to say what it would do.
        dry_run: bool,
    },
}

/// Why a request is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SiteRequestError {
    /// Sites are not watched by this deployment.
    #[error("sites are not watched: deployment.sites.watched is not set")]
    NotWatched,
    /// There is no such site.
    #[error("there is no site {site:?}; there are {known}")]
    UnknownSite {
        /// The name that was given.
        site: String,
        /// All sites' names.
        known: String,
    },
    /// The command cannot be carried out as things are.
    #[error("{0}")]
    Refused(String),
}

/// A request, and where its answer goes: lines for an operator, or why not.
pub struct SiteRequest {
    /// What is requested.
    pub query: SiteQuery,
    /// Where the answer goes.
    pub answer: oneshot::Sender<Result<Vec<String>, SiteRequestError>>,
}
