//! One proxy's stream: shaking hands, then sums and answered marks in, orders out.

use crate::Shared;
use crate::outgoing::Outgoing;
use grebespool_controller::{Arrival, StreamId};
use grebespool_wire::{Inbox, MOST_BODY, MOST_BODY_UNJOINED, Message, Reason, Role, VERSION};
use grebespool_write_queue::WriteLimits;
use rand::RngCore;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tracing::{debug, info, warn};

/// Why a stream ends, as the peer is told and the log says.
struct Ended(Reason, String);

/// Counts a stream among those that have not joined, for as long as it is kept.
struct Unjoined(Rc<Shared>);

impl Unjoined {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.unjoined.set(shared.unjoined.get() + 1);
        Unjoined(shared.clone())
    }
}

impl Drop for Unjoined {
    fn drop(&mut self) {
        self.0.unjoined.set(self.0.unjoined.get() - 1);
    }
}

pub async fn run(shared: Rc<Shared>, socket: TcpStream, from: SocketAddr) {
    let id = shared.next_stream.get();
    shared.next_stream.set(id + 1);
    let (reader, writer) = socket.into_split();
    let limits = WriteLimits { max_wait: shared.listen.stall.0, max_bytes: shared.listen.stall_bytes };
    let out = Rc::new(Outgoing::new(limits));
    shared.streams.borrow_mut().insert(id, out.clone());
    let reading = async {
        let Ended(reason, text) = read(&shared, &out, id, reader, from).await;
        out.close(shared.now(), reason, &text);
        Ended(reason, text)
    };
    let writing = out.write(writer, shared.began);
    tokio::pin!(reading, writing);
    let ended = tokio::select! {
        ended = &mut reading => {
            // What the peer is told goes out, if it takes it.
            let _ = writing.await;
            ended
        }
        written = &mut writing => match written {
            Err(reason) => Ended(reason, "its bytes were not taken".into()),
            Ok(()) => Ended(Reason::Stopping, "closed".into()),
        },
    };
    shared.streams.borrow_mut().remove(&id);
    shared.call(|engine, _| engine.left(id));
    if let Some(name) = out.name.take() {
        shared.left(id, &name);
    }
    match ended.0 {
        Reason::Stopping => info!(stream = id, %from, why = ended.1, "stream ended"),
        reason => warn!(stream = id, %from, ?reason, why = ended.1, "stream closed"),
    }
}

async fn read(
    shared: &Rc<Shared>,
    out: &Outgoing,
    id: StreamId,
    mut from: OwnedReadHalf,
    peer: SocketAddr,
) -> Ended {
    let mut inbox = Inbox::new(MOST_BODY_UNJOINED);
    let mut buffer = vec![0; 16 << 10];
    let handshake = async {
        let _unjoined = Unjoined::new(shared);
        join(shared, out, id, &mut from, &mut inbox, &mut buffer).await
    };
    match tokio::time::timeout(shared.listen.handshake.0, handshake).await {
        Ok(Ok(name)) => info!(stream = id, from = %peer, name, "proxy joined"),
        Ok(Err(ended)) => return ended,
        Err(_) => return Ended(Reason::Silent, "it did not join in time".into()),
    }
    inbox.allow(MOST_BODY);
    loop {
        let silence = shared.listen.silence.0;
        let message = match tokio::time::timeout(silence, next(&mut from, &mut inbox, &mut buffer)).await {
            Ok(Ok(message)) => message,
            Ok(Err(ended)) => return ended,
            Err(_) => return Ended(Reason::Silent, format!("nothing was heard for {silence:?}")),
        };
        match message {
            Message::Sums { met, came } => {
                let name = out.name.borrow();
                if let Some(name) = &*name {
                    let mut watch = shared.watch.borrow_mut();
                    watch.came(shared.now(), name, &came);
                    watch.met(name, &met);
                }
                shared.call(|engine, _| engine.sums(id, &met, &came));
            }
            Message::Applied { start, stream, seq, mark } => {
                debug!(stream = id, seq, mark, "applied");
                shared.call(|engine, now| engine.applied(now, id, (start, stream), seq, mark));
            }
            Message::Bye { reason, text } => {
                return Ended(Reason::Stopping, format!("the proxy left: {reason:?} {text}"));
            }
            other => return misplaced(&other),
        }
    }
}

fn misplaced(message: &Message) -> Ended {
    Ended(Reason::State, format!("{} does not belong here", message.name()))
}

/// Shakes hands and asks the engine to let the proxy in. Returns its name.
async fn join(
    shared: &Rc<Shared>,
    out: &Outgoing,
    id: StreamId,
    from: &mut OwnedReadHalf,
    inbox: &mut Inbox,
    buffer: &mut [u8],
) -> Result<String, Ended> {
    let (name, nonce) = match next(from, inbox, buffer).await? {
        Message::Hello { version, .. } if version != VERSION => {
            let text = format!("this planner speaks version {VERSION}, the peer {version}");
            return Err(Ended(Reason::Version, text));
        }
        Message::Hello { role: Role::Proxy, name, nonce, .. } if !name.is_empty() => (name, nonce),
        Message::Hello { .. } => return Err(Ended(Reason::Refused, "only named proxies join".into())),
        other => return Err(misplaced(&other)),
    };
    let mut own = [0; 16];
    rand::rng().fill_bytes(&mut own);
    let start = shared.start.id;
    out.put(shared.now(), &Message::Challenge { version: VERSION, start, nonce: own });
    let join = match next(from, inbox, buffer).await? {
        Message::Join(join) => join,
        other => return Err(misplaced(&other)),
    };
    let nonces = [&nonce, &own];
    if !join.proof.holds(&shared.key.peer(nonces, start, &name, &join.zone)) {
        return Err(Ended(Reason::Refused, format!("{name:?} does not show the fleet's key")));
    }
    if join.epoch > shared.start.epoch {
        shared.watch.borrow_mut().passed_over(join.epoch);
        let text =
            format!("it holds orders of epoch {}; this planner's is {}", join.epoch, shared.start.epoch);
        return Err(Ended(Reason::PassedOver, text));
    }
    out.proof.set(shared.key.planner(nonces, start, &name, &join.zone));
    debug!(stream = id, name, held = join.held_start, seq = join.held_seq, bare = join.bare, "asks to join");
    let arrival = Arrival { name: &name, zone: &join.zone, rate: join.rate, bare: join.bare };
    if shared.call(|engine, now| engine.joined(now, id, arrival)) {
        shared.joined(id, &name, &join.zone, join.bare);
        *out.name.borrow_mut() = Some(name.clone());
    }
    Ok(name)
}

async fn next(from: &mut OwnedReadHalf, inbox: &mut Inbox, buffer: &mut [u8]) -> Result<Message, Ended> {
    loop {
        match inbox.message() {
            Ok(Some(message)) => return Ok(message),
            Ok(None) => {}
            Err(malformed) => return Err(Ended(Reason::Malformed, malformed.to_string())),
        }
        match from.read(buffer).await {
            Ok(0) if inbox.pending() > 0 => {
                return Err(Ended(Reason::Malformed, "it ended in the middle of a frame".into()));
            }
            Ok(0) => return Err(Ended(Reason::Stopping, "the proxy closed it".into())),
            Ok(n) => inbox.take(&buffer[..n]),
            Err(error) => return Err(Ended(Reason::Stopping, error.to_string())),
        }
    }
}
