//! The link to one other member. Messages of the election, messages of tasks and the configuration, and snapshots each have
//! their own stream, so that they do not delay each other.

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

/// Maximum number of queued election messages for an unreachable peer. Messages older than a lease are useless.
const MAX_ELECTION_PACKETS: usize = 32;
/// Maximum number of queued task messages: a renewal and a record of each task. Lost messages are retransmitted.
const MAX_TASK_PACKETS: usize = 20_000;
const SNAPSHOT_CHUNK_BYTES: usize = 64 << 10;
/// Pause between two chunks of a snapshot, so that heartbeats are sent between them on a slow link.
const SNAPSHOT_CHUNK_PAUSE: Duration = Duration::from_millis(5);
/// Delay before the next attempt to connect.
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

/// A link to one other member; dropping the link closes its streams.
pub(crate) struct PeerLink {
    /// Queue of election messages.
    pub election: Rc<SendQueue>,
    /// Queue of messages of tasks and the configuration.
    pub tasks: Rc<SendQueue>,
    /// The snapshot to send next.
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

/// A bounded queue of packets for one stream; when the queue is full, the oldest packet is dropped.
pub(crate) struct SendQueue {
    max_packets: usize,
    packets: RefCell<VecDeque<Packet>>,
    added: Notify,
}

impl SendQueue {
    fn new(max_packets: usize) -> Rc<SendQueue> {
        Rc::new(SendQueue { max_packets, packets: RefCell::default(), added: Notify::new() })
    }

    /// Adds a packet, and drops the oldest one if the queue is full.
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

/// The newest snapshot that has not been sent yet; a newer snapshot replaces an older one.
#[derive(Default)]
pub(crate) struct SnapshotSlot {
    newest: RefCell<Option<EncodedSnapshot>>,
    changed: Notify,
}

impl SnapshotSlot {
    /// Sets the snapshot to send next.
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

/// Sends the packets of a queue, and reconnects whenever the stream ends.
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

/// Logs an error, unless it equals the last one and no stream was opened since.
fn log_once(peer: &Peer, error: &TransportError, last_error: &mut String) {
    let text = error.to_string();
    if text == *last_error {
        return;
    }
    if error.is_rejection() {
        peer.endpoint.log_rejection(&peer.voter.name, error);
    } else {
        info!(member = peer.voter.name, %error, "cannot reach a member; retrying");
    }
    *last_error = text;
}

/// Sends the newest snapshot, and reconnects whenever the stream ends.
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
