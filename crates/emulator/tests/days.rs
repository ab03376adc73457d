//! Days on loopback around the real planner: with each fault alone, with several together, and with planners from
//! which one guard is removed, which the checker must report.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_controller_server::{PassThrough, UpdateFilter};
use grebespool_emulator::{PlannerHost, RehearsedDay, ThreadHost, rehearse};
use grebespool_invariants::{Event, Record, Rule, check};
use grebespool_server_model::invariant_facts;
use grebespool_settings::{Day, Deployment, ListSource};
use grebespool_wire::{
    AdmissionRule, Call, Change, EndpointState, RetryPolicy, ServerId, TableBinding, Update, WeightChange,
};
use rstest::rstest;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const SMALL: &str = include_str!("small.ncl");
const BAD: &str = include_str!("../../../examples/bad-day.ncl");

fn day(troubles: &str) -> Day {
    let text = format!("({SMALL}) & {{ troubles = [{troubles}] }}");
    Day::parse(&text, "a test's day").unwrap_or_else(|bad| panic!("{bad}"))
}

fn host(filter: fn() -> Box<dyn UpdateFilter>) -> ThreadHost {
    ThreadHost::with_filter(5, Duration::from_millis(1800), filter)
}

fn run(day: &Day) -> RehearsedDay {
    rehearse(day, Box::new(host(|| Box::new(PassThrough))), None, None).unwrap()
}

fn assert_kept(result: &RehearsedDay) {
    let broken: Vec<_> = result.verdicts.iter().filter(|v| v.first.is_some()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(result.verdicts[0].checked > 0 && result.verdicts[4].checked > 0, "nothing was checked");
}

#[rstest]
#[case::silent_servers("{ at = \"3s\", lasts = \"5s\", what = 'Silent { servers = 2 } }", 0.5)]
#[case::slow_servers("{ at = \"3s\", lasts = \"5s\", what = 'Slow { servers = 2, factor = 8 } }", 0.6)]
#[case::suspended_servers("{ at = \"3s\", lasts = \"2s\", what = 'Frozen { servers = 2 } }", 0.6)]
#[case::erring_servers("{ at = \"3s\", lasts = \"5s\", what = 'Erring { servers = 2 } }", 0.6)]
#[case::reports_of_zero("{ at = \"3s\", lasts = \"6s\", what = 'Lying { servers = 2, figure = 0 } }", 0.7)]
#[case::huge_reports("{ at = \"3s\", lasts = \"6s\", what = 'Lying { servers = 2, figure = 1e30 } }", 0.7)]
#[case::a_rolling_deploy(
    "{ at = \"2s\", what = 'Deploy { servers = 3, every = \"2s\", drain = \"2500ms\", down = \"400ms\" } }",
    0.7
)]
#[case::servers_that_return_within_the_delay_of_the_list(
    "{ at = \"3s\", what = 'Deploy { servers = 3, every = \"100ms\", drain = \"60ms\", down = \"60ms\" } }",
    0.6
)]
#[case::ports_that_come_back_as_other_servers("{ at = \"3s\", what = 'Replaced { servers = 3 } }", 0.6)]
#[case::a_planner_killed("{ at = \"4s\", lasts = \"700ms\", what = 'PlannerKilled }", 0.8)]
#[case::a_planner_killed_in_a_deploy(
    "{ at = \"2s\", what = 'Deploy { servers = 3, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } },
     { at = \"4s\", lasts = \"500ms\", what = 'PlannerKilled }, { at = \"4s\", what = 'StreamsBreak { share = 0.4 } }",
    0.6)]
