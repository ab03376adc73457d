//! An edition, what a member keeps of editions, and how contents travel.

use crate::content::{Change, Content};
use crate::word::{Manifest, Name};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::Token;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The most bytes of an edition.
pub const MOST_BYTES: usize = 8 << 20;

/// Stands for an edition's bytes, and so for its content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Hash(pub [u8; 32]);

impl Hash {
    pub fn of(bytes: &[u8]) -> Hash {
        Hash(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().take(6).try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// What an edition is made of: its bytes are what members keep and hand on.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Blob {
    pub number: u64,
    pub content: Content,
    /// What became of each member's proposals: said again to the next convener, they are not taken again.
    pub done: BTreeMap<MemberId, Done>,
}

/// What became of a member's proposals.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The last that was looked at, and all before it.
    pub last: u64,
    /// Of these, those that came to nothing and that the member may not know of yet.
    pub refused: BTreeSet<u64>,
}

impl Blob {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("memory takes all")
    }
}

/// An edition as it is held.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edition {
    pub blob: Blob,
    pub hash: Hash,
}

impl Edition {
    pub fn new(blob: Blob) -> Edition {
        let hash = Hash::of(&blob.bytes());
        Edition { blob, hash }
    }

    /// From bytes that another handed over.
    ///
    /// # Errors
    ///
    /// They are not those of the hash, or no edition.
    pub fn read(bytes: &[u8], hash: Hash) -> Result<Edition, String> {
        let found = Hash::of(bytes);
        if found != hash {
            return Err(format!("bytes of {found} came as {hash}"));
        }
        let blob = postcard::from_bytes(bytes).map_err(|e| e.to_string())?;
        Ok(Edition { blob, hash })
    }

    pub fn number(&self) -> u64 {
        self.blob.number
    }

    pub fn content(&self) -> &Content {
        &self.blob.content
    }

    pub fn name(&self) -> Name {
        (self.blob.number, self.hash)
    }

    /// What became of a member's proposals.
    pub fn done(&self, id: MemberId) -> Done {
        self.blob.done.get(&id).cloned().unwrap_or_default()
    }

    /// The next one.
    pub fn next(&self, changes: &[Change], done: &BTreeMap<MemberId, Done>) -> Edition {
        let mut blob = self.blob.clone();
        blob.number += 1;
        blob.done.extend(done.iter().map(|(id, d)| (*id, d.clone())));
        for change in changes {
            change.apply(&mut blob.content);
        }
        Edition::new(blob)
    }

    /// The edition of a manifest, where it can be made out of this one.
    pub fn made(&self, manifest: &Manifest) -> Option<Edition> {
        let changes = manifest.changes.as_ref().filter(|_| manifest.base == self.hash)?;
        Some(self.next(changes, &manifest.done))
            .filter(|made| made.name() == (manifest.number, manifest.hash))
    }
}

impl Default for Edition {
    /// What a fleet begins with: nothing is shared.
    fn default() -> Self {
        Edition::new(Blob::default())
    }
}

/// What a member has to find again after it was down.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The one that is, or was, acted by alone.
    pub standing: Edition,
    /// The one that is prepared beside it.
    pub next: Option<Edition>,
    /// The newest convener that came.
    pub seen: Token,
}
