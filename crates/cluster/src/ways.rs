//! The ways to other members: words, words of duties and memories each on a stream of their own, so that none waits for
//! another.

use crate::run::Shared;
use crate::seal::Packet;
use grebespool_leader_election::{MemberId, Voter};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::sleep;
use tracing::info;

/// Words wait for a peer that is out of reach, a few: what is older than a lease helps nobody.
pub(crate) const WORDS_KEPT: usize = 32;
/// Of duties', a renewal and a record for each; what is lost is said again.
pub(crate) const DUTY_WORDS_KEPT: usize = 20_000;
pub(crate) const PIECE: usize = 64 << 10;
/// Between two pieces of a memory: on a slow way, beats pass between them.
pub(crate) const BETWEEN_PIECES: Duration = Duration::from_millis(5);
pub(crate) const REDIAL: Duration = Duration::from_millis(200);
/// A way to one other member: words on one stream, memories on another, so that these never hold up those.
pub(crate) struct Way {
    pub words: Rc<Queue>,
    pub duties: Rc<Queue>,
    pub freight: Rc<RefCell<Option<Freight>>>,
    pub laden: Rc<Notify>,
    pub tasks: [AbortHandle; 3],
}

/// What is to be said on one stream.
pub(crate) struct Queue {
    most: usize,
    packets: RefCell<VecDeque<Packet>>,
    come: Notify,
}

impl Queue {
    pub fn new(most: usize) -> Rc<Queue> {
        Rc::new(Queue { most, packets: RefCell::default(), come: Notify::new() })
    }

    pub fn push(&self, packet: Packet) {
        let mut packets = self.packets.borrow_mut();
        if packets.len() == self.most {
            packets.pop_front();
        }
        packets.push_back(packet);
        self.come.notify_one();
    }
}

pub(crate) type Freight = ((u64, u64), Rc<Vec<u8>>);

impl Drop for Way {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Says what is to be said to one other, dialling anew whenever the stream ends.
pub(crate) async fn speak(shared: Rc<Shared>, id: MemberId, seat: Voter, queue: Rc<Queue>) {
    let mut said = String::new();
    loop {
        // A stream is there once there is something to say.
        while queue.packets.borrow().is_empty() {
            queue.come.notified().await;
        }
        let failed = async {
            let mut sealed = shared.dial(id, &seat).await?;
            said.clear();
            loop {
                let packet = queue.packets.borrow_mut().pop_front();
                match packet {
                    Some(packet) => sealed.say(&packet).await?,
                    None => queue.come.notified().await,
                }
            }
        };
        let failed: io::Result<()> = failed.await;
        if let Err(why) = failed {
            // Once for each cause, not with each dialling.
            if why.to_string() != said {
                said = why.to_string();
                match why.kind() {
                    io::ErrorKind::PermissionDenied => shared.refuse(&seat.name, &why),
                    _ => info!(member = seat.name, error = said, "out of reach"),
                }
            }
        }
        sleep(REDIAL).await;
    }
}

/// Ships the newest memory to one other.
pub(crate) async fn carry(
    shared: Rc<Shared>,
    id: MemberId,
    seat: Voter,
    freight: Rc<RefCell<Option<Freight>>>,
    laden: Rc<Notify>,
) {
    loop {
        laden.notified().await;
        let shipped: io::Result<()> = async {
            let mut sealed = shared.dial(id, &seat).await?;
            loop {
                let Some((order, bytes)) = freight.borrow_mut().take() else {
                    laden.notified().await;
                    continue;
                };
                let pieces = bytes.chunks(PIECE);
                let parts = pieces.len() as u32;
                for (part, piece) in pieces.enumerate() {
                    let bytes = piece.to_vec();
                    sealed.say(&Packet::Memory { order, part: part as u32, parts, bytes }).await?;
                    sleep(BETWEEN_PIECES).await;
                }
            }
        }
        .await;
        if shipped.is_err() {
            sleep(REDIAL).await;
        }
    }
}
