//! Frames: a four-byte length, most significant byte first, and a body of that many bytes.

use serde_json::Value;
use thiserror::Error;

/// Bytes of the length before each body.
const HEADER_LENGTH: usize = 4;

/// Bytes that cannot be frames. The next frame's start cannot be found after them, so the connection is unusable.
///
/// The texts go to the peer in a refusal. On the wire: do not rename.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The announced length exceeds the limit of the connection.
    #[error("a message of {length} bytes; at most {limit} are possible here")]
    TooLong {
        /// The announced length in bytes.
        length: usize,
        /// The longest body accepted, in bytes.
        limit: usize,
    },
    /// The announced length is zero.
    #[error("a message of no bytes")]
    Empty,
    /// The body does not begin with a JSON object.
    #[error("a message that begins with byte {0:#04x} and not with an object")]
    NotAnObject(u8),
}

/// Splits the byte stream of one connection into frames.
///
/// It allocates memory only for bytes that were received, whatever length a frame announces.
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Bytes at the start of `buffer` that were handed out already.
    consumed: usize,
    body_limit: usize,
}

impl FrameDecoder {
    /// A decoder that accepts bodies of up to `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        FrameDecoder { buffer: vec![], consumed: 0, body_limit }
    }

    /// Accepts bodies of up to this many bytes from now on.
    pub fn set_body_limit(&mut self, body_limit: usize) {
        self.body_limit = body_limit;
    }

    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The body of the next complete frame, if there is one.
    ///
    /// # Errors
    ///
    /// The bytes cannot be frames; told as early as they show it.
    pub fn next_body(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let unread = &self.buffer[self.consumed..];
        let Some(header) = unread.first_chunk::<HEADER_LENGTH>() else {
            self.check_partial_header()?;
            return Ok(self.incomplete());
        };
        let length = u32::from_be_bytes(*header) as usize;
        self.check_length(length)?;
        check_first_byte(unread.get(HEADER_LENGTH).copied())?;
        if unread.len() < HEADER_LENGTH + length {
            return Ok(self.incomplete());
        }
        let start = self.consumed + HEADER_LENGTH;
        self.consumed = start + length;
        Ok(Some(&self.buffer[start..start + length]))
    }

    /// Whether part of a frame was received without the rest.
    pub fn has_partial_frame(&self) -> bool {
        self.buffer.len() > self.consumed
    }

    /// The most significant byte of a length may exceed the limit by itself.
    fn check_partial_header(&self) -> Result<(), FrameError> {
        match self.buffer.get(self.consumed) {
            Some(first) => self.check_maximum(usize::from(*first) << 24),
            None => Ok(()),
        }
    }

    fn check_length(&self, length: usize) -> Result<(), FrameError> {
        if length == 0 {
            return Err(FrameError::Empty);
        }
        self.check_maximum(length)
    }

    fn check_maximum(&self, length: usize) -> Result<(), FrameError> {
        if length > self.body_limit {
            return Err(FrameError::TooLong { length, limit: self.body_limit });
        }
        Ok(())
    }

    /// Releases the buffer of a connection without unread bytes: hundreds of them may be idle.
    fn incomplete(&mut self) -> Option<&[u8]> {
        if !self.has_partial_frame() {
            (self.buffer, self.consumed) = (vec![], 0);
        }
        None
    }
}

/// A plausible length before other bytes would otherwise hold the connection until that many have come.
fn check_first_byte(first: Option<u8>) -> Result<(), FrameError> {
    match first {
        None | Some(b'{' | b' ' | b'\t' | b'\r' | b'\n') => Ok(()),
        Some(other) => Err(FrameError::NotAnObject(other)),
    }
}

/// Encodes one JSON object as a frame.
pub(crate) fn encode_frame(object: &Value) -> Vec<u8> {
    let body = object.to_string();
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}
