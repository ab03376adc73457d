//! The simulation: it is deterministic on any number of threads, keeps the rules, finds violations and follows recorded
//! days.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_invariants::{Event, Record, Rule};
use grebespool_settings::{Day, What};
use grebespool_simulation::{
    FirstRequest, Input, PlannedBy, RecordedEntry, Recording, SimulatedDay, simulate,
};
use grebespool_wire::{CallOutcome, EndpointState};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const BAD: &str = include_str!("../../../examples/bad-day.ncl");

fn bad_day(seed: u64) -> Day {
    let mut day = Day::parse(BAD, "the bad day").unwrap_or_else(|bad| panic!("{bad}"));
    day.seed = seed;
    day
}

/// A simulated day and its record.
struct Run {
    result: SimulatedDay,
    record: Record,
}

fn run_by(day: &Day, by: PlannedBy, recording: Option<Recording<'_>>) -> Run {
    let mut record = Record::default();
    let result = simulate(day, by, recording, &mut |at, passed| record.put(at, passed.clone())).unwrap();
    Run { result, record }
}

fn run(day: &Day) -> Run {
    run_by(day, PlannedBy::Planner, None)
}

/// Returns a recorded day without lists or joins.
fn recording<'a>(inputs: Vec<(Duration, Input)>) -> Recording<'a> {
    let mut inputs = inputs.into_iter();
    Recording { opening: None, unjoined: BTreeSet::new(), next: Box::new(move || Ok(inputs.next())) }
}

fn calls(count: u64, from: Duration, every: Duration, proxies: usize) -> Vec<(Duration, Input)> {
    let call = |i: u64| {
        let due = from + every * i as u32;
        let (route, work) = ((i % 3) as u8, Duration::from_millis(40));
        (due, Input::Call(FirstRequest { due, route, key: i, work, proxy: i as usize % proxies }))
    };
    (0..count).map(call).collect()
}

#[rstest]
fn the_bad_day_keeps_the_rules_and_is_identical_on_repeat_and_on_several_threads() {
    let day = bad_day(11);
    let first = run(&day);
    let broken: Vec<_> = first.result.verdicts.iter().filter(|v| v.first.is_some()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(first.result.verdicts.iter().all(|v| v.checked > 0));
    assert!(first.result.service.overall > 0.8, "service {:.3}", first.result.service.overall);
    let four: Vec<Run> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..4).map(|_| scope.spawn(|| run(&day))).collect();
        runs.into_iter().map(|r| r.join().unwrap()).collect()
    });
    for again in four {
        assert!(again.record.passed == first.record.passed, "another record of the same day");
        assert_eq!(again.result.events, first.result.events);
    }
    let other = run(&bad_day(12));
    assert!(other.record.passed != first.record.passed, "another seed changed nothing");
}

#[rstest]
fn a_grace_that_no_planner_can_keep_is_reported_as_violated() {
    let mut day = bad_day(11);
    day.rules.grace.0 = Duration::from_millis(20);
    let broken: Vec<Rule> =
        run(&day).result.verdicts.iter().filter(|v| v.first.is_some()).map(|v| v.rule).collect();
    assert!(broken.contains(&Rule::Drained), "{broken:?}");
}

#[rstest]
fn clients_repeat_recorded_requests_by_their_simulated_outcome() {
    let mut day = bad_day(11);
    day.troubles.clear();
    day.length.0 = Duration::from_secs(20);
    let every = Duration::from_millis(15);
    let inputs = || recording(calls(1000, Duration::from_secs(2), every, 12));
    let repeats = |run: &Run| {
        let again = |p: &Event| matches!(p, Event::Sent { call, .. } if call.attempt > 0);
        let sent = run.record.passed.iter().filter(|(_, p)| again(p)).count();
        let asked = run.record.passed.iter().filter(|(_, p)| matches!(p, Event::Asked { .. })).count();
        assert_eq!(asked, 1000);
        sent
    };
    let calm = run_by(&day, PlannedBy::Planner, Some(inputs()));
    // With every server much slower, clients repeat the same requests.
    for server in &mut day.servers {
        (server.speed, server.room) = (server.speed / 14.0, 4);
    }
    let crowded = run_by(&day, PlannedBy::Planner, Some(inputs()));
    assert!(repeats(&calm) < 20, "{} repeats on a calm day", repeats(&calm));
    assert!(repeats(&crowded) > 100, "{} repeats on a crowded day", repeats(&crowded));
    assert!(crowded.result.service.overall < calm.result.service.overall);
}

fn ready(day: &Day, by_zone: &[(&str, usize)]) -> Vec<RecordedEntry> {
    let one = |zone: &str, i: usize| RecordedEntry {
        server: format!("{zone}-{i}"),
        number: 1,
        zone: zone.into(),
        phase: EndpointState::Ready,
        age: None,
    };
    assert!(by_zone.iter().all(|(z, _)| day.deployment.zones.iter().any(|d| d == z)));
    by_zone.iter().flat_map(|(z, n)| (0..*n).map(move |i| one(z, i))).collect()
}

