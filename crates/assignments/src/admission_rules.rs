//! Admission rules for all proxies and for the proxies of a table, and the changes of the current turn.

use crate::tables::Binding;
use grebespool::host::{RetryPolicy, RouteSet, TableId};
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

/// All admission rules, with their changes in the current turn.
#[derive(Default)]
pub(crate) struct AdmissionRules {
    of_all: BTreeMap<RouteSet, AdmissionRule>,
    changed_of_all: BTreeSet<RouteSet>,
    by_table: BTreeMap<TableId, BTreeMap<RouteSet, AdmissionRule>>,
    changed_by_table: BTreeSet<(TableId, RouteSet)>,
}

impl AdmissionRules {
    /// Sets a rule for all proxies.
    pub(crate) fn set(&mut self, rule: AdmissionRule) {
        self.of_all.insert(rule.routes, rule);
        self.changed_of_all.insert(rule.routes);
    }

    /// Sets a rule for the proxies that are bound to a table.
    pub(crate) fn set_for_table(&mut self, table: TableId, rule: AdmissionRule) {
        self.changed_by_table.insert((table, rule.routes));
        self.by_table.entry(table).or_default().insert(rule.routes, rule);
    }

    /// Returns true if any rule has changed in this turn.
    pub(crate) fn has_changes(&self) -> bool {
        !self.changed_of_all.is_empty() || !self.changed_by_table.is_empty()
    }

    /// Returns true if the table of any of these bindings has rules.
    pub(crate) fn has_rules_of(&self, bindings: &[Binding]) -> bool {
        bindings.iter().any(|binding| self.by_table.contains_key(&binding.table))
    }

    /// Returns the rules of a proxy with these bindings: all of them, or those that have changed in this turn.
    pub(crate) fn of_bindings(&self, bindings: &[Binding], all: bool) -> Vec<AdmissionRule> {
        let mut rules = self.of_all.clone();
        let mut changed = self.changed_of_all.clone();
        for Binding { table, .. } in bindings {
            for rule in self.by_table.get(table).into_iter().flat_map(BTreeMap::values) {
                let level = rules.get(&rule.routes).map_or(rule.level, |other| other.level.min(rule.level));
                rules.insert(rule.routes, AdmissionRule { level, ..*rule });
                if self.changed_by_table.contains(&(*table, rule.routes)) {
                    changed.insert(rule.routes);
                }
            }
        }
        rules.into_values().filter(|rule| all || changed.contains(&rule.routes)).collect()
    }

    /// Ends the turn.
    pub(crate) fn clear_changes(&mut self) {
        self.changed_of_all.clear();
        self.changed_by_table.clear();
    }
}
