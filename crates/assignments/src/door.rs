//! Ids of servers, and the small indices that stand for them inside.

use grebespool::host::ServerIndex;
use std::collections::BTreeMap;
use std::time::Duration;

/// Servers by index. An index goes to another server only long after its own was listed as gone: nothing that is still
/// under way may be taken for news of the other.
pub struct Servers<I> {
    indices: BTreeMap<I, ServerIndex>,
    ids: Vec<I>,
    gone: BTreeMap<ServerIndex, Duration>,
    kept: Duration,
}

impl<I: Ord + Clone> Servers<I> {
    /// `kept`: how long an index stays with a server that is gone.
    pub fn new(kept: Duration) -> Self {
        Servers { indices: BTreeMap::new(), ids: vec![], gone: BTreeMap::new(), kept }
    }

    /// `held` tells whether some table still has the server of an index.
    pub fn enter(&mut self, now: Duration, id: &I, held: impl Fn(ServerIndex) -> bool) -> ServerIndex {
        if let Some(&index) = self.indices.get(id) {
            self.gone.remove(&index);
            return index;
        }
        let over = |g: &(&ServerIndex, &Duration)| now.saturating_sub(*g.1) >= self.kept && !held(*g.0);
        let old = self.gone.iter().find(over).map(|g| *g.0);
        let index = old.unwrap_or(self.ids.len());
        match old {
            Some(index) => {
                self.gone.remove(&index);
                self.indices.remove(&self.ids[index]);
                self.ids[index] = id.clone();
            }
            None => self.ids.push(id.clone()),
        }
        self.indices.insert(id.clone(), index);
        index
    }

    pub fn gone(&mut self, now: Duration, server: ServerIndex) {
        self.gone.entry(server).or_insert(now);
    }

    pub fn find(&self, id: &I) -> Option<ServerIndex> {
        self.indices.get(id).copied()
    }

    pub fn id(&self, server: ServerIndex) -> &I {
        &self.ids[server]
    }

    /// How many indices are in use or held back.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}
