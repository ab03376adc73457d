//! Anonymized recordings: keyed hashes replace addresses, clients and keys.

use crate::event::{Event, Timed};

/// Replaces confidential values by keyed hashes. Under one key, equal values have equal hashes; without the key, the
/// hashes reveal nothing else.
pub struct Anonymizer([u8; 32]);

impl Anonymizer {
    /// Creates an anonymizer from a key of any length.
    pub fn new(key: &[u8]) -> Anonymizer {
        // The context string is hashed: it must not change, or the same key gives other hashes.
        Anonymizer(blake3::derive_key("grebespool 2026 recording cloak", key))
    }

    /// Returns the hash of a text as 16 hexadecimal digits.
    pub fn hash_text(&self, text: &str) -> String {
        blake3::keyed_hash(&self.0, text.as_bytes()).to_hex()[..16].to_string()
    }

    /// Returns the hash of a number.
    pub fn hash_number(&self, number: u64) -> u64 {
        let hash = blake3::keyed_hash(&self.0, &number.to_be_bytes());
        hash.as_bytes().first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b))
    }

    /// Replaces keys, clients and servers' addresses in an event, and clears settings.
    pub fn anonymize(&self, timed: &mut Timed) {
        match &mut timed.event {
            Event::Call(call) => {
                call.key = self.hash_number(call.key);
                call.client = call.client.map(|c| self.hash_number(c));
            }
            Event::List { entries, .. } => {
                entries.iter_mut().for_each(|e| e.server = self.hash_text(&e.server))
            }
            // Settings contain paths of files and addresses.
            Event::Began { settings, .. } => settings.clear(),
            _ => {}
        }
    }
}
