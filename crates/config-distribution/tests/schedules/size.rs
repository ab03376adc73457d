//! Many planners, delays as between regions, and the plan's restarts in proportion: how long a change takes, and what a
//! planner spends. `cargo test --release -p grebespool-config-distribution size -- --nocapture` prints the figures;
//! `DISTRIBUTION_PLANNERS=4000` before it has another size.

use crate::fleet::*;
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
fn activates_changes_in_time_at_size(#[case] restarts: f64, #[case] changes: f64, #[case] seconds: u64) {
    let mut fleet = TestFleet::sized(CONTROL, zones(), planners(), 3);
    fleet.max_delay = MS(150);
    fleet.run(S(10));
    let part = planners() as f64 / PLANNED;
    let began = fleet.now;
    let first = fleet.answered.len() + fleet.open.len();
    let (mut restarted, mut changed) = (0.0, 0.0);
    let mut down: Vec<(Duration, u64)> = vec![];
    if changes == 0.0 {
        for k in 0..100 {
            let scope = fleet.random_scope();
            fleet.propose(scope, draw_limit(f64::from(k) + 0.25));
        }
    }
    fleet.count_bytes();
    while fleet.now < began + S(seconds) {
        let passed = (fleet.now - began).as_secs_f64();
        // At least some happen in a small fleet too.
        while restarted < passed / RESTART_EVERY * (restarts * part).max(0.5) {
            restarted += 1.0;
            let planners = fleet.planners();
            let id = planners[fleet.rng.random_range(0..planners.len())];
            if fleet.rng.random_bool(FAILURES) {
                fleet.crash(id)
            } else {
                fleet.shut_down(id)
            }
            down.push((fleet.now + DOWN, id));
        }
        while changed < passed / CHANGE_EVERY * changes {
            changed += 1.0;
            let scope = fleet.random_scope();
            fleet.propose(scope, draw_limit(changed));
        }
        fleet.run(STEP);
        let now = fleet.now;
        let up: Vec<u64> = down.iter().filter(|d| d.0 <= now).map(|d| d.1).collect();
        down.retain(|d| d.0 > now);
        up.into_iter().for_each(|id| fleet.start(id));
    }
    let bytes = fleet.take_sent_bytes(S(seconds));
    fleet.run(S(4));
    assert!(fleet.open.is_empty(), "{:?}", fleet.open);
    let mut took: Vec<Duration> = fleet.took.iter().skip(first).copied().collect();
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
        bytes.planner,
        bytes.busiest_planner,
        bytes.leader
    );
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert!(at(1.0) < S(3), "{took:?}");
}

fn relays_of_ten_zones(fleet: &mut TestFleet) {
    let relays: Vec<u64> = (0..zones().min(10)).filter_map(|zone| fleet.relay_of(zone)).collect();
    assert_eq!(relays.len(), zones().min(10) as usize);
    relays.into_iter().for_each(|id| fleet.crash(id));
}

fn leader(fleet: &mut TestFleet) {
    let (id, _) = fleet.leader.unwrap();
    fleet.crash(id);
}

fn a_minority_of_control(fleet: &mut TestFleet) {
    let control = fleet.control();
    control.into_iter().take(CONTROL / 2).for_each(|id| fleet.crash(id));
}

#[rstest]
#[case::a_relay_of_each_of_ten_zones(relays_of_ten_zones)]
#[case::the_leader(leader)]
#[case::seven_of_fifteen_control_machines(a_minority_of_control)]
fn activates_changes_in_time_after_a_loss_at_size(#[case] loss: fn(&mut TestFleet)) {
    let mut fleet = TestFleet::sized(CONTROL, zones(), planners(), 5);
    fleet.max_delay = MS(150);
    fleet.run(S(10));
    let before = fleet.took.len();
    loss(&mut fleet);
    for service in 100..104 {
        fleet.propose(ScopeId(service), draw_limit(42.0));
    }
    fleet.run(S(6));
    let worst = fleet.took[before..].iter().max().copied();
    println!("{} planners: in force after {worst:?}", planners());
    assert!(fleet.open.is_empty() && worst < Some(S(3)), "{worst:?}");
    fleet.heal();
    fleet.run(S(8));
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert!(fleet.active_everywhere().is_some());
}
