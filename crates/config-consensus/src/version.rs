//! Configuration versions: their encoding, their hashes, and the state that a replica stores.

use crate::configuration::{Change, Configuration};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::FencingToken;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// Maximum size of an encoded version, in bytes.
pub const MAX_VERSION_BYTES: usize = 8 << 20;

/// A BLAKE3 hash of encoded bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentHash(pub [u8; 32]);

impl ContentHash {
    /// Number of leading bytes that are shown in logs.
    const SHOWN_BYTES: usize = 6;

    /// Returns the hash of these bytes.
    pub fn of(bytes: &[u8]) -> ContentHash {
        ContentHash(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Debug for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(Self::SHOWN_BYTES).try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Identifies a configuration version.
// stored and on the wire: the order of fields is the format
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionId {
    /// Number of the version.
    pub number: u64,
    /// Hash of the version.
    pub hash: ContentHash,
}

/// Identifies a proposal of one member; later proposals have higher ids, also across restarts of the member.
pub type ProposalId = u64;

/// The decisions on one member's proposals that are part of a version.
// stored and on the wire: the order of fields is the format
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedProposals {
    /// The last decided proposal; all proposals before it are decided too.
    pub last: ProposalId,
    /// Rejected proposals whose rejection the proposer may not have received yet.
    pub rejected: BTreeSet<ProposalId>,
}

/// The encoded part of a version: replicas store and transfer its bytes.
// stored and hashed: the order of fields is the format
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionBody {
    /// Number of the version.
    pub number: u64,
    /// The configuration.
    pub configuration: Configuration,
    /// Decided proposals by proposer; later coordinators use them to avoid applying a proposal twice.
    pub decided: BTreeMap<MemberId, DecidedProposals>,
}

impl VersionBody {
    /// Returns the encoded bytes; the version's hash is the hash of these bytes.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding into memory does not fail")
    }
}

/// Reasons why bytes are not the requested version.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes have another hash.
    #[error("hash {found} differs from the requested hash {expected}")]
    WrongHash {
        /// Hash of the bytes.
        found: ContentHash,
        /// Hash of the version.
        expected: ContentHash,
    },
    /// The bytes have the expected hash, but do not encode a version.
    #[error("the hash is correct, but the bytes do not encode a version: {0}")]
    Malformed(#[from] postcard::Error),
}

/// A configuration version.
// stored: the order of fields is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Content of the version.
    pub body: VersionBody,
    /// Hash of the encoded body.
    pub hash: ContentHash,
}

impl ConfigVersion {
    /// Creates a version with this body, and computes its hash.
    pub fn new(body: VersionBody) -> ConfigVersion {
        let hash = ContentHash::of(&body.encode());
        ConfigVersion { body, hash }
    }

    /// Decodes bytes that another member sent.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes have another hash or do not encode a version.
    pub fn decode(bytes: &[u8], expected: ContentHash) -> Result<ConfigVersion, DecodeError> {
        let found = ContentHash::of(bytes);
        if found != expected {
            return Err(DecodeError::WrongHash { found, expected });
        }
        let body = postcard::from_bytes(bytes)?;
        Ok(ConfigVersion { body, hash: found })
    }

    /// Returns the number of the version.
    pub fn number(&self) -> u64 {
        self.body.number
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.body.configuration
    }

    /// Returns the number and the hash.
    pub fn id(&self) -> VersionId {
        VersionId { number: self.body.number, hash: self.hash }
    }

    /// Returns the decisions on a member's proposals up to this version.
    pub fn decided(&self, proposer: MemberId) -> DecidedProposals {
        self.body.decided.get(&proposer).cloned().unwrap_or_default()
    }

    /// Returns the next version, with these changes and decisions.
    pub fn successor(
        &self,
        changes: &[Change],
        decided: &BTreeMap<MemberId, DecidedProposals>,
    ) -> ConfigVersion {
        let mut body = self.body.clone();
        body.number += 1;
        body.decided.extend(decided.iter().map(|(id, decisions)| (*id, decisions.clone())));
        for change in changes {
            change.apply(&mut body.configuration);
        }
        ConfigVersion::new(body)
    }

    /// Returns the version that a header describes, if this version is its parent and the header contains the changes.
    pub fn apply_header(&self, header: &VersionHeader) -> Option<ConfigVersion> {
        let changes = header.changes.as_ref().filter(|_| header.parent == self.hash)?;
        Some(self.successor(changes, &header.decided)).filter(|version| version.id() == header.id())
    }
}

impl Default for ConfigVersion {
    /// Returns the version that a fleet starts with: an empty configuration.
    fn default() -> Self {
        ConfigVersion::new(VersionBody::default())
    }
}

/// A description of a configuration version, for the coordinator's journal and for messages to replicas.
// stored and on the wire: the order of fields is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionHeader {
    /// Number of the version.
    pub number: u64,
    /// Hash of the version.
    pub hash: ContentHash,
    /// Hash of the preceding version.
    pub parent: ContentHash,
    /// Changes from the parent to this version; `None` if they are too large for a message and the version is fetched.
    pub changes: Option<Vec<Change>>,
    /// Decisions on proposals that are part of the version, by proposer.
    pub decided: BTreeMap<MemberId, DecidedProposals>,
}

impl VersionHeader {
    /// Returns the id of the described version.
    pub fn id(&self) -> VersionId {
        VersionId { number: self.number, hash: self.hash }
    }
}

/// The state that a replica restores after a restart.
// stored: the order of fields is the format
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredState {
    /// The version that this replica applies alone, or applied alone before one was pending.
    pub committed: ConfigVersion,
    /// The version that is prepared beside the committed one.
    pub pending: Option<ConfigVersion>,
    /// Token of the newest coordinator that this replica has received a message from.
    pub newest_token: FencingToken,
}

impl StoredState {
    /// Returns the number and hash of the pending version.
    pub fn pending_id(&self) -> Option<VersionId> {
        self.pending.as_ref().map(ConfigVersion::id)
    }

    /// Returns the stored version with this hash, if there is one.
    pub fn find(&self, hash: ContentHash) -> Option<&ConfigVersion> {
        [Some(&self.committed), self.pending.as_ref()]
            .into_iter()
            .flatten()
            .find(|version| version.hash == hash)
    }
}
