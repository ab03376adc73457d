//! Keyed hashes in place of addresses, clients and keys.

use crate::event::{Event, Timed};

/// Stands in for what must not be told: the same thing has the same hash under one key, and nothing more can be
/// learnt from it without that key.
pub struct Cloak([u8; 32]);

impl Cloak {
    pub fn new(key: &[u8]) -> Cloak {
        Cloak(blake3::derive_key("grebespool 2026 recording cloak", key))
    }

    pub fn text(&self, text: &str) -> String {
        blake3::keyed_hash(&self.0, text.as_bytes()).to_hex()[..16].to_string()
    }

    pub fn number(&self, number: u64) -> u64 {
        let hash = blake3::keyed_hash(&self.0, &number.to_be_bytes());
        hash.as_bytes().first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b))
    }

    /// Replaces keys, clients and servers' addresses.
    pub fn apply(&self, timed: &mut Timed) {
        match &mut timed.event {
            Event::Call(call) => {
                call.key = self.number(call.key);
                call.client = call.client.map(|c| self.number(c));
            }
            Event::List { entries, .. } => entries.iter_mut().for_each(|e| e.server = self.text(&e.server)),
            // Settings name files and addresses.
            Event::Began { settings, .. } => settings.clear(),
            _ => {}
        }
    }
}
