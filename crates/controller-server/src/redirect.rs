//! What a controller tells proxies while it does not lead.

use crate::dial::read_message;
use grebespool_wire::{Close, CloseReason, FrameDecoder, MAX_BODY_BYTES_BEFORE_JOIN, Message};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How long a proxy may take to send its first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Most connections at once. Proxies that look for the leader come all at once; the rest waits to be accepted.
const MAX_CONNECTIONS: usize = 1000;

/// Pause after an accept that failed, for want of descriptors say.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Redirects all proxies to the leader until the future is dropped. `leader` gives where that is, as far as is known.
pub async fn redirect_to_leader(listener: TcpListener, leader: impl Fn() -> Option<String>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => match accepted {
                Ok((socket, _)) => {
                    connections.spawn_local(redirect(socket, leader_text(leader())));
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// On the wire: do not rename.
fn leader_text(leader: Option<String>) -> String {
    match leader {
        Some(leader) => format!("{leader} leads"),
        None => "no leader is known".into(),
    }
}

async fn redirect(mut socket: TcpStream, text: String) {
    let mut decoder = FrameDecoder::new(MAX_BODY_BYTES_BEFORE_JOIN);
    // If the connection were closed with bytes unread, the system would drop what is sent here.
    let _ = timeout(FIRST_MESSAGE_TIMEOUT, read_message(&mut socket, &mut decoder)).await;
    let close = Close { reason: CloseReason::NotLeader, text };
    let _ = socket.write_all(&Message::Close(close).to_frame()).await;
    let _ = socket.shutdown().await;
}
