//! Redirects proxies to the leader while this controller does not lead.

use crate::dial::read_message;
use grebespool_wire::{Close, CloseReason, FrameDecoder, MAX_BODY_BYTES_BEFORE_JOIN, Message};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time within which a proxy has to send its first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent connections. All proxies look for the leader at the same time; further connections wait
/// to be accepted.
const MAX_CONNECTIONS: usize = 1000;

/// Pause after a failed accept, for example because of a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Redirects all proxies to the leader until the future is dropped. `leader` returns the leader's address; `None` if the
/// leader is unknown.
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

/// Returns the text of the close message, which the proxy receives: do not reword.
fn leader_text(leader: Option<String>) -> String {
    match leader {
        Some(leader) => format!("{leader} leads"),
        None => "no leader is known".into(),
    }
}

async fn redirect(mut socket: TcpStream, text: String) {
    let mut decoder = FrameDecoder::new(MAX_BODY_BYTES_BEFORE_JOIN);
    // The proxy's first message is read because the system discards sent bytes if a connection is closed with received
    // bytes unread.
    let _ = timeout(FIRST_MESSAGE_TIMEOUT, read_message(&mut socket, &mut decoder)).await;
    let close = Close { reason: CloseReason::NotLeader, text };
    let _ = socket.write_all(&Message::Close(close).to_frame()).await;
    let _ = socket.shutdown().await;
}
