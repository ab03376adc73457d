//! Runs health checks of servers over HTTP.

use crate::http::get_status;
use crate::shared::Shared;
use grebespool::host::HealthCheckResult;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// The time limit of a health check. A check without an answer within this time has failed.
const TIMEOUT: Duration = Duration::from_millis(900);
const HEALTH_PATH: &str = "/health";
const STATUS_HEALTHY: u16 = 200;
const STATUS_REJECTED: u16 = 503;

/// Runs the requested health checks.
pub(crate) async fn run_health_checks(shared: Rc<Shared>) {
    let mut running = JoinSet::new();
    shared.health_checks.remove_running();
    loop {
        if let Some((server, address)) = shared.health_checks.take_next(running.len()) {
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
    let result = match get_status(address, HEALTH_PATH, TIMEOUT).await {
        Ok(STATUS_HEALTHY) => HealthCheckResult::Healthy,
        Ok(STATUS_REJECTED) => HealthCheckResult::Rejected,
        Ok(_) | Err(_) => HealthCheckResult::Failed,
    };
    shared.health_check_finished(server, address, result);
}