#[case::a_planner_stalled("{ at = \"4s\", lasts = \"3s\", what = 'PlannerStalled }", 0.8)]
#[case::a_stall_in_a_deploy(
    "{ at = \"3s\", what = 'Deploy { servers = 2, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } },
     { at = \"3500ms\", lasts = \"2s\", what = 'PlannerStalled }",
    0.6
)]
#[case::many_joins_after_broken_streams("{ at = \"4s\", what = 'StreamsBreak { share = 0.9 } }", 0.8)]
#[case::streams_broken_in_mid_frame(
    "{ at = \"4s\", what = 'StreamsBreak { share = 0.9, mid_frame = true } }",
    0.8
)]
#[case::no_planner_in_a_deploy(
    "{ at = \"3s\", lasts = \"4s\", what = 'NoPlanner { share = 0.4 } },
     { at = \"3s\", what = 'Deploy { servers = 3, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } }",
    0.6
)]
#[case::slow_updates_in_a_deploy(
    "{ at = \"2s\", lasts = \"7s\", what = 'SlowOrders { delay = \"350ms\", bytes_per_s = 30000 } },
     { at = \"3s\", what = 'Deploy { servers = 2, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } }",
    0.6
)]
#[case::a_late_list(
    "{ at = \"2s\", lasts = \"6s\", what = 'ListLate { by = \"2s\" } },
     { at = \"3s\", what = 'Deploy { servers = 2, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } }",
    0.5
)]
#[case::outdated_and_repeated_lists(
    "{ at = \"2s\", what = 'Deploy { servers = 2, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } },
     { at = \"3s\", what = 'ListOld }, { at = \"4s\", what = 'ListTwice }, { at = \"7s\", what = 'ListOld }",
    0.6
)]
#[case::a_list_that_fails(
    "{ at = \"2s\", lasts = \"4s\", what = 'ListFails },
     { at = \"3s\", what = 'Deploy { servers = 2, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } }",
    0.5
)]
#[case::a_zone_cut("{ at = \"3s\", lasts = \"5s\", what = 'ZoneCut { zone = \"west\" } }", 0.6)]
#[case::a_zone_lost("{ at = \"3s\", lasts = \"3s\", what = 'ZoneLoss { zone = \"west\" } }", 0.5)]
#[case::a_burst("{ at = \"3s\", lasts = \"3s\", what = 'Burst { factor = 3 } }", 0.3)]
#[case::updates_unacknowledged("{ at = \"3s\", lasts = \"6s\", what = 'Unmarked { proxies = 2 } }", 0.8)]
#[case::a_proxy_that_reads_one_byte_per_second(
    "{ at = \"3s\", lasts = \"6s\", what = 'Trickle { proxies = 1, bytes_per_s = 1 } },
     { at = \"4s\", what = 'Deploy { servers = 2, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } }",
    0.6
)]
#[case::joins_in_a_loop(
    "{ at = \"3s\", lasts = \"6s\", what = 'JoinLoop { proxies = 3, every = \"100ms\" } }",
    0.8
)]
#[case::the_same_proxy_twice("{ at = \"4s\", lasts = \"2s\", what = 'DoubleJoin { proxies = 2 } }", 0.8)]
fn each_fault_alone_keeps_the_rules(#[case] troubles: &str, #[case] min_service: f64) {
    let result = run(&day(troubles));
    assert_kept(&result);
    assert!(result.service.overall >= min_service, "service {:.3}", result.service.overall);
}

#[rstest]
fn the_bad_day_keeps_the_rules() {
    let result = run(&Day::parse(BAD, "the bad day").unwrap_or_else(|bad| panic!("{bad}")));
    assert_kept(&result);
    assert!(
        result.verdicts[2].checked > 5 && result.verdicts[3].checked > 5,
        "too few events put rules 3 and 4 to the test"
    );
    assert!(result.service.overall > 0.8, "service {:.3}", result.service.overall);
}

#[rstest]
fn a_list_that_must_be_polled_is_followed() {
    let mut day = day(
        "{ at = \"3s\", what = 'Deploy { servers = 3, every = \"1s\", drain = \"2500ms\", down = \"400ms\" } }",
    );
    day.list.mode = grebespool_settings::ListMode::Asked;
    let result = run(&day);
    assert_kept(&result);
    assert!(result.verdicts[2].checked > 0);
}

// Each filter between the controller and the streams removes one guard.

/// Drops the weights of 0, which drain servers.
struct NoDrains;

impl UpdateFilter for NoDrains {
    fn filter(&mut self, _: u32, mut update: Update) -> Option<Update> {
        update
            .changes
            .retain(|p| !matches!(p, Change::SetWeight(WeightChange { weight, .. }) if *weight == 0.0));
        Some(update)
    }
}

/// Empties all tables.
struct Emptied;

impl UpdateFilter for Emptied {
    fn filter(&mut self, _: u32, mut update: Update) -> Option<Update> {
        for change in &mut update.changes {
            match change {
                Change::BindTable(TableBinding { weights, .. }) => weights.clear(),
                Change::SetWeight(WeightChange { weight, .. }) => *weight = 0.0,
                _ => {}
            }
        }
        Some(update)
    }
}

/// Allows retries after any failure on all routes.
struct TriesAlways;

