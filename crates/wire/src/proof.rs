//! Proof that a peer holds the shared key, bound to both sides' nonces so that none can be played again.

use std::fmt;

/// The key that all of one fleet share.
#[derive(Clone)]
pub struct Key([u8; 32]);

/// What a peer shows for the key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Proof(pub [u8; 32]);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl fmt::Debug for Proof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Proof(..)")
    }
}

impl Key {
    /// A key from the bytes of its file.
    pub fn derive(bytes: &[u8]) -> Key {
        Key(blake3::derive_key("grebespool 2026 fleet key", bytes))
    }

    fn over(&self, side: &str, nonces: [&[u8; 16]; 2], start: u64, who: [&str; 2]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in [side.as_bytes(), nonces[0], nonces[1], &start.to_be_bytes()] {
            hasher.update(&(part.len() as u64).to_be_bytes()).update(part);
        }
        for part in who {
            hasher.update(&(part.len() as u64).to_be_bytes()).update(part.as_bytes());
        }
        hasher.finalize()
    }

    /// What a peer of that name and zone shows to the planner of that start. `nonces`: the peer's, then the
    /// planner's.
    pub fn peer(&self, nonces: [&[u8; 16]; 2], start: u64, name: &str, zone: &str) -> Proof {
        Proof(*self.over("peer", nonces, start, [name, zone]).as_bytes())
    }

    /// What the planner shows to that peer in return.
    pub fn planner(&self, nonces: [&[u8; 16]; 2], start: u64, name: &str, zone: &str) -> Proof {
        Proof(*self.over("planner", nonces, start, [name, zone]).as_bytes())
    }
}

impl Proof {
    /// Whether both are the same, in a time that does not depend on where they differ.
    pub fn holds(&self, expected: &Proof) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(expected.0)
    }
}
