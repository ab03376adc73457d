//! The promises, one by one and under random schedules.

use crate::world::*;
use grebespool_config_distribution::*;
use rand::Rng;
use rstest::rstest;
use std::time::Duration;

/// Few where checks are slow; `cargo test --release` plays more.
const SEEDS: u64 = if cfg!(debug_assertions) { 8 } else { 1000 };

fn version(world: &World, scope: ScopeId) -> Option<u64> {
    world.agreed()?.get(&scope).copied()
}

#[rstest]
#[case::one_zone(3, 1, 8)]
#[case::six_zones(5, 6, 60)]
fn a_change_is_in_force_at_all_planners(#[case] control: usize, #[case] zones: u32, #[case] planners: usize) {
    let mut world = World::settled(control, zones, planners, 1, Without::Nothing);
    assert_eq!(version(&world, ScopeId(0)), Some(1), "{}", world.shown());
    let proposal = world.propose(ScopeId(0), draw(70.0));
    let from = world.now;
    while version(&world, ScopeId(0)) != Some(2) {
        world.run(MS(5));
        // Ten ways of at most 20 ms each, and a few writings.
        assert!(world.now - from < MS(350), "{}", world.shown());
    }
    world.run(MS(200));
    assert!(world.answered.get(&proposal).is_some_and(|a| a.1.is_none()), "{:?}", world.answered);
    assert_eq!(world.broken, Vec::<String>::new());
}

/// Whoever is lost, a change waits no longer than the leases that it can have.
#[rstest]
#[case::a_planner_killed(|w: &mut World| { let id = w.leaves()[0]; w.crash(id) }, 1300)]
#[case::a_planner_stopped(|w: &mut World| { let id = w.leaves()[0]; w.stop(id, true) }, 1300)]
#[case::a_planner_that_hears_and_is_not_heard(|w: &mut World| { let id = w.leaves()[0]; w.cut_off(id, (true, false)) }, 1300)]
#[case::a_planner_that_is_heard_and_hears_not(|w: &mut World| { let id = w.leaves()[0]; w.cut_off(id, (false, true)) }, 1900)]
#[case::a_relay_killed(|w: &mut World| { let id = w.relays()[0]; w.crash(id) }, 2100)]
#[case::a_relay_stopped(|w: &mut World| { let id = w.relays()[0]; w.stop(id, true) }, 2100)]
#[case::a_zone_cut_off(|w: &mut World| w.cut_zone(1), 2100)]
#[case::the_leader_killed(|w: &mut World| { let id = w.leader.unwrap().0; w.crash(id) }, 2900)]
#[case::the_leader_stopped(|w: &mut World| { let id = w.leader.unwrap().0; w.stop(id, true) }, 2900)]
#[case::a_planner_leaves(|w: &mut World| { let id = w.leaves()[0]; w.leave(id) }, 400)]
fn what_is_lost_is_waited_for_no_longer_than_its_lease(#[case] fault: fn(&mut World), #[case] within: u64) {
    for seed in 0..3 {
        let mut world = World::settled(5, 3, 24, seed, Without::Nothing);
        fault(&mut world);
        // Of a service, which all zones have.
        let proposal = world.propose(ScopeId(100), draw(60.0));
        let from = world.now;
        while !world.answered.contains_key(&proposal) {
            world.run(MS(10));
            assert!(
                world.now - from < MS(within),
                "seed {seed}: not in force after {:?}\n{}",
                world.now - from,
                world.shown()
            );
        }
        world.heal();
        world.run(S(8));
        assert_eq!(version(&world, ScopeId(100)), Some(2), "seed {seed}: {}", world.shown());
        assert_eq!(world.broken, Vec::<String>::new());
    }
}

/// A planned restart gives its lease back, so nobody waits; who was away has what it missed from links.
#[rstest]
fn a_planned_restart_costs_nobody_time() {
    let mut world = World::settled(3, 2, 16, 4, Without::Nothing);
    let id = world.planners()[3];
    world.leave(id);
    for most in [90.0, 80.0, 70.0] {
        world.propose(ScopeId(1), draw(most));
        world.run(MS(400));
    }
    world.boot(id);
    world.run(S(4));
    assert_eq!(version(&world, ScopeId(1)), Some(4), "{}", world.shown());
    assert_eq!(world.broken, Vec::<String>::new());
}

