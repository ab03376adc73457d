//! Proof that a peer holds the fleet's key, bound to the nonces of both sides so that none can be replayed.

use std::fmt;

/// Domain of the key derivation. Stored: do not rename.
const KEY_CONTEXT: &str = "grebespool 2026 fleet key";

/// Domain of the dialing side's proofs. On the wire: do not rename.
const DIALER_DOMAIN: &str = "peer";

/// Domain of the listening side's proofs. On the wire: do not rename.
const LISTENER_DOMAIN: &str = "planner";

/// Random bytes that a peer uses for one handshake only.
pub type Nonce = [u8; 16];

/// The key that all processes of one fleet share.
#[derive(Clone)]
pub struct FleetKey([u8; 32]);

/// What a peer shows for the key in one handshake.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Proof(pub [u8; 32]);

/// What one handshake was about; both proofs of it are bound to all of this.
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
    /// The zone of the dialing side, by name; empty where it has none.
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
    /// Derives the key from the bytes of its file.
    pub fn derive(bytes: &[u8]) -> FleetKey {
        FleetKey(blake3::derive_key(KEY_CONTEXT, bytes))
    }

    /// What the dialing side shows in its join.
    pub fn dialer_proof(&self, transcript: &Transcript) -> Proof {
        self.proof(DIALER_DOMAIN, transcript)
    }

    /// What the listening side shows in its welcome.
    pub fn listener_proof(&self, transcript: &Transcript) -> Proof {
        self.proof(LISTENER_DOMAIN, transcript)
    }

    fn proof(&self, domain: &str, transcript: &Transcript) -> Proof {
        // On the wire: the order and the lengths before the parts stay as they are.
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
    /// Whether both are the same, in a time that does not depend on where they differ.
    pub fn matches(&self, expected: &Proof) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(expected.0)
    }
}