impl UpdateFilter for TriesAlways {
    fn filter(&mut self, _: u32, mut update: Update) -> Option<Update> {
        let always = |l: &mut AdmissionRule| l.retry_policy = RetryPolicy::AfterFailure;
        for change in &mut update.changes {
            match change {
                Change::BindTable(TableBinding { admission: levels, .. }) => {
                    levels.iter_mut().for_each(always)
                }
                Change::SetAdmission(level) => always(level),
                _ => {}
            }
        }
        Some(update)
    }
}

/// Gives servers that return a weight far above the others' at once, instead of in steps.
#[derive(Default)]
struct NoRamp(BTreeSet<ServerId>);

impl UpdateFilter for NoRamp {
    fn filter(&mut self, _: u32, mut update: Update) -> Option<Update> {
        for change in &mut update.changes {
            match change {
                Change::SetWeight(WeightChange { server, weight, .. }) if *weight == 0.0 => {
                    self.0.insert(*server);
                }
                Change::SetWeight(WeightChange { server, weight, .. }) if self.0.contains(server) => {
                    *weight = 1000.0
                }
                _ => {}
            }
        }
        Some(update)
    }
}

/// Starts the planner with a slow channel and without limits on the queue.
struct Unlimited(ThreadHost);

impl PlannerHost for Unlimited {
    fn start(
        &mut self,
        deployment: &Deployment,
        list: &ListSource,
        key: &Path,
    ) -> io::Result<Vec<SocketAddr>> {
        let mut deployment = deployment.clone();
        let channel = &mut deployment.channel;
        (channel.lines_per_s, channel.most_waiting, channel.most_messages) = (25.0, 1e9, 0);
        self.0.start(&deployment, list, key)
    }
    fn kill(&mut self) {
        self.0.kill();
    }
    fn stall(&mut self, most: Duration) {
        self.0.stall(most);
    }
    fn resume(&mut self) {
        self.0.resume();
    }
}

#[rstest]
#[case::no_drains(
    || Box::new(NoDrains) as Box<dyn UpdateFilter>,
    "{ at = \"3s\", what = 'Deploy { servers = 3, every = \"500ms\", drain = \"4s\", down = \"400ms\" } }",
    &[Rule::Drained])]
#[case::empty_tables(|| Box::new(Emptied) as Box<dyn UpdateFilter>, "", &[Rule::Served])]
#[case::retries_after_any_failure(
    || Box::new(TriesAlways) as Box<dyn UpdateFilter>,
    "{ at = \"3s\", lasts = \"6s\", what = 'Erring { servers = 4 } }",
    &[Rule::Once])]
#[case::no_ramp(
    || Box::new(NoRamp::default()) as Box<dyn UpdateFilter>,
    "{ at = \"8s\", what = 'Deploy { servers = 2, every = \"100ms\", drain = \"1s\", down = \"800ms\" } },
     { at = \"8s\", lasts = \"6s\", what = 'Burst { factor = 2 } }",
    &[Rule::Cold])]
#[case::all_guards(
    || Box::new(PassThrough) as Box<dyn UpdateFilter>,
    "{ at = \"8s\", what = 'Deploy { servers = 2, every = \"100ms\", drain = \"1s\", down = \"800ms\" } },
     { at = \"8s\", lasts = \"6s\", what = 'Burst { factor = 2 } }",
    &[])]
fn a_removed_guard_is_reported(
    #[case] filter: fn() -> Box<dyn UpdateFilter>,
    #[case] troubles: &str,
    #[case] expected: &[Rule],
) {
    let mut day = day(troubles);
    day.length.0 += Duration::from_secs(4);
    // Proxies avoid servers that reject requests, which keeps many cold servers from being pushed over. A lower
    // multiple makes up for that.
    day.rules.fall_multiple = 1.5;
    let result = rehearse(&day, Box::new(host(filter)), None, None).unwrap();
    let broken: Vec<Rule> = result.verdicts.iter().filter(|v| v.first.is_some()).map(|v| v.rule).collect();
    assert_eq!(broken, expected);
}

#[rstest]
fn a_channel_without_limits_is_reported() {
    let mut day = day("{ at = \"3s\", what = 'StreamsBreak { share = 1 } }");
    day.deployment.channel.most_waiting = 60.0;
    let result = rehearse(&day, Box::new(Unlimited(host(|| Box::new(PassThrough)))), None, None).unwrap();
    assert!(result.verdicts[4].first.is_some(), "{:?}", result.verdicts[4]);
}

