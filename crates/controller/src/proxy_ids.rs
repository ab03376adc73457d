//! Maps the names of proxies to the small ids that the policy uses.

use grebespool::host::ProxyId;
use std::collections::BTreeMap;

/// The ids of proxies by name. An id is never released, because the policy's state of a proxy outlives its streams.
#[derive(Default)]
pub(crate) struct ProxyIds {
    ids: BTreeMap<String, ProxyId>,
}

impl ProxyIds {
    /// Returns the id of a name, assigning one to a new name. Returns `None` for a new name if `max_proxies` names have
    /// ids already.
    pub(crate) fn get_or_add(&mut self, name: &str, max_proxies: usize) -> Option<ProxyId> {
        if let Some(&id) = self.ids.get(name) {
            return Some(id);
        }
        let id = ProxyId::try_from(self.ids.len()).ok().filter(|id| usize::from(*id) < max_proxies)?;
        self.ids.insert(name.into(), id);
        Some(id)
    }

    /// Returns all names with their ids, ordered by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, ProxyId)> {
        self.ids.iter().map(|(name, id)| (name.as_str(), *id))
    }
}
