//! The station through time: who is let in, who is let go, what is believed, and what proxies hold after it.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

mod helpers;
mod same;

use grebespool::host::HealthCheckResult;
use helpers::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::BTreeMap;

#[rstest]
fn a_proxy_gets_one_whole_table_and_then_only_changes() {
    let mut rig = Rig::new(4);
    rig.until(ms(2500));
    rig.join(1, 5);
    let first = rig.written(1);
    assert_eq!(
        (&first[0]["whole"], first.iter().filter(|m| m["more"] == true).count() + 1),
        (&json!(true), first.len())
    );
    let mut holds = table(&first, BTreeMap::new());
    assert_eq!(holds.len(), 4);
    rig.list(Some(3), &list(4, false, vec![server(2, "DRAINING", 0)])).unwrap();
    let second = rig.written(1);
    assert!(second.iter().all(|m| m.get("whole").is_none()), "{second:?}");
    holds = table(&second, holds);
    assert!(!holds.contains_key("s2") && holds.len() == 3, "{holds:?}");
}

#[rstest]
fn the_newer_stream_holds_and_the_older_ones_end_is_not_missed() {
    let mut rig = Rig::new(4);
    rig.join(1, 5);
    rig.until(ms(3000));
    rig.written(1);
    rig.join(2, 5);
    assert!(rig.closed(1));
    assert_eq!(table(&rig.written(2), BTreeMap::new()).len(), 4);
    rig.station.closed(1);
    rig.list(Some(3), &list(4, false, vec![server(0, "DELETED", 0)])).unwrap();
    assert!(!rig.written(2).is_empty());
    assert!(rig.written(1).is_empty());
    assert_eq!(rig.station.counts()[0], 1);
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
fn strangers_get_a_no_and_a_close(#[case] bytes: Vec<u8>) {
    for step in [1, 3, bytes.len()] {
        let mut rig = Rig::new(2);
        rig.open(1);
        for part in bytes.chunks(step) {
            rig.bytes(1, part);
        }
        assert!(rig.closed(1));
        assert_eq!(rig.written(1).pop().unwrap()["msg"], "NACK");
        assert_eq!(rig.station.counts()[..2], [0, 0]);
    }
}

#[rstest]
#[case::silent(&[])]
#[case::half_a_message(&[0, 0, 0, 40, b'{'])]
#[case::a_sign_of_life(b"\0\0\0\x0e{\"msg\":\"PING\"}")]
fn who_does_not_join_is_closed_in_time(#[case] says: &[u8]) {
    let mut rig = Rig::new(2);
    rig.until(ms(777));
    rig.open(1);
    rig.bytes(1, says);
    rig.until(ms(777 + 1000));
    assert!(!rig.closed(1));
    rig.until(ms(777 + 2500));
    assert!(rig.closed(1));
    if says.len() > 10 {
        assert_eq!(rig.written(1)[0], json!({"msg": "PONG"}));
    }
}

#[rstest]
fn a_trickle_is_no_joining_and_a_slow_joining_is_one() {
    let mut rig = Rig::new(2);
    let joining = framed(subscribe(1, "south").to_string().as_bytes());
    rig.open(1);
    rig.open(2);
    for (i, byte) in joining.iter().enumerate() {
        rig.bytes(1, &[*byte]);
        if i < 20 {
            rig.bytes(2, &[*byte]);
        }
        rig.until(ms(15 * (i as u64 + 1)));
    }
    assert_eq!(rig.station.counts()[..2], [1, 1]);
    rig.until(ms(3000));
    assert!(!rig.closed(1) && rig.closed(2));
}

#[rstest]
fn strangers_by_hundreds_cost_none_of_the_joined() {
    let mut rig = Rig::new(2);
    for p in 0..12 {
        rig.join(p, p);
    }
    for conn in 100..900 {
        rig.open(conn);
    }
    // 100 descriptors less 20 kept free, 12 proxies and 8 collectors.
    assert_eq!(rig.station.counts()[..2], [12, 60]);
    assert!((100..840).all(|c| rig.closed(c)) && (840..900).all(|c| !rig.closed(c)));
    rig.station.shed(rig.now, "no descriptors");
    assert!(rig.closed(840));
    (841..900).for_each(|c| rig.station.closed(c));
    (0..100).for_each(|_| rig.station.shed(rig.now, "no descriptors"));
    let kept = rig.kept.borrow();
    assert_eq!(kept.said.last().unwrap(), "a connection could not be accepted: no descriptors");
    assert!(kept.said.len() <= 3, "{:?}", kept.said);
}

#[rstest]
fn a_good_stream_lives_through_spoilt_messages_and_long_silence() {
    let mut rig = Rig::new(4);
    rig.join(1, 5);
    rig.until(ms(60_000));
    // The first bytes after a long silence are the beginning of a message, not one that was left half said.
    let good = framed(br#"{"msg":"RATE","node":5,"route":"store","total":1,"errors":0,"interval":500}"#);
    rig.bytes(1, &good[..9]);
    rig.until(ms(64_000));
    rig.bytes(1, &good[9..]);
    for spoilt in [
        json!({"msg": "RATE", "node": 4, "route": "store", "total": 1, "errors": 0, "interval": 500}),
        json!({"msg": "RATE", "node": 5, "route": "sing", "total": 1, "errors": 0, "interval": 500}),
        json!({"msg": "ACK", "node": 5, "nonce": 61_000, "latency": 1}),
        json!({"msg": 7}),
        json!({}),
        json!({"msg": "WHAT"}),
    ] {
        rig.say(1, &spoilt);
    }
    rig.bytes(1, &framed(b"{\"msg\":\"RATE\",\"node\":NaN}"));
    rig.bytes(1, &good);
    assert!(!rig.closed(1));
    let said = rig.kept.borrow().said.len();
    assert!((1..=2).contains(&said), "{:?}", rig.kept.borrow().said);
}

#[rstest]
#[case::no_frames(vec![vec![200; 9]])]
#[case::no_json(vec![framed(b"{x"); 3])]
#[case::orders_of_its_own(vec![framed(br#"{"msg":"CONFIG"}"#); 3])]
fn a_stream_that_goes_on_with_what_cannot_be_read_is_closed(#[case] parts: Vec<Vec<u8>>) {
    let mut rig = Rig::new(4);
    rig.join(1, 5);
    parts.iter().for_each(|p| rig.bytes(1, p));
    assert!(rig.closed(1));
    assert_eq!(rig.station.counts()[0], 0);
}

#[rstest]
fn half_a_message_on_a_joined_stream_is_not_waited_for_for_ever() {
    let mut rig = Rig::new(4);
    rig.join(1, 5);
    rig.bytes(1, &[0, 0, 0, 40, b'{']);
    rig.until(ms(10_000));
    assert!(!rig.closed(1));
    rig.until(ms(16_000));
    assert!(rig.closed(1));
}

#[rstest]
fn collectors_that_come_again_and_again_take_few_places() {
    let mut rig = Rig::new(4);
    for conn in 0..50 {
        rig.open(conn);
        rig.say(conn, &json!({"msg": "SOURCE", "locality": "north"}));
        rig.now += ms(10);
    }
    assert_eq!((0..50).filter(|c| !rig.closed(*c)).collect::<Vec<_>>(), [46, 47, 48, 49]);
    // Nothing is ever written to a collector.
    assert!((0..50).all(|c| rig.written(c).is_empty()));
}

fn with(mut entry: Value, field: &str, value: Value) -> Value {
    entry[field] = value;
    entry
}

/// Of servers s0 to s3, which are listed after an answer, whether all was believed, and whether the whole is asked.
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
fn a_list_is_judged_entry_by_entry(
    #[case] full: bool,
    #[case] version: u64,
    #[case] entries: Vec<Value>,
    #[case] left: &str,
    #[case] believed: bool,
    #[case] whole: bool,
) {
    let mut rig = Rig::new(4);
    rig.join(1, 5);
    rig.until(ms(2000));
    let mut holds = table(&rig.written(1), BTreeMap::new());
    rig.list(Some(3), &list(version, full, entries)).unwrap();
    holds = table(&rig.written(1), holds);
    let expected: Vec<String> = left.chars().map(|k| format!("s{k}")).collect();
    assert_eq!(holds.into_keys().collect::<Vec<_>>(), expected);
    assert_eq!(rig.kept.borrow().said.is_empty(), believed);
    assert_eq!(rig.kept.borrow().wholes, usize::from(whole));
}

#[rstest]
#[case::no_json("{")]
#[case::no_version(r#"{"full":true,"servers":[]}"#)]
#[case::no_servers(r#"{"version":9,"full":true}"#)]
#[case::neither_whole_nor_not(r#"{"version":9,"servers":[]}"#)]
fn what_is_no_list_has_failed(#[case] body: &str) {
    let mut rig = Rig::new(4);
    assert!(rig.station.list(ms(5), UNIX, Some(3), body.as_bytes()).is_err());
    assert_eq!(rig.station.list_version(), Some(3));
}

/// Whether lists are asked for or pushed is said of the simulator: here they come to who asks and goes on asking.
#[rstest]
#[case::asked_for(json!("on_request"))]
#[case::pushed(json!("pushed"))]
#[case::left_out(Value::Null)]
fn the_list_is_asked_for_until_it_answers_and_again_when_it_failed(#[case] mode: Value) {
    let mut rig = Rig::on(terms_of(4, with(settings(), "registryMode", mode)));
    rig.until(ms(1500));
    assert_eq!(rig.kept.borrow().watches, 1);
    rig.list(Some(3), &list(3, false, vec![])).unwrap();
    rig.until(ms(30_000));
    assert_eq!(rig.kept.borrow().watches, 1);
    rig.station.list_failed(rig.now, "reset");
    rig.until(ms(31_500));
    assert_eq!(rig.kept.borrow().watches, 2);
}

/// A clock that is set, or a list that is told again, is no restart; a new start is one.
#[rstest]
#[case::told_again(0.0, -90_000.0, 1.0)]
#[case::clock_set_back(-100_000.0, -90_000.0, 1.0)]
#[case::started_anew(0.0, 14_900.0, 0.25)]
fn a_servers_age_goes_by_its_start(#[case] set: f64, #[case] started: f64, #[case] part: f64) {
    let mut rig = Rig::new(2);
    rig.list(Some(3), &list(4, false, vec![server(0, "SERVING", 90_000)])).unwrap();
    rig.until(ms(15_000));
    let again = list(5, false, vec![with(server(0, "SERVING", 0), "started_ms", json!(UNIX + started))]);
    let unix = UNIX + 15_000.0 + set;
    rig.station.list(rig.now, unix, Some(4), again.to_string().as_bytes()).unwrap();
    rig.until(ms(15_100));
    rig.join(1, 0);
    let holds = table(&rig.written(1), BTreeMap::new());
    let weight = holds.get("s0").copied().unwrap_or(0.0);
    assert!(if part == 1.0 { weight >= 0.9 } else { weight <= part }, "{holds:?}");
}

#[rstest]
fn servers_that_are_replaced_for_ever_take_no_more_places() {
    let mut rig = Rig::new(4);
    rig.join(1, 4);
    for k in 4..600usize {
        let changes = vec![server(k, "SERVING", 50), server(k - 4, "DELETED", 0)];
        rig.list(Some(k as u64 - 1), &list(k as u64, false, changes)).unwrap();
        rig.until(rig.now + ms(1000));
        rig.written(1);
    }
    let [_, _, listed, _, indices] = rig.station.counts();
    assert_eq!(listed, 4);
    assert!(indices < 60, "{indices}");
}

/// The older stream's joining may be read last: closing the newer one for it would leave the proxy with neither.
#[rstest]
fn a_joining_that_came_first_and_is_read_last_ends_alone() {
    let mut rig = Rig::new(4);
    rig.until(ms(2500));
    let joining = framed(subscribe(5, "south").to_string().as_bytes());
    rig.open(1);
    rig.bytes(1, &joining[..joining.len() - 1]);
    rig.join(2, 5);
    rig.bytes(1, &joining[joining.len() - 1..]);
    assert!(rig.closed(1) && !rig.closed(2));
    rig.station.closed(1);
    rig.written(2);
    rig.list(Some(3), &list(4, false, vec![server(0, "DELETED", 0)])).unwrap();
    assert_eq!((rig.written(2).len(), rig.station.counts()[0]), (1, 1));
}

/// Hundreds come in one instant, and each has said its joining already: nobody goes before it was read.
#[rstest]
fn who_has_just_come_is_read_before_it_goes_for_newer_ones() {
    let mut rig = Rig::new(2);
    rig.until(ms(1000));
    (0..59).for_each(|conn| rig.open(conn));
    assert_eq!(rig.station.next_to_go(), None);
    rig.open(59);
    assert_eq!(rig.station.next_to_go(), Some(0));
    rig.say(0, &subscribe(0, "north"));
    assert_eq!(rig.station.next_to_go(), None);
    rig.open(60);
    assert_eq!(rig.station.next_to_go(), Some(1));
    rig.open(61);
    assert!(rig.closed(1) && !rig.closed(2));
    assert_eq!(rig.station.counts()[..2], [1, 60]);
}

/// A server that is gone and back under its id listens elsewhere; what its former address said is not news of it.
#[rstest]
#[case::of_its_former_life("127.0.0.9:7000", true)]
#[case::of_its_own("127.0.0.9:9000", false)]
fn a_probe_that_outlives_its_server_counts_for_no_other(#[case] answered: &str, #[case] out: bool) {
    let mut rig = Rig::new(4);
    rig.join(1, 5);
    rig.until(ms(2500));
    let again = with(server(0, "SERVING", 0), "addr", json!("127.0.0.9:9000"));
    rig.list(Some(3), &list(4, false, vec![server(0, "DELETED", 0)])).unwrap();
    rig.list(Some(4), &list(5, false, vec![again])).unwrap();
    let mut holds = table(&rig.written(1), BTreeMap::new());
    rig.open(9);
    rig.say(9, &json!({"msg": "SOURCE", "locality": "north"}));
    // It answers no calls and, twice, no probe: then it is out, if it was it that was asked.
    for _ in 0..24 {
        rig.until(rig.now + ms(500));
        rig.station.probed("s0", answered.parse().unwrap(), HealthCheckResult::Failed);
        let met = |k: usize| {
            json!({"msg": "LOAD", "locality": "north", "endpoint": format!("s{k}"), "total": 9,
            "errors": 0, "rtt": 20.0, "interval": 500, "metrics": {"cpu_share": 0.5 + 0.001 * rig.now.as_secs_f64()}})
        };
        let met: Vec<Value> = (1..4).map(met).collect();
        met.iter().for_each(|m| rig.say(9, m));
        holds = table(&rig.written(1), holds);
    }
    assert_eq!(holds.contains_key("s0"), out, "{holds:?}");
}

/// One proxy, one server and one version of the list can be followed by the log, which does not grow with the fleet.
#[rstest]
fn what_happens_to_whom_is_noted_in_few_lines() {
    let mut rig = Rig::new(300);
    rig.until(ms(2500));
    rig.join(1, 5);
    rig.join(2, 5);
    rig.join(3, 7);
    rig.station.closed(3);
    rig.join(4, 8);
    (0..3).for_each(|_| rig.bytes(4, &framed(b"{x")));
    rig.kept.borrow_mut().noted.clear();
    rig.list(Some(3), &list(4, false, vec![server(0, "DRAINING", 0), server(1, "DELETED", 0)])).unwrap();
    rig.until(ms(3000));
    let noted = std::mem::take(&mut rig.kept.borrow_mut().noted);
    assert_eq!(
        noted[..6],
        [
            "list 4 since 3: 1 draining (s0) 1 gone (s1)",
            "proxies joined: 5 5 7 8",
            "proxies bound: 5 5 7 8",
            "proxies left: 7",
            "proxies closed: 8",
            "proxies replaced: 5",
        ]
    );
    assert_eq!(noted[6..], ["servers out: s0 s1"]);
    let all: Vec<Value> = (2..300).map(|k| server(k, "DRAINING", 0)).collect();
    rig.list(Some(4), &list(5, false, all)).unwrap();
    rig.until(ms(3500));
    let noted = std::mem::take(&mut rig.kept.borrow_mut().noted);
    assert!(noted.len() <= 3 && noted.iter().all(|l| l.len() < 1000), "{noted:?}");
    assert!(
        noted[0].starts_with("list 5 since 4: 298 draining (s2 s3 ") && noted[0].ends_with(" and 202 more)")
    );
}

fn debug_lines(rig: &Rig) -> Vec<String> {
    std::mem::take(&mut rig.kept.borrow_mut().debugged)
}

#[rstest]
fn every_weight_that_is_written_can_be_logged() {
    let mut rig = Rig::new(4);
    rig.station.log_weights();
    rig.until(ms(2500));
    rig.join(1, 5);
    rig.until(ms(3000));
    let holds = table(&rig.written(1), BTreeMap::new());
    let weights: Vec<f64> = holds.values().copied().collect();
    let named: Vec<String> = holds.iter().map(|(id, weight)| format!(" {id} {weight:.3}")).collect();
    let tail = format!(", 1 proxies, sum {:.3}:{}", weights.iter().sum::<f64>(), named.concat());
    let first = debug_lines(&rig);
    assert!(first.len() == 1 && first[0].ends_with(&tail), "{first:?} {tail}");
    rig.until(ms(3400));
    assert_eq!(debug_lines(&rig), Vec::<String>::new(), "nothing has changed");
    rig.list(Some(3), &list(4, false, vec![server(2, "DRAINING", 0)])).unwrap();
    rig.until(ms(3700));
    let drained = debug_lines(&rig);
    assert!(drained[0].contains(", 1 proxies, sum ") && drained[0].contains(" s2 0.000"), "{drained:?}");
    rig.station.closed(1);
    rig.until(ms(4000));
    assert!(debug_lines(&rig)[0].contains(", 0 proxies, sum "));
}

#[rstest]
fn weights_are_logged_only_where_asked() {
    let mut rig = Rig::new(4);
    rig.until(ms(2500));
    rig.join(1, 5);
    rig.until(ms(3000));
    assert_eq!(debug_lines(&rig), Vec::<String>::new());
}
