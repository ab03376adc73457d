//! Streams that other members and operators dialled, and memories put together from their pieces.

use crate::run::{DIALLED_WITHIN, Shared};
use crate::seal::{Packet, Sealed};
use grebespool_leader_election::Snapshot;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tracing::warn;

const SILENCE: Duration = Duration::from_secs(30);

/// What a memory's pieces come to.
struct Coming {
    order: (u64, u64),
    parts: u32,
    bytes: Vec<u8>,
    next: u32,
}

/// One stream that another member or an operator dialled.
async fn listen(shared: Rc<Shared>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keys = shared.keys.borrow_mut().keys();
    let meeting = async {
        let mut sealed = Sealed::accept(stream, shared.own, &keys).await?;
        let (_, told) = sealed.met().await?;
        let peer = sealed.peer;
        if peer != 0
            && let Err(why) = shared.call(|m, _| m.peer_connected(peer, told))
        {
            sealed.say(&Packet::Refused(why.to_string())).await?;
            return Err(io::Error::new(io::ErrorKind::PermissionDenied, why));
        }
        let stamp = shared.member.borrow().hard_state().revision;
        sealed.say(&Packet::Here { name: shared.name.clone(), stamp }).await?;
        io::Result::Ok(sealed)
    };
    let mut sealed = timeout(DIALLED_WITHIN, meeting).await??;
    let peer = sealed.peer;
    let mut coming: Option<Coming> = None;
    loop {
        match timeout(SILENCE, sealed.hear()).await?? {
            Packet::Word(word) if peer != 0 => shared.call(|m, now| m.receive(now, peer, word)),
            Packet::Duty(word) if peer != 0 => shared.duty_heard(peer, word),
            Packet::Accord(word) if peer != 0 => shared.accord_heard(peer, word),
            Packet::Memory { order, part, parts, bytes } if peer != 0 => {
                piece(&shared, &mut coming, (order, part, parts), &bytes)?;
            }
            Packet::Question(question) if peer == 0 => {
                let answer = shared.answer(question).await;
                sealed.say(&Packet::Answer(answer)).await?;
            }
            _ => return Err(io::Error::new(io::ErrorKind::InvalidData, "what does not belong here")),
        }
    }
}

/// Puts a memory's pieces together, and takes it once it is whole.
fn piece(
    shared: &Rc<Shared>,
    coming: &mut Option<Coming>,
    (order, part, parts): ((u64, u64), u32, u32),
    bytes: &[u8],
) -> io::Result<()> {
    let bad = |text: String| Err(io::Error::new(io::ErrorKind::InvalidData, text));
    if part == 0 {
        *coming = Some(Coming { order, parts, bytes: vec![], next: 0 });
    }
    let Some(c) = coming.as_mut().filter(|c| c.order == order && c.parts == parts && c.next == part) else {
        return bad(format!("piece {part} of a memory out of its order"));
    };
    if c.bytes.len() + bytes.len() > grebespool_leader_election::MAX_SNAPSHOT_BYTES {
        return bad("a memory that is too large".into());
    }
    c.bytes.extend_from_slice(bytes);
    c.next += 1;
    if c.next < parts {
        return Ok(());
    }
    let whole = coming.take().map(|c| c.bytes).unwrap_or_default();
    match Snapshot::decode(&whole) {
        Ok(memory) if memory.order() == order => {
            let newer = shared.memory.borrow().as_ref().is_none_or(|m| m.0.order() < order);
            if newer {
                *shared.memory.borrow_mut() = Some((memory, Instant::now()));
                shared.member.borrow_mut().host().disk.remember(order, whole);
            }
            Ok(())
        }
        Ok(_) => bad("a memory under another's number".into()),
        Err(why) => bad(format!("a damaged memory: {why}")),
    }
}

pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    let shared = shared.clone();
                    streams.spawn_local(async move {
                        if let Err(why) = listen(shared.clone(), stream).await
                            && !matches!(why.kind(), io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset)
                        {
                            shared.refuse(&format!("a stream from {from}"), &why);
                        }
                    });
                }
                Err(error) => {
                    warn!(%error, "a connection could not be accepted");
                    sleep(Duration::from_millis(50)).await;
                }
            },
            Some(_) = streams.join_next() => {}
        }
    }
}
