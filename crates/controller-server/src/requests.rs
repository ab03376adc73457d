//! What the controller asked for and a task has to do.

use grebespool_wire::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::sync::Notify;

/// Polls of the endpoint list that wait for its task; a newer replaces an older.
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

    /// Waits until a request was added since this was last called.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }
}

/// Servers whose health is to be checked.
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

    /// Waits until a request was added since this was last called.
    pub(crate) async fn added(&self) {
        self.added.notified().await;
    }
}
