//! The checker over short days: one without a violation, and the same with one violation added.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_invariants::*;
use grebespool_wire::*;
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn id(n: u32) -> ServerId {
    ServerId { addr: ([127, 0, 0, 1], 9000 + n as u16).into(), number: n }
}

fn facts() -> Facts {
    let limits = Limits {
        unserved: ms(2000),
        grace: ms(3000),
        fall_multiple: 4.0,
        fall: ms(1000),
        knowing: ms(3000),
        warm_up: ms(6000),
        most_waiting: 100.0,
        head: 4.0,
        most_messages: 5,
        window: ms(10_000),
    };
    let marked = RouteFacts::Marked { window: ms(1000), by_zone: true };
    Facts { limits, routes: vec![RouteFacts::Freely, marked, RouteFacts::Never] }
}

fn entry(n: u32, state: EndpointState, started_ms: u64) -> EndpointEntry {
    EndpointEntry { server: id(n), zone: if n < 3 { "a" } else { "b" }.into(), state, started_ms }
}

fn list(version: u64, base: u64, entries: Vec<EndpointEntry>) -> Event {
    Event::ListTold(List { version, base, now_ms: 1_000_000, entries })
}

fn orders(
    incarnation: u64,
    sequence: u64,
    created_ms: u64,
    endpoints_version: u64,
    changes: Vec<Change>,
) -> Update {
    Update {
        term: 0,
        incarnation,
        stream: 1,
        sequence,
        created_us: created_ms * 1000,
        endpoints_version,
        cause: UpdateCause::EndpointsChanged,
        changes,
    }
}

fn bind(servers: &[u32]) -> Change {
    let weights = servers.iter().map(|n| ServerWeight { server: id(*n), weight: 1.0 }).collect();
    Change::BindTable(TableBinding { table: 0, version: 1, routes: 0, weights, admission: vec![] })
}

fn weight(n: u32, weight: f32) -> Change {
    Change::SetWeight(WeightChange { table: 0, version: 2, server: id(n), weight })
}

fn call(id: u64, route: u8, retry: u8, proxy: u16) -> Call {
    let (key, work_us, timeout_us) = (0, 100_000, 1_000_000);
    Call { id, attempt: 0, retry, route, key, work_us, timeout_us, proxy }
}

fn sent(n: u32, request: u64, route: u8, retry: u8) -> Event {
    Event::Sent { proxy: 1, server: id(n), call: call(request, route, retry, 1) }
}

fn answered(n: u32, request: u64, route: u8, retry: u8, outcome: CallOutcome) -> Event {
    Event::Answered { server: id(n), call: call(request, route, retry, 1), outcome }
}

/// Returns the two events of an update: it leaves the planner at `at` and arrives 5 ms later.
fn delivered(at: u64, update: Update) -> Vec<(u64, Event)> {
    vec![
        (at, Event::Ordered { proxy: 1, orders: update.clone() }),
        (at + 5, Event::Delivered { proxy: 1, orders: update }),
    ]
}

/// Returns a day without a violation: four servers are listed, a proxy joins and gets a table, and one server drains
/// within the grace.
fn day() -> Vec<(u64, Event)> {
    let all = (1..=4).map(|n| entry(n, EndpointState::Ready, 0)).collect();
    let mut day = vec![
        (0, Event::Began { proxy: 1, lines: vec![(id(1), 1.0)] }),
        (10, list(1, 0, all)),
        (100, Event::Joined { proxy: 1, start: 7 }),
    ];
    day.extend(delivered(110, orders(7, 1, 105, 1, vec![bind(&[1, 2, 3, 4])])));
    day.extend([
        (500, sent(2, 1, 0, 0)),
        (520, answered(2, 1, 0, 0, CallOutcome::Rejected)),
        (530, sent(3, 1, 0, 1)),
        (600, sent(2, 2, 2, 0)),
        (610, answered(2, 2, 2, 0, CallOutcome::Rejected)),
        (620, sent(3, 2, 2, 1)),
        (700, sent(1, 3, 1, 0)),
        (1200, sent(2, 3, 1, 1)),
        (2000, list(2, 1, vec![entry(4, EndpointState::Draining, 0)])),
        (2300, sent(4, 9, 0, 0)),
    ]);
    day.extend(delivered(2500, orders(7, 2, 2100, 2, vec![weight(4, 0.0), Change::RequestAck(1)])));
    day
}

/// Returns the rules that the day violates.
fn violated_rules(mut day: Vec<(u64, Event)>) -> Vec<Rule> {
    day.sort_by_key(|p| p.0);
    let mut record = Record::default();
    day.into_iter().for_each(|(at, p)| record.put(ms(at), p));
    // The checker reports a lack of entries only when it observes another event.
    record.put(ms(60_000), Event::Left { proxy: 9 });
    check(&record, &facts()).into_iter().filter(|v| v.first.is_some()).map(|v| v.rule).collect()
}

#[rstest]
fn a_clean_day_has_no_violation_and_tests_every_rule_but_the_fourth() {
    let mut record = Record::default();
    day().into_iter().for_each(|(at, p)| record.put(ms(at), p));
    let verdicts = check(&record, &facts());
    assert!(verdicts.iter().all(|v| v.first.is_none()), "{verdicts:?}");
    assert!(verdicts.iter().filter(|v| v.rule != Rule::Cold).all(|v| v.checked > 0), "{verdicts:?}");
}

