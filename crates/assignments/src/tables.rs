//! Weight tables, admission rules and bindings, and the changes of the current turn.

use crate::admission_rules::{AdmissionRule, AdmissionRules};
use grebespool::host::{ALL_ROUTES, ProxyId, RouteSet, ServerIndex, TableId};
use std::collections::{BTreeMap, BTreeSet};

/// A server's weight in a table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerWeight {
    /// The server.
    pub server: ServerIndex,
    /// The server's weight; 0 if the server has left the table.
    pub weight: f32,
}

/// The changes of one turn in one of the tables that a proxy is bound to.
#[derive(Debug, Clone, Copy)]
pub struct TableUpdate<'a> {
    /// The table.
    pub table: TableId,
    /// The number of turns in which the table has changed.
    pub version: u64,
    /// The routes of the proxy that use the table.
    pub routes: RouteSet,
    /// All weights of the table after a binding, otherwise the changed ones.
    pub weights: &'a [ServerWeight],
}

/// The changes of one turn for one proxy.
#[derive(Debug)]
pub struct ProxyUpdate<'a> {
    /// The tables that have changed or that the proxy was bound to in this turn, in the order of the bindings.
    pub tables: &'a [TableUpdate<'a>],
    /// All admission rules of the proxy after a binding, otherwise the changed ones. A rule of a table that the proxy is bound
    /// to is combined with the rule for all proxies: the lower level and the retry policy of the table apply.
    pub admission: &'a [AdmissionRule],
    /// All bindings of the proxy. Proxies with the same bindings and the same `is_new` get equal updates.
    pub bindings: &'a [Binding],
    /// True if the proxy was bound in this turn, so that the update contains whole tables.
    pub is_new: bool,
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

/// A table that a proxy is bound to, and the routes that the binding applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Binding {
    /// The table.
    pub table: TableId,
    /// The routes.
    pub routes: RouteSet,
}

impl Binding {
    fn shares_route(&self, other: &Binding) -> bool {
        self.routes == ALL_ROUTES || other.routes == ALL_ROUTES || self.routes & other.routes != 0
    }
}

/// The state of a joined proxy.
#[derive(Default)]
struct JoinedProxy {
    /// The bindings, none of which shares a route with another.
    bindings: Vec<Binding>,
    /// True if the proxy was bound in this turn, so that its update has to contain whole tables.
    is_new: bool,
}

impl JoinedProxy {
    /// Adds a binding, in place of those that share a route with it.
    fn bind(&mut self, new: Binding) {
        self.bindings.retain(|old| !old.shares_route(&new));
        self.bindings.push(new);
        self.is_new = true;
    }
}

/// All tables, admission rules and bindings, with their changes in the current turn.
#[derive(Default)]
pub(crate) struct Tables {
    tables: BTreeMap<TableId, WeightTable>,
    admission: AdmissionRules,
    proxies: BTreeMap<ProxyId, JoinedProxy>,
    ack_token: Option<u16>,
}

impl Tables {
    pub(crate) fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        self.tables.entry(table).or_default().set(server, weight);
    }

    /// Binds routes of a proxy to a table. Does nothing for a proxy that has not joined.
    pub(crate) fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        if let Some(bound) = self.proxies.get_mut(&proxy) {
            bound.bind(Binding { table, routes });
        }
    }

    pub(crate) fn set_admission(&mut self, rule: AdmissionRule) {
        self.admission.set(rule);
    }

    /// Sets a rule for the proxies that are bound to a table, in addition to the rule of the same routes for all proxies.
    pub(crate) fn set_table_admission(&mut self, table: TableId, rule: AdmissionRule) {
        self.admission.set_for_table(table, rule);
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
        if self.has_changes() {
            self.increment_versions();
            self.send_changes(&mut send);
            self.clear_changes();
        }
        self.ack_token = None;
    }

    fn has_changes(&self) -> bool {
        self.admission.has_changes()
            || self.proxies.values().any(|bound| bound.is_new)
            || self.tables.values().any(|table| !table.changed.is_empty())
    }

    fn send_changes(&mut self, send: &mut impl FnMut(ProxyId, &ProxyUpdate)) {
        let weights = self.published_weights();
        // Most proxies have the same rules, which are collected only once.
        let (all_rules, changed_rules) =
            (self.admission.of_bindings(&[], true), self.admission.of_bindings(&[], false));
        for (proxy, bound) in self.proxies.iter_mut().filter(|(_, bound)| !bound.bindings.is_empty()) {
            let is_new = std::mem::take(&mut bound.is_new);
            let bindings = bound.bindings.as_slice();
            let update = |binding: &Binding| TableUpdate {
                table: binding.table,
                version: self.tables.get(&binding.table).map_or(0, |table| table.version),
                routes: binding.routes,
                weights: weights.get(&(binding.table, is_new)).map_or(&[], Vec::as_slice),
            };
            let tables: Vec<TableUpdate> =
                (bindings.iter().map(update)).filter(|update| is_new || !update.weights.is_empty()).collect();
            let own_rules;
            let admission = if self.admission.has_rules_of(bindings) {
                own_rules = self.admission.of_bindings(bindings, is_new);
                &own_rules
            } else if is_new {
                &all_rules
            } else {
                &changed_rules
            };
            if !tables.is_empty() || !admission.is_empty() {
                let ack_token = self.ack_token;
                send(*proxy, &ProxyUpdate { tables: &tables, admission, bindings, is_new, ack_token });
            }
        }
    }

    /// Returns the weights to publish by table: all of them under `true` if a proxy was bound to the table in this turn, and
    /// the changed ones under `false`. Many proxies share a table, so the weights of each are collected only once.
    fn published_weights(&self) -> BTreeMap<(TableId, bool), Vec<ServerWeight>> {
        let mut weights = BTreeMap::new();
        for bound in self.proxies.values() {
            for table in bound.bindings.iter().map(|binding| binding.table) {
                let collect = || match self.tables.get(&table) {
                    Some(weights) if bound.is_new => weights.all_weights(),
                    Some(weights) => weights.changed_weights(),
                    None => vec![],
                };
                weights.entry((table, bound.is_new)).or_insert_with(collect);
            }
        }
        weights
    }

    fn increment_versions(&mut self) {
        for table in self.tables.values_mut().filter(|table| !table.changed.is_empty()) {
            table.version += 1;
        }
    }

    fn clear_changes(&mut self) {
        for table in self.tables.values_mut() {
            table.changed.clear();
        }
        self.admission.clear_changes();
    }
}
