//! Bytes, split anywhere, into messages.

use crate::bytes::Malformed;
use crate::message::Message;

/// What has come from one peer and is not read yet. Holds at most one frame and what came with it.
pub struct Inbox {
    bytes: Vec<u8>,
    read: usize,
    limit: usize,
}

impl Inbox {
    /// `limit`: the most bytes that a frame's body may have.
    pub fn new(limit: usize) -> Self {
        Inbox { bytes: Vec::new(), read: 0, limit }
    }

    /// A peer that has joined may send longer frames.
    pub fn allow(&mut self, limit: usize) {
        self.limit = limit;
    }

    pub fn take(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message; `None` until more bytes have come.
    ///
    /// # Errors
    ///
    /// What is malformed stays so: the stream cannot be read on and is to be closed. A frame over the limit
    /// is known by its first four bytes, before any of its body is kept.
    pub fn message(&mut self) -> Result<Option<Message>, Malformed> {
        let rest = &self.bytes[self.read..];
        let Some(length) = rest.first_chunk::<4>().map(|l| u32::from_be_bytes(*l) as usize) else {
            return Ok(None);
        };
        if length > self.limit {
            return Err(Malformed::Oversized { length, limit: self.limit });
        }
        let Some(body) = rest.get(4..4 + length) else {
            return Ok(None);
        };
        let message = Message::read(body)?;
        self.read += 4 + length;
        Ok(Some(message))
    }

    /// Bytes of a frame that has begun and is not whole.
    pub fn pending(&self) -> usize {
        self.bytes.len() - self.read
    }
}
