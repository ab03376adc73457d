//! Accepts connections of proxies.

use crate::session;
use crate::shared::Shared;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinError, JoinSet};
use tracing::warn;

/// Pause after a failed accept, for example because of a lack of file descriptors. Open streams continue meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections, and runs a task for each in `tasks`. A panic in any of the tasks is propagated.
pub(crate) async fn run(shared: Rc<Shared>, listener: TcpListener, mut tasks: JoinSet<()>) {
    let allowed = shared.listen.allowed();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((_, peer)) if !allowed.holds(peer.ip()) => {
                    warn!(%peer, "closing a connection from outside the allowed networks");
                }
                Ok((_, peer)) if shared.unjoined.get() >= shared.listen.unjoined => {
                    let unjoined = shared.unjoined.get();
                    warn!(%peer, unjoined, "closing a connection: too many streams have not joined");
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
    warn!(%error, "cannot accept a connection; retrying");
    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
}

fn resume_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended
        && error.is_panic()
    {
        std::panic::resume_unwind(error.into_panic());
    }
}
