//! Commands on sites, which whoever plans while this member leads answers.

use crate::core::Core;
use crate::request::{Request, Response, SiteRequest};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// How long the answer may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Forwards a request on sites.
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
