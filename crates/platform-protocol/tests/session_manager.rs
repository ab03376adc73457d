//! The session manager through time: who joins, who is closed, what is used of lists and messages, and what proxies hold
//! after it.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::wildcard_imports, reason = "the helpers of the tests beside them")]

mod helpers;
mod parity;

use grebespool::host::{EndpointState, HealthCheckResult};
use grebespool_platform_protocol::{
    EndpointGroup, Event, NameList, StreamChange, TableChange, TableWeights, Warning, WarningKind,
};
use helpers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeMap;

#[rstest]
fn proxy_gets_one_full_table_and_then_only_changes() {
    let mut harness = Harness::new(4);
    harness.run_until(ms(2500));
    harness.join(1, 5);
    let first = harness.written(1);
    assert_eq!(
        (&first[0]["whole"], first.iter().filter(|m| m["more"] == true).count() + 1),
        (&json!(true), first.len())
    );
    let mut holds = table(&first, BTreeMap::new());
    assert_eq!(holds.len(), 4);
    harness.receive_list(Some(3), &list(4, false, vec![server(2, "DRAINING", 0)])).unwrap();
    let second = harness.written(1);
    assert!(second.iter().all(|m| m.get("whole").is_none()), "{second:?}");
    holds = table(&second, holds);
    assert!(!holds.contains_key("s2") && holds.len() == 3, "{holds:?}");
}

#[rstest]
fn newer_stream_replaces_older_one_whose_end_is_ignored() {
    let mut harness = Harness::new(4);
    harness.join(1, 5);
    harness.run_until(ms(3000));
    harness.written(1);
    harness.join(2, 5);
    assert!(harness.is_closed(1));
    assert_eq!(table(&harness.written(2), BTreeMap::new()).len(), 4);
    harness.manager.connection_closed(1);
    harness.receive_list(Some(3), &list(4, false, vec![server(0, "DELETED", 0)])).unwrap();
    assert!(!harness.written(2).is_empty());
    assert!(harness.written(1).is_empty());
    assert_eq!(harness.manager.status().joined_proxies, 1);
}

#[rstest]
#[case::http(b"GET / HTTP/1.1\r\n\r\n".to_vec())]
#[case::no_json(framed(b"{]"))]
#[case::a_report_first(framed(
    br#"{"msg":"RATE","node":1,"route":"store","total":1,"errors":0,"interval":1}"#
))]
#[case::orders(framed(br#"{"msg":"CONFIG","lines":[["s1",1]]}"#))]
#[case::a_proxy_too_many(framed(subscribe(12, "north").to_string().as_bytes()))]
#[case::a_zone_that_is_not(framed(subscribe(1, "west").to_string().as_bytes()))]
#[case::a_collector_of_none(framed(br#"{"msg":"SOURCE","locality":"west"}"#))]
#[case::a_joining_without_its_number(framed(br#"{"msg":"SUBSCRIBE","locality":"north","w":1,"cold":true}"#))]
#[case::a_length_that_cannot_be(vec![255, 255, 255, 255])]
fn refuses_and_closes_peers_that_do_not_join(#[case] bytes: Vec<u8>) {
    for step in [1, 3, bytes.len()] {
        let mut harness = Harness::new(2);
        harness.open(1);
        for part in bytes.chunks(step) {
            harness.receive(1, part);
        }
        assert!(harness.is_closed(1));
        assert_eq!(harness.written(1).pop().unwrap()["msg"], "NACK");
        assert_eq!(peers(&harness), [0, 0]);
    }
}

#[rstest]
#[case::silent(&[])]
#[case::half_a_message(&[0, 0, 0, 40, b'{'])]
#[case::a_sign_of_life(b"\0\0\0\x0e{\"msg\":\"PING\"}")]
fn closes_peer_that_does_not_join_in_time(#[case] says: &[u8]) {
    let mut harness = Harness::new(2);
    harness.run_until(ms(777));
    harness.open(1);
    harness.receive(1, says);
    harness.run_until(ms(777 + 1000));
    assert!(!harness.is_closed(1));
    harness.run_until(ms(777 + 2500));
    assert!(harness.is_closed(1));
    if says.len() > 10 {
        assert_eq!(harness.written(1)[0], json!({"msg": "PONG"}));
    }
}

