//! Health checks of servers, over HTTP.

use crate::http::get;
use crate::shared::Shared;
use grebespool::host::HealthCheckResult;
use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::JoinSet;

/// No answer within this time is a failure.
const TIMEOUT: Duration = Duration::from_millis(900);
const HEALTH_PATH: &str = "/health";
const STATUS_HEALTHY: u16 = 200;
const STATUS_REJECTED: u16 = 503;

/// A server and the address that it is checked at.
type Target = (String, SocketAddr);

/// Health checks that were requested and have not finished.
#[derive(Default)]
pub(crate) struct HealthChecks {
    queued: RefCell<VecDeque<Target>>,
    /// Queued or running: a target is checked once at a time.
    pending: RefCell<BTreeSet<Target>>,
    requested: Notify,
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

    fn next(&self, running: usize) -> Option<Target> {
        if running < Self::MAX_CONCURRENT { self.queued.borrow_mut().pop_front() } else { None }
    }

    /// Forgets the checks that ran when their task failed: they would never finish, and never be requested again.
    fn forget_running(&self) {
        self.pending.replace(self.queued.borrow().iter().cloned().collect());
    }
}

/// Runs health checks as they are requested.
pub(crate) async fn run_health_checks(shared: Rc<Shared>) {
    let mut running = JoinSet::new();
    shared.health_checks.forget_running();
    loop {
        if let Some((server, address)) = shared.health_checks.next(running.len()) {
            running.spawn_local(run_health_check(shared.clone(), server, address));
            continue;
        }
        tokio::select! {
            () = shared.health_checks.requested.notified() => {}
            Some(_) = running.join_next() => {}
        }
    }
}

async fn run_health_check(shared: Rc<Shared>, server: String, address: SocketAddr) {
    let result = match get(&mut None, address, HEALTH_PATH, TIMEOUT).await {
        Ok(response) if response.status == STATUS_HEALTHY => HealthCheckResult::Healthy,
        Ok(response) if response.status == STATUS_REJECTED => HealthCheckResult::Rejected,
        Ok(_) | Err(_) => HealthCheckResult::Failed,
    };
    shared.health_check_finished(server, address, result);
}