fn quiet_day(seconds: u64) -> Day {
    let mut day = bad_day(11);
    day.troubles.clear();
    day.length.0 = Duration::from_secs(seconds);
    day
}

#[rstest]
fn proxies_that_lost_the_planner_keep_using_their_tables() {
    let day = quiet_day(20);
    // Five of twelve proxies leave before a server drains, and rejoin later.
    let lost = [1, 4, 5, 8, 11];
    let mut inputs = calls(1500, Duration::from_secs(2), Duration::from_millis(10), 12);
    let at = Duration::from_secs;
    inputs.extend(lost.iter().map(|p| (at(6), Input::Left { proxy: *p })));
    let entry = |phase| RecordedEntry { phase, ..ready(&day, &[("east", 1)]).remove(0) };
    inputs.push((at(8), Input::List { version: 2, base: 1, entries: vec![entry(EndpointState::Draining)] }));
    inputs.extend(lost.iter().map(|p| (at(15), Input::Joined { proxy: *p })));
    inputs.sort_by_key(|p| p.0);
    let mut inputs = inputs.into_iter();
    let opening = Some(ready(&day, &[("east", 4), ("west", 5)]));
    let next = Box::new(move || Ok(inputs.next()));
    let run = run_by(&day, PlannedBy::Planner, Some(Recording { opening, unjoined: BTreeSet::new(), next }));
    assert!(run.result.kept(), "{:?}", run.result.verdicts);
    let draining = (run.record.passed.iter()).find_map(|(_, p)| match p {
        Event::ListTold(list) => {
            list.entries.iter().find(|e| e.state == EndpointState::Draining).map(|e| e.server)
        }
        _ => None,
    });
    let sent = |proxies: &dyn Fn(usize) -> bool, from: u64, to: u64| {
        let counts = |(t, p): &&(Duration, Event)| match p {
            Event::Sent { proxy, server, .. } => {
                proxies(usize::from(*proxy)) && Some(*server) == draining && *t > at(from) && *t < at(to)
            }
            _ => false,
        };
        run.record.passed.iter().filter(counts).count()
    };
    let without = |p: usize| lost.contains(&p);
    assert!(sent(&without, 11, 15) > 5, "proxies without a planner keep sending to the server");
    assert_eq!(sent(&|p| !without(p), 11, 20), 0, "the other proxies stop sending");
    assert_eq!(sent(&without, 17, 20), 0, "proxies that rejoined stop sending");
    let left = |(_, p): &&(Duration, Event)| matches!(p, Event::Left { .. });
    assert_eq!(run.record.passed.iter().filter(left).count(), lost.len());
}

#[rstest]
#[case::more_than_the_day_has(&[("east", 6), ("west", 6)], 12)]
#[case::fewer_than_the_day_has(&[("east", 2), ("west", 1)], 3)]
fn a_recorded_list_determines_the_servers(#[case] by_zone: &[(&str, usize)], #[case] count: usize) {
    let day = quiet_day(8);
    let inputs = calls(300, Duration::from_secs(2), Duration::from_millis(18), 12);
    let mut inputs = inputs.into_iter();
    let opening = Some(ready(&day, by_zone));
    let next = Box::new(move || Ok(inputs.next()));
    let run = run_by(&day, PlannedBy::Planner, Some(Recording { opening, unjoined: BTreeSet::new(), next }));
    let listed = run.record.passed.iter().find_map(|(_, p)| match p {
        Event::ListTold(list) => Some(list.entries.len()),
        _ => None,
    });
    assert_eq!(listed, Some(count));
    assert!(run.result.kept());
}

#[rstest]
fn the_next_planner_replaces_a_lost_one_and_outdated_lists_are_ignored() {
    let day = quiet_day(20);
    let at = Duration::from_secs;
    let mut inputs = calls(1500, at(2), Duration::from_millis(10), 12);
    let opening = ready(&day, &[("east", 4), ("west", 5)]);
    let gone = RecordedEntry { phase: EndpointState::Removed, ..opening[0].clone() };
    let never = RecordedEntry { server: "nobody".into(), ..gone.clone() };
    inputs.extend([
        (at(0), Input::PlannerBegan { planner: 1 }),
        (at(0), Input::List { version: 4, base: 0, entries: opening.clone() }),
        (at(5), Input::PlannerLost { planner: 1 }),
        (at(9), Input::PlannerBegan { planner: 2 }),
        (at(12), Input::List { version: 5, base: 4, entries: vec![gone, never] }),
        (at(14), Input::List { version: 4, base: 0, entries: opening.clone() }),
    ]);
    inputs.sort_by_key(|p| p.0);
    let mut inputs = inputs.into_iter();
    let next = Box::new(move || Ok(inputs.next()));
    let recording = Recording { opening: Some(opening), unjoined: BTreeSet::new(), next };
    let run = run_by(&day, PlannedBy::Planner, Some(recording));
    assert!(run.result.kept(), "{:?}", run.result.verdicts);
    let starts: BTreeSet<u64> = (run.record.passed.iter())
        .filter_map(|(_, p)| if let Event::Joined { start, .. } = p { Some(*start) } else { None })
        .collect();
    assert_eq!(starts.len(), 2, "proxies joined two planners");
    let down = |(_, p): &&(Duration, Event)| matches!(p, Event::Down { .. });
    assert_eq!(run.record.passed.iter().filter(down).count(), 1, "an outdated list restarts no server");
}

