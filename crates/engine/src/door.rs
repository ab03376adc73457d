//! Ids of the wire, and the small indices that stand for them inside.

use grebespool::host::{Proxy, Server};
use grebespool_wire::ServerId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Servers by index. An index goes to another server only long after its own was listed as gone: nothing
/// that is still under way may be taken for news of the other.
#[derive(Default)]
pub struct Servers {
    indices: BTreeMap<ServerId, Server>,
    ids: Vec<ServerId>,
    gone: BTreeMap<Server, Duration>,
}

impl Servers {
    const FORGET: Duration = Duration::from_secs(600);

    pub fn enter(&mut self, now: Duration, id: ServerId) -> Server {
        if let Some(&index) = self.indices.get(&id) {
            self.gone.remove(&index);
            return index;
        }
        let old = self.gone.iter().find(|g| now.saturating_sub(*g.1) >= Self::FORGET).map(|g| *g.0);
        let index = old.unwrap_or(self.ids.len());
        match old {
            Some(index) => {
                self.gone.remove(&index);
                self.indices.remove(&self.ids[index]);
                self.ids[index] = id;
            }
            None => self.ids.push(id),
        }
        self.indices.insert(id, index);
        index
    }

    pub fn gone(&mut self, now: Duration, server: Server) {
        self.gone.entry(server).or_insert(now);
    }

    pub fn find(&self, id: ServerId) -> Option<Server> {
        self.indices.get(&id).copied()
    }

    pub fn id(&self, server: Server) -> ServerId {
        self.ids[server]
    }

    /// How many indices are in use or held back.
    pub fn len(&self) -> usize {
        self.ids.len()
    }
}

/// Proxies by index; a name keeps its own, as what the decisions know of it outlives its streams.
#[derive(Default)]
pub struct Proxies {
    indices: BTreeMap<String, Proxy>,
}

impl Proxies {
    /// `None` where as many names as `most` are known already and this is none of them.
    pub fn enter(&mut self, name: &str, most: usize) -> Option<Proxy> {
        if let Some(&index) = self.indices.get(name) {
            return Some(index);
        }
        let index = Proxy::try_from(self.indices.len()).ok().filter(|i| usize::from(*i) < most)?;
        self.indices.insert(name.into(), index);
        Some(index)
    }

    pub fn names(&self) -> impl Iterator<Item = (&str, Proxy)> {
        self.indices.iter().map(|(name, index)| (name.as_str(), *index))
    }
}
