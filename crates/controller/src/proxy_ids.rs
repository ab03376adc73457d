//! Names of proxies, and the small ids that stand for them inside.

use grebespool::host::ProxyId;
use std::collections::BTreeMap;

/// Proxies by id. A name keeps its id, as what the policy knows of a proxy outlives its streams.
#[derive(Default)]
pub(crate) struct ProxyIds {
    ids: BTreeMap<String, ProxyId>,
}

impl ProxyIds {
    /// The id of a name, a new one if it has none. `None` where `max_proxies` names are known and this is none of them.
    pub(crate) fn get_or_add(&mut self, name: &str, max_proxies: usize) -> Option<ProxyId> {
        if let Some(&id) = self.ids.get(name) {
            return Some(id);
        }
        let id = ProxyId::try_from(self.ids.len()).ok().filter(|id| usize::from(*id) < max_proxies)?;
        self.ids.insert(name.into(), id);
        Some(id)
    }

    /// All names with their ids, by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, ProxyId)> {
        self.ids.iter().map(|(name, id)| (name.as_str(), *id))
    }
}
