//! Bytes, split anywhere, into messages.

use crate::decode_error::DecodeError;
use crate::message::{HEADER_BYTES, Message};

/// Bytes that have come from one peer and are not decoded yet. Holds at most one frame and what came with it.
pub struct FrameDecoder {
    bytes: Vec<u8>,
    decoded: usize,
    max_body_bytes: usize,
}

impl FrameDecoder {
    /// A decoder for frames whose body has at most `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> Self {
        FrameDecoder { bytes: Vec::new(), decoded: 0, max_body_bytes }
    }

    /// Allows longer or shorter frames from now on: a peer that has joined may send longer ones.
    pub fn set_max_body_bytes(&mut self, max_body_bytes: usize) {
        self.max_body_bytes = max_body_bytes;
    }

    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.decoded);
        self.decoded = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message; `None` until more bytes have come.
    ///
    /// # Errors
    ///
    /// What is malformed stays so: the stream cannot be read on and is to be closed. A frame over the limit
    /// is known by its first four bytes, before any of its body is kept.
    pub fn next_message(&mut self) -> Result<Option<Message>, DecodeError> {
        let rest = &self.bytes[self.decoded..];
        let Some(header) = rest.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*header) as usize;
        if length > self.max_body_bytes {
            return Err(DecodeError::FrameTooLong { length, limit: self.max_body_bytes });
        }
        let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else {
            return Ok(None);
        };
        let message = Message::decode(body)?;
        self.decoded += HEADER_BYTES + length;
        Ok(Some(message))
    }

    /// Bytes of a frame that has begun and is not whole.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.decoded
    }
}
