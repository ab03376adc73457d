//! Chunked transfer of bytes that are too large for one message. The receiver requests one chunk at a time, so that a
//! transfer never delays lease renewals on a slow link, and requests a lost chunk again.

use crate::message::{Chunk, Message};
use crate::version::{ContentHash, MAX_VERSION_BYTES};

/// Size of a chunk, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// A transfer that this member receives.
#[derive(Debug, Clone)]
pub(crate) struct Download {
    pub hash: ContentHash,
    bytes: Vec<u8>,
    next_index: u32,
}

impl Download {
    /// Creates a download that starts with the first chunk.
    pub(crate) fn new(hash: ContentHash) -> Download {
        Download { hash, bytes: vec![], next_index: 0 }
    }

    /// Returns the request for the next chunk.
    pub(crate) fn request(&self) -> Message {
        Message::FetchChunk { hash: self.hash, index: self.next_index }
    }

    /// Adds a chunk, and returns all bytes after the last one. Ignores a chunk out of order, which was requested twice.
    pub(crate) fn receive(&mut self, chunk: &Chunk) -> Option<Vec<u8>> {
        let max_count = MAX_VERSION_BYTES.div_ceil(CHUNK_BYTES) as u32;
        let expected = chunk.index == self.next_index && chunk.index < chunk.count;
        if !expected || chunk.count > max_count || chunk.bytes.len() > CHUNK_BYTES {
            return None;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        self.next_index += 1;
        if self.next_index < chunk.count {
            return None;
        }
        self.next_index = 0;
        Some(std::mem::take(&mut self.bytes))
    }
}

/// Returns the message with the chunk at `index` of these bytes, or `None` if the index is past the end.
pub(crate) fn chunk_of(hash: ContentHash, bytes: &[u8], index: u32) -> Option<Message> {
    let count = bytes.len().div_ceil(CHUNK_BYTES).max(1) as u32;
    let start = index as usize * CHUNK_BYTES;
    let part = bytes.get(start..bytes.len().min(start + CHUNK_BYTES))?;
    Some(Message::Chunk(Chunk { hash, index, count, bytes: part.to_vec() }))
}
