//! The snapshot that the next leader starts from: taken by the leader, replicated to all members.

use grebespool_wire::ServerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The most bytes of an encoded snapshot; a larger one is neither sent nor read.
pub const MAX_SNAPSHOT_BYTES: usize = 8 << 20;

// Stored: the version is the first two bytes, big-endian, and a change of the layout has to change it.
const FORMAT_VERSION: u16 = 2;
const VERSION_BYTES: usize = 2;
const CHECKSUM_BYTES: usize = 16;

/// The shortest time over which weights fade, in seconds.
const MIN_WEIGHT_LIFETIME_SECONDS: f64 = 0.001;

/// The phase of an endpoint.
// Stored by the order of variants: do not reorder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    /// It takes requests.
    Ready,
    /// It finishes its requests and takes no new ones.
    Draining,
}

/// A server as the newest endpoint list has it.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its address.
    pub addr: SocketAddr,
    /// Which of the servers that have had this address.
    pub number: u32,
    /// Its zone.
    pub zone: String,
    /// Its phase.
    pub phase: EndpointPhase,
    /// When it was started, in milliseconds of the list's clock.
    pub started_ms: u64,
}

impl EndpointRecord {
    /// The server that this is.
    pub fn server(&self) -> ServerId {
        ServerId { addr: self.addr, number: self.number }
    }
}

/// A server's learned weight, as a multiple of its pool's mean.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LearnedWeight {
    /// The server's address.
    pub addr: SocketAddr,
    /// Which of the servers that have had this address.
    pub number: u32,
    /// The weight; 1 is the mean.
    pub weight: f32,
}

/// A server that is draining.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownDrain {
    /// The server's address.
    pub addr: SocketAddr,
    /// Which of the servers that have had this address.
    pub number: u32,
    /// For how long the leader had known of the drain when the snapshot was taken, in milliseconds.
    pub known_for_ms: u64,
}

/// The newest orders that a proxy acknowledged.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedOrders {
    /// The proxy's name.
    pub proxy: String,
    /// The sequence number of the orders.
    pub sequence: u64,
}

/// An endpoint by its index in the snapshot's list.
pub type EndpointIndex = u32;

/// A pool of servers.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// The zone of its proxies.
    pub zone: String,
    /// Its servers.
    pub endpoints: Vec<EndpointIndex>,
}

/// Which pool a proxy is bound to.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyBinding {
    /// The proxy's name.
    pub proxy: String,
    /// The pool's index in the snapshot.
    pub pool: u32,
}

/// What a leader knew.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The term of the leader that took it.
    pub term: u64,
    /// Its number among those of that term.
    pub number: u64,
    /// The version of the endpoint list; 0 if there is none.
    pub list_version: u64,
    /// When that list was sent, in milliseconds of its sender's clock; 0 if unknown.
    pub list_ms: u64,
    /// The endpoint list.
    pub endpoints: Vec<EndpointRecord>,
    /// The learned weights.
    pub weights: Vec<LearnedWeight>,
    /// The servers that are draining.
    pub drains: Vec<KnownDrain>,
    /// What the proxies acknowledged.
    pub applied_orders: Vec<AppliedOrders>,
    /// The pools.
    pub pools: Vec<PoolRecord>,
    /// The pool of each proxy.
    pub bindings: Vec<ProxyBinding>,
}

/// Why bytes are no snapshot.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// It has this many bytes, more than [`MAX_SNAPSHOT_BYTES`].
    #[error("it has {0} bytes, more than {MAX_SNAPSHOT_BYTES}")]
    TooLarge(usize),
    /// It ends after this many bytes.
    #[error("it is cut off after {0} bytes")]
    Truncated(usize),
    /// It is of another version.
    #[error("it has version {0}; this program reads version {FORMAT_VERSION}")]
    UnsupportedVersion(u16),
    /// Its checksum does not fit its content.
    #[error("its checksum is wrong")]
    ChecksumMismatch,
    /// Its checksum fits, and its content is no snapshot.
    #[error("its checksum is right and its content cannot be read")]
    Malformed,
}

impl Snapshot {
    /// Encodes the snapshot, with its format version before and a checksum after it.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::TooLarge`].
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let version = FORMAT_VERSION.to_be_bytes().to_vec();
        let mut bytes = postcard::to_extend(self, version).expect("a growing buffer takes every snapshot");
        let checksum = blake3::hash(&bytes);
        bytes.extend_from_slice(&checksum.as_bytes()[..CHECKSUM_BYTES]);
        if bytes.len() > MAX_SNAPSHOT_BYTES { Err(SnapshotError::TooLarge(bytes.len())) } else { Ok(bytes) }
    }

    /// Decodes a whole snapshot.
    ///
    /// # Errors
    ///
    /// A [`SnapshotError`] that says what is wrong with the bytes.
    pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(SnapshotError::TooLarge(bytes.len()));
        }
        if bytes.len() < VERSION_BYTES + CHECKSUM_BYTES {
            return Err(SnapshotError::Truncated(bytes.len()));
        }
        let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if blake3::hash(content).as_bytes()[..CHECKSUM_BYTES] != *checksum {
            return Err(SnapshotError::ChecksumMismatch);
        }
        let version = u16::from_be_bytes([content[0], content[1]]);
        if version != FORMAT_VERSION {
            return Err(SnapshotError::UnsupportedVersion(version));
        }
        postcard::from_bytes(&content[VERSION_BYTES..]).map_err(|_| SnapshotError::Malformed)
    }

    /// Orders the snapshots of a fleet: by the leader's term, then by number.
    pub fn order(&self) -> (u64, u64) {
        (self.term, self.number)
    }

    /// What may still be taken as true after `age`.
    ///
    /// Drains stay: a server that drained is gone or still draining. The endpoint list stays until a newer one can be
    /// had. Weights fade towards the mean and are dropped at `weight_lifetime`; so is what the proxies had in force,
    /// since they may have received other orders.
    #[must_use]
    pub fn aged(&self, age: Duration, weight_lifetime: Duration) -> Snapshot {
        let age_ms = age.as_millis() as u64;
        let mut snapshot = self.clone();
        snapshot.weights = self.faded_weights(age, weight_lifetime);
        if snapshot.list_ms > 0 {
            snapshot.list_ms += age_ms;
        }
        for drain in &mut snapshot.drains {
            drain.known_for_ms += age_ms;
        }
        if age > weight_lifetime {
            snapshot.applied_orders.clear();
            snapshot.pools.clear();
            snapshot.bindings.clear();
        }
        snapshot
    }

    fn faded_weights(&self, age: Duration, weight_lifetime: Duration) -> Vec<LearnedWeight> {
        let lifetime = weight_lifetime.as_secs_f64().max(MIN_WEIGHT_LIFETIME_SECONDS);
        let remaining = 1.0 - (age.as_secs_f64() / lifetime).min(1.0);
        if remaining <= 0.0 {
            return vec![];
        }
        let fade = |learned: &LearnedWeight| LearnedWeight {
            weight: learned.weight.powf(remaining as f32),
            ..*learned
        };
        self.weights.iter().map(fade).collect()
    }

    /// The learned weights by server. Those that are no positive number are left out.
    pub fn weights_by_server(&self) -> BTreeMap<ServerId, f64> {
        let usable = self.weights.iter().filter(|learned| learned.weight.is_finite() && learned.weight > 0.0);
        usable
            .map(|learned| {
                (ServerId { addr: learned.addr, number: learned.number }, f64::from(learned.weight))
            })
            .collect()
    }
}