#[rstest]
fn accepts_slow_join_and_closes_unfinished_one() {
    let mut harness = Harness::new(2);
    let joining = framed(subscribe(1, "south").to_string().as_bytes());
    harness.open(1);
    harness.open(2);
    for (i, byte) in joining.iter().enumerate() {
        harness.receive(1, &[*byte]);
        if i < 20 {
            harness.receive(2, &[*byte]);
        }
        harness.run_until(ms(15 * (i as u64 + 1)));
    }
    assert_eq!(peers(&harness), [1, 1]);
    harness.run_until(ms(3000));
    assert!(!harness.is_closed(1) && harness.is_closed(2));
}

#[rstest]
fn evicts_unknown_peers_and_no_joined_ones() {
    let mut harness = Harness::new(2);
    for p in 0..12 {
        harness.join(p, p);
    }
    for conn in 100..900 {
        harness.open(conn);
    }
    // 100 descriptors less 20 kept free, 12 proxies and 8 collectors.
    assert_eq!(peers(&harness), [12, 60]);
    assert!((100..840).all(|c| harness.is_closed(c)) && (840..900).all(|c| !harness.is_closed(c)));
    harness.manager.accept_failed(harness.now, "no descriptors");
    assert!(harness.is_closed(840));
    (841..900).for_each(|c| harness.manager.connection_closed(c));
    (0..100).for_each(|_| harness.manager.accept_failed(harness.now, "no descriptors"));
    let recorded = harness.recorded.borrow();
    let last = Warning { kind: WarningKind::AcceptFailed, cause: "no descriptors".into(), suppressed: 0 };
    assert_eq!(recorded.warnings.last().unwrap(), &last);
    assert!(recorded.warnings.len() <= 3, "{:?}", recorded.warnings);
}

