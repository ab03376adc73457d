//! Joins, streams that are replaced, and connections that are closed.

use crate::helpers::*;
use grebespool_platform_protocol::{Warning, WarningKind};
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeMap;

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
#[case::invalid_json(framed(b"{]"))]
#[case::report_before_join(framed(
    br#"{"msg":"RATE","node":1,"route":"store","total":1,"errors":0,"interval":1}"#
))]
#[case::update_from_a_peer(framed(br#"{"msg":"CONFIG","lines":[["s1",1]]}"#))]
#[case::proxy_number_out_of_range(framed(subscribe(12, "north").to_string().as_bytes()))]
#[case::proxy_of_an_unknown_zone(framed(subscribe(1, "west").to_string().as_bytes()))]
#[case::collector_of_an_unknown_zone(framed(br#"{"msg":"SOURCE","locality":"west"}"#))]
#[case::join_without_a_proxy_number(framed(br#"{"msg":"SUBSCRIBE","locality":"north","w":1,"cold":true}"#))]
#[case::length_above_the_limit(vec![255, 255, 255, 255])]
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
#[case::partial_message(&[0, 0, 0, 40, b'{'])]
#[case::ping(b"\0\0\0\x0e{\"msg\":\"PING\"}")]
fn closes_peer_that_does_not_join_in_time(#[case] bytes: &[u8]) {
    let mut harness = Harness::new(2);
    harness.run_until(ms(777));
    harness.open(1);
    harness.receive(1, bytes);
    harness.run_until(ms(777 + 1000));
    assert!(!harness.is_closed(1));
    harness.run_until(ms(777 + 2500));
    assert!(harness.is_closed(1));
    if bytes.len() > 10 {
        assert_eq!(harness.written(1)[0], json!({"msg": "PONG"}));
    }
}

#[rstest]
fn accepts_slow_join_and_closes_unfinished_one() {
    let mut harness = Harness::new(2);
    let join = framed(subscribe(1, "south").to_string().as_bytes());
    harness.open(1);
    harness.open(2);
    for (i, byte) in join.iter().enumerate() {
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
fn evicts_unknown_peers_but_no_joined_ones() {
    let mut harness = Harness::new(2);
    for p in 0..12 {
        harness.join(p, p);
    }
    for connection in 100..900 {
        harness.open(connection);
    }
    // 60 unknown peers may be open: 100 descriptors less 20 reserved ones, 12 for proxies and 8 for collectors.
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
    // The time limit of a message starts at its first byte, not at the silence before it.
    let valid = framed(br#"{"msg":"RATE","node":5,"route":"store","total":1,"errors":0,"interval":500}"#);
    harness.receive(1, &valid[..9]);
    harness.run_until(ms(64_000));
    harness.receive(1, &valid[9..]);
    for invalid in [
        json!({"msg": "RATE", "node": 4, "route": "store", "total": 1, "errors": 0, "interval": 500}),
        json!({"msg": "RATE", "node": 5, "route": "sing", "total": 1, "errors": 0, "interval": 500}),
        json!({"msg": "ACK", "node": 5, "nonce": 61_000, "latency": 1}),
        json!({"msg": 7}),
        json!({}),
        json!({"msg": "WHAT"}),
    ] {
        harness.receive_message(1, &invalid);
    }
    harness.receive(1, &framed(b"{\"msg\":\"RATE\",\"node\":NaN}"));
    harness.receive(1, &valid);
    assert!(!harness.is_closed(1));
    let warning_count = harness.recorded.borrow().warnings.len();
    assert!((1..=2).contains(&warning_count), "{:?}", harness.recorded.borrow().warnings);
}

#[rstest]
#[case::bytes_that_are_not_frames(vec![vec![200; 9]])]
#[case::invalid_json(vec![framed(b"{x"); 3])]
#[case::updates_from_a_proxy(vec![framed(br#"{"msg":"CONFIG"}"#); 3])]
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
    for connection in 0..50 {
        harness.open(connection);
        harness.receive_message(connection, &json!({"msg": "SOURCE", "locality": "north"}));
        harness.now += ms(10);
    }
    assert_eq!((0..50).filter(|c| !harness.is_closed(*c)).collect::<Vec<_>>(), [46, 47, 48, 49]);
    // Nothing is ever written to a collector.
    assert!((0..50).all(|c| harness.written(c).is_empty()));
}

/// Guards against closing the newer stream when the join of the older one is read last: the proxy would be left without
/// a stream.
#[rstest]
fn older_stream_whose_join_is_read_last_is_closed() {
    let mut harness = Harness::new(4);
    harness.run_until(ms(2500));
    let join = framed(subscribe(5, "south").to_string().as_bytes());
    harness.open(1);
    harness.receive(1, &join[..join.len() - 1]);
    harness.join(2, 5);
    harness.receive(1, &join[join.len() - 1..]);
    assert!(harness.is_closed(1) && !harness.is_closed(2));
    harness.manager.connection_closed(1);
    harness.written(2);
    harness.receive_list(Some(3), &list(4, false, vec![server(0, "DELETED", 0)])).unwrap();
    assert_eq!((harness.written(2).len(), harness.manager.status().joined_proxies), (1, 1));
}

/// Guards against evicting a peer whose join was received but not read yet, when hundreds of peers connect at once.
#[rstest]
fn names_next_evicted_peer_before_eviction() {
    let mut harness = Harness::new(2);
    harness.run_until(ms(1000));
    (0..59).for_each(|connection| harness.open(connection));
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

/// Returns the number of joined proxies and the number of peers that have not joined.
fn peers(harness: &Harness) -> [usize; 2] {
    let status = harness.manager.status();
    [status.joined_proxies, status.unknown_peers]
}
