//! Health checks that are requested and not finished yet.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use tokio::sync::Notify;

/// A server and the address that it is checked at.
pub(crate) type Target = (String, SocketAddr);

/// Health checks that were requested and have not finished.
#[derive(Default)]
pub(crate) struct HealthChecks {
    queued: RefCell<VecDeque<Target>>,
    /// Queued or running: a target is checked once at a time.
    pending: RefCell<BTreeSet<Target>>,
    pub(crate) requested: Notify,
}

impl HealthChecks {
    /// Checks that run at a time; the rest are queued, so that checks of a large fleet take few descriptors.
    pub(crate) const MAX_CONCURRENT: usize = 8;

    /// Queues a check, unless one of the same target is pending.
    pub(crate) fn request(&self, server: &str, address: SocketAddr) {
        let target = (server.to_string(), address);
        if self.pending.borrow_mut().insert(target.clone()) {
            self.queued.borrow_mut().push_back(target);
            self.requested.notify_one();
        }
    }

    /// The check is no longer pending.
    pub(crate) fn finished(&self, server: &str, address: SocketAddr) {
        self.pending.borrow_mut().remove(&(server.to_string(), address));
    }

    /// The next target, unless so many run already.
    pub(crate) fn next(&self, running: usize) -> Option<Target> {
        if running < Self::MAX_CONCURRENT { self.queued.borrow_mut().pop_front() } else { None }
    }

    /// Forgets the checks that ran when their task failed: they would never finish, and never be requested again.
    pub(crate) fn forget_running(&self) {
        self.pending.replace(self.queued.borrow().iter().cloned().collect());
    }
}
