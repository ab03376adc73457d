//! Messages that were received on a connection before it ended and were not handled by then.

use crate::helpers::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use serde_json::{Value, json};

fn usage(node: u64) -> Vec<u8> {
    let report =
        json!({"msg": "RATE", "node": node, "route": "store", "total": 9, "errors": 0, "interval": 500});
    framed(report.to_string().as_bytes())
}

/// Returns the token of the last acknowledgement that was requested on a connection.
fn last_ticket(harness: &mut Harness, connection: u64) -> Option<Value> {
    harness.written(connection).iter().rev().find_map(|message| message.get("ticket").cloned())
}

/// Guards against reports of an ended stream that are counted after the newer stream of its proxy has joined: they were
/// received and still wait for their turn.
#[rstest]
#[case::replaced_by_a_newer_stream(true)]
#[case::ended(false)]
fn messages_of_an_ended_stream_that_wait_for_their_turn_do_not_count(#[case] is_replaced: bool) {
    let mut harness = Harness::new(4);
    harness.join(1, 5);
    harness.run_until(ms(1000));
    let ticket = last_ticket(&mut harness, 1).unwrap_or(json!(0));
    let ack = json!({"msg": "ACK", "node": 5, "nonce": ticket, "latency": 1.0});
    let waiting = [usage(5), framed(ack.to_string().as_bytes()), usage(5)].concat();
    harness.manager.bytes_received(harness.now, 1, &waiting);
    if is_replaced {
        harness.join(2, 5);
    } else {
        harness.manager.connection_closed(1);
    }
    assert!(!harness.manager.handle_next_message(harness.now, 1));
    let status = harness.manager.status();
    assert_eq!((status.stored_reports, status.unread_bytes), (0, 0));
    assert_eq!(status.joined_proxies, usize::from(is_replaced));
    assert!(harness.recorded.borrow().warnings.is_empty());
}

/// The end of a stream is its proxy's leaving, so what was sent before it no longer counts. A join and a PING do count: the
/// peer may send its last message and close its side.
#[rstest]
fn messages_sent_before_the_end_count_until_another_connection_replaces_them() {
    let mut harness = Harness::new(4);
    harness.join(1, 5);
    harness.open(2);
    assert!(!harness.manager.counts_after_end(1));
    assert!(harness.manager.counts_after_end(2));
    let source = |zone: &str| json!({"msg": "SOURCE", "locality": zone});
    for (connection, zone) in [(3, "north"), (4, "south"), (5, "north")] {
        harness.open(connection);
        harness.receive_message(connection, &source(zone));
    }
    assert_eq!([3, 4, 5].map(|connection| harness.manager.counts_after_end(connection)), [false, true, true]);
}

/// Whatever the order of messages, turns, joins and ends, only reports of the newest stream of a proxy are counted.
#[rstest]
fn only_reports_of_the_newest_stream_count_in_any_order() {
    let mut rng = Pcg64Mcg::seed_from_u64(6);
    for _ in 0..50 {
        let mut harness = Harness::new(4);
        let (mut newest, mut expected, mut waiting) = (None, 0, vec![0; 200]);
        for id in 1..200_u64 {
            let connection = rng.random_range(1..=id);
            match rng.random_range(0..6) {
                0 => {
                    harness.join(id, 5);
                    newest = Some(id);
                }
                1 => {
                    harness.manager.connection_closed(connection);
                    newest = newest.filter(|newest| *newest != connection);
                }
                2 | 3 if newest.is_some() => {
                    let target = if rng.random_bool(0.7) { newest.unwrap_or(id) } else { connection };
                    harness.manager.bytes_received(harness.now, target, &usage(5));
                    waiting[target as usize] += 1;
                }
                _ => {
                    let target = if rng.random_bool(0.7) { newest.unwrap_or(connection) } else { connection };
                    let is_handled = harness.manager.handle_next_message(harness.now, target);
                    assert_eq!(is_handled, newest == Some(target) && waiting[target as usize] > 0);
                    if is_handled {
                        waiting[target as usize] -= 1;
                        expected += 1;
                    }
                }
            }
            // All reports are of one proxy and one route, and fewer than the limit of stored reports.
            assert_eq!(harness.manager.status().stored_reports, expected);
        }
    }
}