#[rstest]
fn random_schedules_keep_every_promise_and_go_on_after_them() {
    for seed in 0..SEEDS {
        let planners = [12, 30, 60][seed as usize % 3];
        let mut world =
            World::settled(if seed % 2 == 0 { 5 } else { 3 }, 6, planners, seed, Without::Nothing);
        for _ in 0..24 {
            let span = MS(world.rng.random_range(30..700));
            world.run(span);
            world.trouble();
            let (scope, changes) = (world.some_scope(), world.some_change());
            world.propose(scope, changes);
        }
        world.heal();
        world.run(S(15));
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken.first());
        assert!(world.open.is_empty(), "seed {seed}: not answered: {:?}\n{}", world.open, world.shown());
        let agreed = world.agreed();
        assert!(agreed.is_some(), "seed {seed}: {}", world.shown());
        let scope = world.some_scope();
        world.propose(scope, draw(f64::from(seed as u32) + 0.5));
        world.run(S(2));
        let before = agreed.and_then(|a| a.get(&scope).copied());
        assert!(version(&world, scope) > before, "seed {seed}: nothing follows\n{}", world.shown());
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken.first());
    }
}

/// A planner is heard and hears nothing while a change is made: it acts by the former version until its lease ends.
fn deaf_planner(world: &mut World) {
    let id = world.leaves()[0];
    world.cut_off(id, (false, true));
    world.propose(ScopeId(100), draw(60.0));
    world.propose(ScopeId(101), draw(60.0));
    world.run(S(2));
}

/// Links get lost while changes follow each other.
fn lost_links(world: &mut World) {
    world.loss = 0.3;
    for k in 0..12 {
        world.propose(ScopeId(100), draw(50.0 + f64::from(k)));
        world.run(MS(600));
    }
}

/// Planners stand still while changes are made, and run on: answers to old renewals lie in their sockets.
fn stopped_planners(world: &mut World) {
    for id in world.leaves() {
        world.stop(id, true);
        world.propose(ScopeId(100), draw(40.0 + (id % 50) as f64));
        world.propose(ScopeId(101), draw(40.0 + (id % 50) as f64));
        world.run(S(3));
        world.stop(id, false);
        world.run(MS(300));
    }
}

/// The leader reaches the relays of one zone and nobody else; another is elected.
fn cut_off_leader(world: &mut World) {
    let (leader, _) = world.leader.unwrap();
    world.cut_from_all_but(leader, &[1]);
    for k in 0..8 {
        world.propose(ScopeId(100), draw(50.0 + f64::from(k)));
        world.run(MS(900));
    }
}

/// What the guards are for: without one, planners act on versions that contradict each other, or hold two histories; with
/// it, the same schedule is harmless.
#[rstest]
#[case::a_relay_answers_for_a_planner_that_is_dead(Without::Waiting, deaf_planner)]
#[case::a_link_is_applied_over_a_gap(Without::Chain, lost_links)]
#[case::a_lease_counts_from_the_answer(Without::Sending, stopped_planners)]
#[case::a_leader_grants_past_its_time(Without::Authority, cut_off_leader)]
fn a_guard_that_is_missing_is_found(#[case] without: Without, #[case] schedule: fn(&mut World)) {
    let broken = |seed: u64, without: Without| {
        let mut world = World::settled(3, 3, 18, seed, without);
        schedule(&mut world);
        world.broken
    };
    let found = (0..40).any(|seed| !broken(seed, without).is_empty());
    assert!(found, "the fault is not found");
    for seed in 0..4 {
        assert_eq!(broken(seed, Without::Nothing), Vec::<String>::new());
    }
}

/// A region's return does not ask for more than budgets allow, and comes to the newest versions.
#[rstest]
fn a_zone_that_was_away_catches_up_from_links_or_a_snapshot() {
    for changes in [5, 100] {
        let mut world = World::settled(3, 3, 18, 8, Without::Nothing);
        world.cut_zone(2);
        for k in 0..changes {
            world.propose(ScopeId(101), draw(50.0 + f64::from(k)));
            world.run(Duration::from_millis(260));
        }
        world.run(S(3));
        world.heal();
        world.run(S(6));
        assert!(version(&world, ScopeId(101)) >= Some(3) && world.open.is_empty(), "{}", world.shown());
        assert_eq!(world.broken, Vec::<String>::new());
    }
}
