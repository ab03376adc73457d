//! Three controllers as processes over one fleet. The leader is killed, stopped or cut off during other events, and the
//! rules are checked against the messages on the sockets.

use crate::helpers::Fleet;
use grebespool_cluster::audit_accounts;
use grebespool_emulator::{FleetHost, RehearsedDay, rehearse};
use grebespool_invariants::{Event, Record};
use grebespool_settings::Day;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

const SMALL: &str = include_str!("../../../emulator/tests/small.ncl");
const DEPLOY: &str = "{ at = \"3s\", what = 'Deploy { servers = 3, every = \"500ms\", drain = \"2500ms\", down = \"300ms\" } }";

fn day(troubles: &str) -> Day {
    let text = format!("({SMALL}) & {{ troubles = [{troubles}] }}");
    Day::parse(&text, "a day").unwrap_or_else(|bad| panic!("{bad}"))
}

fn play(day: &Day, cutting: bool) -> RehearsedDay {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_grebespool-cli"));
    let accounts = tempfile::tempdir().unwrap();
    let host = FleetHost::new(program, Duration::from_millis(1800), 3, accounts.path().into()).unwrap();
    let host = if cutting { host.cutting() } else { host };
    let played = rehearse(day, Box::new(host), None, None).unwrap();
    let found = audit_accounts(accounts.path()).unwrap();
    assert_eq!((found.duplicates, found.by_stale_holders, found.missing), (0, 0, 0), "{found:?}");
    // A period is 0.4 s. Each new owner of the accounts continues with the next step.
    assert!(found.steps >= 4 && found.requests > 0, "{found:?}");
    assert!(found.longest_gap < Duration::from_secs(8), "{found:?}");
    played
}

/// Returns the terms whose updates proxies received, and the number of updates after one of a newer term.
fn terms(record: &Record) -> (BTreeSet<u64>, usize) {
    let (mut seen, mut newest, mut older) = (BTreeSet::new(), BTreeMap::<u16, u64>::new(), 0);
    for (_, passed) in &record.passed {
        if let Event::Delivered { proxy, orders } = passed {
            seen.insert(orders.term);
            let last = newest.entry(*proxy).or_default();
            older += usize::from(orders.term < *last);
            *last = orders.term.max(*last);
        }
    }
    (seen, older)
}

