//! Weight tables, admission rules and bindings, and what a turn changed of them.

use grebespool::host::{ProxyId, RetryPolicy, RouteSet, ServerIndex, TableId};
use std::collections::{BTreeMap, BTreeSet};

/// How much of some routes' calls is admitted, and when they are retried.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRule {
    /// The routes.
    pub routes: RouteSet,
    /// The admission level, as the deployment's [`grebespool::host::AdmissionMode`] counts it.
    pub level: f32,
    /// When the calls are retried.
    pub retry_policy: RetryPolicy,
}

/// A server's weight in a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerWeight {
    /// The server.
    pub server: ServerIndex,
    /// Its weight; 0 where it has left the table.
    pub weight: f32,
}

/// What changes for one proxy at the end of a turn.
#[derive(Debug)]
pub struct ProxyUpdate<'a> {
    /// The table that the proxy is bound to.
    pub table: TableId,
    /// How often the table has changed.
    pub version: u64,
    /// Set where the proxy is bound to the table in this turn: the routes it is bound for. The update then holds all
    /// of the table and all admission rules.
    pub bound_routes: Option<RouteSet>,
    /// All weights of the table, or those that changed.
    pub weights: &'a [ServerWeight],
    /// All admission rules, or those that changed.
    pub admission: &'a [AdmissionRule],
    /// Asks the proxy to acknowledge this update with the token.
    pub ack_token: Option<u16>,
}

/// The weights that the proxies of a table share.
#[derive(Default)]
struct WeightTable {
    version: u64,
    weights: BTreeMap<ServerIndex, f32>,
    changed: BTreeSet<ServerIndex>,
}

impl WeightTable {
    fn set(&mut self, server: ServerIndex, weight: f32) {
        if weight > 0.0 {
            self.weights.insert(server, weight);
        } else {
            self.weights.remove(&server);
        }
        self.changed.insert(server);
    }

    fn all_weights(&self) -> Vec<ServerWeight> {
        self.weights
            .iter()
            .map(|(server, weight)| ServerWeight { server: *server, weight: *weight })
            .collect()
    }

    fn changed_weights(&self) -> Vec<ServerWeight> {
        let weight = |server| self.weights.get(server).copied().unwrap_or(0.0);
        self.changed.iter().map(|server| ServerWeight { server: *server, weight: weight(server) }).collect()
    }
}

/// A proxy's table.
#[derive(Clone, Copy)]
struct Binding {
    table: TableId,
    routes: RouteSet,
}

/// A joined proxy.
#[derive(Default)]
struct BoundProxy {
    binding: Option<Binding>,
    /// Bound in this turn: a whole table is due.
    is_new: bool,
}

/// All tables, admission rules and bindings, with what has changed since the last turn.
#[derive(Default)]
pub(crate) struct Tables {
    tables: BTreeMap<TableId, WeightTable>,
    admission: BTreeMap<RouteSet, AdmissionRule>,
    changed_admission: BTreeSet<RouteSet>,
    proxies: BTreeMap<ProxyId, BoundProxy>,
    ack_token: Option<u16>,
}

impl Tables {
    pub(crate) fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        self.tables.entry(table).or_default().set(server, weight);
    }

    /// Does nothing for a proxy that has not joined.
    pub(crate) fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        if let Some(bound) = self.proxies.get_mut(&proxy) {
            *bound = BoundProxy { binding: Some(Binding { table, routes }), is_new: true };
        }
    }

    pub(crate) fn set_admission(&mut self, rule: AdmissionRule) {
        self.admission.insert(rule.routes, rule);
        self.changed_admission.insert(rule.routes);
    }

    pub(crate) fn request_ack(&mut self, token: u16) {
        self.ack_token = Some(token);
    }

    pub(crate) fn add_proxy(&mut self, proxy: ProxyId) {
        self.proxies.insert(proxy, BoundProxy::default());
    }

    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    pub(crate) fn contains_server(&self, server: ServerIndex) -> bool {
        self.tables
            .values()
            .any(|table| table.weights.contains_key(&server) || table.changed.contains(&server))
    }

    /// Gives `send` one update for each proxy that the turn concerns, in the order of the proxies' ids.
    pub(crate) fn publish(&mut self, mut send: impl FnMut(ProxyId, &ProxyUpdate)) {
        self.raise_versions();
        let all_rules: Vec<AdmissionRule> = self.admission.values().copied().collect();
        let changed_rules = self.changed_rules();
        // Many proxies share a table: their weights are put together once.
        let mut weights_of: BTreeMap<(TableId, bool), Vec<ServerWeight>> = BTreeMap::new();
        for (proxy, bound) in &mut self.proxies {
            let Some(Binding { table, routes }) = bound.binding else { continue };
            let is_new = std::mem::take(&mut bound.is_new);
            let weight_table = self.tables.entry(table).or_default();
            let weights = weights_of.entry((table, is_new)).or_insert_with(|| {
                if is_new { weight_table.all_weights() } else { weight_table.changed_weights() }
            });
            let admission = if is_new { &all_rules } else { &changed_rules };
            if is_new || !weights.is_empty() || !admission.is_empty() {
                let update = ProxyUpdate {
                    table,
                    version: weight_table.version,
                    bound_routes: is_new.then_some(routes),
                    weights,
                    admission,
                    ack_token: self.ack_token,
                };
                send(*proxy, &update);
            }
        }
        self.forget_changes();
    }

    fn raise_versions(&mut self) {
        for table in self.tables.values_mut().filter(|table| !table.changed.is_empty()) {
            table.version += 1;
        }
    }

    fn changed_rules(&self) -> Vec<AdmissionRule> {
        let changed = |rule: &&AdmissionRule| self.changed_admission.contains(&rule.routes);
        self.admission.values().filter(changed).copied().collect()
    }

    fn forget_changes(&mut self) {
        for table in self.tables.values_mut() {
            table.changed.clear();
        }
        self.changed_admission.clear();
        self.ack_token = None;
    }
}
