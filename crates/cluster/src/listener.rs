//! The accepting side of streams that other members and operators open.

use crate::commands::answer;
use crate::core::Core;
use crate::endpoint::CONNECT_TIMEOUT;
use crate::snapshots::{SnapshotAssembly, SnapshotChunk};
use crate::transport::{AuthenticatedStream, Packet, TransportError};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::warn;

/// Time without a packet after which a stream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after an error of accepting a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Id with which operators identify themselves.
const OPERATOR: u64 = 0;

/// Accepts streams until the future is dropped, which closes all accepted streams.
pub(crate) async fn accept_loop(core: Rc<Core>, listener: TcpListener) {
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    streams.spawn_local(serve(core.clone(), stream, format!("a stream from {from}")));
                }
                Err(error) => {
                    warn!(%error, "cannot accept a connection; retrying");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = streams.join_next() => {}
        }
    }
}

async fn serve(core: Rc<Core>, stream: TcpStream, from: String) {
    if let Err(error) = receive_loop(&core, stream).await
        && !error.is_closed()
    {
        core.endpoint.log_rejection(&from, &error);
    }
}

/// Receives packets until the stream ends.
async fn receive_loop(core: &Rc<Core>, stream: TcpStream) -> Result<(), TransportError> {
    stream.set_nodelay(true)?;
    let mut stream = timeout(CONNECT_TIMEOUT, accept_stream(core, stream)).await??;
    let mut snapshot = SnapshotAssembly::default();
    loop {
        let packet = timeout(IDLE_TIMEOUT, stream.receive()).await??;
        match packet {
            Packet::Request(request) if stream.peer == OPERATOR => {
                let response = answer(core, request).await;
                stream.send(&Packet::Response(response)).await?;
            }
            packet if stream.peer != OPERATOR => handle_packet(core, stream.peer, packet, &mut snapshot)?,
            _ => return Err(TransportError::UnexpectedPacket),
        }
    }
}

/// Authenticates a stream and exchanges introductions.
async fn accept_stream(
    core: &Core,
    stream: TcpStream,
) -> Result<AuthenticatedStream<TcpStream>, TransportError> {
    let endpoint = &core.endpoint;
    let mut stream = AuthenticatedStream::accept(stream, endpoint.identity, &endpoint.keys()).await?;
    let peer = stream.receive_introduction().await?;
    if stream.peer != OPERATOR
        && let Err(error) = core.call_election(|election, _| election.peer_connected(stream.peer, peer.stamp))
    {
        let reason = error.to_string();
        stream.send(&Packet::Rejected(reason.clone())).await?;
        return Err(TransportError::Rejected(reason));
    }
    stream.send(&Packet::Introduction { name: endpoint.name.clone(), stamp: endpoint.stamp() }).await?;
    Ok(stream)
}

/// Passes a packet of another member to its state machine.
fn handle_packet(
    core: &Core,
    from: u64,
    packet: Packet,
    assembly: &mut SnapshotAssembly,
) -> Result<(), TransportError> {
    match packet {
        Packet::Election(message) => core.call_election(|election, now| election.receive(now, from, message)),
        Packet::Task(message) => {
            core.call_tasks(|tasks, now| tasks.receive(now, from, message));
        }
        Packet::Configuration(message) => {
            core.call_configuration(|node, now| node.message_received(now, from, message));
        }
        Packet::SnapshotChunk { order, part, parts, bytes } => {
            if let Some(snapshot) = assembly.add(SnapshotChunk { order, part, parts, bytes })? {
                core.accept_snapshot(snapshot);
            }
        }
        _ => return Err(TransportError::UnexpectedPacket),
    }
    Ok(())
}
