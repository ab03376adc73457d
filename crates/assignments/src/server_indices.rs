//! Maps the ids of servers to the small indices that the policy uses.

use grebespool::host::ServerIndex;
use std::collections::BTreeMap;
use std::time::Duration;

/// A map from the ids of servers to indices.
///
/// The index of a removed server is reused only after a delay, so that a late report about the removed server is not
/// attributed to another one.
pub struct ServerIndices<Id> {
    indices: BTreeMap<Id, ServerIndex>,
    ids: Vec<Id>,
    removed_at: BTreeMap<ServerIndex, Duration>,
    reuse_after: Duration,
}

impl<Id: Ord + Clone> ServerIndices<Id> {
    /// Creates an empty map. `reuse_after` is the time for which the index of a removed server stays reserved.
    pub fn new(reuse_after: Duration) -> Self {
        ServerIndices { indices: BTreeMap::new(), ids: vec![], removed_at: BTreeMap::new(), reuse_after }
    }

    /// Returns the index of a listed server, assigning one if it has none. `in_use` returns true if any table still
    /// contains the server of an index.
    pub fn add(&mut self, now: Duration, id: &Id, in_use: impl Fn(ServerIndex) -> bool) -> ServerIndex {
        if let Some(&index) = self.indices.get(id) {
            self.removed_at.remove(&index);
            return index;
        }
        let index = match self.first_reusable(now, in_use) {
            Some(index) => {
                self.removed_at.remove(&index);
                self.indices.remove(&self.ids[index]);
                self.ids[index] = id.clone();
                index
            }
            None => {
                self.ids.push(id.clone());
                self.ids.len() - 1
            }
        };
        self.indices.insert(id.clone(), index);
        index
    }

    /// Returns the first index whose reservation has expired and that is not in use.
    fn first_reusable(&self, now: Duration, in_use: impl Fn(ServerIndex) -> bool) -> Option<ServerIndex> {
        let expired = |removed_at: &Duration| now.saturating_sub(*removed_at) >= self.reuse_after;
        let mut removed = self.removed_at.iter();
        removed.find(|(index, at)| expired(at) && !in_use(**index)).map(|(index, _)| *index)
    }

    /// Starts the reservation of the index of a server that was removed from the endpoint list.
    pub fn remove(&mut self, now: Duration, server: ServerIndex) {
        self.removed_at.entry(server).or_insert(now);
    }

    /// Returns the index of a server, if it has one.
    pub fn index(&self, id: &Id) -> Option<ServerIndex> {
        self.indices.get(id).copied()
    }

    /// Returns the id of the server that has an index.
    ///
    /// # Panics
    ///
    /// Panics if [`ServerIndices::add`] has not returned the index.
    pub fn id(&self, server: ServerIndex) -> &Id {
        &self.ids[server]
    }

    /// Returns the number of indices that are assigned or reserved.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns true if no index has been assigned yet.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
