//! The controller's requests that wait for the tasks that carry them out.

use grebespool_wire::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::sync::Notify;

/// The requested poll of the endpoint list. A newer request replaces an older one.
#[derive(Default)]
pub(crate) struct PollRequest {
    known_version: Cell<Option<u64>>,
    added: Notify,
}

impl PollRequest {
    pub(crate) fn set(&self, known_version: u64) {
        self.known_version.set(Some(known_version));
        self.added.notify_one();
    }

    pub(crate) fn take(&self) -> Option<u64> {
        self.known_version.take()
    }

    /// Waits until a request has been added since the last call.
    pub(crate) async fn wait_until_added(&self) {
        self.added.notified().await;
    }
}

/// The servers whose health has to be checked, in the order of the requests.
#[derive(Default)]
pub(crate) struct HealthCheckRequests {
    servers: RefCell<VecDeque<ServerId>>,
    added: Notify,
}

impl HealthCheckRequests {
    pub(crate) fn push(&self, server: ServerId) {
        self.servers.borrow_mut().push_back(server);
        self.added.notify_one();
    }

    pub(crate) fn pop(&self) -> Option<ServerId> {
        self.servers.borrow_mut().pop_front()
    }

    /// Waits until a request has been added since the last call.
    pub(crate) async fn wait_until_added(&self) {
        self.added.notified().await;
    }
}
