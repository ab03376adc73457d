//! Open connections: the peer of each connection, the time limits after which a connection is closed, and the order in
//! which connections are evicted when too many are open.

use crate::read_budget::{ReadBudget, ReadLimits};
use crate::wire::FrameDecoder;
use grebespool::host::{ProxyId, ZoneId};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The id of one connection. Invariant: ids rise in the order in which connections are accepted and are never reused.
pub type ConnectionId = u64;

/// The peer of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peer {
    /// A peer that has neither joined as a proxy nor announced itself as a collector.
    Unknown,
    /// A collector of this zone.
    Collector(ZoneId),
    /// The stream of this proxy.
    Proxy(ProxyId),
}

/// The state of one open connection.
pub(crate) struct Connection {
    /// The peer of the connection.
    pub peer: Peer,
    /// The bytes that were received and not yet parsed.
    pub frames: FrameDecoder,
    /// The time when the current message began; for an unknown peer, the time when the connection began.
    pub waiting_since: Duration,
    /// The time when the last bytes were received.
    pub last_received_at: Duration,
    /// The number of consecutive messages that could not be parsed.
    pub unreadable_messages: u32,
    /// The ack tokens that were sent on this stream and not returned, oldest first.
    pub pending_acks: VecDeque<u16>,
    /// The number of bytes that are reserved for the message in progress; 0 if it needs no reservation.
    reserved: usize,
}

impl Connection {
    /// The number of ack tokens that a proxy may leave unacknowledged before the oldest is dropped.
    const MAX_PENDING_ACKS: usize = 256;

    fn new(now: Duration) -> Self {
        Connection {
            peer: Peer::Unknown,
            frames: FrameDecoder::new(Connections::MAX_BODY_BEFORE_JOIN),
            waiting_since: now,
            last_received_at: now,
            unreadable_messages: 0,
            pending_acks: VecDeque::new(),
            reserved: 0,
        }
    }

    /// Records the peer that has joined or announced itself, and raises the limit of its messages.
    pub(crate) fn identify(&mut self, peer: Peer) {
        self.peer = peer;
        self.frames.set_body_limit(Connections::MAX_BODY_AFTER_JOIN);
    }

    /// Appends received bytes.
    pub(crate) fn receive(&mut self, now: Duration, bytes: &[u8]) {
        self.last_received_at = now;
        if !self.frames.has_partial_frame() {
            self.restart_message_timer(now);
        }
        self.frames.extend(bytes);
    }

    /// Starts the time limit of a message. A message begins with its first byte, so silence before it does not count.
    /// The time limit of an unknown peer runs from the start of its connection and is not restarted.
    pub(crate) fn restart_message_timer(&mut self, now: Duration) {
        if self.peer != Peer::Unknown {
            self.waiting_since = now;
        }
    }

    /// Records an ack token that was sent. Drops the oldest token if too many are pending.
    pub(crate) fn add_pending_ack(&mut self, token: u16) {
        self.pending_acks.push_back(token);
        if self.pending_acks.len() > Self::MAX_PENDING_ACKS {
            self.pending_acks.pop_front();
        }
    }

    /// Removes this ack token and all older ones. Returns true if the token was pending.
    pub(crate) fn acknowledge(&mut self, token: u32) -> bool {
        let Some(position) = self.pending_acks.iter().position(|sent| u32::from(*sent) == token) else {
            return false;
        };
        self.pending_acks.drain(..=position);
        true
    }

    /// Returns true if memory is reserved for the message in progress.
    pub(crate) fn has_reservation(&self) -> bool {
        self.reserved > 0
    }

    /// Returns the time at which the connection is closed unless the peer joins or completes its message.
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
    budget: ReadBudget,
}

impl Connections {
    /// The longest message of an unknown peer, in bytes: a join has a few short fields.
    const MAX_BODY_BEFORE_JOIN: usize = 4 << 10;
    /// The longest message of a known peer, in bytes: a report has a few names and numbers. This limit bounds the
    /// memory that streams with garbage take.
    const MAX_BODY_AFTER_JOIN: usize = 64 << 10;
    /// The longest message, in bytes, with its length field.
    pub(crate) const MAX_MESSAGE: usize = Self::MAX_BODY_AFTER_JOIN + FrameDecoder::HEADER_LENGTH;
    /// The time in which a peer has to join. The platform closes such a connection after 3 s; within this time, a join
    /// that arrives in pieces over a slow network is still accepted.
    const JOIN_TIMEOUT: Duration = Duration::from_millis(1900);
    /// The time that a known peer may take from a message's first byte to its last.
    const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_secs(15);
    /// The number of collectors that one zone may have. A collector that was cut off and connects again leaves its old
    /// connection open and silent.
    pub(crate) const COLLECTORS_PER_ZONE: usize = 4;
    /// The smallest limit of concurrent unknown peers.
    const MIN_UNKNOWN: usize = 8;

