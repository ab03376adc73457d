//! Tests of one planner process beside clients that stop within a message or have very many fields.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::wildcard_imports, reason = "the tests use most of the test cluster's items")]

use grebespool_test_cluster::*;
use rstest::rstest;
use serde_json::{Map, Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");
/// The memory in the start file of the test cluster's planners, in KiB.
const MEMORY_LIMIT_KIB: usize = 32 << 10;
/// The number of streams that send long messages, each of up to 64 KiB: more than the memory.
const STREAMS: usize = 560;
/// The longest time in which another client gets its answer. The platform gives a planner 3 s.
const ANSWER_LIMIT: Duration = ms(1000);
/// The time for which others are to be answered.
const FLOOD_DURATION: Duration = ms(1000);

fn start(proxies: usize) -> (Discovery, PlannerProcess) {
    let discovery = Discovery::new(6);
    let mut settings = default_settings();
    settings["familyInfo"]["dataPlaneSize"] = json!(proxies);
    let planner = PlannerProcess::start(PROGRAM, &discovery, 1024, &settings);
    (discovery, planner)
}

fn subscribe(node: usize) -> Value {
    let zone = ["north", "south"][node % 2];
    json!({"msg": "SUBSCRIBE", "node": node, "locality": zone, "w": 2.5, "cold": true})
}

fn load(server: &str) -> Value {
    json!({"msg": "LOAD", "locality": "north", "endpoint": server, "total": 9, "errors": 0, "rtt": 20.0,
           "interval": 500, "metrics": {"cpu_share": 0.5, "pending": 1}})
}

/// Returns a report with this number of short fields that no deployment has.
fn many_fields(fields: usize) -> Value {
    let metrics: Map<String, Value> = (0..fields).map(|field| (format!("m{field}"), json!(1))).collect();
    let mut report = load("s0");
    report["metrics"] = Value::Object(metrics);
    report
}

/// Asserts that a new connection gets the answer to its PING in time, again and again for this time.
fn assert_others_are_answered(planner: SocketAddr, duration: Duration, meanwhile: &str) {
    let began = Instant::now();
    while began.elapsed() < duration {
        let asked_at = Instant::now();
        let mut other = Connection::connect(planner);
        other.set_read_timeout(ANSWER_LIMIT);
        other.send(&json!({"msg": "PING"}));
        assert!(
            other.receive().is_some_and(|answer| answer["msg"] == "PONG"),
            "no answer beside {meanwhile}"
        );
        assert!(asked_at.elapsed() < ANSWER_LIMIT, "{:?} beside {meanwhile}", asked_at.elapsed());
        thread::sleep(ms(20));
    }
}

fn assert_memory_within_limit(planner: &PlannerProcess) {
    let peak = planner.peak_memory_kib();
    assert!(peak < MEMORY_LIMIT_KIB, "{peak} KiB");
}

/// Guards against a process that passes its memory limit: hundreds of joined streams stop within a long message, then
/// send messages of very many short fields.
#[rstest]
fn hundreds_of_streams_with_long_messages_take_no_more_memory_than_the_limit() {
    const LENGTH: usize = 65_000;
    let (_discovery, planner) = start(STREAMS);
    let unfinished = [&(LENGTH as u32).to_be_bytes()[..], b"{", &vec![b' '; LENGTH - 1000]].concat();
    let stopped = open_streams(planner.listen, &unfinished);
    assert_others_are_answered(planner.listen, FLOOD_DURATION, "streams that stop within a message");
    assert_memory_within_limit(&planner);
    drop(stopped);
    let _streams = open_streams(planner.listen, &encode_frame(&many_fields(5000)));
    planner.wait_until_ready();
    assert_memory_within_limit(&planner);
}

/// Opens streams of different proxies, which read nothing, and sends the bytes on each.
fn open_streams(planner: SocketAddr, bytes: &[u8]) -> Vec<TcpStream> {
    let open = |node| {
        let mut connection = Connection::connect(planner);
        connection.send(&subscribe(node));
        let _ = connection.socket.write_all(bytes);
        connection.socket
    };
    (0..STREAMS).map(open).collect()
}
