//! Following the endpoint list at discovery.

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

/// The least time that a long poll takes, so that a service which answers at once is not asked without pause. A watch
/// goes on only if the next request comes within 200 ms of the last answer.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(60);
const STATUS_OK: u16 = 200;

/// Why a watch ended.
#[derive(Debug, Error)]
enum WatchError {
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error(transparent)]
    List(#[from] EndpointListError),
    #[error("the request for the list was answered with status {0}")]
    Status(u16),
    #[error("the task that watches the list failed and was restarted")]
    Restarted,
}

/// The outcome of a request, and the client for the next one.
type Outcome = Result<(Option<Client>, Response), HttpError>;

/// A request to the former address of discovery. What its answer brings counts as notified, whether or not the new
/// address answers, so it is waited for beside the requests to the new one.
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
            if let Err(error) = take_outcome(&shared, &request, outcome) {
                info!(address = %request.address, %error, "the former address of discovery gives no list");
            }
        }))
    }
}

/// Watches the list whenever that is requested, until it fails; then the policy requests it again.
pub(crate) async fn follow_endpoints(shared: Rc<Shared>) {
    if shared.discovery.watch.borrow().is_active() {
        // The policy takes the watch to be active, and would never request it again.
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

/// Requests the list again and again.
///
/// # Errors
///
/// Why it ended.
async fn watch(shared: &Rc<Shared>, former: &mut FormerRequest) -> Result<Infallible, WatchError> {
    let mut client = None;
    loop {
        let known_version = shared.manager.borrow().endpoint_list_version();
        let request = shared.discovery.watch.borrow().next_request(known_version);
        let sent_at = Instant::now();
        let mut pending = Box::pin(send(request.clone(), client.take()));
        let Some(outcome) = outcome_or_move(shared, &request, &mut pending, former).await else {
            let address = shared.discovery.watch.borrow().address();
            info!(%address, "requests the list at another address");
            *former = FormerRequest::new(shared.clone(), request, pending);
            continue;
        };
        client = take_outcome(shared, &request, outcome)?;
        // This list is newer, and versions of the former address mean something else.
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

/// Waits for the outcome of a request. None if discovery got another address first.
async fn outcome_or_move(
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
                // A change from before this request was made is nothing new to it.
                if shared.discovery.watch.borrow().address() != request.address {
                    return None;
                }
            }
        }
    }
}

/// Passes a list on. Gives the client for the next request.
fn take_outcome(
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
