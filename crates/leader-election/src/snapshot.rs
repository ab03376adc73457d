//! The snapshot that the next leader starts from: the leader takes it and replicates it to all members.

use grebespool_wire::ServerId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The maximum size of an encoded snapshot in bytes; a larger one is neither sent nor read.
pub const MAX_SNAPSHOT_BYTES: usize = 8 << 20;

// The version is stored in the first two bytes, big-endian. Every change of the layout needs a new version.
const FORMAT_VERSION: u16 = 2;
const VERSION_BYTES: usize = 2;
const CHECKSUM_BYTES: usize = 16;

/// The shortest time over which weights fade, in seconds.
const MIN_WEIGHT_LIFETIME_SECONDS: f64 = 0.001;

/// The phase of an endpoint.
// Stored by the order of variants: do not reorder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhase {
    /// The server accepts requests.
    Ready,
    /// The server completes its requests and accepts no new ones.
    Draining,
}

/// A server, as listed in the newest endpoint list.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The server's address.
    pub addr: SocketAddr,
    /// The number that distinguishes the servers that have had this address.
    pub number: u32,
    /// The server's zone.
    pub zone: String,
    /// The server's phase.
    pub phase: EndpointPhase,
    /// The time of the server's start, in milliseconds of the list's clock.
    pub started_ms: u64,
}

impl EndpointRecord {
    /// Returns the id of the server.
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
    /// The number that distinguishes the servers that have had this address.
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
    /// The number that distinguishes the servers that have had this address.
    pub number: u32,
    /// The time for which the leader had known of the drain when it took the snapshot, in milliseconds.
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

/// The index of an endpoint in the snapshot's endpoint list.
pub type EndpointIndex = u32;

/// A pool of servers.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRecord {
    /// The zone of the proxies that are bound to the pool.
    pub zone: String,
    /// The servers of the pool.
    pub endpoints: Vec<EndpointIndex>,
}

/// The binding of a proxy to a pool.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxyBinding {
    /// The proxy's name.
    pub proxy: String,
    /// The pool's index in the snapshot.
    pub pool: u32,
}

/// The state of the fleet as known to the leader that took the snapshot.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The term of the leader that took the snapshot.
    pub term: u64,
    /// The number of the snapshot within that term.
    pub number: u64,
    /// The version of the endpoint list; 0 if no list was known.
    pub list_version: u64,
    /// The time at which that list was sent, in milliseconds of its sender's clock; 0 if unknown.
    pub list_ms: u64,
    /// The endpoint list.
    pub endpoints: Vec<EndpointRecord>,
    /// The learned weights.
    pub weights: Vec<LearnedWeight>,
    /// The servers that are draining.
    pub drains: Vec<KnownDrain>,
    /// The newest orders that each proxy acknowledged.
    pub applied_orders: Vec<AppliedOrders>,
    /// The pools.
    pub pools: Vec<PoolRecord>,
    /// The bindings of proxies to pools.
    pub bindings: Vec<ProxyBinding>,
}

/// The reason for which a snapshot cannot be encoded or decoded.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SnapshotError {
    /// The encoded snapshot has this many bytes, more than [`MAX_SNAPSHOT_BYTES`].
    #[error("the snapshot has {0} bytes, more than {MAX_SNAPSHOT_BYTES}")]
    TooLarge(usize),
    /// The encoded snapshot has this many bytes, fewer than its version and checksum take.
    #[error("the snapshot is truncated after {0} bytes")]
    Truncated(usize),
    /// The snapshot has this format version, which is not supported.
    #[error("the snapshot has format version {0}, expected {FORMAT_VERSION}")]
    UnsupportedVersion(u16),
    /// The checksum does not match the content.
    #[error("the snapshot's checksum does not match its content")]
    ChecksumMismatch,
    /// The checksum matches, but the content cannot be decoded.
    #[error("the snapshot's checksum matches, but its content cannot be decoded")]
    Malformed,
}

impl Snapshot {
    /// Encodes the snapshot, preceded by its format version and followed by a checksum.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::TooLarge`] if the result exceeds [`MAX_SNAPSHOT_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, SnapshotError> {
        let version = FORMAT_VERSION.to_be_bytes().to_vec();
        let mut bytes = postcard::to_extend(self, version).expect("encoding into memory does not fail");
        let checksum = blake3::hash(&bytes);
        bytes.extend_from_slice(&checksum.as_bytes()[..CHECKSUM_BYTES]);
        if bytes.len() > MAX_SNAPSHOT_BYTES { Err(SnapshotError::TooLarge(bytes.len())) } else { Ok(bytes) }
    }

    /// Decodes a snapshot, from its format version to its checksum.
    ///
    /// # Errors
    ///
    /// Returns a [`SnapshotError`] that says what is wrong with the bytes if they are not a valid snapshot.
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

    /// Returns the key by which the snapshots of a fleet are ordered: the leader's term, then the number.
    pub fn order(&self) -> (u64, u64) {
        (self.term, self.number)
    }

    /// Returns the part of the snapshot that still holds after `age`.
    ///
    /// Drains stay: a server that was draining is gone or still draining. The endpoint list stays until a newer one
    /// arrives. Weights fade towards the mean and are dropped at `weight_lifetime`. The applied orders, pools and bindings
    /// are dropped then too, since the proxies may have received other orders.
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

    /// Returns the learned weights by server, without those that are not a positive number.
    pub fn weights_by_server(&self) -> BTreeMap<ServerId, f64> {
        let usable = self.weights.iter().filter(|learned| learned.weight.is_finite() && learned.weight > 0.0);
        usable
            .map(|learned| {
                (ServerId { addr: learned.addr, number: learned.number }, f64::from(learned.weight))
            })
            .collect()
    }
}
