//! Accepts connections.

use crate::session;
use crate::shared::Shared;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinError, JoinSet};
use tracing::warn;

/// Pause after an accept that failed, for want of descriptors say: the open streams go on meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections and runs a task for each, beside the tasks that run already. A panic in any task ends this one.
pub(crate) async fn run(shared: Rc<Shared>, listener: TcpListener, mut tasks: JoinSet<()>) {
    let allowed = shared.listen.allowed();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((_, peer)) if !allowed.holds(peer.ip()) => {
                    warn!(%peer, "close a connection from outside the allowed networks");
                }
                Ok((_, peer)) if shared.unjoined.get() >= shared.listen.unjoined => {
                    let unjoined = shared.unjoined.get();
                    warn!(%peer, unjoined, "close a connection: too many streams have not joined");
                }
                Ok((socket, peer)) => spawn_session(&shared, &mut tasks, socket, peer),
                Err(error) => back_off(error).await,
            },
            Some(ended) = tasks.join_next() => resume_panic(ended),
        }
    }
}

fn spawn_session(shared: &Rc<Shared>, tasks: &mut JoinSet<()>, socket: TcpStream, peer: SocketAddr) {
    let _ = socket.set_nodelay(true);
    tasks.spawn_local(session::run(shared.clone(), socket, peer));
}

async fn back_off(error: io::Error) {
    warn!(%error, "cannot accept a connection");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

fn resume_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended
        && error.is_panic()
    {
        std::panic::resume_unwind(error.into_panic());
    }
}
