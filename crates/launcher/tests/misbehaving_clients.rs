//! Tests of one planner process beside clients that send without end, stop within a message or have very many fields.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::wildcard_imports, reason = "the tests use most of the test cluster's items")]

use grebespool_test_cluster::*;
use rstest::rstest;
use serde_json::{Map, Value, json};
use std::io::{Read, Seek, SeekFrom, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");
/// The memory in the start file of the test cluster's planners, in KiB.
const MEMORY_LIMIT_KIB: usize = 32 << 10;
/// The number of streams that send long messages, each of up to 64 KiB: more than the memory.
const STREAMS: usize = 560;
/// The longest time in which another client gets its answer. The platform gives a planner 3 s.
const ANSWER_LIMIT: Duration = ms(1000);
/// The time for which a client sends without end.
const FLOOD_DURATION: Duration = ms(1000);
/// The number of messages that a client writes at once.
const MESSAGES_AT_ONCE: usize = 500;

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

fn source() -> Value {
    json!({"msg": "SOURCE", "locality": "north"})
}

fn usage(node: usize, route: &str) -> Value {
    json!({"msg": "RATE", "node": node, "route": route, "total": 9, "errors": 0, "interval": 500})
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

/// Opens a connection whose answers are read and dropped, and sends its first message, if there is one.
fn connect(planner: SocketAddr, first: Option<Value>) -> TcpStream {
    let mut connection = Connection::connect(planner);
    let mut reader = connection.socket.try_clone().unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 4096];
        while reader.read(&mut buffer).is_ok_and(|length| length > 0) {}
    });
    first.iter().for_each(|message| connection.send(message));
    connection.socket
}

