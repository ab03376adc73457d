//! Configuration versions: their encoding, their hashes, and what a replica stores of them.

use crate::configuration::{Change, Configuration};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::FencingToken;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use thiserror::Error;

/// The maximum size of an encoded version, in bytes.
pub const MAX_VERSION_BYTES: usize = 8 << 20;

/// A BLAKE3 hash of encoded bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ContentHash(pub [u8; 32]);

impl ContentHash {
    /// Bytes that are shown in logs.
    const SHOWN_BYTES: usize = 6;

    /// Hashes these bytes.
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
    /// Its number.
    pub number: u64,
    /// Its hash.
    pub hash: ContentHash,
}

/// Identifies a proposal of one member; later proposals have higher ids, across restarts of the member.
pub type ProposalId = u64;

/// The decisions on one member's proposals that are part of a version.
// stored and on the wire: the order of fields is the format
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedProposals {
    /// The last proposal that was decided; all before it are decided too.
    pub last: ProposalId,
    /// Of these, the rejected ones that the proposer may not know of yet.
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
    /// Decided proposals by proposer, so that no later coordinator applies a proposal twice.
    pub decided: BTreeMap<MemberId, DecidedProposals>,
}

impl VersionBody {
    /// Its bytes, which the version's hash is of.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("encoding into memory does not fail")
    }
}

/// Why bytes are not the version that was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The bytes have another hash.
    #[error("their hash is {found}, and {expected} was asked for")]
    WrongHash {
        /// Hash of the bytes.
        found: ContentHash,
        /// Hash of the version.
        expected: ContentHash,
    },
    /// The bytes have the hash and encode no version.
    #[error("their hash is right and they are no version: {0}")]
    Malformed(#[from] postcard::Error),
}

/// A configuration version.
// stored: the order of fields is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// What it consists of.
    pub body: VersionBody,
    /// Hash of the encoded body.
    pub hash: ContentHash,
}

impl ConfigVersion {
    /// A version of this body.
    pub fn new(body: VersionBody) -> ConfigVersion {
        let hash = ContentHash::of(&body.encode());
        ConfigVersion { body, hash }
    }

    /// Decodes bytes that another member sent.
    ///
    /// # Errors
    ///
    /// The bytes have another hash, or they encode no version.
    pub fn decode(bytes: &[u8], expected: ContentHash) -> Result<ConfigVersion, DecodeError> {
        let found = ContentHash::of(bytes);
        if found != expected {
            return Err(DecodeError::WrongHash { found, expected });
        }
        let body = postcard::from_bytes(bytes)?;
        Ok(ConfigVersion { body, hash: found })
    }

    /// Its number.
    pub fn number(&self) -> u64 {
        self.body.number
    }

    /// Its configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.body.configuration
    }

    /// Its number and hash.
    pub fn id(&self) -> VersionId {
        VersionId { number: self.body.number, hash: self.hash }
    }

    /// The decisions on a member's proposals up to this version.
    pub fn decided(&self, proposer: MemberId) -> DecidedProposals {
        self.body.decided.get(&proposer).cloned().unwrap_or_default()
    }

    /// The version after this one, with these changes and decisions.
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

    /// The version that a header describes, if it can be made from this one.
    pub fn apply_header(&self, header: &VersionHeader) -> Option<ConfigVersion> {
        let changes = header.changes.as_ref().filter(|_| header.parent == self.hash)?;
        Some(self.successor(changes, &header.decided)).filter(|version| version.id() == header.id())
    }
}

impl Default for ConfigVersion {
    /// The version that a fleet starts with: an empty configuration.
    fn default() -> Self {
        ConfigVersion::new(VersionBody::default())
    }
}

/// Describes a configuration version in the coordinator's journal, and announces it to replicas.
// stored and on the wire: the order of fields is the format
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VersionHeader {
    /// Number of the version.
    pub number: u64,
    /// Hash of the version.
    pub hash: ContentHash,
    /// Hash of the version before it.
    pub parent: ContentHash,
    /// The changes that make the version from its parent, where they are small; otherwise the version is fetched.
    pub changes: Option<Vec<Change>>,
    /// Decisions on proposals that are part of the version, by proposer.
    pub decided: BTreeMap<MemberId, DecidedProposals>,
}

impl VersionHeader {
    /// The version that it describes.
    pub fn id(&self) -> VersionId {
        VersionId { number: self.number, hash: self.hash }
    }
}

/// What a replica must find again after a restart.
// stored: the order of fields is the format
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredState {
    /// The version that is, or was, applied alone.
    pub committed: ConfigVersion,
    /// The version that is prepared beside it.
    pub pending: Option<ConfigVersion>,
    /// The newest coordinator that was heard of.
    pub newest_token: FencingToken,
}

impl StoredState {
    /// The pending version's number and hash.
    pub fn pending_id(&self) -> Option<VersionId> {
        self.pending.as_ref().map(ConfigVersion::id)
    }

    /// The version with this hash, if it is one of those that are stored.
    pub fn find(&self, hash: ContentHash) -> Option<&ConfigVersion> {
        [Some(&self.committed), self.pending.as_ref()]
            .into_iter()
            .flatten()
            .find(|version| version.hash == hash)
    }
}
