//! A connection to a planner that sends and receives whole messages.

use serde_json::Value;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Encodes a message as a frame: the length in four bytes, most significant first, then the JSON text.
pub fn encode_frame(message: &Value) -> Vec<u8> {
    let body = message.to_string();
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}

/// Connection to a planner.
pub struct Connection {
    /// Socket of the connection, for tests that send or read other than whole messages.
    pub socket: TcpStream,
}

impl Connection {
    /// Connects to a planner.
    ///
    /// # Panics
    ///
    /// Panics if no process listens at the address.
    pub fn connect(planner: SocketAddr) -> Connection {
        Connection { socket: TcpStream::connect(planner).expect("a planner listens at the address") }
    }

    /// Sends one message. A failure is ignored: the next [`Connection::receive`] shows that the connection has ended.
    pub fn send(&mut self, message: &Value) {
        let _ = self.socket.write_all(&encode_frame(message));
    }

    /// Receives one message. Returns `None` if the connection has ended or its read timeout has passed.
    pub fn receive(&mut self) -> Option<Value> {
        let mut header = [0; 4];
        self.socket.read_exact(&mut header).ok()?;
        let mut body = vec![0; u32::from_be_bytes(header) as usize];
        self.socket.read_exact(&mut body).ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Sets how long one [`Connection::receive`] may wait.
    ///
    /// # Panics
    ///
    /// Panics if the limit is zero.
    pub fn set_read_timeout(&self, limit: Duration) {
        self.socket.set_read_timeout(Some(limit)).expect("the limit is above zero");
    }

    /// Returns true if the planner closes the connection or sends a refusal within the limit.
    ///
    /// # Panics
    ///
    /// Panics if the limit is zero.
    pub fn is_refused(&mut self, limit: Duration) -> bool {
        self.set_read_timeout(limit);
        let mut buffer = [0; 64];
        match self.socket.read(&mut buffer) {
            // The planner refuses by a NACK or by closing the connection, so both bytes and an end of stream count.
            Ok(length) => length <= buffer.len(),
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// Opens connections that send nothing, or half a message, and stay open. Returns fewer than `count` if the planner accepts
/// no more.
pub fn open_idle_connections(planner: SocketAddr, count: usize) -> Vec<TcpStream> {
    const HALF_A_MESSAGE: &[u8] = &[0, 0, 0, 50, b'{', b'"'];
    let open = |number: usize| {
        let mut socket = TcpStream::connect(planner).ok()?;
        let _ = socket.write_all(if number.is_multiple_of(2) { b"" } else { HALF_A_MESSAGE });
        Some(socket)
    };
    (0..count).filter_map(open).collect()
}
