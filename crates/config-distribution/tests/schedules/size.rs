//! Many planners, delays as between regions, and the plan's restarts in proportion: how long a change takes, and what a
//! planner spends. `cargo test --release -p grebespool-config-distribution size -- --nocapture` prints the figures;
//! `DISTRIBUTION_PLANNERS=4000` before it has another size.

use crate::world::*;
use grebespool_config_distribution::ScopeId;
use rand::Rng;
use rstest::rstest;
use std::time::Duration;

/// Names how many planners there are; a zone has about as many as in the plan.
const SIZE: &str = "DISTRIBUTION_PLANNERS";
const USUAL: usize = if cfg!(debug_assertions) { 120 } else { 1300 };
const PLANNERS_PER_ZONE: usize = if cfg!(debug_assertions) { 40 } else { 88 };
const CONTROL: usize = 15;
fn planners() -> usize {
    std::env::var(SIZE).map_or(USUAL, |size| size.parse().expect("a number of planners"))
}

fn zones() -> u32 {
    planners().div_ceil(PLANNERS_PER_ZONE) as u32
}

/// Of the plan's fleet: a restart in 7.9 s and a change in 5.4 s, at 13,000 planners.
const PLANNED: f64 = 13_000.0;
const RESTART_EVERY: f64 = 7.9;
const CHANGE_EVERY: f64 = 5.4;
/// How often a restart is one that nobody planned: 110 failures for 11,000 restarts.
const FAILURES: f64 = 0.01;
const DOWN: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(100);

#[rstest]
#[case::as_planned(1.0, 1.0, 120)]
#[case::ten_times_the_restarts(10.0, 1.0, 60)]
#[case::a_hundred_changes_at_once(1.0, 0.0, 20)]
fn a_change_is_in_force_in_time_at_size(#[case] restarts: f64, #[case] changes: f64, #[case] seconds: u64) {
    let mut world = World::sized(CONTROL, zones(), planners(), 3);
    world.slowest = MS(150);
    world.run(S(10));
    let part = planners() as f64 / PLANNED;
    let began = world.now;
    let first = world.answered.len() + world.open.len();
    let (mut restarted, mut changed) = (0.0, 0.0);
    let mut down: Vec<(Duration, u64)> = vec![];
    if changes == 0.0 {
        for k in 0..100 {
            let scope = world.some_scope();
            world.propose(scope, draw(f64::from(k) + 0.25));
        }
    }
    world.count_bytes();
    while world.now < began + S(seconds) {
        let passed = (world.now - began).as_secs_f64();
        // At least some happen in a small fleet too.
        while restarted < passed / RESTART_EVERY * (restarts * part).max(0.5) {
            restarted += 1.0;
            let planners = world.planners();
            let id = planners[world.rng.random_range(0..planners.len())];
            if world.rng.random_bool(FAILURES) {
                world.crash(id)
            } else {
                world.leave(id)
            }
            down.push((world.now + DOWN, id));
        }
        while changed < passed / CHANGE_EVERY * changes {
            changed += 1.0;
            let scope = world.some_scope();
            world.propose(scope, draw(changed));
        }
        world.run(STEP);
        let now = world.now;
        let up: Vec<u64> = down.iter().filter(|d| d.0 <= now).map(|d| d.1).collect();
        down.retain(|d| d.0 > now);
        up.into_iter().for_each(|id| world.boot(id));
    }
    let bytes = world.bytes_per_second(S(seconds));
    world.run(S(4));
    assert!(world.open.is_empty(), "{:?}", world.open);
    let mut took: Vec<Duration> = world.took.iter().skip(first).copied().collect();
    took.sort();
    let at = |part: f64| took[(part * (took.len() - 1) as f64).round() as usize];
    println!(
        "{} planners, {} zones, {CONTROL} control machines, restarts x {restarts}: {} changes, p50 {:?}, p90 {:?}, \
         p99 {:?}, worst {:?}; bytes a second sent: planner {:.0}, busiest relay {:.0}, leader {:.0}",
        planners(),
        zones(),
        took.len(),
        at(0.5),
        at(0.9),
        at(0.99),
        at(1.0),
        bytes.0,
        bytes.1,
        bytes.2
    );
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(at(1.0) < S(3), "{took:?}");
}

fn relays_of_ten_zones(world: &mut World) {
    let relays: Vec<u64> = (0..zones().min(10)).filter_map(|zone| world.relay_of(zone)).collect();
    assert_eq!(relays.len(), zones().min(10) as usize);
    relays.into_iter().for_each(|id| world.crash(id));
}

fn leader(world: &mut World) {
    let (id, _) = world.leader.unwrap();
    world.crash(id);
}

fn a_minority_of_control(world: &mut World) {
    let control = world.control();
    control.into_iter().take(CONTROL / 2).for_each(|id| world.crash(id));
}

#[rstest]
#[case::a_relay_of_each_of_ten_zones(relays_of_ten_zones)]
#[case::the_leader(leader)]
#[case::seven_of_fifteen_control_machines(a_minority_of_control)]
fn a_change_is_in_force_in_time_after_a_loss_at_size(#[case] loss: fn(&mut World)) {
    let mut world = World::sized(CONTROL, zones(), planners(), 5);
    world.slowest = MS(150);
    world.run(S(10));
    let before = world.took.len();
    loss(&mut world);
    for service in 100..104 {
        world.propose(ScopeId(service), draw(42.0));
    }
    world.run(S(6));
    let worst = world.took[before..].iter().max().copied();
    println!("{} planners: in force after {worst:?}", planners());
    assert!(world.open.is_empty() && worst < Some(S(3)), "{worst:?}");
    world.heal();
    world.run(S(8));
    assert_eq!(world.broken, Vec::<String>::new());
    assert!(world.agreed().is_some());
}
