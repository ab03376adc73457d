//! One connection to a planner, message by message.

use serde_json::Value;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Encodes a message as a frame: the length in four bytes, most significant first, and the JSON text.
pub fn encode_frame(message: &Value) -> Vec<u8> {
    let body = message.to_string();
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}

/// One connection to a planner.
pub struct Connection {
    /// Its socket, for what goes beyond whole messages.
    pub socket: TcpStream,
}

impl Connection {
    /// Connects to a planner.
    ///
    /// # Panics
    ///
    /// Nobody listens there.
    pub fn connect(planner: SocketAddr) -> Connection {
        Connection { socket: TcpStream::connect(planner).expect("a planner listens") }
    }

    /// Sends one message. A connection that has ended takes none, which shows at the next [`Connection::receive`].
    pub fn send(&mut self, message: &Value) {
        let _ = self.socket.write_all(&encode_frame(message));
    }

    /// Receives one message; none once the connection has ended or its read timeout has passed.
    pub fn receive(&mut self) -> Option<Value> {
        let mut header = [0; 4];
        self.socket.read_exact(&mut header).ok()?;
        let mut body = vec![0; u32::from_be_bytes(header) as usize];
        self.socket.read_exact(&mut body).ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Limits how long one [`Connection::receive`] may wait.
    ///
    /// # Panics
    ///
    /// The limit is zero.
    pub fn set_read_timeout(&self, limit: Duration) {
        self.socket.set_read_timeout(Some(limit)).expect("a limit above zero");
    }

    /// Whether it is closed, or a refusal came, within the limit.
    ///
    /// # Panics
    ///
    /// The limit is zero.
    pub fn is_refused(&mut self, limit: Duration) -> bool {
        self.set_read_timeout(limit);
        let mut buffer = [0; 64];
        match self.socket.read(&mut buffer) {
            // Bytes or an end: either is an answer.
            Ok(length) => length <= buffer.len(),
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        }
    }
}

/// Opens connections that send nothing, or half a message, and stay open. Fewer where the planner takes no more.
pub fn open_idle_connections(planner: SocketAddr, count: usize) -> Vec<TcpStream> {
    const HALF_A_MESSAGE: &[u8] = &[0, 0, 0, 50, b'{', b'"'];
    let open = |number: usize| {
        let mut socket = TcpStream::connect(planner).ok()?;
        let _ = socket.write_all(if number.is_multiple_of(2) { b"" } else { HALF_A_MESSAGE });
        Some(socket)
    };
    (0..count).filter_map(open).collect()
}