#[rstest]
fn a_planner_serves_better_than_even_weights_and_no_better_than_perfect_knowledge() {
    let service = |by| run_by(&bad_day(11), by, None).result.service.overall;
    let (even, planner, best) =
        (service(PlannedBy::Evenly), service(PlannedBy::Planner), service(PlannedBy::Nobody));
    assert!(even + 0.01 < planner && planner < best, "{even:.4} {planner:.4} {best:.4}");
}

/// A server is suspended for two seconds while requests arrive at a fixed rate. The request that is due k gaps after the
/// suspension is answered after the server has resumed and completed the k requests before it.
#[rstest]
#[case::half_used(10, 20)]
#[case::almost_full(16, 20)]
fn open_loop_requests_are_late_by_the_suspension_and_the_backlog(#[case] work_ms: u64, #[case] gap_ms: u64) {
    let mut day = quiet_day(20);
    let (work, gap) = (Duration::from_millis(work_ms), Duration::from_millis(gap_ms));
    let (still, freeze) = (Duration::from_millis(5_001), Duration::from_secs(2));
    day.servers.truncate(1);
    (day.servers[0].count, day.servers[0].cores, day.servers[0].room) = (1, 1, 100_000);
    day.servers[0].zone = day.proxies[0].zone.clone();
    day.proxies.truncate(1);
    day.proxies[0].count = 1;
    day.deployment.proxies.expected = 1;
    for route in &mut day.deployment.routes {
        (route.time_limit.0, route.slo.0) = (Duration::from_secs(60), Duration::from_secs(1));
    }
    for caller in &mut day.callers {
        (caller.attempts, caller.patience) = (1, 1.0);
    }
    let slow = grebespool_settings::Trouble {
        at: grebespool_settings::Span(still),
        lasts: grebespool_settings::Span(freeze),
        what: grebespool_settings::What::Frozen { servers: 1 },
    };
    day.troubles = vec![slow];
    let due = |i: u64| Duration::from_secs(4) + gap * i as u32;
    let count = 600;
    let call = |i: u64| FirstRequest { due: due(i), route: 2, key: i, work, proxy: 0 };
    let inputs = (0..count).map(|i| (due(i), Input::Call(call(i)))).collect();
    let run = run_by(&day, PlannedBy::Evenly, Some(recording(inputs)));
    let mut asked = vec![];
    let mut lateness = std::collections::BTreeMap::new();
    for (at, p) in &run.record.passed {
        match p {
            Event::Asked { id, .. } => asked.push((*id, *at)),
            Event::Done { id, outcome: CallOutcome::Answered, .. } => {
                let due = asked.iter().find(|a| a.0 == *id).unwrap().1;
                lateness.insert(due, *at - due);
            }
            _ => {}
        }
    }
    assert_eq!(lateness.len(), count as usize, "every request is answered");
    // An independent calculation: one server, first come, first served, which begins nothing while it is suspended.
    let (mut free, mut worst) = (Duration::ZERO, Duration::ZERO);
    for (due, late) in &lateness {
        let arrives = *due + Duration::from_micros(200);
        let mut begins = free.max(arrives);
        if begins >= still && begins < still + freeze {
            begins = still + freeze;
        }
        let mut ends = begins + work;
        if begins < still && ends > still {
            ends += freeze;
        }
        free = ends;
        let answered = ends + Duration::from_micros(200);
        let off = (*late).abs_diff(answered - *due);
        assert!(off < Duration::from_millis(2), "due {due:?}: late {late:?}, expected {:?}", answered - *due);
        worst = worst.max(*late);
    }
    assert!(worst > freeze - gap && worst < freeze + gap + work * 2, "{worst:?}");
}

/// The servers have different speeds, so a planner without the learned weights serves worse.
#[rstest]
fn a_takeover_keeps_the_rules_and_serves_no_worse_than_a_restart() {
    let service = |what: What| {
        let of = |seed| {
            let mut day = bad_day(seed);
            day.length.0 = Duration::from_secs(40);
            day.servers[0].speed = 0.6;
            day.troubles = vec![grebespool_settings::Trouble {
                at: grebespool_settings::Span(Duration::from_secs(24)),
                lasts: grebespool_settings::Span(Duration::from_millis(1300)),
                what: what.clone(),
            }];
            let run = run(&day).result;
            assert!(run.kept(), "{:?}", run.verdicts);
            run.service.overall
        };
        (0..6).map(of).sum::<f64>() / 6.0
    };
    let (taken_over, restarted) = (service(What::Takeover), service(What::PlannerKilled));
    assert!(taken_over >= restarted - 0.001, "{taken_over:.4} {restarted:.4}");
}
