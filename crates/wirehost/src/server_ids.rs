//! The ids of one instance's servers: an address on the wire, a small index inside.

use crate::frame::Address;
use grebespool::host::ServerIndex;
use std::collections::HashMap;

/// Indices in the order in which servers were first listed.
#[derive(Default)]
pub(crate) struct ServerIds {
    indices: HashMap<Address, ServerIndex>,
    addresses: Vec<Address>,
}

impl ServerIds {
    /// The index of an address; a new one where it has none.
    pub(crate) fn get_or_insert(&mut self, address: Address) -> ServerIndex {
        *self.indices.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            self.addresses.len() - 1
        })
    }

    /// The index of an address that was listed.
    pub(crate) fn find(&self, address: Address) -> Option<ServerIndex> {
        self.indices.get(&address).copied()
    }

    /// The address of an index that this has given out.
    ///
    /// # Panics
    ///
    /// For any other index.
    pub(crate) fn address(&self, server: ServerIndex) -> Address {
        self.addresses[server]
    }
}
