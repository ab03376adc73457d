//! Tests at size: many planners, delays as between regions, and restarts in proportion to the capacity plan. They
//! measure the duration of a change and the bytes that a planner sends.
//!
//! `cargo test --release -p grebespool-config-distribution size -- --nocapture` prints the figures; with
//! `DISTRIBUTION_PLANNERS=4000` before the command, the fleet has 4000 planners.

use crate::fleet::*;
use grebespool_config_distribution::ScopeId;
use rand::Rng;
use rstest::rstest;
use std::time::Duration;

/// Environment variable with the number of planners.
const PLANNERS_VARIABLE: &str = "DISTRIBUTION_PLANNERS";
/// Number of planners if the variable is not set.
const DEFAULT_PLANNERS: usize = if cfg!(debug_assertions) { 120 } else { 1300 };
/// Planners of a zone; 88 is about the number in the capacity plan.
const PLANNERS_PER_ZONE: usize = if cfg!(debug_assertions) { 40 } else { 88 };
/// Number of control machines.
const CONTROL: usize = 15;
fn planners() -> usize {
    std::env::var(PLANNERS_VARIABLE)
        .map_or(DEFAULT_PLANNERS, |size| size.parse().expect("a number of planners"))
}

fn zones() -> u32 {
    planners().div_ceil(PLANNERS_PER_ZONE) as u32
}

/// Number of planners in the capacity plan.
const PLANNED_PLANNERS: f64 = 13_000.0;
/// Time between two restarts in the capacity plan's fleet, in seconds.
const RESTART_INTERVAL_S: f64 = 7.9;
/// Time between two changes in the capacity plan's fleet, in seconds.
const CHANGE_INTERVAL_S: f64 = 5.4;
/// Fraction of restarts that are unplanned: 110 failures for 11,000 restarts.
const FAILURE_FRACTION: f64 = 0.01;
/// Time for which a restarted planner is down.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Time between two checks of which restarts and changes are due.
const STEP: Duration = Duration::from_millis(100);

#[rstest]
#[case::as_planned(1.0, 1.0, 120)]
#[case::ten_times_the_restarts(10.0, 1.0, 60)]
#[case::a_hundred_changes_at_once(1.0, 0.0, 20)]
fn activates_changes_in_time_at_size(#[case] restarts: f64, #[case] changes: f64, #[case] seconds: u64) {
    let mut fleet = TestFleet::sized(CONTROL, zones(), planners(), 3);
    fleet.max_delay = MS(150);
    fleet.run(S(10));
    let fleet_fraction = planners() as f64 / PLANNED_PLANNERS;
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
    fleet.start_counting_bytes();
    while fleet.now < began + S(seconds) {
        let elapsed = (fleet.now - began).as_secs_f64();
        // The lower bound makes restarts happen in a small fleet too.
        while restarted < elapsed / RESTART_INTERVAL_S * (restarts * fleet_fraction).max(0.5) {
            restarted += 1.0;
            let planners = fleet.planners();
            let id = planners[fleet.rng.random_range(0..planners.len())];
            if fleet.rng.random_bool(FAILURE_FRACTION) {
                fleet.crash(id)
            } else {
                fleet.shut_down(id)
            }
            down.push((fleet.now + DOWNTIME, id));
        }
        while changed < elapsed / CHANGE_INTERVAL_S * changes {
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
    let mut durations: Vec<Duration> = fleet.answer_durations.iter().skip(first).copied().collect();
    durations.sort();
    let percentile = |fraction: f64| durations[(fraction * (durations.len() - 1) as f64).round() as usize];
    println!(
        "{} planners, {} zones, {CONTROL} control machines, restarts x {restarts}: {} changes, p50 {:?}, p90 {:?}, \
         p99 {:?}, worst {:?}; bytes a second sent: planner {:.0}, busiest relay {:.0}, leader {:.0}",
        planners(),
        zones(),
        durations.len(),
        percentile(0.5),
        percentile(0.9),
        percentile(0.99),
        percentile(1.0),
        bytes.planner,
        bytes.busiest_planner,
        bytes.leader
    );
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert!(percentile(1.0) < S(3), "{durations:?}");
}

fn crash_a_relay_in_each_of_ten_zones(fleet: &mut TestFleet) {
    let relays: Vec<u64> = (0..zones().min(10)).filter_map(|zone| fleet.relay_of(zone)).collect();
    assert_eq!(relays.len(), zones().min(10) as usize);
    relays.into_iter().for_each(|id| fleet.crash(id));
}

fn crash_the_leader(fleet: &mut TestFleet) {
    let (id, _) = fleet.leader.unwrap();
    fleet.crash(id);
}

fn crash_a_minority_of_control(fleet: &mut TestFleet) {
    let control = fleet.control();
    control.into_iter().take(CONTROL / 2).for_each(|id| fleet.crash(id));
}

#[rstest]
#[case::a_relay_of_each_of_ten_zones(crash_a_relay_in_each_of_ten_zones)]
#[case::the_leader(crash_the_leader)]
#[case::seven_of_fifteen_control_machines(crash_a_minority_of_control)]
fn activates_changes_in_time_after_a_loss_at_size(#[case] loss: fn(&mut TestFleet)) {
    let mut fleet = TestFleet::sized(CONTROL, zones(), planners(), 5);
    fleet.max_delay = MS(150);
    fleet.run(S(10));
    let before = fleet.answer_durations.len();
    loss(&mut fleet);
    for service in 100..104 {
        fleet.propose(ScopeId(service), draw_limit(42.0));
    }
    fleet.run(S(6));
    let worst = fleet.answer_durations[before..].iter().max().copied();
    println!("{} planners: in force after {worst:?}", planners());
    assert!(fleet.open.is_empty() && worst < Some(S(3)), "{worst:?}");
    fleet.heal();
    fleet.run(S(8));
    assert_eq!(fleet.violations, Vec::<String>::new());
    assert!(fleet.active_everywhere().is_some());
}