#[rstest]
fn keeps_stream_with_invalid_messages_and_long_silence() {
    let mut harness = Harness::new(4);
    harness.join(1, 5);
    harness.run_until(ms(60_000));
    // The first bytes after a long silence are the beginning of a message, not one that was left half said.
    let good = framed(br#"{"msg":"RATE","node":5,"route":"store","total":1,"errors":0,"interval":500}"#);
    harness.receive(1, &good[..9]);
    harness.run_until(ms(64_000));
    harness.receive(1, &good[9..]);
    for spoilt in [
        json!({"msg": "RATE", "node": 4, "route": "store", "total": 1, "errors": 0, "interval": 500}),
        json!({"msg": "RATE", "node": 5, "route": "sing", "total": 1, "errors": 0, "interval": 500}),
        json!({"msg": "ACK", "node": 5, "nonce": 61_000, "latency": 1}),
        json!({"msg": 7}),
        json!({}),
        json!({"msg": "WHAT"}),
    ] {
        harness.receive_message(1, &spoilt);
    }
    harness.receive(1, &framed(b"{\"msg\":\"RATE\",\"node\":NaN}"));
    harness.receive(1, &good);
    assert!(!harness.is_closed(1));
    let said = harness.recorded.borrow().warnings.len();
    assert!((1..=2).contains(&said), "{:?}", harness.recorded.borrow().warnings);
}

#[rstest]
#[case::no_frames(vec![vec![200; 9]])]
#[case::no_json(vec![framed(b"{x"); 3])]
#[case::orders_of_its_own(vec![framed(br#"{"msg":"CONFIG"}"#); 3])]
fn closes_stream_that_keeps_sending_unreadable_messages(#[case] parts: Vec<Vec<u8>>) {
    let mut harness = Harness::new(4);
    harness.join(1, 5);
    parts.iter().for_each(|p| harness.receive(1, p));
    assert!(harness.is_closed(1));
    assert_eq!(harness.manager.status().joined_proxies, 0);
}

#[rstest]
fn closes_joined_stream_that_stops_within_a_message() {
    let mut harness = Harness::new(4);
    harness.join(1, 5);
    harness.receive(1, &[0, 0, 0, 40, b'{']);
    harness.run_until(ms(10_000));
    assert!(!harness.is_closed(1));
    harness.run_until(ms(16_000));
    assert!(harness.is_closed(1));
}

#[rstest]
fn keeps_four_collectors_of_a_zone() {
    let mut harness = Harness::new(4);
    for conn in 0..50 {
        harness.open(conn);
        harness.receive_message(conn, &json!({"msg": "SOURCE", "locality": "north"}));
        harness.now += ms(10);
    }
    assert_eq!((0..50).filter(|c| !harness.is_closed(*c)).collect::<Vec<_>>(), [46, 47, 48, 49]);
    // Nothing is ever written to a collector.
    assert!((0..50).all(|c| harness.written(c).is_empty()));
}

fn with(mut entry: Value, field: &str, value: Value) -> Value {
    entry[field] = value;
    entry
}

/// Of servers s0 to s3, which are listed after an answer, whether all of it was used, and whether the full list is
/// requested.
#[rstest]
#[case::a_change(false, 4, vec![server(0, "DELETED", 0)], "123", true, false)]
#[case::an_empty_answer(false, 3, vec![], "0123", true, false)]
#[case::a_whole_list_leaves_out(true, 4, vec![server(0, "SERVING", 0), server(1, "SERVING", 0)], "01", true, false)]
#[case::a_whole_list_of_a_new_service(true, 1, vec![server(2, "SERVING", 0)], "2", true, false)]
#[case::a_drain_in_a_zone_that_is_not(
    false, 4, vec![with(server(0, "DRAINING", 0), "zone", json!("west"))], "123", false, true
)]
#[case::a_removal_without_all_else(false, 4, vec![json!({"id": "s1", "state": "DELETED"})], "023", true, false)]
#[case::a_start_that_is_none(
    false, 4, vec![with(server(0, "SERVING", 0), "started_ms", json!("now")), server(1, "DELETED", 0)], "023", false, true
)]
#[case::an_entry_that_is_none(false, 4, vec![json!(5), server(1, "DELETED", 0)], "023", false, true)]
#[case::a_spoilt_entry_of_a_whole_list_is_not_left_out(
    true, 4, vec![with(server(0, "SERVING", 0), "zone", json!(9)), server(1, "SERVING", 0)], "01", false, true
)]
#[case::versions_that_go_back(false, 2, vec![server(0, "DRAINING", 0), server(7, "SERVING", 0)], "123", false, true)]
#[case::one_server_twice(false, 4, vec![server(0, "SERVING", 0), server(0, "DELETED", 0)], "123", false, true)]
#[case::gone_and_back_in_one(false, 4, vec![server(0, "DELETED", 0), server(0, "SERVING", 0)], "123", false, true)]
fn applies_list_entry_by_entry(
    #[case] full: bool,
    #[case] version: u64,
    #[case] entries: Vec<Value>,
    #[case] left: &str,
    #[case] all_used: bool,
    #[case] needs_full_list: bool,
) {
    let mut harness = Harness::new(4);
    harness.join(1, 5);
    harness.run_until(ms(2000));
    let mut holds = table(&harness.written(1), BTreeMap::new());
    harness.receive_list(Some(3), &list(version, full, entries)).unwrap();
    holds = table(&harness.written(1), holds);
    let expected: Vec<String> = left.chars().map(|k| format!("s{k}")).collect();
    assert_eq!(holds.into_keys().collect::<Vec<_>>(), expected);
    assert_eq!(harness.recorded.borrow().warnings.is_empty(), all_used);
    assert_eq!(harness.recorded.borrow().full_list_requests, usize::from(needs_full_list));
}

