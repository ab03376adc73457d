//! The ids of one instance's servers: the wire uses addresses, the policy uses indices.

use crate::frame::Address;
use grebespool::host::ServerIndex;
use std::collections::HashMap;

/// Assigns indices to addresses, in the order in which servers are first listed.
#[derive(Default)]
pub(crate) struct ServerIds {
    indices: HashMap<Address, ServerIndex>,
    addresses: Vec<Address>,
}

impl ServerIds {
    /// Returns the index of an address, and assigns one to a new address.
    pub(crate) fn get_or_insert(&mut self, address: Address) -> ServerIndex {
        *self.indices.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            self.addresses.len() - 1
        })
    }

    /// Returns the index of an address; `None` if it was never listed.
    pub(crate) fn find(&self, address: Address) -> Option<ServerIndex> {
        self.indices.get(&address).copied()
    }

    /// Returns the address of an index.
    ///
    /// # Panics
    ///
    /// Panics if the index was not assigned by this map.
    pub(crate) fn address(&self, server: ServerIndex) -> Address {
        self.addresses[server]
    }
}
