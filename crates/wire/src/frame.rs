//! Decodes bytes, split anywhere, into messages.

use crate::decode_error::DecodeError;
use crate::message::{HEADER_BYTES, Message};

/// A buffer of the received bytes of one peer, and the decoder of their messages. If all messages are taken after each
/// [`FrameDecoder::push`], the buffer holds at most one incomplete frame.
pub struct FrameDecoder {
    bytes: Vec<u8>,
    decoded: usize,
    max_body_bytes: usize,
}

impl FrameDecoder {
    /// Creates a decoder for frames with bodies of at most `max_body_bytes`.
    pub fn new(max_body_bytes: usize) -> Self {
        FrameDecoder { bytes: Vec::new(), decoded: 0, max_body_bytes }
    }

    /// Sets the limit for all further frames: a peer that has joined may send longer ones.
    pub fn set_max_body_bytes(&mut self, max_body_bytes: usize) {
        self.max_body_bytes = max_body_bytes;
    }

    /// Appends received bytes, split anywhere.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.decoded);
        self.decoded = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next complete message; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns the reason if the bytes are malformed. The decoder cannot continue then, and the stream has to be closed. A
    /// frame over the limit is detected by its first four bytes, before its body is buffered.
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

    /// Returns the number of buffered bytes that are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.bytes.len() - self.decoded
    }
}
