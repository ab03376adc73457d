//! Digests that identify a scope's history and content.

use serde::{Deserialize, Serialize};
use std::fmt;

const BYTES: usize = 16;

/// A BLAKE3 hash, truncated to 16 bytes: enough to make an accidental collision of two histories negligible.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Computes the digest of a value, which has to serialize to the same bytes on all nodes.
    // The digest is over the postcard bytes: a reordered field or variant of the value changes the digest.
    pub fn of<T: Serialize>(value: &T) -> Digest {
        let bytes = postcard::to_stdvec(value).expect("encoding into memory does not fail");
        let mut digest = [0; BYTES];
        digest.copy_from_slice(&blake3::hash(&bytes).as_bytes()[..BYTES]);
        Digest(digest)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
