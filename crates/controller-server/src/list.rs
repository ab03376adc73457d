//! Following the server list.

use crate::Shared;
use crate::dial::{Dialled, Peer, next, shake_hands};
use grebespool_settings::ListSource;
use grebespool_wire::{Message, Role};
use rand::RngCore;
use std::io;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

/// Dials the list, watches it, and dials again whenever that ends.
pub async fn follow(shared: Rc<Shared>, source: ListSource) {
    loop {
        match watch(&shared, &source).await {
            Ok(never) => match never {},
            Err(error) => warn!(address = %source.address, %error, "the server list is out of reach"),
        }
        shared.call(|engine, now| engine.list_failed(now));
        sleep(source.redial.0).await;
    }
}

enum Never {}

async fn watch(shared: &Rc<Shared>, source: &ListSource) -> io::Result<Never> {
    let mut socket = timeout(source.patience.0, TcpStream::connect(source.address)).await??;
    socket.set_nodelay(true)?;
    let mut nonce = [0; 16];
    rand::rng().fill_bytes(&mut nonce);
    let name = format!("planner-{:x}", shared.start.id);
    let peer =
        Peer { role: Role::Watcher, name: &name, zone: "", rate: 0.0, bare: false, held: (0, 0), epoch: 0 };
    let shaken = timeout(source.patience.0, shake_hands(&mut socket, &shared.key, nonce, &peer)).await??;
    let Dialled { mut inbox, .. } = shaken;
    let (mut from, mut to) = socket.into_split();
    // Changes that were missed while it was out of reach come first.
    let mut asked = Some(shared.engine.borrow().list_version());
    shared.asks.have.set(None);
    let mut unanswered: Option<Instant> = None;
    loop {
        if let Some(have) = asked.take() {
            to.write_all(&Message::AskList { have, watch: true }.frame()).await?;
            unanswered = unanswered.or(Some(Instant::now()));
        }
        let late = unanswered.map(|at| at + source.patience.0);
        let over = async {
            match late {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            message = next(&mut from, &mut inbox) => match message? {
                Message::List { version, base, now_ms, entries } => {
                    unanswered = None;
                    info!(version, base, entries = entries.len(), "list");
                    shared.watch.borrow_mut().list(shared.now(), version, base, now_ms, &entries);
                    shared.call(|engine, now| engine.list(now, version, base, now_ms, &entries));
                }
                Message::ListFailed { text } => {
                    unanswered = None;
                    warn!(text, "a call for the list failed");
                    shared.call(|engine, now| engine.list_failed(now));
                }
                Message::Bye { reason, text } => {
                    return Err(io::Error::other(format!("closed by the list: {reason:?} {text}")));
                }
                other => return Err(io::Error::other(format!("{} does not belong here", other.name()))),
            },
            () = shared.asks.come.notified() => asked = shared.asks.have.take(),
            () = over => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}
