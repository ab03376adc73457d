//! Bytes that are too large for one word, asked for part by part: whoever asks sets the pace, so that they never hold up
//! renewals on a slow way, and a part that is lost is asked for again.

use crate::edition::{Hash, MOST_BYTES};
use crate::word::Word;

const PART: usize = 64 << 10;

/// What is on its way.
#[derive(Debug, Clone)]
pub(crate) struct Fetch {
    pub hash: Hash,
    bytes: Vec<u8>,
    next: u32,
}

impl Fetch {
    pub fn new(hash: Hash) -> Fetch {
        Fetch { hash, bytes: vec![], next: 0 }
    }

    pub fn ask(&self) -> Word {
        Word::Want { hash: self.hash, part: self.next }
    }

    /// All of it, once the last part has come. What came out of its turn was asked for twice.
    pub fn part(&mut self, part: u32, parts: u32, bytes: &[u8]) -> Option<Vec<u8>> {
        let most = MOST_BYTES.div_ceil(PART) as u32;
        if part != self.next || parts > most || part >= parts || bytes.len() > PART {
            return None;
        }
        self.bytes.extend_from_slice(bytes);
        self.next += 1;
        if self.next < parts {
            return None;
        }
        self.next = 0;
        Some(std::mem::take(&mut self.bytes))
    }
}

/// The part of these bytes that was asked for.
pub(crate) fn part(hash: Hash, bytes: &[u8], part: u32) -> Option<Word> {
    let parts = bytes.len().div_ceil(PART).max(1) as u32;
    let from = part as usize * PART;
    let piece = bytes.get(from..bytes.len().min(from + PART))?;
    Some(Word::Part { hash, part, parts, bytes: piece.to_vec() })
}
