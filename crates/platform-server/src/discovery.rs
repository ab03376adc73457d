//! Watches the endpoint list of discovery.

use crate::http::{Client, HttpError, Response, get};
use crate::shared::Shared;
use grebespool_platform_protocol::{EndpointListError, ListRequest};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, sleep};
use tracing::info;

/// The shortest time between two long polls, so that a service that answers at once does not receive requests without a
/// pause. Discovery continues a watch only if the next request arrives within 200 ms of the last answer.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(60);
const STATUS_OK: u16 = 200;

/// The reason for the end of a watch.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error(transparent)]
    List(#[from] EndpointListError),
    #[error("expected status 200 for the endpoint list, found status {0}")]
    Status(u16),
    #[error("the task that watches the list failed and was restarted")]
    Restarted,
}

/// The outcome of a request, and the client for the next one.
type Outcome = Result<(Option<Client>, Response), HttpError>;

/// A pending request to the former address of discovery. The platform counts the planner as notified of the changes in
/// its answer even if the new address does not answer, so the answer is awaited alongside requests to the new address.
struct FormerRequest(Pin<Box<dyn Future<Output = ()>>>);

impl FormerRequest {
    fn none() -> Self {
        FormerRequest(Box::pin(std::future::pending()))
    }

    fn new(
        shared: Rc<Shared>,
        request: ListRequest,
        pending: impl Future<Output = Outcome> + 'static,
    ) -> Self {
        FormerRequest(Box::pin(async move {
            let outcome = pending.await;
            if let Err(error) = apply_outcome(&shared, &request, outcome) {
                info!(
                    address = %request.address,
                    %error,
                    "cannot get the endpoint list from the former address of discovery; using only the new address"
                );
            }
        }))
    }
}

/// Watches the list when the policy requests a watch. A watch lasts until a request fails; then the policy requests the
/// next one.
pub(crate) async fn follow_endpoints(shared: Rc<Shared>) {
    if shared.discovery.watch.borrow().is_active() {
        // The failed task did not report the end of its watch, so the policy would never request another one.
        end_watch(&shared, &WatchError::Restarted);
    }
    let mut former = FormerRequest::none();
    loop {
        wait_for_request(&shared, &mut former).await;
        let Err(error) = watch(&shared, &mut former).await;
        end_watch(&shared, &error);
    }
}

async fn wait_for_request(shared: &Shared, former: &mut FormerRequest) {
    while !shared.discovery.watch.borrow_mut().begin() {
        tokio::select! {
            () = shared.discovery.requested.notified() => {}
            () = &mut former.0 => *former = FormerRequest::none(),
        }
    }
}

fn end_watch(shared: &Shared, error: &WatchError) {
    shared.discovery.watch.borrow_mut().end();
    shared.call(|manager, now| manager.endpoint_list_failed(now, &error.to_string()));
}

/// Requests the list repeatedly until a request fails.
///
/// # Errors
///
/// Returns the reason for the end of the watch.
async fn watch(shared: &Rc<Shared>, former: &mut FormerRequest) -> Result<Infallible, WatchError> {
    let mut client = None;
    loop {
        let known_version = shared.manager.borrow().endpoint_list_version();
        let request = shared.discovery.watch.borrow().next_request(known_version);
        let sent_at = Instant::now();
        let mut pending = Box::pin(send(request.clone(), client.take()));
        let Some(outcome) = outcome_or_new_address(shared, &request, &mut pending, former).await else {
            let address = shared.discovery.watch.borrow().address();
            info!(%address, "requesting the endpoint list from another address");
            *former = FormerRequest::new(shared.clone(), request, pending);
            continue;
        };
        client = apply_outcome(shared, &request, outcome)?;
        // An answer of the former address would be older, and its version is not comparable with that of this list.
        *former = FormerRequest::none();
        if request.long_poll && sent_at.elapsed() < MIN_POLL_INTERVAL {
            sleep(MIN_POLL_INTERVAL).await;
        }
    }
}

async fn send(request: ListRequest, mut client: Option<Client>) -> Outcome {
    let response = get(&mut client, request.address, &request.path, request.timeout).await?;
    Ok((client, response))
}

/// Waits for the outcome of a request. Returns `None` if the address of discovery changes first.
async fn outcome_or_new_address(
    shared: &Shared,
    request: &ListRequest,
    mut pending: impl Future<Output = Outcome> + Unpin,
    former: &mut FormerRequest,
) -> Option<Outcome> {
    loop {
        tokio::select! {
            outcome = &mut pending => return Some(outcome),
            () = &mut former.0 => *former = FormerRequest::none(),
            () = shared.discovery.address_changed.notified() => {
                // The notification may be older than this request, which then uses the new address already.
                if shared.discovery.watch.borrow().address() != request.address {
                    return None;
                }
            }
        }
    }
}

/// Passes the received list to the session manager. Returns the client for the next request.
fn apply_outcome(
    shared: &Shared,
    request: &ListRequest,
    outcome: Outcome,
) -> Result<Option<Client>, WatchError> {
    let (client, response) = outcome?;
    if response.status != STATUS_OK {
        return Err(WatchError::Status(response.status));
    }
    let received = shared.received_at();
    shared.call(|manager, _| manager.endpoint_list_received(received, request.since, &response.body))?;
    shared.discovery.watch.borrow_mut().request_answered(request);
    Ok(client)
}
