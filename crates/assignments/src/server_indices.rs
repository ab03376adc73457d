//! Ids of servers, and the small indices that stand for them inside.

use grebespool::host::ServerIndex;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maps the ids of servers to indices.
///
/// An index goes to another server only long after its own was removed: nothing that is still under way may be taken
/// for news of the other.
pub struct ServerIndices<Id> {
    indices: BTreeMap<Id, ServerIndex>,
    ids: Vec<Id>,
    removed_at: BTreeMap<ServerIndex, Duration>,
    reuse_after: Duration,
}

impl<Id: Ord + Clone> ServerIndices<Id> {
    /// No servers yet. `reuse_after`: how long an index stays with a server that was removed.
    pub fn new(reuse_after: Duration) -> Self {
        ServerIndices { indices: BTreeMap::new(), ids: vec![], removed_at: BTreeMap::new(), reuse_after }
    }

    /// The index of a server that is listed; a new one if it has none. `in_use` tells whether some table still holds
    /// the server of an index.
    pub fn add(&mut self, now: Duration, id: &Id, in_use: impl Fn(ServerIndex) -> bool) -> ServerIndex {
        if let Some(&index) = self.indices.get(id) {
            self.removed_at.remove(&index);
            return index;
        }
        let index = match self.reusable(now, in_use) {
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

    /// The first index whose server was removed long ago.
    fn reusable(&self, now: Duration, in_use: impl Fn(ServerIndex) -> bool) -> Option<ServerIndex> {
        let expired = |removed_at: &Duration| now.saturating_sub(*removed_at) >= self.reuse_after;
        let mut removed = self.removed_at.iter();
        removed.find(|(index, at)| expired(at) && !in_use(**index)).map(|(index, _)| *index)
    }

    /// The server was removed from the list.
    pub fn remove(&mut self, now: Duration, server: ServerIndex) {
        self.removed_at.entry(server).or_insert(now);
    }

    /// The index of a server, if it has one.
    pub fn index(&self, id: &Id) -> Option<ServerIndex> {
        self.indices.get(id).copied()
    }

    /// The server of an index.
    ///
    /// # Panics
    ///
    /// If the index was not given out by [`ServerIndices::add`].
    pub fn id(&self, server: ServerIndex) -> &Id {
        &self.ids[server]
    }

    /// How many indices are in use or held back.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no index was given out yet.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