    /// Creates an empty set that holds at most `unknown_limit` connections of unknown peers, or
    /// [`Self::MIN_UNKNOWN`] if that is more.
    pub(crate) fn new(unknown_limit: usize, limits: ReadLimits) -> Self {
        Connections {
            open: BTreeMap::new(),
            unknown_limit: unknown_limit.max(Self::MIN_UNKNOWN),
            budget: ReadBudget::new(limits),
        }
    }

    /// Adds an accepted connection. Returns the connection that the caller must close if too many peers are unknown.
    pub(crate) fn open(&mut self, now: Duration, id: ConnectionId) -> Option<ConnectionId> {
        let evicted = self.next_evicted();
        self.open.insert(id, Connection::new(now));
        evicted
    }

    /// Returns the connection if it is open.
    pub(crate) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.open.get_mut(&id)
    }

    /// Returns the peer of the connection if the connection is open.
    pub(crate) fn peer(&self, id: ConnectionId) -> Option<Peer> {
        self.open.get(&id).map(|connection| connection.peer)
    }

    /// Removes the connection and returns it if it was open.
    pub(crate) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.open.remove(&id)?;
        self.budget.release(connection.reserved);
        Some(connection)
    }

    /// Returns the number of bytes that may be read from the connection now, after its complete messages were handled.
    /// Returns 0 if the memory for its message in progress is not available; it is asked again after
    /// [`Self::message_handled`] or [`Self::remove`] of a connection with a reservation.
    pub(crate) fn read_allowance(&mut self, id: ConnectionId) -> usize {
        let chunk = self.budget.limits().chunk;
        let Some(connection) = self.open.get_mut(&id) else { return chunk };
        let Some(frame) = connection.frames.frame_in_progress().filter(|frame| frame.length > chunk) else {
            return chunk;
        };
        if connection.reserved == 0 {
            if !self.budget.try_reserve(frame.length) {
                return 0;
            }
            connection.reserved = frame.length;
            connection.frames.reserve(frame.missing);
        }
        frame.missing
    }

    /// Returns true if a message for which memory was reserved is complete.
    pub(crate) fn has_long_message(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.open.get(&id) else { return false };
        let is_complete = connection.frames.frame_in_progress().is_some_and(|frame| frame.missing == 0);
        connection.has_reservation() && is_complete
    }

    /// Ends the reservation of the message that was taken from the connection. Returns true if there was one.
    pub(crate) fn message_handled(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.open.get_mut(&id) else { return false };
        let reserved = std::mem::take(&mut connection.reserved);
        self.budget.release(reserved);
        reserved > 0
    }

    /// Returns the number of bytes that are held for messages that were not handled yet.
    pub(crate) fn held_bytes(&self) -> usize {
        self.open.values().map(|connection| connection.frames.held_bytes()).sum()
    }

    /// Returns the number of unknown peers.
    pub(crate) fn unknown_count(&self) -> usize {
        self.open.values().filter(|connection| connection.peer == Peer::Unknown).count()
    }

    /// Returns the connection that the next accepted one replaces: the oldest of an unknown peer, if the limit of
    /// unknown peers is reached.
    pub(crate) fn next_evicted(&self) -> Option<ConnectionId> {
        if self.unknown_count() < self.unknown_limit {
            return None;
        }
        self.oldest_unknown()
    }

    /// Returns the oldest connection of an unknown peer.
    pub(crate) fn oldest_unknown(&self) -> Option<ConnectionId> {
        self.open.iter().find(|(_, connection)| connection.peer == Peer::Unknown).map(|(id, _)| *id)
    }

    /// Returns true if a collector of the zone has connected after this connection.
    pub(crate) fn has_newer_collector(&self, zone: ZoneId, id: ConnectionId) -> bool {
        let mut newer = self.open.range(id + 1..);
        newer.any(|(_, connection)| connection.peer == Peer::Collector(zone))
    }

    /// Returns the collector of a zone that has been silent for the longest time, if the zone has more than
    /// [`Self::COLLECTORS_PER_ZONE`].
    pub(crate) fn surplus_collector(&self, zone: ZoneId) -> Option<ConnectionId> {
        let of_zone = || self.open.iter().filter(|(_, connection)| connection.peer == Peer::Collector(zone));
        if of_zone().count() <= Self::COLLECTORS_PER_ZONE {
            return None;
        }
        of_zone().min_by_key(|(_, connection)| connection.last_received_at).map(|(id, _)| *id)
    }

    /// Returns the connections whose time limit has passed.
    pub(crate) fn overdue(&self, now: Duration) -> Vec<ConnectionId> {
        let is_overdue =
            |connection: &Connection| connection.deadline().is_some_and(|deadline| deadline <= now);
        self.open.iter().filter(|(_, connection)| is_overdue(connection)).map(|(id, _)| *id).collect()
    }
}
