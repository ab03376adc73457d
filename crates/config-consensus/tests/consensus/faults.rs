//! Invariants of the agreement under faults, and progress after faults end.

use crate::test_cluster::*;
use grebespool_config_consensus::*;
use rand::Rng;
use rstest::rstest;
use std::collections::BTreeMap;

/// Number of seeds: few in a debug build, where checks are slow; `cargo test --release` runs more.
const SEEDS: u64 = if cfg!(debug_assertions) { 8 } else { 3000 };

#[rstest]
#[case::one_member(1)]
#[case::three_members(3)]
#[case::five_members(5)]
fn a_proposed_version_becomes_active_on_all_members(#[case] members: u64) {
    let mut cluster = TestCluster::settled(members, 1, DisabledGuard::None);
    assert_eq!(cluster.active_everywhere(), Some(1));
    let id = cluster.propose(1, vec![draw_limit(70.0)], false).unwrap();
    let from = cluster.now;
    while cluster.active_everywhere() != Some(2) {
        cluster.run(MS(1));
    }
    // The bound is the time of four messages of at most 10 ms and two writes of 3 ms.
    assert!(cluster.now - from < MS(46), "{:?}", cluster.now - from);
    cluster.run(MS(200));
    assert_eq!(cluster.nodes[&1].outcomes.get(&id), Some(&ProposalOutcome::Activated(2)));
}

/// The coordinator must wait for an unreachable member until that member's lease has expired, and no longer. The member
/// applies nothing after that.
#[rstest]
#[case::crashed(|c: &mut TestCluster, id| c.crash(id))]
#[case::suspended(|c: &mut TestCluster, id| c.set_suspended(id, true))]
#[case::cut_off(|c: &mut TestCluster, id| c.cut_off(id, true, true))]
#[case::cannot_send(|c: &mut TestCluster, id| c.cut_off(id, true, false))]
#[case::cannot_receive(|c: &mut TestCluster, id| c.cut_off(id, false, true))]
#[case::disk_full(|c: &mut TestCluster, id| c.nodes.get_mut(&id).unwrap().disk_full = true)]
fn activation_waits_for_an_unreachable_member_only_until_its_lease_expires(
    #[case] fault: fn(&mut TestCluster, u64),
) {
    for seed in 0..4 {
        let mut cluster = TestCluster::settled(3, seed, DisabledGuard::None);
        let owner = cluster.owner.unwrap().0;
        let lost = if owner == 3 { 2 } else { 3 };
        fault(&mut cluster, lost);
        let from = cluster.now;
        cluster.propose(owner, vec![draw_limit(70.0)], false);
        while !cluster.activated_at.contains_key(&2) {
            cluster.run(MS(5));
            assert!(cluster.now - from < MS(1300), "seed {seed}: not active after {:?}", cluster.now - from);
        }
        cluster.run(S(1));
        cluster.heal();
        cluster.run(S(3));
        assert_eq!(cluster.active_everywhere(), Some(2), "seed {seed}");
    }
}

/// The coordinator fails at each millisecond of a version's preparation. The next coordinator must continue with the version
/// if the version was durable, and activate the retransmitted proposal otherwise.
#[rstest]
fn a_proposal_becomes_active_when_the_coordinator_fails_at_any_step() {
    for at in (0..40).step_by(if cfg!(debug_assertions) { 3 } else { 1 }) {
        let mut cluster = TestCluster::settled(3, 100 + at, DisabledGuard::None);
        let owner = cluster.owner.unwrap().0;
        let proposer = 1 + owner % 3;
        let id = cluster.propose(proposer, vec![draw_limit(60.0)], false);
        cluster.run(MS(at));
        if at % 2 == 0 {
            cluster.crash(owner)
        } else {
            cluster.set_suspended(owner, true)
        }
        cluster.run(S(4));
        cluster.heal();
        cluster.run(S(4));
        assert_eq!(cluster.active_everywhere(), Some(2), "{at} ms: {}", cluster.describe());
        let outcome = cluster.nodes[&proposer].outcomes.get(&id.unwrap());
        assert_eq!(outcome, Some(&ProposalOutcome::Activated(2)), "{at} ms");
    }
}

