//! One connection to a planner, message by message.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub fn frame(message: &Value) -> Vec<u8> {
    let body = message.to_string();
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}

/// One connection, messages in and out.
pub struct Conn(pub TcpStream);

impl Conn {
    pub fn say(&mut self, message: &Value) {
        let _ = self.0.write_all(&frame(message));
    }

    pub fn dial(to: SocketAddr) -> Conn {
        Conn(TcpStream::connect(to).unwrap())
    }

    pub fn hear(&mut self) -> Option<Value> {
        let mut head = [0; 4];
        self.0.read_exact(&mut head).ok()?;
        let mut body = vec![0; u32::from_be_bytes(head) as usize];
        self.0.read_exact(&mut body).ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Whether it is closed, or told that it may not stay, within the limit.
    pub fn turned_away(&mut self, limit: Duration) -> bool {
        self.0.set_read_timeout(Some(limit)).unwrap();
        let mut byte = [0; 64];
        match self.0.read(&mut byte) {
            // A word or an end: either is an answer.
            Ok(bytes) => bytes <= byte.len(),
            Err(e) => !matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
        }
    }
}
