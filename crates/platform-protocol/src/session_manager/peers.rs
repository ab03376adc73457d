//! Connections: accepted, closed, and what comes on them.

use super::reasons::{CloseReason, DropReason};
use super::{Effects, SessionManager};
use crate::connections::{Connection, ConnectionId, Peer};
use crate::event::{StreamChange, WarningKind};
use crate::wire::{FrameError, Message, MessageError, encode_refusal, parse_message};
use std::time::Duration;

impl<E: Effects> SessionManager<E> {
    /// Messages in a row that cannot be parsed before a connection is closed. With good ones between, they are dropped.
    const MAX_UNREADABLE_MESSAGES: u32 = 3;

    /// A connection was accepted.
    pub fn connection_opened(&mut self, now: Duration, id: ConnectionId) {
        if let Some(evicted) = self.connections.open(now, id) {
            self.close(now, evicted, &CloseReason::TooManyUnknown);
        }
    }

    /// The connection that the next accepted one replaces. It may have sent its join already, so what it sent is to be
    /// passed on first.
    pub fn next_evicted(&self) -> Option<ConnectionId> {
        self.connections.next_evicted()
    }

    /// A connection could not be accepted, for want of descriptors say: makes room by closing the oldest connection
    /// whose peer is unknown.
    pub fn accept_failed(&mut self, now: Duration, cause: &str) {
        match self.connections.oldest_unknown() {
            Some(oldest) => self.close(now, oldest, &CloseReason::OutOfDescriptors),
            None => self.warn(now, WarningKind::AcceptFailed, &cause),
        }
    }

    /// The connection was closed from the other side, or broke.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        self.forget(id, StreamChange::Left);
    }

    /// Bytes came on the connection.
    pub fn bytes_received(&mut self, now: Duration, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.receive(now, bytes);
        // A message may close the connection that it came on.
        while let Some(connection) = self.connections.get_mut(id) {
            match next_message(now, connection) {
                Ok(None) => return,
                Ok(Some(Ok(message))) => self.handle_message(now, id, message),
                Ok(Some(Err(error))) => self.handle_unreadable(now, id, error),
                Err(error) => return self.close(now, id, &error.into()),
            }
        }
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

    /// Closes a connection that is of no further use. A peer that has not joined is told why.
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
        self.forget(id, StreamChange::Closed);
    }

    /// The connection has ended. Its proxy has left, unless a newer stream of it has joined.
    pub(super) fn forget(&mut self, id: ConnectionId, change: StreamChange) {
        let Some(connection) = self.connections.remove(id) else { return };
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

/// The next complete message of the connection, if there is one, or why that message cannot be parsed.
///
/// # Errors
///
/// No further message can be found on this connection.
fn next_message(
    now: Duration,
    connection: &mut Connection,
) -> Result<Option<Result<Message, MessageError>>, FrameError> {
    let Some(body) = connection.frames.next_body()? else { return Ok(None) };
    let message = parse_message(body);
    connection.message_began(now);
    if message.is_ok() {
        connection.unreadable_messages = 0;
    }
    Ok(Some(message))
}