#[rstest]
fn invariants_hold_under_random_faults_and_versions_become_active_after_them() {
    for seed in 0..SEEDS {
        let members = if seed % 3 == 0 { 5 } else { 3 };
        let mut cluster = TestCluster::settled(members, seed, DisabledGuard::None);
        let mut last: BTreeMap<u64, (ProposalId, f64)> = BTreeMap::new();
        for k in 0..24 {
            let span = MS(cluster.rng.random_range(30..500));
            cluster.run(span);
            cluster.random_fault();
            let id = cluster.rng.random_range(1..=members);
            let changes = cluster.random_change();
            cluster.propose(id, changes, k % 7 == 0);
            // Each member increases a value of its own: a proposal that is applied twice would decrease the value.
            let own = cluster.rng.random_range(1..=members);
            let count = f64::from(k + 1);
            let change =
                Change::Server(format!("own{own}"), Some(server("r2", count, ServerState::Draining)));
            if let Some(id) = cluster.propose(own, vec![change], false) {
                last.insert(own, (id, count));
            }
        }
        cluster.heal();
        cluster.run(S(8));
        let active = cluster.active_everywhere();
        assert!(active.is_some(), "seed {seed}: no version is active on all members: {}", cluster.describe());
        cluster.propose(1, vec![draw_limit(10.0)], false);
        cluster.run(S(3));
        assert!(
            cluster.active_everywhere() > active,
            "seed {seed}: no version is activated after {active:?}"
        );
        for (member, (id, count)) in last {
            let node = &cluster.nodes[&member];
            // A member that crashed with an undecided proposal does not know the proposal any more.
            if matches!(node.outcomes.get(&id), Some(ProposalOutcome::Activated(_))) {
                let server = &node.disk.committed.configuration().servers[&format!("own{member}")];
                assert_eq!(server.capacity, count, "seed {seed}: value of member {member}");
            }
        }
    }
}

/// Each guard is needed: without it, random faults lead to a violated invariant, which the simulation must detect.
#[rstest]
#[case::activation_without_waiting_for_all_members(DisabledGuard::ActivationWait)]
#[case::leases_that_start_at_the_answer(DisabledGuard::LeaseFromSending)]
#[case::limits_of_the_pending_version_alone(DisabledGuard::StricterLimit)]
#[case::coordination_after_the_ownership_expired(DisabledGuard::JournalOwnership)]
fn a_disabled_guard_leads_to_a_violation(#[case] disabled: DisabledGuard) {
    let is_violated = |seed: u64| {
        let mut cluster = TestCluster::settled(5, seed, disabled);
        for _ in 0..60 {
            let span = MS(cluster.rng.random_range(30..500));
            cluster.run(span);
            cluster.random_fault();
            let id = cluster.rng.random_range(1..=5);
            let changes = cluster.random_change();
            cluster.propose(id, changes, true);
        }
        !cluster.violations.is_empty()
    };
    assert!((0..200).any(is_violated));
}

/// A version of 1 MB must become active although the link is slow and loses a tenth of the messages, without delaying the
/// lease renewals.
#[rstest]
fn a_large_version_becomes_active_over_a_slow_and_lossy_link() {
    let mut cluster = TestCluster::settled(3, 5, DisabledGuard::None);
    let mut large = configuration();
    for k in 0..16_000 {
        let name = format!("server-of-a-long-name-{k:08}-at-{k:024}");
        large.servers.insert(name, server("r0", 1.0, ServerState::Ready));
    }
    let body = VersionBody { configuration: large.clone(), ..VersionBody::default() };
    assert!(ConfigVersion::new(body).body.encode().len() > 1_000_000);
    (cluster.loss, cluster.bandwidth) = (0.1, 4_000_000.0);
    let id = cluster.propose(2, vec![Change::Replace(Box::new(large))], false).unwrap();
    for _ in 0..200 {
        cluster.run(MS(100));
        if cluster.active_everywhere() == Some(2) {
            break;
        }
    }
    cluster.run(S(1));
    assert_eq!(cluster.nodes[&2].outcomes.get(&id), Some(&ProposalOutcome::Activated(2)));
}