#[rstest]
#[case::no_json("{")]
#[case::no_version(r#"{"full":true,"servers":[]}"#)]
#[case::no_servers(r#"{"version":9,"full":true}"#)]
#[case::neither_whole_nor_not(r#"{"version":9,"servers":[]}"#)]
fn rejects_answer_that_is_no_list(#[case] body: &str) {
    let mut harness = Harness::new(4);
    assert!(harness.receive_list_at(UNIX, Some(3), body.as_bytes()).is_err());
    assert_eq!(harness.manager.endpoint_list_version(), Some(3));
}

/// Whether lists are asked for or pushed is said of the simulator: here they come to who asks and goes on asking.
#[rstest]
#[case::asked_for(json!("on_request"))]
#[case::pushed(json!("pushed"))]
#[case::left_out(Value::Null)]
fn requests_list_until_answered_and_again_after_failure(#[case] mode: Value) {
    let mut harness = Harness::with_config(config_with(4, with(settings(), "registryMode", mode)));
    harness.run_until(ms(1500));
    assert_eq!(harness.recorded.borrow().watch_requests, 1);
    harness.receive_list(Some(3), &list(3, false, vec![])).unwrap();
    harness.run_until(ms(30_000));
    assert_eq!(harness.recorded.borrow().watch_requests, 1);
    harness.manager.endpoint_list_failed(harness.now, "reset");
    harness.run_until(ms(31_500));
    assert_eq!(harness.recorded.borrow().watch_requests, 2);
}

/// A clock that is set, or a list that is told again, is no restart; a new start is one.
#[rstest]
#[case::told_again(0.0, -90_000.0, 1.0)]
#[case::clock_set_back(-100_000.0, -90_000.0, 1.0)]
#[case::started_anew(0.0, 14_900.0, 0.25)]
fn age_of_server_follows_its_start(#[case] set: f64, #[case] started: f64, #[case] part: f64) {
    let mut harness = Harness::new(2);
    harness.receive_list(Some(3), &list(4, false, vec![server(0, "SERVING", 90_000)])).unwrap();
    harness.run_until(ms(15_000));
    let again = list(5, false, vec![with(server(0, "SERVING", 0), "started_ms", json!(UNIX + started))]);
    let unix = UNIX + 15_000.0 + set;
    harness.receive_list_at(unix, Some(4), again.to_string().as_bytes()).unwrap();
    harness.run_until(ms(15_100));
    harness.join(1, 0);
    let holds = table(&harness.written(1), BTreeMap::new());
    let weight = holds.get("s0").copied().unwrap_or(0.0);
    assert!(if part == 1.0 { weight >= 0.9 } else { weight <= part }, "{holds:?}");
}

#[rstest]
fn reuses_indices_of_replaced_servers() {
    let mut harness = Harness::new(4);
    harness.join(1, 4);
    for k in 4..600usize {
        let changes = vec![server(k, "SERVING", 50), server(k - 4, "DELETED", 0)];
        harness.receive_list(Some(k as u64 - 1), &list(k as u64, false, changes)).unwrap();
        harness.run_until(harness.now + ms(1000));
        harness.written(1);
    }
    let status = harness.manager.status();
    assert_eq!(status.listed_servers, 4);
    assert!(status.server_indices < 60, "{}", status.server_indices);
}

/// The older stream's joining may be read last: closing the newer one for it would leave the proxy with neither.
#[rstest]
fn older_stream_whose_join_is_read_last_is_closed() {
    let mut harness = Harness::new(4);
    harness.run_until(ms(2500));
    let joining = framed(subscribe(5, "south").to_string().as_bytes());
    harness.open(1);
    harness.receive(1, &joining[..joining.len() - 1]);
    harness.join(2, 5);
    harness.receive(1, &joining[joining.len() - 1..]);
    assert!(harness.is_closed(1) && !harness.is_closed(2));
    harness.manager.connection_closed(1);
    harness.written(2);
    harness.receive_list(Some(3), &list(4, false, vec![server(0, "DELETED", 0)])).unwrap();
    assert_eq!((harness.written(2).len(), harness.manager.status().joined_proxies), (1, 1));
}

