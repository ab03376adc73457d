//! The invariants, which are checked after every step of the simulation.

use super::{DisabledGuard, TestCluster};
use grebespool_config_consensus::*;

/// A member that applies versions.
struct ActiveMember<'a> {
    active: ActiveVersions,
    effective: EffectiveConfiguration,
    state: &'a StoredState,
}

impl TestCluster {
    /// Records a violation if a version number has two contents, or if no version allows all effective configurations.
    pub(super) fn check_invariants(&mut self) {
        let (mut members, mut violations) = (vec![], vec![]);
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
                members.push(ActiveMember { active, effective, state });
            }
        }
        if !all_single(&members) {
            self.exempted +=
                members.iter().filter(|member| !member.effective.exempt_servers.is_empty()).count();
            violations.extend(check_common_version(&members));
        }
        self.violations.extend(violations);
    }
}

/// Returns true if all members apply the same version alone.
fn all_single(members: &[ActiveMember]) -> bool {
    let same = |other: &ActiveMember| matches!((other.active, members[0].active), (ActiveVersions::Single(a), ActiveVersions::Single(b)) if a == b);
    members.iter().all(same)
}

/// Returns a violation if no stored version allows the effective configurations of all members.
fn check_common_version(members: &[ActiveMember]) -> Option<String> {
    let stored =
        members.iter().flat_map(|member| [Some(&member.state.committed), member.state.pending.as_ref()]);
    let mut versions: Vec<&ConfigVersion> = stored.flatten().collect();
    versions.dedup_by_key(|version| version.hash);
    let allows_all = |version: &&ConfigVersion| {
        members.iter().all(|member| member.effective.violations(version.configuration()).is_empty())
    };
    if versions.iter().any(allows_all) {
        return None;
    }
    let active: Vec<ActiveVersions> = members.iter().map(|member| member.active).collect();
    Some(format!("no version allows all effective configurations: {active:?}"))
}
