//! What a controller says to proxies while it does not lead.

use crate::dial::next;
use grebespool_wire::{Inbox, MOST_BODY_UNJOINED, Message, Reason};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const HEARD_WITHIN: Duration = Duration::from_secs(2);
/// Proxies that look for the leader come all at once; more than these wait to be accepted.
const AT_ONCE: usize = 1000;

async fn send_away(mut socket: TcpStream, text: String) {
    let mut inbox = Inbox::new(MOST_BODY_UNJOINED);
    // Closed with bytes unread, the system would drop what is said here.
    let _ = timeout(HEARD_WITHIN, next(&mut socket, &mut inbox)).await;
    let _ = socket.write_all(&Message::Bye { reason: Reason::Elsewhere, text }.frame()).await;
    let _ = socket.shutdown().await;
}

/// Sends all who come to another controller. `leader`: who leads, as far as is known.
pub async fn send_elsewhere(listener: TcpListener, leader: impl Fn() -> Option<String>) {
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept(), if streams.len() < AT_ONCE => match accepted {
                Ok((socket, _)) => {
                    let text = leader().map_or("no leader is known".into(), |l| format!("{l} leads"));
                    streams.spawn_local(send_away(socket, text));
                }
                Err(_) => sleep(Duration::from_millis(50)).await,
            },
            Some(_) = streams.join_next() => {}
        }
    }
}
