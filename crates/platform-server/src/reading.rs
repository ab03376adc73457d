//! Reads the messages of one connection, within the memory for received bytes.

use crate::shared::Shared;
use grebespool_platform_protocol::ConnectionId;
use std::io::ErrorKind;
use tokio::net::tcp::OwnedReadHalf;

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
        if reader.readable().await.is_err() {
            return ReadEnd::Broken;
        }
        let allowance = shared.manager.borrow_mut().read_allowance(id);
        if allowance == 0 {
            shared.reading_resumed.notified().await;
            continue;
        }
        if let Err(end) = read_once(shared, id, reader, allowance) {
            return end;
        }
        while shared.call(|manager, now| manager.handle_next_message(now, id)) {}
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
