//! Watches the endpoint list of discovery.

use crate::http::{Client, HttpError, Response, get};
use crate::shared::Shared;
use grebespool_platform_protocol::{EndpointListError, ListRequest};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::Poll;
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

/// Pending requests that another request has superseded, because the address of discovery has changed or because the answer
/// is overdue. The platform counts the planner as notified of the changes in their answers even if the later requests fail,
/// so these answers are awaited alongside the later requests.
#[derive(Default)]
struct SupersededRequests(VecDeque<Pin<Box<dyn Future<Output = ()>>>>);

impl SupersededRequests {
    /// The number of pending requests. A request ends by its time limit, so there are more only if the address changes
    /// repeatedly within this time.
    const MAX_PENDING: usize = 4;

    /// Adds a request. Drops the oldest one if there are too many.
    fn add(
        &mut self,
        shared: Rc<Shared>,
        request: ListRequest,
        pending: impl Future<Output = Outcome> + 'static,
    ) {
        self.0.push_back(Box::pin(async move {
            let outcome = pending.await;
            if let Err(error) = apply_outcome(&shared, &request, outcome) {
                info!(address = %request.address, %error, "cannot get the endpoint list by a superseded request");
            }
        }));
        if self.0.len() > Self::MAX_PENDING {
            self.0.pop_front();
        }
    }

    fn clear(&mut self) {
        self.0.clear();
    }

    /// Awaits the requests and applies their answers. Never returns.
    async fn run(&mut self) -> Infallible {
        std::future::poll_fn(|context| {
            self.0.retain_mut(|request| request.as_mut().poll(context).is_pending());
            Poll::Pending
        })
        .await
    }
}

/// Watches the list when the policy requests a watch. A watch lasts until a request fails; then the policy requests the
/// next one.
pub(crate) async fn follow_endpoints(shared: Rc<Shared>) {
    if shared.discovery.watch.borrow().is_active() {
        // The failed task did not report the end of its watch, so the policy would never request another one.
        end_watch(&shared, &WatchError::Restarted);
    }
    let mut superseded = SupersededRequests::default();
    loop {
        wait_for_request(&shared, &mut superseded).await;
        let Err(error) = watch(&shared, &mut superseded).await;
        end_watch(&shared, &error);
    }
}

async fn wait_for_request(shared: &Shared, superseded: &mut SupersededRequests) {
    while !shared.discovery.watch.borrow_mut().begin() {
        tokio::select! {
            () = shared.discovery.requested.notified() => {}
            never = superseded.run() => match never {},
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
async fn watch(shared: &Rc<Shared>, superseded: &mut SupersededRequests) -> Result<Infallible, WatchError> {
    let mut client = None;
    loop {
        let known_version = shared.manager.borrow().endpoint_list_version();
        let request = shared.discovery.watch.borrow().next_request(known_version);
        let sent_at = Instant::now();
        let mut pending = Box::pin(send(request.clone(), client.take(), shared.max_list_length));
        match wait_for_progress(shared, &request, &mut pending, superseded).await {
            Progress::Ended(outcome) => {
                client = apply_outcome(shared, &request, outcome)?;
                // The answers of superseded requests would be older. Those of a former address have versions that are not
                // comparable with that of this list.
                superseded.clear();
            }
            Progress::AddressChanged => {
                let address = shared.discovery.watch.borrow().address();
                info!(%address, "requesting the endpoint list from another address");
                superseded.add(shared.clone(), request, pending);
                continue;
            }
            Progress::Overdue => {
                info!(address = %request.address, "requesting the endpoint list again because its answer is overdue");
                shared.discovery.watch.borrow_mut().request_overdue();
                superseded.add(shared.clone(), request, pending);
                continue;
            }
        }
        if request.long_poll && sent_at.elapsed() < MIN_POLL_INTERVAL {
            sleep(MIN_POLL_INTERVAL).await;
        }
    }
}

async fn send(request: ListRequest, mut client: Option<Client>, max_length: usize) -> Outcome {
    let response = get(&mut client, request.address, &request.path, request.timeout, max_length).await?;
    Ok((client, response))
}

/// What ends the wait for the outcome of a request.
enum Progress {
    /// The request has ended.
    Ended(Outcome),
    /// The address of discovery has changed while the request was pending.
    AddressChanged,
    /// The request is pending for longer than expected.
    Overdue,
}

/// Waits for the outcome of a request, or until another request is to be sent beside it.
async fn wait_for_progress(
    shared: &Shared,
    request: &ListRequest,
    mut pending: impl Future<Output = Outcome> + Unpin,
    superseded: &mut SupersededRequests,
) -> Progress {
    let mut overdue = pin!(overdue(request));
    loop {
        tokio::select! {
            outcome = &mut pending => return Progress::Ended(outcome),
            () = &mut overdue => return Progress::Overdue,
            never = superseded.run() => match never {},
            () = shared.discovery.address_changed.notified() => {
                // The notification may be older than this request, which then uses the new address already.
                if shared.discovery.watch.borrow().address() != request.address {
                    return Progress::AddressChanged;
                }
            }
        }
    }
}

/// Returns when the answer to a request that is sent now is overdue; never returns if the request cannot be overdue.
async fn overdue(request: &ListRequest) {
    match request.overdue_after {
        Some(limit) => sleep(limit).await,
        None => std::future::pending().await,
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
