//! The model: the same day twice, on one thread and on four; rules kept and breaches caught; recorded days.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

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

/// A day that was played, and all that passed.
struct Played {
    modelled: SimulatedDay,
    record: Record,
}

fn play_by(day: &Day, by: PlannedBy, recording: Option<Recording<'_>>) -> Played {
    let mut record = Record::default();
    let modelled = simulate(day, by, recording, &mut |at, passed| record.put(at, passed.clone())).unwrap();
    Played { modelled, record }
}

fn play(day: &Day) -> Played {
    play_by(day, PlannedBy::Planner, None)
}

/// A recorded day without lists or joins.
fn recording<'a>(past: Vec<(Duration, Input)>) -> Recording<'a> {
    let mut past = past.into_iter();
    Recording { opening: None, unjoined: BTreeSet::new(), next: Box::new(move || Ok(past.next())) }
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
fn the_bad_day_keeps_the_rules_and_is_the_same_twice_and_on_any_threads() {
    let day = bad_day(11);
    let first = play(&day);
    let broken: Vec<_> = first.modelled.verdicts.iter().filter(|v| v.first.is_some()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(first.modelled.verdicts.iter().all(|v| v.checked > 0));
    assert!(first.modelled.service.overall > 0.8, "service {:.3}", first.modelled.service.overall);
    let four: Vec<Played> = std::thread::scope(|scope| {
        let runs: Vec<_> = (0..4).map(|_| scope.spawn(|| play(&day))).collect();
        runs.into_iter().map(|r| r.join().unwrap()).collect()
    });
    for again in four {
        assert!(again.record.passed == first.record.passed, "another record of the same day");
        assert_eq!(again.modelled.events, first.modelled.events);
    }
    let other = play(&bad_day(12));
    assert!(other.record.passed != first.record.passed, "another seed changed nothing");
}

#[rstest]
fn a_grace_that_no_planner_could_keep_is_seen_to_be_broken() {
    let mut day = bad_day(11);
    day.rules.grace.0 = Duration::from_millis(20);
    let broken: Vec<Rule> =
        play(&day).modelled.verdicts.iter().filter(|v| v.first.is_some()).map(|v| v.rule).collect();
    assert!(broken.contains(&Rule::Drained), "{broken:?}");
}

#[rstest]
fn repeats_follow_what_becomes_of_recorded_first_calls() {
    let mut day = bad_day(11);
    day.troubles.clear();
    day.length.0 = Duration::from_secs(20);
    let every = Duration::from_millis(15);
    let past = || recording(calls(1000, Duration::from_secs(2), every, 12));
    let repeats = |played: &Played| {
        let again = |p: &Event| matches!(p, Event::Sent { call, .. } if call.attempt > 0);
        let sent = played.record.passed.iter().filter(|(_, p)| again(p)).count();
        let asked = played.record.passed.iter().filter(|(_, p)| matches!(p, Event::Asked { .. })).count();
        assert_eq!(asked, 1000);
        sent
    };
    let calm = play_by(&day, PlannedBy::Planner, Some(past()));
    // With every server slow to a crawl the same first calls come again.
    for server in &mut day.servers {
        (server.speed, server.room) = (server.speed / 14.0, 4);
    }
    let crowded = play_by(&day, PlannedBy::Planner, Some(past()));
    assert!(repeats(&calm) < 20, "{} repeats on a calm day", repeats(&calm));
    assert!(repeats(&crowded) > 100, "{} repeats on a crowded day", repeats(&crowded));
    assert!(crowded.modelled.service.overall < calm.modelled.service.overall);
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
fn proxies_that_lost_the_planner_go_on_with_the_tables_that_they_had() {
    let day = quiet_day(20);
    // 41 of 100: five of twelve. They leave before a server drains, and are back after it is gone.
    let lost = [1, 4, 5, 8, 11];
    let mut past = calls(1500, Duration::from_secs(2), Duration::from_millis(10), 12);
    let at = Duration::from_secs;
    past.extend(lost.iter().map(|p| (at(6), Input::Left { proxy: *p })));
    let entry = |phase| RecordedEntry { phase, ..ready(&day, &[("east", 1)]).remove(0) };
    past.push((at(8), Input::List { version: 2, base: 1, entries: vec![entry(EndpointState::Draining)] }));
    past.extend(lost.iter().map(|p| (at(15), Input::Joined { proxy: *p })));
    past.sort_by_key(|p| p.0);
    let mut past = past.into_iter();
    let opening = Some(ready(&day, &[("east", 4), ("west", 5)]));
    let next = Box::new(move || Ok(past.next()));
    let played =
        play_by(&day, PlannedBy::Planner, Some(Recording { opening, unjoined: BTreeSet::new(), next }));
    assert!(played.modelled.kept(), "{:?}", played.modelled.verdicts);
    let draining = (played.record.passed.iter()).find_map(|(_, p)| match p {
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
        played.record.passed.iter().filter(counts).count()
    };
    let without = |p: usize| lost.contains(&p);
    assert!(sent(&without, 11, 15) > 5, "they go on with what they held");
    assert_eq!(sent(&|p| !without(p), 11, 20), 0, "the others were told");
    assert_eq!(sent(&without, 17, 20), 0, "and these are told once they are back");
    let left = |(_, p): &&(Duration, Event)| matches!(p, Event::Left { .. });
    assert_eq!(played.record.passed.iter().filter(left).count(), lost.len());
}

#[rstest]
#[case::one_more_than_the_day_has(&[("east", 6), ("west", 6)], 12)]
#[case::fewer(&[("east", 2), ("west", 1)], 3)]
fn a_recorded_list_says_which_servers_there_are(#[case] by_zone: &[(&str, usize)], #[case] count: usize) {
    let day = quiet_day(8);
    let past = calls(300, Duration::from_secs(2), Duration::from_millis(18), 12);
    let mut past = past.into_iter();
    let opening = Some(ready(&day, by_zone));
    let next = Box::new(move || Ok(past.next()));
    let played =
        play_by(&day, PlannedBy::Planner, Some(Recording { opening, unjoined: BTreeSet::new(), next }));
    let told = played.record.passed.iter().find_map(|(_, p)| match p {
        Event::ListTold(list) => Some(list.entries.len()),
        _ => None,
    });
    assert_eq!(told, Some(count));
    assert!(played.modelled.kept());
}

#[rstest]
fn a_planner_that_was_lost_comes_back_with_the_next_that_began_and_old_lists_are_not_believed() {
    let day = quiet_day(20);
    let at = Duration::from_secs;
    let mut past = calls(1500, at(2), Duration::from_millis(10), 12);
    let opening = ready(&day, &[("east", 4), ("west", 5)]);
    let gone = RecordedEntry { phase: EndpointState::Removed, ..opening[0].clone() };
    let never = RecordedEntry { server: "nobody".into(), ..gone.clone() };
    past.extend([
        (at(0), Input::PlannerBegan { planner: 1 }),
        (at(0), Input::List { version: 4, base: 0, entries: opening.clone() }),
        (at(5), Input::PlannerLost { planner: 1 }),
        (at(9), Input::PlannerBegan { planner: 2 }),
        (at(12), Input::List { version: 5, base: 4, entries: vec![gone, never] }),
        (at(14), Input::List { version: 4, base: 0, entries: opening.clone() }),
    ]);
    past.sort_by_key(|p| p.0);
    let mut past = past.into_iter();
    let next = Box::new(move || Ok(past.next()));
    let recording = Recording { opening: Some(opening), unjoined: BTreeSet::new(), next };
    let played = play_by(&day, PlannedBy::Planner, Some(recording));
    assert!(played.modelled.kept(), "{:?}", played.modelled.verdicts);
    let starts: BTreeSet<u64> = (played.record.passed.iter())
        .filter_map(|(_, p)| if let Event::Joined { start, .. } = p { Some(*start) } else { None })
        .collect();
    assert_eq!(starts.len(), 2, "two planners were joined");
    let down = |(_, p): &&(Duration, Event)| matches!(p, Event::Down { .. });
    assert_eq!(played.record.passed.iter().filter(down).count(), 1, "an old list brings nothing back");
}

#[rstest]
fn a_planner_serves_better_than_even_weights_and_no_better_than_perfect_knowledge() {
    let service = |by| play_by(&bad_day(11), by, None).modelled.service.overall;
    let (even, planner, best) =
        (service(PlannedBy::Evenly), service(PlannedBy::Planner), service(PlannedBy::Nobody));
    assert!(even + 0.01 < planner && planner < best, "{even:.4} {planner:.4} {best:.4}");
}

/// A server that stands still for two seconds, under calls that come whatever it does: the call that is due k
/// gaps after the stop is answered when the server runs on and has done the k before it.
#[rstest]
#[case::half_used(10, 20)]
#[case::almost_full(16, 20)]
fn open_loop_callers_are_late_by_the_freeze_and_what_piled_up(#[case] work_ms: u64, #[case] gap_ms: u64) {
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
    let past = (0..count).map(|i| (due(i), Input::Call(call(i)))).collect();
    let played = play_by(&day, PlannedBy::Evenly, Some(recording(past)));
    let mut asked = vec![];
    let mut lateness = std::collections::BTreeMap::new();
    for (at, p) in &played.record.passed {
        match p {
            Event::Asked { id, .. } => asked.push((*id, *at)),
            Event::Done { id, outcome: CallOutcome::Answered, .. } => {
                let due = asked.iter().find(|a| a.0 == *id).unwrap().1;
                lateness.insert(due, *at - due);
            }
            _ => {}
        }
    }
    assert_eq!(lateness.len(), count as usize, "all are answered");
    // Worked out beside the model: one server, first come, first served, nothing begun while it stands still.
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

/// The deployment's servers are unlike each other, so what was learnt of them is worth something.
#[rstest]
fn a_takeover_keeps_the_rules_and_loses_no_more_than_a_restart() {
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
            let played = play(&day).modelled;
            assert!(played.kept(), "{:?}", played.verdicts);
            played.service.overall
        };
        (0..6).map(of).sum::<f64>() / 6.0
    };
    let (taken_over, restarted) = (service(What::Takeover), service(What::PlannerKilled));
    assert!(taken_over >= restarted - 0.001, "{taken_over:.4} {restarted:.4}");
}
