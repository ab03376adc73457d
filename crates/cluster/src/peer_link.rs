//! The link to one other member: messages of the election, messages of tasks and configuration, and snapshots, each on a
//! stream of its own, so that none delays another.

use crate::endpoint::LocalEndpoint;
use crate::transport::{Packet, TransportError};
use grebespool_leader_election::{MemberId, Voter};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinHandle, spawn_local};
use tokio::time::sleep;
use tracing::info;

/// Election messages that wait for an unreachable peer. What is older than a lease helps nobody.
const MAX_ELECTION_PACKETS: usize = 32;
/// Task messages that wait: a renewal and a record of each task. Lost ones are retransmitted.
const MAX_TASK_PACKETS: usize = 20_000;
const SNAPSHOT_CHUNK_BYTES: usize = 64 << 10;
/// Between two chunks of a snapshot, so that heartbeats pass between them on a slow link.
const SNAPSHOT_CHUNK_PAUSE: Duration = Duration::from_millis(5);
/// Between two attempts to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Aborts a task when it is dropped.
struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    fn new(task: &JoinHandle<()>) -> AbortOnDrop {
        AbortOnDrop(task.abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A link to one other member, which ends when it is dropped.
pub(crate) struct PeerLink {
    /// Messages of the election.
    pub election: Rc<SendQueue>,
    /// Messages of tasks and configuration.
    pub tasks: Rc<SendQueue>,
    /// Snapshots.
    pub snapshots: Rc<SnapshotSlot>,
    _loops: [AbortOnDrop; 3],
}

impl PeerLink {
    /// Starts the link's loops on the current `LocalSet`.
    pub(crate) fn start(endpoint: &Rc<LocalEndpoint>, id: MemberId, voter: &Voter) -> PeerLink {
        let (election, tasks) = (SendQueue::new(MAX_ELECTION_PACKETS), SendQueue::new(MAX_TASK_PACKETS));
        let snapshots = Rc::new(SnapshotSlot::default());
        let peer = Peer { endpoint: endpoint.clone(), id, voter: voter.clone() };
        let loops = [
            spawn_local(send_loop(peer.clone(), election.clone())),
            spawn_local(send_loop(peer.clone(), tasks.clone())),
            spawn_local(snapshot_loop(peer, snapshots.clone())),
        ];
        PeerLink { election, tasks, snapshots, _loops: loops.each_ref().map(AbortOnDrop::new) }
    }
}

/// A bounded queue of packets for one stream; where it is full, the oldest is dropped.
pub(crate) struct SendQueue {
    max_packets: usize,
    packets: RefCell<VecDeque<Packet>>,
    added: Notify,
}

impl SendQueue {
    fn new(max_packets: usize) -> Rc<SendQueue> {
        Rc::new(SendQueue { max_packets, packets: RefCell::default(), added: Notify::new() })
    }

    /// Adds a packet.
    pub(crate) fn push(&self, packet: Packet) {
        let mut packets = self.packets.borrow_mut();
        if packets.len() == self.max_packets {
            packets.pop_front();
        }
        packets.push_back(packet);
        self.added.notify_one();
    }

    fn pop(&self) -> Option<Packet> {
        self.packets.borrow_mut().pop_front()
    }

    async fn wait_until_not_empty(&self) {
        while self.packets.borrow().is_empty() {
            self.added.notified().await;
        }
    }
}

/// An encoded snapshot.
#[derive(Clone)]
pub(crate) struct EncodedSnapshot {
    /// The leader's term and the snapshot's number.
    pub order: (u64, u64),
    pub bytes: Rc<Vec<u8>>,
}

/// The newest snapshot that was not sent yet; it replaces an older one.
#[derive(Default)]
pub(crate) struct SnapshotSlot {
    newest: RefCell<Option<EncodedSnapshot>>,
    changed: Notify,
}

impl SnapshotSlot {
    /// Has this snapshot sent.
    pub(crate) fn put(&self, snapshot: EncodedSnapshot) {
        *self.newest.borrow_mut() = Some(snapshot);
        self.changed.notify_one();
    }

    fn take(&self) -> Option<EncodedSnapshot> {
        self.newest.borrow_mut().take()
    }
}

#[derive(Clone)]
struct Peer {
    endpoint: Rc<LocalEndpoint>,
    id: MemberId,
    voter: Voter,
}

/// Sends the packets of a queue, and connects again whenever the stream ends.
async fn send_loop(peer: Peer, queue: Rc<SendQueue>) {
    let mut last_error = String::new();
    loop {
        queue.wait_until_not_empty().await;
        if let Err(error) = send_until_closed(&peer, &queue, &mut last_error).await {
            log_once(&peer, &error, &mut last_error);
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn send_until_closed(
    peer: &Peer,
    queue: &SendQueue,
    last_error: &mut String,
) -> Result<(), TransportError> {
    let mut stream = peer.endpoint.connect_to(peer.id, &peer.voter).await?;
    last_error.clear();
    loop {
        match queue.pop() {
            Some(packet) => stream.send(&packet).await?,
            None => queue.added.notified().await,
        }
    }
}

/// Logs an error once, until another one happens or a stream was opened.
fn log_once(peer: &Peer, error: &TransportError, last_error: &mut String) {
    let text = error.to_string();
    if text == *last_error {
        return;
    }
    if error.is_rejection() {
        peer.endpoint.log_rejection(&peer.voter.name, error);
    } else {
        info!(member = peer.voter.name, %error, "cannot reach a member");
    }
    *last_error = text;
}

/// Sends the newest snapshot, and connects again whenever the stream ends.
async fn snapshot_loop(peer: Peer, slot: Rc<SnapshotSlot>) {
    loop {
        slot.changed.notified().await;
        if send_snapshots_until_closed(&peer, &slot).await.is_err() {
            sleep(RECONNECT_DELAY).await;
        }
    }
}

async fn send_snapshots_until_closed(peer: &Peer, slot: &SnapshotSlot) -> Result<(), TransportError> {
    let mut stream = peer.endpoint.connect_to(peer.id, &peer.voter).await?;
    loop {
        let Some(EncodedSnapshot { order, bytes }) = slot.take() else {
            slot.changed.notified().await;
            continue;
        };
        let chunks = bytes.chunks(SNAPSHOT_CHUNK_BYTES);
        let parts = chunks.len() as u32;
        for (part, chunk) in (0..).zip(chunks) {
            stream.send(&Packet::SnapshotChunk { order, part, parts, bytes: chunk.to_vec() }).await?;
            sleep(SNAPSHOT_CHUNK_PAUSE).await;
        }
    }
}
