//! The queue of requested health checks.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// The id of a server and the address at which the server is checked.
pub(crate) type Target = (String, SocketAddr);

/// The health checks that were requested and have not finished.
#[derive(Default)]
pub(crate) struct HealthChecks {
    queued: RefCell<VecDeque<Target>>,
    /// The targets whose checks are queued or running. Invariant: at most one check per target is pending.
    pending: RefCell<BTreeSet<Target>>,
    pub(crate) requested: Notify,
}

impl HealthChecks {
    /// The number of checks that run concurrently. Further checks are queued, so that checks of a large fleet take few
    /// descriptors.
    pub(crate) const MAX_CONCURRENT: usize = 8;

    /// Queues a check, unless a check of the same target is pending.
    pub(crate) fn request(&self, server: &str, address: SocketAddr) {
        let target = (server.to_string(), address);
        if self.pending.borrow_mut().insert(target.clone()) {
            self.queued.borrow_mut().push_back(target);
            self.requested.notify_one();
        }
    }

    /// Removes a finished check from the pending ones.
    pub(crate) fn remove_finished(&self, server: &str, address: SocketAddr) {
        self.pending.borrow_mut().remove(&(server.to_string(), address));
    }

    /// Removes and returns the next queued target, unless [`Self::MAX_CONCURRENT`] checks are running.
    pub(crate) fn take_next(&self, running: usize) -> Option<Target> {
        if running < Self::MAX_CONCURRENT { self.queued.borrow_mut().pop_front() } else { None }
    }

    /// Removes the running checks from the pending ones after the task that ran them has failed. Without this, these
    /// checks would never finish and their targets would never be checked again.
    pub(crate) fn remove_running(&self) {
        self.pending.replace(self.queued.borrow().iter().cloned().collect());
    }
}