#[rstest]
fn a_day_records_both_ends_and_every_request_ends() {
    let result = run(&day(""));
    let count = |of: fn(&Event) -> bool| result.record.passed.iter().filter(|(_, p)| of(p)).count();
    let asked = count(|p| matches!(p, Event::Asked { .. }));
    assert!(asked > 500, "{asked} requests");
    assert_eq!(asked, count(|p| matches!(p, Event::Done { .. })));
    let (ordered, delivered) =
        (count(|p| matches!(p, Event::Ordered { .. })), count(|p| matches!(p, Event::Delivered { .. })));
    assert!(delivered > 0 && delivered <= ordered, "{delivered} of {ordered}");
    assert!(result.service.overall > 0.95, "service {:.3}", result.service.overall);
}

type Events = Vec<(Duration, Event)>;
type AddViolation = fn(&mut Events, Call);

fn some_call(record: &Record) -> Call {
    let sent = record.passed.iter().find_map(|(_, p)| match p {
        Event::Sent { call, .. } => Some(*call),
        _ => None,
    });
    Call { proxy: 0, ..sent.unwrap() }
}

/// Empties every table that proxy 0 receives from 3 s on.
fn empty_tables(events: &mut Events, _: Call) {
    for (_, passed) in events.iter_mut().filter(|(at, _)| at.as_secs() >= 3) {
        if let Event::Delivered { proxy: 0, orders } = passed {
            let (table, version) = (0, 99);
            orders.changes = vec![Change::BindTable(TableBinding {
                table,
                version,
                routes: 0,
                weights: vec![],
                admission: vec![],
            })];
        }
    }
}

/// Delivers the last update of proxy 0 again.
fn deliver_twice(events: &mut Events, _: Call) {
    let delivered = events.iter().rev().find(|(_, p)| matches!(p, Event::Delivered { proxy: 0, .. }));
    let (at, passed) = delivered.cloned().unwrap();
    events.push((at + Duration::from_millis(1), passed));
}

/// Lets proxy 0 send to a draining server after the grace.
fn send_after_the_grace(events: &mut Events, call: Call) {
    let drain = events.iter().find_map(|(at, p)| match p {
        Event::ListTold(list) => {
            let drains = list.entries.iter().find(|e| e.state == EndpointState::Draining);
            drains.map(|e| (*at, e.server))
        }
        _ => None,
    });
    let (at, server) = drain.unwrap();
    events.push((at + Duration::from_millis(2600), Event::Sent { proxy: 0, server, call }));
}

/// Pushes over the first server that starts, by 99 attempts.
fn push_over(events: &mut Events, call: Call) {
    let up = events.iter().find_map(|(at, p)| match p {
        Event::Up { server, .. } => Some((*at, *server)),
        _ => None,
    });
    let (at, server) = up.unwrap();
    let late = |ms: u64| at + Duration::from_millis(2800 + ms);
    events.extend((0..99).map(|i| (late(i), Event::Received { server, call })));
    events.push((late(100), Event::Fell { server }));
}

/// Repeats the first update to proxy 0 40 times.
fn send_too_many(events: &mut Events, _: Call) {
    let ordered = events.iter().find(|(_, p)| matches!(p, Event::Ordered { proxy: 0, .. }));
    let one = ordered.cloned().unwrap();
    events.extend(std::iter::repeat_n(one, 40));
}

#[rstest]
fn a_violation_added_to_a_record_is_reported() {
    let day = day(
        "{ at = \"2s\", what = 'Deploy { servers = 2, every = \"100ms\", drain = \"4s\", down = \"400ms\" } }",
    );
    let result = run(&day);
    assert_kept(&result);
    let call = some_call(&result.record);
    let violations: [(AddViolation, Rule); 5] = [
        (empty_tables, Rule::Served),
        (deliver_twice, Rule::Once),
        (send_after_the_grace, Rule::Drained),
        (push_over, Rule::Cold),
        (send_too_many, Rule::Queue),
    ];
    for (add_violation, rule) in violations {
        let mut record = result.record.clone();
        add_violation(&mut record.passed, call);
        record.passed.sort_by_key(|p| p.0);
        let broken: Vec<Rule> = check(&record, &invariant_facts(&day))
            .into_iter()
            .filter(|v| v.first.is_some())
            .map(|v| v.rule)
            .collect();
        assert_eq!(broken, [rule]);
    }
}
