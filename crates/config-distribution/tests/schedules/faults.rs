//! Tests of the guarantees, first under single faults and then under random schedules.

use crate::fleet::*;
use grebespool_config_distribution::*;
use rand::Rng;
use rstest::rstest;
use std::time::Duration;

/// Number of random schedules; small in debug builds, which are slow, and larger with `cargo test --release`.
const SEEDS: u64 = if cfg!(debug_assertions) { 8 } else { 1000 };

#[rstest]
#[case::one_zone(3, 1, 8)]
#[case::six_zones(5, 6, 60)]
fn activates_a_change_at_all_planners(#[case] control: usize, #[case] zones: u32, #[case] planners: usize) {
    let mut fleet = TestFleet::settled(control, zones, planners, 1, DisabledGuard::None);
    assert_eq!(fleet.active_version(ScopeId(0)), Some(1), "{}", fleet.describe());
    let proposal = fleet.propose(ScopeId(0), draw_limit(70.0));
    let from = fleet.now;
    while fleet.active_version(ScopeId(0)) != Some(2) {
        fleet.run(MS(5));
        // A change takes ten messages of at most 20 ms each, and a few writes.
        assert!(fleet.now - from < MS(350), "{}", fleet.describe());
    }
    fleet.run(MS(200));
    assert!(fleet.answered.get(&proposal).is_some_and(Option::is_none), "{:?}", fleet.answered);
    assert_eq!(fleet.violations, Vec::<String>::new());
}

/// A change that waits for a lost node must not wait for longer than the leases that this node may have.
#[rstest]
#[case::planner_crashed(|f: &mut TestFleet| { let id = f.leaves()[0]; f.crash(id) }, 1300)]
#[case::planner_suspended(|f: &mut TestFleet| { let id = f.leaves()[0]; f.set_suspended(id, true) }, 1300)]
#[case::planner_cannot_send(|f: &mut TestFleet| { let id = f.leaves()[0]; f.cut_off(id, true, false) }, 1300)]
#[case::planner_cannot_receive(|f: &mut TestFleet| { let id = f.leaves()[0]; f.cut_off(id, false, true) }, 1900)]
#[case::relay_crashed(|f: &mut TestFleet| { let id = f.relays()[0]; f.crash(id) }, 2100)]
#[case::relay_suspended(|f: &mut TestFleet| { let id = f.relays()[0]; f.set_suspended(id, true) }, 2100)]
#[case::zone_cut_off(|f: &mut TestFleet| f.cut_zone(1), 2100)]
#[case::leader_crashed(|f: &mut TestFleet| { let id = f.leader.unwrap().0; f.crash(id) }, 2900)]
#[case::leader_suspended(|f: &mut TestFleet| { let id = f.leader.unwrap().0; f.set_suspended(id, true) }, 2900)]
#[case::planner_shut_down(|f: &mut TestFleet| { let id = f.leaves()[0]; f.shut_down(id) }, 400)]
fn waits_for_a_lost_node_no_longer_than_its_lease(#[case] fault: fn(&mut TestFleet), #[case] within: u64) {
    for seed in 0..3 {
        let mut fleet = TestFleet::settled(5, 3, 24, seed, DisabledGuard::None);
        fault(&mut fleet);
        // The scope is of a service, which planners of all zones subscribe to.
        let proposal = fleet.propose(ScopeId(100), draw_limit(60.0));
        let from = fleet.now;
        while !fleet.answered.contains_key(&proposal) {
            fleet.run(MS(10));
            assert!(
                fleet.now - from < MS(within),
                "seed {seed}: not active after {:?}\n{}",
                fleet.now - from,
                fleet.describe()
            );
        }
        fleet.heal();
        fleet.run(S(8));
        assert_eq!(fleet.active_version(ScopeId(100)), Some(2), "seed {seed}: {}", fleet.describe());
        assert_eq!(fleet.violations, Vec::<String>::new());
    }
}

/// A planner that stops as planned releases its lease, so changes don't wait for the lease to expire. After its start,
/// the planner receives the missed links.
#[rstest]
fn does_not_wait_for_a_planner_during_its_planned_restart() {
    let mut fleet = TestFleet::settled(3, 2, 16, 4, DisabledGuard::None);
    let id = fleet.planners()[3];
    fleet.shut_down(id);
    for watts in [90.0, 80.0, 70.0] {
        fleet.propose(ScopeId(1), draw_limit(watts));
        fleet.run(MS(400));
    }
    fleet.start(id);
    fleet.run(S(4));
    assert_eq!(fleet.active_version(ScopeId(1)), Some(4), "{}", fleet.describe());
    assert_eq!(fleet.violations, Vec::<String>::new());
}

