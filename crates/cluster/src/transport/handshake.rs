//! The first bytes of a stream, in which both sides identify themselves, and the keys that are derived from these bytes.

use super::error::TransportError;
use super::identity::{Identity, PROTOCOL_VERSION};
use crate::keys::Keys;
use grebespool_leader_election::MemberId;
use rand::RngCore;
use tokio::io::{AsyncRead, AsyncReadExt};

// The hello is on the wire, and the session keys are derived from the names of the sides: do not change these.
const MAGIC: &[u8; 4] = b"GBMB";
const CONNECTING: &str = "dialler";
const ACCEPTING: &str = "listener";
const HELLO_BYTES: usize = 4 + 2 + 8 + 8 + 8 + 16;

/// A side of a stream.
#[derive(Debug, Clone, Copy)]
pub(super) enum Side {
    /// The side that opened the connection.
    Connecting,
    /// The side that accepted the connection.
    Accepting,
}

/// The first bytes that each side sends.
pub(super) struct Hello {
    version: u16,
    fleet: u64,
    pub id: MemberId,
    pub key_id: [u8; 8],
    nonce: [u8; 16],
}

impl Hello {
    pub(super) fn new(own: Identity, key: &[u8; 32]) -> Hello {
        let mut nonce = [0; 16];
        rand::rng().fill_bytes(&mut nonce);
        Hello { version: PROTOCOL_VERSION, fleet: own.fleet, id: own.id, key_id: Keys::id_of(key), nonce }
    }

    pub(super) fn encode(&self) -> [u8; HELLO_BYTES] {
        let mut bytes = [0; HELLO_BYTES];
        bytes[..4].copy_from_slice(MAGIC);
        bytes[4..6].copy_from_slice(&self.version.to_be_bytes());
        bytes[6..14].copy_from_slice(&self.fleet.to_be_bytes());
        bytes[14..22].copy_from_slice(&self.id.to_be_bytes());
        bytes[22..30].copy_from_slice(&self.key_id);
        bytes[30..].copy_from_slice(&self.nonce);
        bytes
    }

    pub(super) async fn read(from: &mut (impl AsyncRead + Unpin)) -> Result<Hello, TransportError> {
        let mut bytes = [0; HELLO_BYTES];
        from.read_exact(&mut bytes).await?;
        if !bytes.starts_with(MAGIC) {
            return Err(TransportError::NotAMember);
        }
        let eight_at = |at: usize| bytes[at..at + 8].first_chunk::<8>().copied().unwrap_or_default();
        let mut nonce = [0; 16];
        nonce.copy_from_slice(&bytes[30..]);
        Ok(Hello {
            version: u16::from_be_bytes([bytes[4], bytes[5]]),
            fleet: u64::from_be_bytes(eight_at(6)),
            id: u64::from_be_bytes(eight_at(14)),
            key_id: eight_at(22),
            nonce,
        })
    }

    /// Returns an error if the other side has another version or fleet, or this member's own id.
    pub(super) fn check(&self, own: Identity) -> Result<(), TransportError> {
        if self.version != PROTOCOL_VERSION {
            return Err(TransportError::OtherVersion(self.version));
        }
        if self.fleet != own.fleet {
            return Err(TransportError::OtherFleet { theirs: self.fleet, own: own.fleet });
        }
        if self.id == own.id {
            return Err(TransportError::OwnId);
        }
        Ok(())
    }
}

/// Returns the key of the frames that one side sends on a stream.
pub(super) fn session_key(key: &[u8; 32], side: Side, connecting: &Hello, accepting: &Hello) -> [u8; 32] {
    let side = match side {
        Side::Connecting => CONNECTING,
        Side::Accepting => ACCEPTING,
    };
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(side.as_bytes()).update(&connecting.encode()).update(&accepting.encode());
    *hasher.finalize().as_bytes()
}
