//! Proofs that a peer holds the fleet's key. A proof is bound to the nonces of both sides, so that it cannot be replayed.

use std::fmt;

/// Domain of the key derivation. Changing this text changes all keys: do not reword.
const KEY_CONTEXT: &str = "grebespool 2026 fleet key";

/// Domain of the dialing side's proofs, hashed into each of them: do not reword.
const DIALER_DOMAIN: &str = "peer";

/// Domain of the listening side's proofs, hashed into each of them: do not reword.
const LISTENER_DOMAIN: &str = "planner";

/// The random bytes that a peer uses in exactly one handshake.
pub type Nonce = [u8; 16];

/// The key that all processes of one fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

/// A peer's proof in one handshake that it holds the fleet's key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Proof(pub [u8; 32]);

/// The values of one handshake that both of its proofs are bound to.
#[derive(Debug, Clone, Copy)]
pub struct Transcript<'a> {
    /// The nonce of the dialing side.
    pub dialer_nonce: &'a Nonce,
    /// The nonce of the listening side.
    pub listener_nonce: &'a Nonce,
    /// The incarnation of the listening side.
    pub incarnation: u64,
    /// The name of the dialing side.
    pub name: &'a str,
    /// The name of the dialing side's zone; empty if it has none.
    pub zone: &'a str,
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl fmt::Debug for Proof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Proof(..)")
    }
}

impl FleetKey {
    /// Derives the key from the bytes of the key file.
    pub fn derive(bytes: &[u8]) -> FleetKey {
        FleetKey(blake3::derive_key(KEY_CONTEXT, bytes))
    }

    /// Returns the proof that the dialing side sends in its [`crate::Join`].
    pub fn dialer_proof(&self, transcript: &Transcript) -> Proof {
        self.proof(DIALER_DOMAIN, transcript)
    }

    /// Returns the proof that the listening side sends in its [`crate::Welcome`].
    pub fn listener_proof(&self, transcript: &Transcript) -> Proof {
        self.proof(LISTENER_DOMAIN, transcript)
    }

    fn proof(&self, domain: &str, transcript: &Transcript) -> Proof {
        // Peers compute the same hash: the order of the parts and the length before each part must not change.
        let parts: [&[u8]; 6] = [
            domain.as_bytes(),
            transcript.dialer_nonce,
            transcript.listener_nonce,
            &transcript.incarnation.to_be_bytes(),
            transcript.name.as_bytes(),
            transcript.zone.as_bytes(),
        ];
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes()).update(part);
        }
        Proof(*hasher.finalize().as_bytes())
    }
}

impl Proof {
    /// Returns true if both proofs are equal, in a time that does not depend on where they differ.
    pub fn matches(&self, expected: &Proof) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(expected.0)
    }
}