/// Hundreds come in one instant, and each has said its joining already: nobody goes before it was read.
#[rstest]
fn names_next_evicted_peer_before_eviction() {
    let mut harness = Harness::new(2);
    harness.run_until(ms(1000));
    (0..59).for_each(|conn| harness.open(conn));
    assert_eq!(harness.manager.next_evicted(), None);
    harness.open(59);
    assert_eq!(harness.manager.next_evicted(), Some(0));
    harness.receive_message(0, &subscribe(0, "north"));
    assert_eq!(harness.manager.next_evicted(), None);
    harness.open(60);
    assert_eq!(harness.manager.next_evicted(), Some(1));
    harness.open(61);
    assert!(harness.is_closed(1) && !harness.is_closed(2));
    assert_eq!(peers(&harness), [1, 60]);
}

/// A server that is gone and back under its id listens elsewhere; what its former address said is not news of it.
#[rstest]
#[case::of_its_former_life("127.0.0.9:7000", true)]
#[case::of_its_own("127.0.0.9:9000", false)]
fn ignores_health_check_of_former_address(#[case] answered: &str, #[case] out: bool) {
    let mut harness = Harness::new(4);
    harness.join(1, 5);
    harness.run_until(ms(2500));
    let again = with(server(0, "SERVING", 0), "addr", json!("127.0.0.9:9000"));
    harness.receive_list(Some(3), &list(4, false, vec![server(0, "DELETED", 0)])).unwrap();
    harness.receive_list(Some(4), &list(5, false, vec![again])).unwrap();
    let mut holds = table(&harness.written(1), BTreeMap::new());
    harness.open(9);
    harness.receive_message(9, &json!({"msg": "SOURCE", "locality": "north"}));
    // It answers no calls and, twice, no probe: then it is out, if it was it that was asked.
    for _ in 0..24 {
        harness.run_until(harness.now + ms(500));
        harness.manager.health_check_finished("s0", answered.parse().unwrap(), HealthCheckResult::Failed);
        let met = |k: usize| {
            json!({"msg": "LOAD", "locality": "north", "endpoint": format!("s{k}"), "total": 9,
            "errors": 0, "rtt": 20.0, "interval": 500, "metrics": {"cpu_share": 0.5 + 0.001 * harness.now.as_secs_f64()}})
        };
        let met: Vec<Value> = (1..4).map(met).collect();
        met.iter().for_each(|m| harness.receive_message(9, m));
        holds = table(&harness.written(1), holds);
    }
    assert_eq!(holds.contains_key("s0"), out, "{holds:?}");
}

/// One proxy, one server and one version of the list can be followed by the log, which does not grow with the fleet.
#[rstest]
fn logs_changes_in_few_events() {
    let mut harness = Harness::new(300);
    harness.run_until(ms(2500));
    harness.join(1, 5);
    harness.join(2, 5);
    harness.join(3, 7);
    harness.manager.connection_closed(3);
    harness.join(4, 8);
    (0..3).for_each(|_| harness.receive(4, &framed(b"{x")));
    harness.recorded.borrow_mut().events.clear();
    harness
        .receive_list(Some(3), &list(4, false, vec![server(0, "DRAINING", 0), server(1, "DELETED", 0)]))
        .unwrap();
    harness.run_until(ms(3000));
    let events = take_events(&harness);
    let gone = |state, server| EndpointGroup { state, servers: names(&[server]) };
    let groups = vec![gone(EndpointState::Draining, "s0"), gone(EndpointState::Removed, "s1")];
    let streams = |change, proxies: &[&str]| Event::Streams { change, proxies: names(proxies) };
    assert_eq!(
        events,
        [
            Event::EndpointListChanged { version: Some(4), since: Some(3), groups },
            streams(StreamChange::Joined, &["5", "5", "7", "8"]),
            streams(StreamChange::Bound, &["5", "5", "7", "8"]),
            streams(StreamChange::Left, &["7"]),
            streams(StreamChange::Closed, &["8"]),
            streams(StreamChange::Replaced, &["5"]),
            Event::Servers { change: TableChange::Removed, servers: names(&["s0", "s1"]) },
        ]
    );
    let all: Vec<Value> = (2..300).map(|k| server(k, "DRAINING", 0)).collect();
    harness.receive_list(Some(4), &list(5, false, all)).unwrap();
    harness.run_until(ms(3500));
    let events = take_events(&harness);
    assert!(events.len() <= 3 && events.iter().all(|event| shown(event) < 1000), "{events:?}");
    let Event::EndpointListChanged { version: Some(5), since: Some(4), groups } = &events[0] else {
        panic!("{events:?}")
    };
    let [EndpointGroup { state: EndpointState::Draining, servers }] = &groups[..] else {
        panic!("{groups:?}")
    };
    assert_eq!((servers.total(), &servers.shown[..2]), (298, &["s2".to_string(), "s3".to_string()][..]));
    assert!(servers.to_string().ends_with(" and 202 more"), "{servers}");
}

