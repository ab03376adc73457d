//! Open connections: who is behind each, when one that shows nothing useful is closed, and which one is closed first
//! where places run out.

use crate::wire::FrameDecoder;
use grebespool::host::{ProxyId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// One connection, from its acceptance to its end; ids rise in the order of acceptance and are not used again.
pub type ConnectionId = u64;

/// Who is behind a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peer {
    /// Nobody known: it has neither joined as a proxy nor announced itself as a collector.
    Unknown,
    /// A collector of this zone.
    Collector(ZoneId),
    /// The stream of this proxy.
    Proxy(ProxyId),
}

/// One open connection.
pub(crate) struct Connection {
    /// Who is behind it.
    pub peer: Peer,
    /// What was received and not yet parsed.
    pub frames: FrameDecoder,
    /// When the current message began, or the connection where its peer is unknown.
    pub waiting_since: Duration,
    /// When bytes last came.
    pub last_received_at: Duration,
    /// Messages in a row that could not be parsed.
    pub unreadable_messages: u32,
    /// Ack tokens that were sent on this stream and not returned, oldest first.
    pub pending_acks: VecDeque<u16>,
}

impl Connection {
    /// Ack tokens that a proxy may leave unacknowledged before the oldest is forgotten.
    const MAX_PENDING_ACKS: usize = 256;

    fn new(now: Duration) -> Self {
        Connection {
            peer: Peer::Unknown,
            frames: FrameDecoder::new(Connections::MAX_BODY_BEFORE_JOIN),
            waiting_since: now,
            last_received_at: now,
            unreadable_messages: 0,
            pending_acks: VecDeque::new(),
        }
    }

    /// The peer has said who it is.
    pub(crate) fn identify(&mut self, peer: Peer) {
        self.peer = peer;
        self.frames.set_body_limit(Connections::MAX_BODY_AFTER_JOIN);
    }

    /// Appends received bytes.
    pub(crate) fn receive(&mut self, now: Duration, bytes: &[u8]) {
        self.last_received_at = now;
        if !self.frames.has_partial_frame() {
            self.message_began(now);
        }
        self.frames.extend(bytes);
    }

    /// A message begins with its first byte, however long nothing came before it. The time limit of an unknown peer runs
    /// from the start of the connection.
    pub(crate) fn message_began(&mut self, now: Duration) {
        if self.peer != Peer::Unknown {
            self.waiting_since = now;
        }
    }

    /// An ack token was sent.
    pub(crate) fn ack_requested(&mut self, token: u16) {
        self.pending_acks.push_back(token);
        if self.pending_acks.len() > Self::MAX_PENDING_ACKS {
            self.pending_acks.pop_front();
        }
    }

    /// Forgets this ack token and all older ones. Whether it was pending.
    pub(crate) fn acknowledge(&mut self, token: u32) -> bool {
        let Some(position) = self.pending_acks.iter().position(|sent| u32::from(*sent) == token) else {
            return false;
        };
        self.pending_acks.drain(..=position);
        true
    }

    /// When the connection is to be closed unless it makes progress.
    fn deadline(&self) -> Option<Duration> {
        match self.peer {
            Peer::Unknown => Some(self.waiting_since + Connections::JOIN_TIMEOUT),
            Peer::Collector(_) | Peer::Proxy(_) => self
                .frames
                .has_partial_frame()
                .then_some(self.waiting_since + Connections::PARTIAL_MESSAGE_TIMEOUT),
        }
    }
}

/// All open connections, in the order in which they were accepted.
pub(crate) struct Connections {
    open: BTreeMap<ConnectionId, Connection>,
    unknown_limit: usize,
}

impl Connections {
    /// Bytes of the longest message of an unknown peer: a join has a few short fields.
    const MAX_BODY_BEFORE_JOIN: usize = 4 << 10;
    /// Bytes of the longest message of a known peer: reports are a few names and numbers. It bounds the memory taken by
    /// streams that send garbage.
    const MAX_BODY_AFTER_JOIN: usize = 64 << 10;
    /// How long a peer may stay unknown. The platform closes at 3 s; a join that comes in pieces over a slow network
    /// still fits.
    const JOIN_TIMEOUT: Duration = Duration::from_millis(1900);
    /// How long a known peer may take from a message's first byte to its last.
    const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_secs(15);
    /// Collectors of one zone. One that was cut off and connects again leaves its old connection open and silent.
    pub(crate) const COLLECTORS_PER_ZONE: usize = 4;
    /// The least number of unknown peers that are let in at a time.
    const MIN_UNKNOWN: usize = 8;

    /// No connections. At most `unknown_limit` are kept whose peer is unknown.
    pub(crate) fn new(unknown_limit: usize) -> Self {
        Connections { open: BTreeMap::new(), unknown_limit: unknown_limit.max(Self::MIN_UNKNOWN) }
    }

    /// Adds an accepted connection. Gives the one that is to be closed for it, if there are too many.
    pub(crate) fn open(&mut self, now: Duration, id: ConnectionId) -> Option<ConnectionId> {
        let evicted = self.next_evicted();
        self.open.insert(id, Connection::new(now));
        evicted
    }

    /// The connection, if it is open.
    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.open.get_mut(&id)
    }

    /// Who is behind the connection, if it is open.
    pub(crate) fn peer(&self, id: ConnectionId) -> Option<Peer> {
        self.open.get(&id).map(|connection| connection.peer)
    }

    /// Forgets the connection.
    pub(crate) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        self.open.remove(&id)
    }

    /// How many peers are unknown.
    pub(crate) fn unknown_count(&self) -> usize {
        self.open.values().filter(|connection| connection.peer == Peer::Unknown).count()
    }

    /// The connection that the next accepted one replaces: the oldest of an unknown peer, where there are as many as may
    /// be.
    pub(crate) fn next_evicted(&self) -> Option<ConnectionId> {
        if self.unknown_count() < self.unknown_limit {
            return None;
        }
        self.oldest_unknown()
    }

    /// The oldest connection of an unknown peer.
    pub(crate) fn oldest_unknown(&self) -> Option<ConnectionId> {
        self.open.iter().find(|(_, connection)| connection.peer == Peer::Unknown).map(|(id, _)| *id)
    }

    /// The collector of a zone that was silent for the longest, where the zone has more than it may have.
    pub(crate) fn surplus_collector(&self, zone: ZoneId) -> Option<ConnectionId> {
        let of_zone = || self.open.iter().filter(|(_, connection)| connection.peer == Peer::Collector(zone));
        if of_zone().count() <= Self::COLLECTORS_PER_ZONE {
            return None;
        }
        of_zone().min_by_key(|(_, connection)| connection.last_received_at).map(|(id, _)| *id)
    }

    /// Connections whose time limit has passed.
    pub(crate) fn overdue(&self, now: Duration) -> Vec<ConnectionId> {
        let is_overdue =
            |connection: &Connection| connection.deadline().is_some_and(|deadline| deadline <= now);
        self.open.iter().filter(|(_, connection)| is_overdue(connection)).map(|(id, _)| *id).collect()
    }
}
