//! Connections at the planner's address.

use crate::Shared;
use grebespool_platform_protocol::Conn;
use grebespool_write_queue::{WriteLimits, WriteOutcome, WriteQueue};
use std::io::ErrorKind;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tracing::{debug, error, warn};

/// A proxy that takes nothing for so long is silent: it has left by the platform's rules, and dials again.
const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// So many bytes may wait for it: some dozens of messages.
const MOST_WAITING: usize = 96 << 10;

/// In so long the runtime has looked at its sockets.
const A_LOOK: Duration = Duration::from_millis(1);
/// Who says no more is written what waits for it for so long at the most.
const LAST_WORDS: Duration = Duration::from_millis(500);

pub async fn accept(shared: Rc<Shared>, listener: TcpListener, mut tasks: JoinSet<()>) {
    let (mut conn, mut read): (Conn, Conn) = (0, 0);
    loop {
        let goes = shared.station.borrow().next_to_go();
        if goes.is_some_and(|first| first > read) {
            // The clock is no measure of it: the runtime has to look at its sockets once, and then whatever has come is
            // read before this task goes on.
            tokio::time::sleep(A_LOOK).await;
            read = conn;
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, _)) => {
                    let _ = socket.set_nodelay(true);
                    conn += 1;
                    let out = Rc::new(WriteQueue::new(WriteLimits { max_wait: LONGEST_WAIT, max_bytes: MOST_WAITING }));
                    shared.streams.borrow_mut().insert(conn, out.clone());
                    shared.call(|station, now| station.opened(now, conn));
                    tasks.spawn_local(run(shared.clone(), socket, conn, out));
                }
                Err(fault) => {
                    // Out of descriptors, say: those who have not joined make room, once what they said was read.
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    read = conn;
                    shared.call(|station, now| station.shed(now, &fault.to_string()));
                }
            },
            Some(ended) = tasks.join_next() => if let Err(fault) = ended {
                error!(%fault, "a task of the planner ended");
            },
        }
    }
}

/// Lets go of the connection whatever ends its task.
struct Held(Rc<Shared>, Conn);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.streams.borrow_mut().remove(&self.1);
        // Not where the station itself is what failed, in this very call.
        if let Ok(mut station) = self.0.station.try_borrow_mut() {
            station.closed(self.1);
        }
    }
}

async fn run(shared: Rc<Shared>, socket: TcpStream, conn: Conn, out: Rc<WriteQueue>) {
    let held = Held(shared.clone(), conn);
    let (reader, writer) = socket.into_split();
    let mut writing = pin!(out.run(writer, shared.began));
    tokio::select! {
        end = read(&shared, conn, &reader) => {
            drop(held);
            if end == End::Said {
                // It may still listen: what it asked for in its last words is owed to it.
                out.close();
                let _ = tokio::time::timeout(LAST_WORDS, writing).await;
            }
        }
        ended = &mut writing => {
            if ended == WriteOutcome::ReaderTooSlow {
                warn!(conn, "closed: its bytes were not taken");
            }
            drop(held);
        }
    }
    debug!(conn, "connection ended");
}

/// How the peer's words ended.
#[derive(PartialEq)]
enum End {
    /// It says no more.
    Said,
    Broken,
}

async fn read(shared: &Rc<Shared>, conn: Conn, from: &OwnedReadHalf) -> End {
    loop {
        if from.readable().await.is_err() {
            return End::Broken;
        }
        let mut scratch = shared.scratch.borrow_mut();
        match from.try_read(&mut scratch) {
            Ok(0) => return End::Said,
            Ok(n) => shared.call(|station, now| station.came(now, conn, &scratch[..n])),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return End::Broken,
        }
    }
}
