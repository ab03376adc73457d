//! Reads the messages of one connection in turns, so that a connection that always has bytes delays no other task.

use crate::shared::Shared;
use grebespool_platform_protocol::ConnectionId;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::yield_now;
use tokio::time::Instant;

/// The time within which all connections have had a turn, if each of them always has messages.
const MAX_ROUND: Duration = Duration::from_millis(200);
/// The longest turn of a connection. Long turns save little, because a turn ends with the bytes that were read.
const MAX_TURN: Duration = Duration::from_millis(1);

/// Returns the time after which a connection lets others have a turn. A turn takes at least one message.
pub(crate) fn turn_length(max_connections: usize) -> Duration {
    (MAX_ROUND / max_connections.max(1) as u32).min(MAX_TURN)
}

/// The reason for the end of reading.
#[derive(PartialEq)]
pub(crate) enum ReadEnd {
    /// The peer sends no more.
    Finished,
    /// The connection broke.
    Broken,
}

/// Reads and handles messages until the peer sends no more or the connection breaks.
pub(crate) async fn read_all(shared: &Shared, id: ConnectionId, reader: &OwnedReadHalf) -> ReadEnd {
    loop {
        let Ok(ready) = reader.ready(Interest::READABLE).await else { return ReadEnd::Broken };
        if ready.is_read_closed() && !shared.manager.borrow().counts_after_end(id) {
            return ReadEnd::Finished;
        }
        let allowance = shared.manager.borrow_mut().read_allowance(id);
        if allowance == 0 {
            shared.reading_resumed.notified().await;
            continue;
        }
        if let Err(end) = read_once(shared, id, reader, allowance) {
            return end;
        }
        let is_long = shared.manager.borrow().has_long_message(id);
        // Between two long messages, all other tasks have a turn.
        let _permit = if is_long { shared.long_messages.acquire().await.ok() } else { None };
        handle_messages(shared, id).await;
    }
}

/// Reads up to `allowance` bytes, if there are any.
///
/// # Errors
///
/// Returns the reason if the connection has no more bytes.
fn read_once(
    shared: &Shared,
    id: ConnectionId,
    reader: &OwnedReadHalf,
    allowance: usize,
) -> Result<(), ReadEnd> {
    let mut buffer = shared.read_buffer.borrow_mut();
    let length = allowance.min(buffer.len());
    match reader.try_read(&mut buffer[..length]) {
        Ok(0) => Err(ReadEnd::Finished),
        Ok(length) => {
            shared.call(|manager, now| manager.bytes_received(now, id, &buffer[..length]));
            Ok(())
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(()),
        Err(_) => Err(ReadEnd::Broken),
    }
}

/// Handles the complete messages of a connection. Lets the other tasks run after each turn, and before the next read.
async fn handle_messages(shared: &Shared, id: ConnectionId) {
    let mut turn_began = Instant::now();
    while shared.call(|manager, now| manager.handle_next_message(now, id)) {
        if turn_began.elapsed() >= shared.turn_length {
            yield_now().await;
            turn_began = Instant::now();
        }
    }
    yield_now().await;
}
