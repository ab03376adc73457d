//! Weight tables, admission rules and bindings, and the changes of the current turn.

use grebespool::host::{ProxyId, RetryPolicy, RouteSet, ServerIndex, TableId};
use std::collections::{BTreeMap, BTreeSet};

/// The admission level and retry policy of the requests of some routes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRule {
    /// The routes that the rule applies to.
    pub routes: RouteSet,
    /// The admission level, in the unit of the deployment's [`grebespool::host::AdmissionMode`].
    pub level: f32,
    /// The policy for retries of the routes' requests.
    pub retry_policy: RetryPolicy,
}

/// A server's weight in a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerWeight {
    /// The server.
    pub server: ServerIndex,
    /// The server's weight; 0 if the server has left the table.
    pub weight: f32,
}

/// The changes of one turn for one proxy.
#[derive(Debug)]
pub struct ProxyUpdate<'a> {
    /// The table that the proxy is bound to.
    pub table: TableId,
    /// The number of turns in which the table has changed.
    pub version: u64,
    /// The routes for which the proxy was bound to the table in this turn; `None` if the proxy was bound before. After a
    /// binding, the update contains the whole table and all admission rules.
    pub bound_routes: Option<RouteSet>,
    /// All weights of the table after a binding, otherwise the changed ones.
    pub weights: &'a [ServerWeight],
    /// All admission rules after a binding, otherwise the changed ones.
    pub admission: &'a [AdmissionRule],
    /// The token with which the proxy has to acknowledge this update, if an acknowledgement is requested.
    pub ack_token: Option<u16>,
}

/// The weights that all proxies bound to a table use.
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

/// The table that a proxy is bound to, and the routes that the binding applies to.
#[derive(Clone, Copy)]
struct Binding {
    table: TableId,
    routes: RouteSet,
}

/// The state of a joined proxy.
#[derive(Default)]
struct JoinedProxy {
    binding: Option<Binding>,
    /// True if the proxy was bound in this turn, so that its update has to contain the whole table.
    is_new: bool,
}

/// All tables, admission rules and bindings, with their changes in the current turn.
#[derive(Default)]
pub(crate) struct Tables {
    tables: BTreeMap<TableId, WeightTable>,
    admission: BTreeMap<RouteSet, AdmissionRule>,
    changed_admission: BTreeSet<RouteSet>,
    proxies: BTreeMap<ProxyId, JoinedProxy>,
    ack_token: Option<u16>,
}

impl Tables {
    pub(crate) fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        self.tables.entry(table).or_default().set(server, weight);
    }

    /// Binds a proxy to a table. Does nothing for a proxy that has not joined.
    pub(crate) fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        if let Some(bound) = self.proxies.get_mut(&proxy) {
            *bound = JoinedProxy { binding: Some(Binding { table, routes }), is_new: true };
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
        self.proxies.insert(proxy, JoinedProxy::default());
    }

    pub(crate) fn remove_proxy(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    pub(crate) fn contains_server(&self, server: ServerIndex) -> bool {
        self.tables
            .values()
            .any(|table| table.weights.contains_key(&server) || table.changed.contains(&server))
    }

    /// Ends the turn: calls `send` with one update for each affected proxy, in the order of the proxies' ids. A requested
    /// acknowledgement alone does not cause an update.
    pub(crate) fn publish(&mut self, mut send: impl FnMut(ProxyId, &ProxyUpdate)) {
        self.increment_versions();
        let all_rules: Vec<AdmissionRule> = self.admission.values().copied().collect();
        let changed_rules = self.changed_rules();
        // Many proxies share a table, so the weights of each table are collected only once.
        let mut weights_by_table: BTreeMap<(TableId, bool), Vec<ServerWeight>> = BTreeMap::new();
        for (proxy, bound) in &mut self.proxies {
            let Some(Binding { table, routes }) = bound.binding else { continue };
            let is_new = std::mem::take(&mut bound.is_new);
            let weight_table = self.tables.entry(table).or_default();
            let weights = weights_by_table.entry((table, is_new)).or_insert_with(|| {
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
        self.clear_changes();
    }

    fn increment_versions(&mut self) {
        for table in self.tables.values_mut().filter(|table| !table.changed.is_empty()) {
            table.version += 1;
        }
    }

    fn changed_rules(&self) -> Vec<AdmissionRule> {
        let changed = |rule: &&AdmissionRule| self.changed_admission.contains(&rule.routes);
        self.admission.values().filter(changed).copied().collect()
    }

    fn clear_changes(&mut self) {
        for table in self.tables.values_mut() {
            table.changed.clear();
        }
        self.changed_admission.clear();
        self.ack_token = None;
    }
}
