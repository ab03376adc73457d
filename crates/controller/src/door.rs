//! Names of proxies, and the small indices that stand for them inside.

use grebespool::host::ProxyId;
use std::collections::BTreeMap;

/// Proxies by index; a name keeps its own, as what the decisions know of it outlives its streams.
#[derive(Default)]
pub struct Proxies {
    indices: BTreeMap<String, ProxyId>,
}

impl Proxies {
    /// `None` where as many names as `most` are known already and this is none of them.
    pub fn enter(&mut self, name: &str, most: usize) -> Option<ProxyId> {
        if let Some(&index) = self.indices.get(name) {
            return Some(index);
        }
        let index = ProxyId::try_from(self.indices.len()).ok().filter(|i| usize::from(*i) < most)?;
        self.indices.insert(name.into(), index);
        Some(index)
    }

    pub fn names(&self) -> impl Iterator<Item = (&str, ProxyId)> {
        self.indices.iter().map(|(name, index)| (name.as_str(), *index))
    }
}
