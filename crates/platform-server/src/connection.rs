//! Accepts the connections at the planner's address, and runs the tasks that read and write them.

use crate::reading::{ReadEnd, read_all};
use crate::shared::Shared;
use grebespool_platform_protocol::ConnectionId;
use grebespool_write_queue::{WriteLimits, WriteOutcome, WriteQueue};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tracing::{debug, error, warn};

/// The limits of unwritten bytes after which a connection is closed. By the platform's rules, a peer that has not taken
/// a byte for 20 s has left. 96 KiB hold some dozens of messages; the platform resets a connection at 128 KiB.
const WRITE_LIMITS: WriteLimits = WriteLimits { max_wait: Duration::from_secs(20), max_bytes: 96 << 10 };
/// A pause in which the runtime polls its sockets.
const POLL_PAUSE: Duration = Duration::from_millis(1);
/// The time limit for writing the remaining bytes to a peer that sends no more.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Accepts connections, serves each in its own task, and logs tasks that fail.
pub(crate) async fn accept_connections(shared: Rc<Shared>, listener: TcpListener, tasks: JoinSet<()>) {
    let mut acceptor = Acceptor { shared, tasks, last_accepted: 0, last_read: 0 };
    loop {
        acceptor.read_before_eviction().await;
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => acceptor.serve(socket),
                Err(failure) => acceptor.handle_accept_failure(&failure).await,
            },
            Some(ended) = acceptor.tasks.join_next() => if let Err(failure) = ended {
                error!(%failure, "dropping a failed task");
            },
        }
    }
}

struct Acceptor {
    shared: Rc<Shared>,
    tasks: JoinSet<()>,
    /// The newest connection.
    last_accepted: ConnectionId,
    /// The newest connection whose task has had the chance to read the first bytes.
    last_read: ConnectionId,
}

impl Acceptor {
    /// Lets the task of the connection that is evicted next read its socket before a newer connection replaces it,
    /// because a join may be waiting there. The length of the pause does not matter: the runtime has to poll its
    /// sockets once.
    async fn read_before_eviction(&mut self) {
        let evicted = self.shared.manager.borrow().next_evicted();
        if evicted.is_some_and(|evicted| evicted > self.last_read) {
            sleep(POLL_PAUSE).await;
            self.last_read = self.last_accepted;
        }
    }

    fn serve(&mut self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        self.last_accepted += 1;
        let id = self.last_accepted;
        let queue = Rc::new(WriteQueue::with_total(WRITE_LIMITS, self.shared.unwritten.clone()));
        self.shared.write_queues.borrow_mut().insert(id, queue.clone());
        self.shared.call(|manager, now| manager.connection_opened(now, id));
        self.tasks.spawn_local(serve_connection(self.shared.clone(), socket, id, queue));
    }

    /// Handles a failure to accept a connection. Descriptors may have run out, so the session manager closes the
    /// connection of a peer that has not joined. The delay lets the tasks read waiting joins first.
    async fn handle_accept_failure(&mut self, failure: &std::io::Error) {
        sleep(ACCEPT_RETRY_DELAY).await;
        self.last_read = self.last_accepted;
        self.shared.call(|manager, now| manager.accept_failed(now, &failure.to_string()));
    }
}

/// A guard that removes the write queue of a connection when it is dropped. It outlives the connection's session, so that the
/// last bytes still count as unwritten.
struct WriteQueueGuard {
    shared: Rc<Shared>,
    id: ConnectionId,
}

impl Drop for WriteQueueGuard {
    fn drop(&mut self) {
        self.shared.write_queues.borrow_mut().remove(&self.id);
    }
}

/// A guard that removes the connection from the session manager when it is dropped, whether the connection's task returns or
/// panics.
struct ConnectionGuard {
    shared: Rc<Shared>,
    id: ConnectionId,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        // The session manager is still borrowed only if it has panicked in a call from this task.
        if let Ok(mut manager) = self.shared.manager.try_borrow_mut() {
            manager.connection_closed(self.id);
        }
    }
}

async fn serve_connection(shared: Rc<Shared>, socket: TcpStream, id: ConnectionId, queue: Rc<WriteQueue>) {
    let _queue_guard = WriteQueueGuard { shared: shared.clone(), id };
    let guard = ConnectionGuard { shared: shared.clone(), id };
    let (reader, writer) = socket.into_split();
    let mut writing = pin!(queue.run(writer, shared.started));
    tokio::select! {
        end = read_all(&shared, id, &reader) => {
            drop(guard);
            if end == ReadEnd::Finished {
                // The peer may still read, and expects the answer to its last message.
                queue.close();
                let _ = timeout(FINAL_WRITE_TIMEOUT, writing).await;
            }
        }
        outcome = &mut writing => {
            if outcome == WriteOutcome::ReaderTooSlow {
                warn!(connection = id, "closing a connection whose peer reads too slowly");
            }
            drop(guard);
        }
    }
    debug!(connection = id, "ending the task of a connection");
}