#[rstest]
#[case::killed_in_a_deploy("{ at = \"4s\", lasts = \"3s\", what = 'PlannerKilled }", false, 0.7)]
#[case::stopped_in_a_deploy("{ at = \"4s\", lasts = \"6s\", what = 'PlannerStalled }", false, 0.7)]
#[case::cut_off_in_a_deploy("{ at = \"4s\", lasts = \"3s\", what = 'PlannerStalled }", true, 0.7)]
#[case::killed_in_a_rush_of_joins(
    "{ at = \"4s\", what = 'StreamsBreak { share = 1 } }, { at = \"4100ms\", lasts = \"3s\", what = 'PlannerKilled }",
    false,
    0.7
)]
#[case::killed_twice(
    "{ at = \"3500ms\", lasts = \"1500ms\", what = 'PlannerKilled }, { at = \"6s\", lasts = \"2s\", what = 'PlannerKilled }",
    false,
    0.6
)]
fn another_takes_over_and_all_rules_are_kept(
    #[case] trouble: &str,
    #[case] cutting: bool,
    #[case] least: f64,
) {
    let played = play(&day(&format!("{DEPLOY}, {trouble}")), cutting);
    let broken: Vec<_> = played.verdicts.iter().filter(|v| v.first.is_some()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(played.service.overall > least, "service {:.3}", played.service.overall);
    let (terms, older) = terms(&played.record);
    assert!(terms.len() >= 2, "no other member took over: {terms:?}");
    assert_eq!(older, 0, "updates of a former leader came after those of a newer one");
    // Proxies do not wait for a leader that hangs with its streams open.
    let when = |of: &dyn Fn(&Event) -> bool| played.record.passed.iter().find(|(_, p)| of(p)).map(|p| p.0);
    let newest = terms.last().copied();
    let next = when(&|p| matches!(p, Event::Delivered { orders, .. } if Some(orders.term) == newest));
    let resumed = when(&|p| matches!(p, Event::PlannerResumed));
    assert!(resumed.is_none_or(|at| next < Some(at)), "{next:?} {resumed:?}");
    // Each leader is a planner with its own incarnation, which continues with what the fleet has learned of servers.
    let starts: BTreeSet<u64> = (played.record.passed.iter())
        .filter_map(|(_, p)| if let Event::Joined { start, .. } = p { Some(*start) } else { None })
        .collect();
    assert_eq!(starts.len(), terms.len(), "each leader is a planner of its own");
}

#[rstest]
fn a_calm_day_has_one_leader() {
    let played = play(&day(""), false);
    assert!(played.kept());
    assert_eq!(terms(&played.record).0.len(), 1);
}

#[rstest]
fn members_are_formed_shown_added_removed_and_step_down() {
    let mut fleet = Fleet::new(4);
    let (code, text) = {
        fleet.write_settings(0, &[1, 2]);
        fleet.run(&["serve", "m0.ncl"])
    };
    assert!(code == Some(2) && text.contains("no member's state is here"), "{text}");
    for i in 0..3 {
        let others: Vec<usize> = (0..3).filter(|o| *o != i).collect();
        fleet.write_settings(i, &others);
        fleet.run_until_ok(&["members", "form", &format!("m{i}.ncl")], "3 members");
    }
    let (code, text) = fleet.run(&["members", "form", "m0.ncl"]);
    assert!(code == Some(2) && text.contains("would vote again as another"), "{text}");
    // The settings name other members than the folder was formed with.
    fleet.write_settings(0, &[1]);
    let (code, text) = fleet.run(&["serve", "m0.ncl"]);
    assert!(code == Some(2) && text.contains("not the members that"), "{text}");
    fleet.write_settings(0, &[1, 2]);
    (0..3).for_each(|i| fleet.start(i));
    let first = fleet.leader(&[0, 1, 2]);
    let (code, text) = fleet.run(&["serve", &format!("m{first}.ncl"), "--listen", "127.0.0.1:0"]);
    assert!(code == Some(2) && text.contains("another process has it open"), "{text}");
    fleet.run_until_ok(&["members", "step-down", &format!("m{first}.ncl")], "it stands down");
    let others: Vec<usize> = (0..3).filter(|i| *i != first).collect();
    let second = fleet.leader(&others);
    // Adds and removes a member through a member that does not lead.
    fleet.write_settings(3, &[]);
    fleet.run_until_ok(&["members", "join", "m3.ncl"], "to be added");
    fleet.start(3);
    let (asked, address) = (format!("m{first}.ncl"), format!("127.0.0.1:{}", fleet.ports[7]));
    let (_, text) = fleet.run(&["members", "add", &asked, "m9", &address]);
    assert!(text.contains("m3 is at") && text.contains("not m9"), "{text}");
    fleet.run_until_ok(&["members", "add", &asked, "m3", &address], "m3 takes part");
    fleet.run_until_ok(&["members", "remove", &asked, &format!("m{first}")], "takes no part any more");
    let (_, text) = fleet.run(&["members", "show", &format!("m{second}.ncl")]);
    assert!(text.contains("m3 ") && !text.contains(&format!("  m{first} ")), "{text}");
    // After the loss of the first two leaders, the remaining member and the new one elect a leader.
    for i in [first, second] {
        let mut child = fleet.running[i].take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }
    let rest: Vec<usize> = (0..4).filter(|i| *i != first && *i != second).collect();
    let third = fleet.leader(&rest);
    assert!(rest.contains(&third));
}

/// Any member passes requests on to the planner of the leader. Requests that fail change nothing.
#[rstest]
fn site_requests_to_any_member_reach_the_leader() {
    let mut fleet = Fleet::new(3);
    fleet.form_three();
    let leader = fleet.leader(&[0, 1, 2]);
    let other = format!("m{}.ncl", (leader + 1) % 3);
    fleet.run_until_ok(&["sites", "show", &other], "east: whole");
    for (arguments, expected) in [
        (&["sites", "out", &other, "north"][..], "there is no site \"north\"; there are east, west"),
        (&["sites", "out", &other, "east", "--dry-run"][..], "nothing tells what site"),
        (&["sites", "out", &other, "east", "--force"][..], "nothing tells what site"),
        (&["sites", "back", &other, "west"][..], "west is whole already"),
    ] {
        let (code, text) = fleet.run(arguments);
        assert!(code == Some(2) && text.contains(expected), "{text}");
    }
    fleet.run_until_ok(&["sites", "show", &other], "west: whole");
}

/// The owner of the accounts is stopped for longer than its lease and continued, then killed, and then all members are
/// killed at once and restarted. Another member continues after the last step, and steps that the former owner had started
/// are not done twice.
#[rstest]
fn another_member_continues_when_the_owner_of_a_duty_is_stopped_or_killed() {
    let mut fleet = Fleet::new(3);
    fleet.form_three();
    let mut steps = fleet.wait_for_steps_beyond(2);
    for _ in 0..2 {
        let first = fleet.owner(&[0, 1, 2], &[]);
        let others: Vec<usize> = (0..3).filter(|i| *i != first).collect();
        fleet.signal(first, "-STOP");
        fleet.owner(&others, &[first]);
        steps = fleet.wait_for_steps_beyond(steps + 1);
        fleet.signal(first, "-CONT");
        steps = fleet.wait_for_steps_beyond(steps + 2);
    }
    let first = fleet.owner(&[0, 1, 2], &[]);
    let others: Vec<usize> = (0..3).filter(|i| *i != first).collect();
    fleet.running[first].take().map(|mut c| (c.kill(), c.wait())).unwrap().1.unwrap();
    fleet.owner(&others, &[first]);
    steps = fleet.wait_for_steps_beyond(steps + 1);
    fleet.start(first);
    for child in &mut fleet.running {
        child.take().map(|mut c| (c.kill(), c.wait())).unwrap().1.unwrap();
    }
    (0..3).for_each(|i| fleet.start(i));
    fleet.wait_for_steps_beyond(steps + 3);
}

#[rstest]
fn duties_are_shown_moved_held_and_released() {
    let mut fleet = Fleet::new(3);
    fleet.form_three();
    let first = fleet.owner(&[0, 1, 2], &[]);
    let (next, asked) = ((first + 1) % 3, format!("m{first}.ncl"));
    for (arguments, expected) in [
        (&["duties", "move", &asked, "nothing", "m1"][..], "no duty \"nothing\"; there are accounts"),
        (&["duties", "move", &asked, "accounts", "m9"][..], "no member \"m9\""),
        (&["duties", "hold", &asked, "accounts", "--for", "0"][..], "--for 0"),
        (&["duties", "release", &asked, "accounts"][..], "neither held nor moved"),
    ] {
        let (code, text) = fleet.run(arguments);
        assert!(code == Some(2) && text.contains(expected), "{text}");
    }
    fleet.run_until_ok(&["duties", "move", &asked, "accounts", &format!("m{next}")], "accounts goes to");
    assert_eq!(fleet.owner(&[first], &[first]), next);
    fleet.run_until_ok(&["duties", "hold", &asked, "accounts", "--for", "60"], "rests for 60 s");
    fleet.run_until_ok(&["duties", "show", &asked], "rests for");
    std::thread::sleep(Duration::from_millis(600));
    let held = fleet.steps();
    std::thread::sleep(Duration::from_millis(900));
    assert_eq!(fleet.steps(), held, "no member works on a suspended duty");
    fleet.run_until_ok(&["duties", "release", &asked, "accounts"], "is released");
    fleet.wait_for_steps_beyond(held + 2);
}