#[rstest]
fn keeps_all_invariants_under_random_faults_and_continues_after_them() {
    for seed in 0..SEEDS {
        let planners = [12, 30, 60][seed as usize % 3];
        let mut fleet =
            TestFleet::settled(if seed % 2 == 0 { 5 } else { 3 }, 6, planners, seed, DisabledGuard::None);
        for _ in 0..24 {
            let span = MS(fleet.rng.random_range(30..700));
            fleet.run(span);
            fleet.random_fault();
            let (scope, changes) = (fleet.random_scope(), fleet.random_change());
            fleet.propose(scope, changes);
        }
        fleet.heal();
        fleet.run(S(15));
        assert!(fleet.violations.is_empty(), "seed {seed}: {:?}", fleet.violations.first());
        assert!(fleet.open.is_empty(), "seed {seed}: not answered: {:?}\n{}", fleet.open, fleet.describe());
        let active = fleet.active_everywhere();
        assert!(active.is_some(), "seed {seed}: {}", fleet.describe());
        let scope = fleet.random_scope();
        fleet.propose(scope, draw_limit(f64::from(seed as u32) + 0.5));
        fleet.run(S(2));
        let before = active.and_then(|active| active.get(&scope).copied());
        assert!(
            fleet.active_version(scope) > before,
            "seed {seed}: no further change became active\n{}",
            fleet.describe()
        );
        assert!(fleet.violations.is_empty(), "seed {seed}: {:?}", fleet.violations.first());
    }
}

/// A planner receives no messages while changes are made: it applies the former version until its lease ends.
fn planner_cannot_receive(fleet: &mut TestFleet) {
    let id = fleet.leaves()[0];
    fleet.cut_off(id, false, true);
    fleet.propose(ScopeId(100), draw_limit(60.0));
    fleet.propose(ScopeId(101), draw_limit(60.0));
    fleet.run(S(2));
}

/// Links are lost while one change follows another.
fn lost_links(fleet: &mut TestFleet) {
    fleet.loss = 0.3;
    for k in 0..12 {
        fleet.propose(ScopeId(100), draw_limit(50.0 + f64::from(k)));
        fleet.run(MS(600));
    }
}

/// Planners are suspended while changes are made, and then resume with answers to old renewals in their sockets.
fn suspended_planners(fleet: &mut TestFleet) {
    for id in fleet.leaves() {
        fleet.set_suspended(id, true);
        fleet.propose(ScopeId(100), draw_limit(40.0 + (id % 50) as f64));
        fleet.propose(ScopeId(101), draw_limit(40.0 + (id % 50) as f64));
        fleet.run(S(3));
        fleet.set_suspended(id, false);
        fleet.run(MS(300));
    }
}

/// The leader can reach only the planners of one zone, so another leader is elected.
fn cut_off_leader(fleet: &mut TestFleet) {
    let (leader, _) = fleet.leader.unwrap();
    fleet.cut_from_all_but(leader, &[1]);
    for k in 0..8 {
        fleet.propose(ScopeId(100), draw_limit(50.0 + f64::from(k)));
        fleet.run(MS(900));
    }
}

/// Checks that the invariants detect a disabled guard: without it, planners apply versions that contradict each other,
/// or have two histories. With the guard, the same schedule violates no invariant.
#[rstest]
#[case::relay_reports_planners_as_ready_without_waiting(DisabledGuard::ReadinessWait, planner_cannot_receive)]
#[case::link_is_applied_over_a_gap(DisabledGuard::ChainCheck, lost_links)]
#[case::lease_counts_from_the_answer(DisabledGuard::LeaseFromSending, suspended_planners)]
#[case::leader_grants_leases_after_its_own_expired(DisabledGuard::Authority, cut_off_leader)]
fn detects_violations_with_a_disabled_guard(
    #[case] disabled: DisabledGuard,
    #[case] schedule: fn(&mut TestFleet),
) {
    let violations_of = |seed: u64, disabled: DisabledGuard| {
        let mut fleet = TestFleet::settled(3, 3, 18, seed, disabled);
        schedule(&mut fleet);
        fleet.violations
    };
    let found = (0..40).any(|seed| !violations_of(seed, disabled).is_empty());
    assert!(found, "no violation was detected");
    for seed in 0..4 {
        assert_eq!(violations_of(seed, DisabledGuard::None), Vec::<String>::new());
    }
}

/// A zone that was cut off is updated to the newest versions within the budgets: by links after a few changes, or by a
/// snapshot after many.
#[rstest]
fn updates_a_zone_that_was_cut_off_from_links_or_a_snapshot() {
    for changes in [5, 100] {
        let mut fleet = TestFleet::settled(3, 3, 18, 8, DisabledGuard::None);
        fleet.cut_zone(2);
        for k in 0..changes {
            fleet.propose(ScopeId(101), draw_limit(50.0 + f64::from(k)));
            fleet.run(Duration::from_millis(260));
        }
        fleet.run(S(3));
        fleet.heal();
        fleet.run(S(6));
        assert!(
            fleet.active_version(ScopeId(101)) >= Some(3) && fleet.open.is_empty(),
            "{}",
            fleet.describe()
        );
        assert_eq!(fleet.violations, Vec::<String>::new());
    }
}
