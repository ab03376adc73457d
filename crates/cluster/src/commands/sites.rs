//! Commands for sites, which the caller of the crate answers while this member leads.

use crate::core::Core;
use crate::request::{Request, Response, SiteRequest};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Maximum time for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Forwards a request about sites to the caller of the crate, and returns the response.
pub(super) async fn forward(core: &Core, request: Request) -> Response {
    let (response, answer) = oneshot::channel();
    let forwarded = SiteRequest { request, response };
    if core.site_requests.borrow().as_ref().is_none_or(|to| to.send(forwarded).is_err()) {
        return Response::Rejected("this member does not lead".into());
    }
    match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(response)) => response,
        _ => Response::Rejected(
            "it stopped leading before it could answer; nothing is known to have changed".into(),
        ),
    }
}
