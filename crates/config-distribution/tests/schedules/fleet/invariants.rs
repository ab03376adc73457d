//! Invariants that are checked after each call of a planner.

use super::{Id, TestFleet};
use grebespool_config_distribution::*;
use std::collections::BTreeSet;

/// A scope that has advanced at a node, with the digests of its versions by number.
struct AdvancedScope {
    scope: ScopeId,
    revision: Revision,
    contents: Vec<(u64, Digest)>,
}

impl TestFleet {
    /// Checks after a call of a planner that its scopes don't go back, that a version number has only one content, and
    /// that the planners that apply a scope have a version in common.
    pub(super) fn check_node(&mut self, id: Id) {
        let Some(node) = self.nodes.get(&id) else { return };
        let Some(planner) = node.planner() else { return };
        let (start, clock) = (node.starts, node.clock(self.now));
        let (mut advanced, mut changed) = (vec![], vec![]);
        for scope in &node.scopes {
            let Some(chain) = planner.chain(*scope) else { continue };
            if self.highest.get(&(id, start, *scope)) != Some(&chain.revision()) {
                advanced.push(advanced_scope(chain));
            }
            let active = planner.active_versions(clock, *scope);
            let until = planner.leased_until(*scope);
            // A planner whose lease ended in between is checked again, although it applies the same versions as before.
            let before = self.applied.insert((id, *scope), (active, until));
            if before.is_none_or(|(versions, lease_end)| versions != active || clock >= lease_end) {
                changed.push(*scope);
            }
        }
        for scope in advanced {
            self.check_history(id, start, scope);
        }
        changed.into_iter().for_each(|scope| self.check_common_version(scope));
    }

    fn check_history(&mut self, id: Id, start: u32, advanced: AdvancedScope) {
        let AdvancedScope { scope, revision, contents } = advanced;
        let highest = self.highest.entry((id, start, scope)).or_default();
        if revision < *highest {
            self.violations.push(format!("{id} went back in {scope:?}: {revision} after {highest}"));
        }
        *highest = revision;
        for (number, content) in contents {
            if *self.contents.entry((scope, number)).or_insert(content) != content {
                self.violations.push(format!("version {number} of {scope:?} has two contents, one at {id}"));
            }
        }
    }

    /// Checks that all planners that apply a scope have at least one version in common.
    fn check_common_version(&mut self, scope: ScopeId) {
        let mut common: Option<BTreeSet<u64>> = None;
        let mut applying = vec![];
        let nodes = self.nodes.iter();
        for (id, node) in nodes.filter(|(_, node)| node.scopes.contains(&scope) && !node.suspended) {
            let Some(planner) = node.planner() else { continue };
            let versions = match planner.active_versions(node.clock(self.now), scope) {
                ActiveVersions::Single(number) => BTreeSet::from([number]),
                ActiveVersions::Joint(active, pending) => BTreeSet::from([active, pending]),
                ActiveVersions::Unleased | ActiveVersions::NothingReceived => continue,
            };
            common = Some(match common {
                None => versions.clone(),
                Some(common) => common.intersection(&versions).copied().collect(),
            });
            applying.push((*id, versions));
        }
        if common.is_some_and(|common| common.is_empty()) {
            self.violations.push(format!("{:?}: planners apply {scope:?} by {applying:?}", self.now));
        }
    }
}

fn advanced_scope(chain: &ScopeChain) -> AdvancedScope {
    let state = chain.state();
    let versions = [Some(&state.active), state.pending.as_ref()].into_iter().flatten();
    let contents = versions.map(|version| (version.number, Digest::of(&version.configuration))).collect();
    AdvancedScope { scope: chain.scope(), revision: chain.revision(), contents }
}