#[rstest]
fn versions_become_active_after_all_members_restart_during_an_activation() {
    for at in (0..30).step_by(if cfg!(debug_assertions) { 4 } else { 1 }) {
        let mut cluster = TestCluster::settled(3, 300 + at, DisabledGuard::None);
        cluster.propose(2, vec![Change::State("s00".into(), ServerState::Draining)], false);
        cluster.run(MS(at));
        (1..=3).for_each(|id| cluster.crash(id));
        cluster.run(S(2));
        cluster.heal();
        cluster.run(S(6));
        let active = cluster.active_everywhere();
        assert!(active >= Some(1), "{at} ms: {active:?}");
        cluster.propose(1, vec![Change::State("s01".into(), ServerState::Draining)], false);
        cluster.run(S(2));
        assert!(cluster.active_everywhere() > active, "{at} ms");
    }
}

#[rstest]
fn a_member_with_an_older_copy_is_updated_and_one_with_another_history_gets_no_lease() {
    let mut cluster = TestCluster::settled(3, 9, DisabledGuard::None);
    let old = cluster.nodes[&2].disk.clone();
    for watts in [90.0, 80.0, 70.0] {
        cluster.propose(1, vec![draw_limit(watts)], false);
        cluster.run(S(1));
    }
    cluster.restore_disk(2, old);
    cluster.run(S(4));
    assert_eq!(cluster.active_everywhere(), Some(4));
    let mut other = cluster.nodes[&3].disk.clone();
    let mut body = other.committed.body.clone();
    body.configuration.limits.insert("draw".into(), Limit::AtMost(5.0));
    other.committed = ConfigVersion::new(body);
    cluster.conflicting.insert(3);
    cluster.restore_disk(3, other);
    for _ in 0..100 {
        cluster.run(MS(30));
        let node = &cluster.nodes[&3];
        let active = node.consensus.as_ref().unwrap().active_versions(node.clock(cluster.now));
        assert_eq!(active, ActiveVersions::Unleased);
    }
    let mut events = cluster.nodes.values().flat_map(|node| &node.events);
    assert!(events.any(|event| event.contains("two histories")), "{}", cluster.describe());
}

/// The proposer must treat a server as draining from its proposal on, and as ready again if the proposal is rejected.
#[rstest]
#[case::accepted(4, ServerState::Draining)]
#[case::rejected_since_it_withdraws_too_much(9, ServerState::Ready)]
fn a_proposed_drain_applies_at_once_and_until_it_is_rejected(
    #[case] servers: usize,
    #[case] after: ServerState,
) {
    let mut cluster = TestCluster::settled(3, 21, DisabledGuard::None);
    let names: Vec<String> = configuration().servers.keys().take(servers).cloned().collect();
    let drains = names.iter().map(|name| Change::State(name.clone(), ServerState::Draining));
    cluster.propose(2, drains.collect(), false);
    let state = |cluster: &TestCluster| {
        let consensus = cluster.nodes[&2].consensus.as_ref().unwrap();
        consensus.effective_configuration().servers["s00"].state
    };
    assert_eq!(state(&cluster), ServerState::Draining);
    cluster.run(S(1));
    assert_eq!(state(&cluster), after);
}

/// Proposals that arrive together must be applied in their order and be combined into few versions. A proposed drain applies
/// before any of the versions is active.
#[rstest]
fn many_proposals_are_combined_into_few_versions() {
    let mut cluster = TestCluster::settled(3, 11, DisabledGuard::None);
    let owner = cluster.owner.unwrap().0;
    let other = 1 + owner % 3;
    for k in 0..100 {
        let state = if k % 2 == 0 { ServerState::Draining } else { ServerState::Ready };
        cluster.propose(other, vec![Change::State(format!("s0{}", k % 4), state)], false);
    }
    let effective = cluster.nodes[&other].consensus.as_ref().unwrap().effective_configuration();
    assert_eq!(effective.servers["s00"].state, ServerState::Draining);
    cluster.run(S(3));
    let active = cluster.active_everywhere().unwrap();
    assert!((2..30).contains(&active), "{active} versions");
    let servers = &cluster.nodes[&owner].disk.committed.configuration().servers;
    let states = (servers["s00"].state, servers["s01"].state);
    assert_eq!(states, (ServerState::Draining, ServerState::Ready));
}
