//! What must hold at every moment.

use super::{DisabledGuard, TestCluster};
use grebespool_config_consensus::*;

/// A member that applies versions.
struct Acting<'a> {
    active: ActiveVersions,
    effective: EffectiveConfiguration,
    state: &'a StoredState,
}

impl TestCluster {
    /// A number has one content, and all members that apply versions are within one of them.
    pub(super) fn check_invariants(&mut self) {
        let (mut acting, mut violations) = (vec![], vec![]);
        for (id, node) in self.nodes.iter().filter(|(_, node)| !node.suspended) {
            let Some(consensus) = &node.consensus else { continue };
            let state = consensus.state();
            let VersionId { number, hash } = state.committed.id();
            if !self.conflicting.contains(id) && *self.committed_hashes.entry(number).or_insert(hash) != hash
            {
                violations.push(format!("version {number} has two contents"));
            }
            let active = consensus.active_versions(node.clock(self.now));
            if let ActiveVersions::Single(number) = active {
                self.activated_at.entry(number).or_insert(self.now);
            }
            if active != ActiveVersions::Unleased {
                let mut effective = consensus.effective_configuration();
                if let (DisabledGuard::StricterLimit, Some(pending)) = (self.disabled, &state.pending) {
                    effective.limits = pending.configuration().limits.clone();
                }
                acting.push(Acting { active, effective, state });
            }
        }
        if !all_single(&acting) {
            self.exempted +=
                acting.iter().filter(|acting| !acting.effective.exempt_servers.is_empty()).count();
            violations.extend(check_common_version(&acting));
        }
        self.violations.extend(violations);
    }
}

/// Whether all apply the same version alone.
fn all_single(acting: &[Acting]) -> bool {
    let same = |other: &Acting| matches!((other.active, acting[0].active), (ActiveVersions::Single(a), ActiveVersions::Single(b)) if a == b);
    acting.iter().all(same)
}

/// One of the versions that are about allows all that everybody does.
fn check_common_version(acting: &[Acting]) -> Option<String> {
    let stored =
        acting.iter().flat_map(|acting| [Some(&acting.state.committed), acting.state.pending.as_ref()]);
    let mut versions: Vec<&ConfigVersion> = stored.flatten().collect();
    versions.dedup_by_key(|version| version.hash);
    let allows_all = |version: &&ConfigVersion| {
        acting.iter().all(|acting| acting.effective.violations(version.configuration()).is_empty())
    };
    if versions.iter().any(allows_all) {
        return None;
    }
    let active: Vec<ActiveVersions> = acting.iter().map(|acting| acting.active).collect();
    Some(format!("no version allows what all do: {active:?}"))
}