/// Sends the messages again and again until the connection ends.
fn send_without_end(mut socket: TcpStream, messages: &[Value]) {
    let bytes: Vec<u8> = messages.iter().flat_map(encode_frame).collect();
    while socket.write_all(&bytes).is_ok() {}
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

/// A kind of client that sends the same messages without end.
struct Flood {
    name: &'static str,
    first: Option<Value>,
    messages: Vec<Value>,
}

impl Flood {
    fn new(name: &'static str, first: Option<Value>, message: impl Fn(usize) -> Value) -> Flood {
        Flood { name, first, messages: (0..MESSAGES_AT_ONCE).map(message).collect() }
    }
}

fn floods() -> Vec<Flood> {
    let joined = || Some(subscribe(5));
    vec![
        Flood::new("PING before joining", None, |_| json!({"msg": "PING"})),
        Flood::new("PING after joining", joined(), |_| json!({"msg": "PING"})),
        Flood::new("usage of one route", joined(), |_| usage(5, "store")),
        Flood::new("usage of ever new routes", joined(), |k| usage(5, &format!("r{k}"))),
        Flood::new(
            "ever new acknowledgements",
            joined(),
            |k| json!({"msg": "ACK", "node": 5, "nonce": k, "latency": 1.0}),
        ),
        Flood::new("joins as ever other proxies", joined(), |k| subscribe(k % 12)),
        Flood::new("load of one server", Some(source()), |_| load("s0")),
        Flood::new("load of ever new servers", Some(source()), |k| load(&format!("x{k}"))),
        Flood::new("usage of all proxies", Some(source()), |k| usage(k % 12, "store")),
        Flood::new("announcements of a collector", Some(source()), |_| source()),
        Flood::new("spoilt reports", Some(source()), |_| json!({"msg": "LOAD", "locality": 7})),
        Flood::new("reports of very many fields", Some(source()), |k| {
            many_fields(if k % 100 == 0 { 5000 } else { 1 })
        }),
    ]
}

fn assert_memory_within_limit(planner: &PlannerProcess) {
    let peak = planner.peak_memory_kib();
    assert!(peak < MEMORY_LIMIT_KIB, "{peak} KiB");
}

/// Guards against a client that sends small or unsound messages at full speed on one connection: it kept the planner from
/// every other connection and timer, and its reports took ever more memory.
#[rstest]
fn client_that_sends_without_end_delays_no_other_and_takes_no_memory() {
    let (discovery, planner) = start(12);
    let watched = TestProxy::join(planner.listen, 1, true);
    wait_until("the proxy has a table", ms(5000), || watched.server_count() == 6);
    for (number, flood) in floods().into_iter().enumerate() {
        let socket = connect(planner.listen, flood.first);
        let sending = socket.try_clone().unwrap();
        let messages = flood.messages;
        let sender = thread::spawn(move || send_without_end(sending, &messages));
        assert_others_are_answered(planner.listen, FLOOD_DURATION, flood.name);
        if number == 2 {
            discovery.publish(&[endpoint(2, "DRAINING")]);
            wait_until("the draining server has left the table", ms(1000), || !watched.has("s2"));
        }
        let _ = socket.shutdown(Shutdown::Both);
        sender.join().unwrap();
    }
    assert_memory_within_limit(&planner);
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

/// Guards against connections that each have little to do and together delay all others.
#[rstest]
fn long_messages_of_hundreds_of_streams_delay_no_other() {
    let (_discovery, planner) = start(STREAMS);
    let _streams = open_streams(planner.listen, &encode_frame(&many_fields(5000)));
    assert_others_are_answered(planner.listen, FLOOD_DURATION, "messages of very many fields");
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

/// Guards against a newer stream that waits for what an ended one of its proxy left unread.
#[rstest]
fn stream_that_ends_with_much_unread_does_not_delay_the_newer_one() {
    const UNREAD: usize = 2 << 20;
    let (_discovery, planner) = start(12);
    let mut older = connect(planner.listen, Some(subscribe(5)));
    let reports: Vec<u8> = encode_frame(&usage(5, "store")).repeat(UNREAD / 100);
    older.set_write_timeout(Some(ms(500))).unwrap();
    planner.pause();
    let _ = older.write_all(&reports);
    older.shutdown(Shutdown::Both).unwrap();
    planner.resume();
    let newer = TestProxy::join(planner.listen, 5, false);
    wait_until("the newer stream has a table", ms(2000), || newer.server_count() == 6);
    assert_others_are_answered(planner.listen, ms(500), "the rest of an ended stream");
    assert!(!newer.ended());
}

/// Returns how many warnings about dropped messages the log has counted without a line of their own.
fn suppressed_warnings(log: &str) -> Option<usize> {
    let line = log.lines().rfind(|line| line.contains("dropping a message"))?;
    let count: String = line.split("suppressed").nth(1)?.chars().filter(char::is_ascii_digit).collect();
    count.parse().ok()
}

/// Guards against reports of a collector that has closed its connection, which are counted after a newer one of its zone has
/// connected. The reports name an unknown server, so that the log counts those that are handled.
#[rstest]
fn reports_of_an_ended_collector_do_not_count_beside_a_newer_one() {
    const REPORTS: usize = 350;
    /// The interval in which the log has at most one warning of a kind.
    const WARNING_INTERVAL: Duration = ms(10_500);
    let discovery = Discovery::new(6);
    let mut log = tempfile::tempfile().unwrap();
    let planner = PlannerProcess::spawn_with_log(
        PROGRAM,
        &discovery,
        128,
        &default_settings(),
        log.try_clone().unwrap(),
    );
    planner.wait_until_ready();
    let mut older = connect(planner.listen, Some(source()));
    thread::sleep(ms(300));
    planner.pause();
    older.write_all(&encode_frame(&load("x")).repeat(REPORTS)).unwrap();
    older.shutdown(Shutdown::Both).unwrap();
    let mut newer = connect(planner.listen, Some(source()));
    planner.resume();
    thread::sleep(WARNING_INTERVAL);
    newer.write_all(&encode_frame(&load("x"))).unwrap();
    thread::sleep(ms(500));
    log.seek(SeekFrom::Start(0)).unwrap();
    let mut text = String::new();
    log.read_to_string(&mut text).unwrap();
    let handled = suppressed_warnings(&text).unwrap_or_else(|| panic!("{text}")) + 1;
    assert!(handled < REPORTS / 2, "{handled} of {REPORTS} reports were handled");
}