/// Returns the update that sets all weights to 0.
fn emptied() -> Vec<(u64, Event)> {
    delivered(3000, orders(7, 3, 2900, 2, (1..=4).map(|n| weight(n, 0.0)).collect()))
}

/// Returns `count` updates of six changes each; the functions give their creation and their delivery by index.
fn messages(count: u64, created: impl Fn(u64) -> u64, at: impl Fn(u64) -> u64) -> Vec<(u64, Event)> {
    let one = |i: u64| delivered(at(i), orders(7, 3 + i, created(i), 2, vec![weight(1, 1.0); 6]));
    (0..count).flat_map(one).collect()
}

/// Returns the events of a server that restarts cold, gets `attempts` and fails. If `known`, the proxy's update is
/// based on the list with the restart.
fn cold(attempts: u64, known: bool) -> Vec<(u64, Event)> {
    let mut day = vec![
        (20_000, Event::Up { server: id(2), capacity: 2.0, cold: 0.3 }),
        (20_100, list(3, 2, vec![entry(2, EndpointState::Ready, 999_900)])),
    ];
    if known {
        day.extend(delivered(20_200, orders(7, 3, 20_150, 3, vec![weight(2, 0.2)])));
    }
    day.extend(
        (0..attempts).map(|i| (20_300 + i, Event::Received { server: id(2), call: call(100 + i, 0, 0, 1) })),
    );
    day.push((20_400, Event::Fell { server: id(2) }));
    day
}

#[rstest]
#[case::a_joined_proxy_with_an_empty_table(emptied(), &[Rule::Served])]
#[case::an_empty_table_while_not_joined([vec![(2950, Event::Left { proxy: 1 })], emptied()].concat(), &[])]
#[case::a_mutating_request_sent_again_though_it_may_have_run(vec![(4000, sent(1, 50, 2, 0)), (4100, sent(2, 50, 2, 1))], &[Rule::Once])]
#[case::a_mutating_request_sent_again_after_an_error(
    vec![(4000, sent(1, 50, 2, 0)), (4050, answered(1, 50, 2, 0, CallOutcome::Failed)), (4100, sent(2, 50, 2, 1))],
    &[Rule::Once])]
#[case::an_idempotent_request_sent_again(vec![(4000, sent(1, 50, 0, 0)), (4100, sent(2, 50, 0, 1))], &[])]
#[case::a_deduplicated_request_sent_again_past_its_window(vec![(4000, sent(1, 50, 1, 0)), (5100, sent(2, 50, 1, 1))], &[Rule::Once])]
#[case::a_deduplicated_request_sent_again_to_another_zone(vec![(4000, sent(1, 50, 1, 0)), (4100, sent(3, 50, 1, 1))], &[Rule::Once])]
#[case::an_update_delivered_twice(delivered(4000, orders(7, 2, 2100, 2, vec![])), &[Rule::Once])]
#[case::an_update_of_a_former_incarnation(
    [delivered(4000, orders(8, 1, 10, 2, vec![bind(&[1, 2])])), delivered(4100, orders(7, 3, 2200, 2, vec![]))].concat(),
    &[Rule::Once])]
#[case::sent_to_a_draining_server_after_the_grace(vec![(5001, sent(4, 60, 0, 0))], &[Rule::Drained])]
#[case::sent_to_a_draining_server_within_the_grace(vec![(4999, sent(4, 60, 0, 0))], &[])]
#[case::sent_within_the_grace_after_joining(vec![(4900, Event::Joined { proxy: 1, start: 7 }), (7000, sent(4, 60, 0, 0))], &[])]
#[case::sent_by_a_proxy_that_left(vec![(4000, Event::Left { proxy: 1 }), (7000, sent(4, 60, 0, 0))], &[])]
#[case::a_stall_does_not_count_against_the_grace(
    vec![(2100, Event::PlannerStalled), (4000, Event::PlannerResumed), (6500, sent(4, 60, 0, 0))], &[])]
#[case::a_removal_after_the_drain_does_not_restart_the_grace(
    vec![(4900, list(3, 2, vec![entry(4, EndpointState::Removed, 0)])), (5100, sent(4, 60, 0, 0))], &[Rule::Drained])]
#[case::pushed_over_with_its_start_known(cold(30, true), &[Rule::Cold])]
#[case::pushed_over_with_its_start_unknown(cold(30, false), &[])]
#[case::too_long_a_queue(messages(12, |_| 12_000, |i| 12_100 + 3000 * i), &[Rule::Queue])]
#[case::one_message_too_many(messages(6, |i| 12_000 + 100 * i, |i| 12_000 + 100 * i), &[Rule::Queue])]
#[case::as_many_messages_as_allowed(messages(5, |i| 13_000 + 100 * i, |i| 13_000 + 100 * i), &[])]
fn an_added_violation_is_found(#[case] added: Vec<(u64, Event)>, #[case] rules: &[Rule]) {
    let mut day = day();
    day.extend(added);
    assert_eq!(violated_rules(day), rules);
}

#[rstest]
fn the_first_violation_is_reported_with_its_context() {
    let mut record = Record::default();
    let mut all = day();
    all.push((6000, sent(4, 60, 0, 0)));
    all.into_iter().for_each(|(at, p)| record.put(ms(at), p));
    let drained = &check(&record, &facts())[2];
    let first = drained.first.as_ref().unwrap();
    assert_eq!((first.at, drained.violations), (ms(6000), 1));
    assert!(first.what.contains("4.000 s after"), "{}", first.what);
    assert!(first.before.iter().any(|b| b.contains("Draining")), "{:?}", first.before);
}
