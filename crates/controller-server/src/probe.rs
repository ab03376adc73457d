//! Probing servers.

use crate::Shared;
use crate::dial::next;
use grebespool::host::HealthCheckResult;
use grebespool_wire::{Inbox, MOST_BODY_UNJOINED, Message, ProbeState, ServerId};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Under way at once; the rest waits, so that probes of a large fleet take few descriptors.
const AT_ONCE: usize = 64;

pub async fn run(shared: Rc<Shared>, limit: Duration) {
    let mut under_way = JoinSet::new();
    loop {
        let waiting =
            if under_way.len() < AT_ONCE { shared.probes.waiting.borrow_mut().pop_front() } else { None };
        if let Some(server) = waiting {
            let shared = shared.clone();
            under_way.spawn_local(async move {
                let result = match tokio::time::timeout(limit, probe(server)).await {
                    Ok(Ok(ProbeState::Ready)) => HealthCheckResult::Healthy,
                    Ok(Ok(ProbeState::Draining | ProbeState::Busy)) => HealthCheckResult::Rejected,
                    Ok(Err(_)) | Err(_) => HealthCheckResult::Failed,
                };
                shared.probed(server, result);
            });
            continue;
        }
        tokio::select! {
            () = shared.probes.come.notified() => {}
            Some(_) = under_way.join_next() => {}
        }
    }
}

async fn probe(server: ServerId) -> io::Result<ProbeState> {
    let mut socket = TcpStream::connect(server.addr).await?;
    socket.write_all(&Message::Probe { number: server.number }.frame()).await?;
    match next(&mut socket, &mut Inbox::new(MOST_BODY_UNJOINED)).await? {
        // Another server that came to this address does not answer for this one.
        Message::Probed { number, state, .. } if number == server.number => Ok(state),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
