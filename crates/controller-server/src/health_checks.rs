//! Checks the health of servers.

use crate::dial::read_message;
use crate::shared::Shared;
use grebespool::host::HealthCheckResult;
use grebespool_wire::{
    FrameDecoder, HealthCheck, HealthCheckResponse, HealthStatus, MAX_BODY_BYTES_BEFORE_JOIN, Message,
    ServerId,
};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Maximum number of concurrent health checks. Further ones wait, so that the checks of a large fleet do not use up the
/// file descriptors.
const MAX_CONCURRENT_CHECKS: usize = 64;

/// Carries out the health checks that the controller requests. A check fails if no response arrives within
/// `check_timeout`. Failed checks are not retried.
pub(crate) async fn run(shared: Rc<Shared>, check_timeout: Duration) {
    let mut checks = JoinSet::new();
    loop {
        if checks.len() < MAX_CONCURRENT_CHECKS
            && let Some(server) = shared.health_checks.pop()
        {
            checks.spawn_local(check(shared.clone(), server, check_timeout));
            continue;
        }
        tokio::select! {
            () = shared.health_checks.wait_until_added() => {}
            Some(_) = checks.join_next() => {}
        }
    }
}

async fn check(shared: Rc<Shared>, server: ServerId, check_timeout: Duration) {
    let result = match tokio::time::timeout(check_timeout, request_status(server)).await {
        Ok(Ok(HealthStatus::Ready)) => HealthCheckResult::Healthy,
        Ok(Ok(HealthStatus::Draining | HealthStatus::Busy)) => HealthCheckResult::Rejected,
        Ok(Err(_)) | Err(_) => HealthCheckResult::Failed,
    };
    shared.call(|controller, now| controller.health_check_finished(now, server, result));
}

async fn request_status(server: ServerId) -> io::Result<HealthStatus> {
    let mut socket = TcpStream::connect(server.addr).await?;
    let check = HealthCheck { server_number: server.number };
    socket.write_all(&Message::HealthCheck(check).to_frame()).await?;
    let mut decoder = FrameDecoder::new(MAX_BODY_BYTES_BEFORE_JOIN);
    match read_message(&mut socket, &mut decoder).await? {
        // A response of another server that has taken over the address does not count.
        Message::HealthCheckResponse(HealthCheckResponse { server_number, status, .. })
            if server_number == server.number =>
        {
            Ok(status)
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
