//! Opens and closes connections, and splits their bytes into messages.

use super::reasons::{CloseReason, DropReason};
use super::{Effects, SessionManager};
use crate::connections::{Connection, ConnectionId, Peer};
use crate::event::{StreamChange, WarningKind};
use crate::wire::{FrameError, Message, MessageError, encode_refusal, parse_message};
use std::time::Duration;

impl<E: Effects> SessionManager<E> {
    /// The number of consecutive unreadable messages after which a connection is closed. A valid message between them
    /// resets the count.
    const MAX_UNREADABLE_MESSAGES: u32 = 3;

    /// Adds an accepted connection, and closes the oldest one of an unknown peer if there are too many of them.
    pub fn connection_opened(&mut self, now: Duration, id: ConnectionId) {
        if let Some(evicted) = self.connections.open(now, id) {
            self.close(now, evicted, &CloseReason::TooManyUnknown);
        }
    }

    /// Returns the connection that the next accepted one replaces. Its join may be waiting in the socket, so the host
    /// reads from this connection before it reports the next accepted one.
    pub fn next_evicted(&self) -> Option<ConnectionId> {
        self.connections.next_evicted()
    }

    /// Handles a failure to accept a connection, for example because descriptors have run out. Closes the oldest
    /// connection whose peer is unknown, to free its descriptor.
    pub fn accept_failed(&mut self, now: Duration, cause: &str) {
        match self.connections.oldest_unknown() {
            Some(oldest) => self.close(now, oldest, &CloseReason::OutOfDescriptors),
            None => self.warn(now, WarningKind::AcceptFailed, &cause),
        }
    }

    /// Handles the end of a connection that the peer has closed or that has broken.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        self.remove_connection(id, StreamChange::Left);
    }

    /// Returns true if the messages that the peer sent before it closed the connection still count. A proxy has left with the
    /// end of its stream, and the reports of a collector would be older than those of a newer one of its zone.
    pub fn counts_after_end(&self, id: ConnectionId) -> bool {
        match self.connections.peer(id) {
            None | Some(Peer::Unknown) => true,
            Some(Peer::Proxy(_)) => false,
            Some(Peer::Collector(zone)) => !self.connections.has_newer_collector(zone, id),
        }
    }

    /// Returns the number of bytes that the host may read from the connection now. If it is 0, the host asks again after
    /// [`Effects::resume_reading`].
    pub fn read_allowance(&mut self, id: ConnectionId) -> usize {
        self.connections.read_allowance(id)
    }

    /// Returns true if the next message of the connection is complete and longer than the usual ones.
    pub fn has_long_message(&self, id: ConnectionId) -> bool {
        self.connections.has_long_message(id)
    }

    /// Stores bytes that were received on the connection, at most as many as [`Self::read_allowance`] has returned.
    /// [`Self::handle_next_message`] then handles the messages that they complete.
    pub fn bytes_received(&mut self, now: Duration, id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.receive(now, bytes);
        }
    }

    /// Handles the next complete message of the connection. Returns false if there is none, or if the connection is closed.
    pub fn handle_next_message(&mut self, now: Duration, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get_mut(id) else { return false };
        let message = match next_message(now, connection) {
            Ok(None) => return false,
            Ok(Some(message)) => message,
            Err(error) => {
                self.close(now, id, &error.into());
                return false;
            }
        };
        if self.connections.message_handled(id) {
            self.effects.resume_reading();
        }
        match message {
            Ok(message) => self.handle_message(now, id, message),
            Err(error) => self.handle_unreadable(now, id, error),
        }
        true
    }

    fn handle_unreadable(&mut self, now: Duration, id: ConnectionId, error: MessageError) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        match error {
            MessageError::Field(_) => connection.unreadable_messages = 0,
            MessageError::NotAnObject | MessageError::UnknownKind(_) => connection.unreadable_messages += 1,
        }
        let too_many = connection.unreadable_messages >= Self::MAX_UNREADABLE_MESSAGES;
        if connection.peer == Peer::Unknown || too_many {
            self.close(now, id, &error.into());
        } else {
            self.drop_message(now, &error.into());
        }
    }

    pub(super) fn drop_message(&mut self, now: Duration, reason: &DropReason) {
        self.warn(now, WarningKind::MessageDropped, reason);
    }

    pub(super) fn close_overdue(&mut self, now: Duration) {
        for id in self.connections.overdue(now) {
            self.close(now, id, &CloseReason::TimedOut);
        }
    }

    /// Closes a connection. A peer that has not joined is sent the reason.
    pub(super) fn close(&mut self, now: Duration, id: ConnectionId, reason: &CloseReason) {
        let peer = self.connections.peer(id);
        if peer == Some(Peer::Unknown) {
            self.effects.write(id, &encode_refusal(&reason.to_string()));
        }
        let kind = match peer {
            Some(Peer::Unknown) => WarningKind::UnknownPeerClosed,
            Some(Peer::Collector(_)) => WarningKind::CollectorClosed,
            Some(Peer::Proxy(_)) | None => WarningKind::StreamClosed,
        };
        self.warn(now, kind, reason);
        self.effects.close(id);
        self.remove_connection(id, StreamChange::Closed);
    }

    /// Removes an ended connection. If it is the newest stream of a proxy, the proxy has left.
    pub(super) fn remove_connection(&mut self, id: ConnectionId, change: StreamChange) {
        let Some(connection) = self.connections.remove(id) else { return };
        if connection.has_reservation() {
            self.effects.resume_reading();
        }
        let Peer::Proxy(proxy) = connection.peer else { return };
        if self.streams.get(&proxy) != Some(&id) {
            return;
        }
        self.streams.remove(&proxy);
        self.event_log.stream_changed(proxy, change);
        if let Some(weight_log) = &mut self.weight_log {
            weight_log.proxy_left(proxy);
        }
        self.assignments.remove_proxy(proxy);
        self.policy.proxy_left(proxy);
        self.flush();
    }
}

/// Returns the next complete message of the connection if there is one, or the reason why this message cannot be
/// parsed.
///
/// # Errors
///
/// Returns an error if the bytes are not frames, so that no further message can be found on this connection.
fn next_message(
    now: Duration,
    connection: &mut Connection,
) -> Result<Option<Result<Message, MessageError>>, FrameError> {
    let Some(body) = connection.frames.next_body()? else { return Ok(None) };
    let message = parse_message(body);
    connection.restart_message_timer(now);
    if message.is_ok() {
        connection.unreadable_messages = 0;
    }
    Ok(Some(message))
}
