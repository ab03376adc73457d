//! Frames: a length of four bytes, most significant first, and so many bytes.

use thiserror::Error;

/// What comes cannot be frames. Nothing after it can be found again, so the connection is of no use.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotFrames {
    #[error("a message of {length} bytes; at most {most} are possible here")]
    Long { length: usize, most: usize },
    #[error("a message of no bytes")]
    Empty,
    #[error("a message that begins with byte {0:#04x} and not with an object")]
    Start(u8),
}

/// The bytes of one connection that are not taken yet. A length claims no memory before its bytes have come.
pub struct Frames {
    bytes: Vec<u8>,
    taken: usize,
    most: usize,
}

impl Frames {
    pub fn new(most: usize) -> Self {
        Frames { bytes: vec![], taken: 0, most }
    }

    /// Messages may be as long as this from now on.
    pub fn allow(&mut self, most: usize) {
        self.most = most;
    }

    pub fn take(&mut self, bytes: &[u8]) {
        if self.taken > 0 {
            self.bytes.drain(..self.taken);
            self.taken = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message's body.
    ///
    /// # Errors
    ///
    /// What comes cannot be frames, as soon as that shows.
    pub fn body(&mut self) -> Result<Option<&[u8]>, NotFrames> {
        let rest = &self.bytes[self.taken..];
        let Some(head) = rest.first_chunk::<4>() else {
            // A long message's first byte tells already.
            return match rest.first() {
                Some(first) if usize::from(*first) << 24 > self.most => {
                    Err(NotFrames::Long { length: usize::from(*first) << 24, most: self.most })
                }
                _ => Ok(self.nothing()),
            };
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length == 0 {
            return Err(NotFrames::Empty);
        }
        if length > self.most {
            return Err(NotFrames::Long { length, most: self.most });
        }
        // Else a plausible length before what is no message would hold the connection until it is filled.
        if let Some(first) = rest.get(4).filter(|b| !matches!(b, b'{' | b' ' | b'\t' | b'\r' | b'\n')) {
            return Err(NotFrames::Start(*first));
        }
        if rest.len() < 4 + length {
            return Ok(self.nothing());
        }
        let from = self.taken + 4;
        self.taken = from + length;
        Ok(Some(&self.bytes[from..from + length]))
    }

    /// Part of a message is there, the rest is not.
    pub fn half(&self) -> bool {
        self.bytes.len() > self.taken
    }

    /// Against memory held by hundreds of connections after one long message each.
    fn nothing(&mut self) -> Option<&[u8]> {
        if self.taken == self.bytes.len() {
            (self.bytes, self.taken) = (vec![], 0);
        }
        None
    }
}
