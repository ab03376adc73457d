//! Frames: a four-byte length, most significant byte first, followed by a body of that length.

use serde_json::Value;
use thiserror::Error;

/// The reason why received bytes are not frames. The start of the next frame cannot be found after them, so the
/// connection is unusable.
///
/// The texts are sent to the peer in a NACK. On the wire: do not change.
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

/// A frame whose length is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FrameInProgress {
    /// The length of the frame in bytes, with its length field.
    pub length: usize,
    /// The number of bytes that were not received yet.
    pub missing: usize,
}

/// A decoder that splits the byte stream of one connection into frames.
///
/// The decoder allocates memory only for received bytes, not for the length that a frame announces.
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// The number of bytes at the start of `buffer` that were already returned.
    consumed: usize,
    body_limit: usize,
}

impl FrameDecoder {
    /// The size in bytes of the length field before each body.
    pub const HEADER_LENGTH: usize = 4;

    /// Creates a decoder that accepts bodies of up to `body_limit` bytes.
    pub fn new(body_limit: usize) -> Self {
        FrameDecoder { buffer: vec![], consumed: 0, body_limit }
    }

    /// Sets the longest accepted body, in bytes, for the following frames.
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

    /// Returns the body of the next complete frame, if one was received.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not frames, as soon as the received bytes show this.
    pub fn next_body(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let unread = &self.buffer[self.consumed..];
        let Some(header) = unread.first_chunk::<{ Self::HEADER_LENGTH }>() else {
            self.check_partial_header()?;
            return Ok(self.incomplete());
        };
        let length = u32::from_be_bytes(*header) as usize;
        self.check_length(length)?;
        check_first_byte(unread.get(Self::HEADER_LENGTH).copied())?;
        if unread.len() < Self::HEADER_LENGTH + length {
            return Ok(self.incomplete());
        }
        let start = self.consumed + Self::HEADER_LENGTH;
        self.consumed = start + length;
        Ok(Some(&self.buffer[start..start + length]))
    }

    /// Returns the number of bytes that the frame in progress still lacks and its whole length, if its length is known.
    pub fn frame_in_progress(&self) -> Option<FrameInProgress> {
        let unread = &self.buffer[self.consumed..];
        let header = unread.first_chunk::<{ Self::HEADER_LENGTH }>()?;
        let length = Self::HEADER_LENGTH + u32::from_be_bytes(*header) as usize;
        Some(FrameInProgress { length, missing: length.saturating_sub(unread.len()) })
    }

    /// Allocates memory for `bytes` further bytes at once, so that a long frame takes no more than its length.
    pub fn reserve(&mut self, bytes: usize) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.reserve_exact(bytes);
    }

    /// Returns the number of bytes of memory that the decoder holds.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns true if part of a frame was received without the rest.
    pub fn has_partial_frame(&self) -> bool {
        self.buffer.len() > self.consumed
    }

    /// Checks the first byte of an incomplete header: the most significant byte of a length alone can exceed the limit.
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

    /// Returns `None`, and releases the buffer if it holds no unread bytes: hundreds of connections may be idle.
    fn incomplete(&mut self) -> Option<&[u8]> {
        if !self.has_partial_frame() {
            (self.buffer, self.consumed) = (vec![], 0);
        }
        None
    }
}

/// Checks that a body can begin with this byte. Without this check, bytes that are not frames but start with a
/// plausible length would keep the connection open until that many bytes were received.
fn check_first_byte(first: Option<u8>) -> Result<(), FrameError> {
    match first {
        None | Some(b'{' | b' ' | b'\t' | b'\r' | b'\n') => Ok(()),
        Some(other) => Err(FrameError::NotAnObject(other)),
    }
}

/// Encodes one JSON object as a frame. `serde_json` writes the fields in alphabetical order; the recorded fixtures
/// compare these bytes.
pub(crate) fn encode_frame(object: &Value) -> Vec<u8> {
    let body = object.to_string();
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}