fn names(shown: &[&str]) -> NameList {
    NameList { shown: shown.iter().map(ToString::to_string).collect(), omitted: 0 }
}

fn take_events(harness: &Harness) -> Vec<Event> {
    std::mem::take(&mut harness.recorded.borrow_mut().events)
}

/// Characters of an event's names.
fn shown(event: &Event) -> usize {
    match event {
        Event::EndpointListChanged { groups, .. } => {
            groups.iter().map(|group| group.servers.to_string().len()).sum()
        }
        Event::Streams { proxies: names, .. } | Event::Servers { servers: names, .. } => {
            names.to_string().len()
        }
        Event::Warning(warning) => warning.cause.len(),
        Event::TableWeights(_) => 0,
    }
}

/// Joined proxies, and peers that have not joined.
fn peers(harness: &Harness) -> [usize; 2] {
    let status = harness.manager.status();
    [status.joined_proxies, status.unknown_peers]
}

fn take_weights(harness: &Harness) -> Vec<TableWeights> {
    let events = std::mem::take(&mut harness.recorded.borrow_mut().debug_events);
    let weights = |event| match event {
        Event::TableWeights(weights) => weights,
        other => panic!("{other:?}"),
    };
    events.into_iter().map(weights).collect()
}

fn as_text(weights: &TableWeights) -> String {
    let changed: String = weights.changed.iter().map(|weight| format!(" {weight}")).collect();
    format!("{} proxies, sum {:.3}:{changed}", weights.proxies, weights.sum)
}

#[rstest]
fn logs_every_written_weight_on_request() {
    let mut harness = Harness::new(4);
    harness.manager.enable_weight_log();
    harness.run_until(ms(2500));
    harness.join(1, 5);
    harness.run_until(ms(3000));
    let holds = table(&harness.written(1), BTreeMap::new());
    let weights: Vec<f64> = holds.values().copied().collect();
    let named: Vec<String> = holds.iter().map(|(id, weight)| format!(" {id} {weight:.3}")).collect();
    let expected = format!("1 proxies, sum {:.3}:{}", weights.iter().sum::<f64>(), named.concat());
    let first = take_weights(&harness);
    assert_eq!(first.iter().map(as_text).collect::<Vec<_>>(), [expected]);
    harness.run_until(ms(3400));
    assert_eq!(take_weights(&harness), [], "nothing has changed");
    harness.receive_list(Some(3), &list(4, false, vec![server(2, "DRAINING", 0)])).unwrap();
    harness.run_until(ms(3700));
    let drained = as_text(&take_weights(&harness)[0]);
    assert!(drained.starts_with("1 proxies, sum ") && drained.contains(" s2 0.000"), "{drained}");
    harness.manager.connection_closed(1);
    harness.run_until(ms(4000));
    assert_eq!(take_weights(&harness)[0].proxies, 0);
}

#[rstest]
fn logs_no_weights_unless_requested() {
    let mut harness = Harness::new(4);
    harness.run_until(ms(2500));
    harness.join(1, 5);
    harness.run_until(ms(3000));
    assert_eq!(take_weights(&harness), []);
}
