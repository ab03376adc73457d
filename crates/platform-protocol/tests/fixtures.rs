//! Recorded bytes of every kind of message on the platform's protocol: received messages are parsed as expected, and
//! fixed input is answered with the same bytes.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::wildcard_imports, reason = "all helpers are for these tests")]

#[allow(dead_code)]
mod helpers;

use grebespool::host::{AdmissionMode, Idempotency, LoadMetric};
use grebespool_platform_protocol::{
    EndpointWatch, FrameDecoder, JoinRequest, ListRequest, Message, PlannerConfig, ServerReport, UsageReport,
    parse_message,
};
use helpers::*;
use rstest::rstest;
use serde_json::json;
use std::collections::BTreeMap;

const READ: &str = include_str!("fixtures/read.txt");
const START: &str = include_str!("fixtures/start.json");
const DISCOVERY: &str = include_str!("fixtures/discovery.txt");
const WRITTEN: &str = include_str!("fixtures/written.txt");

/// Converts a line of a fixture into a frame. A line holds the length as eight hexadecimal digits, a space and the
/// body.
fn frame_of(line: &str) -> Vec<u8> {
    let (length, body) = line.split_once(' ').unwrap();
    [&u32::from_str_radix(length, 16).unwrap().to_be_bytes()[..], body.as_bytes()].concat()
}

fn lines_of(fixture: &'static str) -> BTreeMap<&'static str, &'static str> {
    fixture.lines().map(|line| line.split_once(' ').unwrap()).collect()
}

fn message(name: &str) -> Message {
    let mut frames = FrameDecoder::new(4096);
    frames.extend(&frame_of(lines_of(READ)[name]));
    let body = frames.next_body().unwrap().expect("a complete frame").to_vec();
    assert!(!frames.has_partial_frame(), "the length is that of the body");
    parse_message(&body).unwrap()
}

#[rstest]
#[case::ping("ping", Message::Ping)]
#[case::collector("collector", Message::Collector { zone: "north".into() })]
#[case::server_report("sums", Message::ServerReport(ServerReport {
    zone: "north".into(),
    server: "s-5be2a07c".into(),
    attempts: 212,
    failures: 3,
    mean_latency_ms: Some(41.7),
    metrics: vec![("cpu_share".into(), 0.61), ("pending".into(), 7.0)],
}))]
#[case::server_report_without_metrics("sums_without_a_report", Message::ServerReport(ServerReport {
    zone: "a".into(),
    server: "s".into(),
    attempts: 2,
    failures: 2,
    mean_latency_ms: None,
    metrics: vec![],
}))]
#[case::join("joining", Message::Join(JoinRequest {
    proxy: 17, zone: "a".into(), requests_per_second: 21.5, without_table: true,
}))]
#[case::ack("answer_to_a_mark", Message::Ack { proxy: 17, token: 905 })]
#[case::usage("usage", Message::Usage(UsageReport { proxy: 17, route: "look up".into(), requests: 19 }))]
fn recorded_message_is_parsed_as_expected(#[case] name: &str, #[case] expected: Message) {
    assert_eq!(message(name), expected);
}

#[rstest]
fn every_recorded_message_is_compared() {
    let compared =
        ["answer_to_a_mark", "collector", "joining", "ping", "sums", "sums_without_a_report", "usage"];
    assert_eq!(lines_of(READ).into_keys().collect::<Vec<_>>(), compared);
}

#[rstest]
fn recorded_start_file_is_parsed_as_expected() {
    let config = PlannerConfig::parse(START.as_bytes()).unwrap();
    assert_eq!(config.name, "p7");
    assert_eq!(
        (config.listen.to_string(), config.discovery.to_string()),
        ("127.0.0.1:9000".into(), "127.0.0.1:8000".into())
    );
    assert_eq!((config.seed, config.max_descriptors), (0x8c1f, 100));
    assert_eq!(config.known_endpoints.unwrap()["version"], json!(3));
    assert_eq!(
        (config.route_names, config.zones),
        (vec!["look up".into(), "store".into()], vec!["north".into(), "south".into()])
    );
    assert_eq!(config.metric_names, ["cpu_share", "pending"]);
    assert_eq!(config.observability.metrics, [LoadMetric::Utilization, LoadMetric::Pending]);
    assert_eq!(
        (
            config.observability.report_interval,
            config.observability.health_checks,
            config.observability.endpoint_poll_interval
        ),
        (ms(500), true, Some(ms(9000)))
    );
    let routes: Vec<_> = config
        .routes
        .iter()
        .map(|route| (route.priority_weight, route.latency_objective, route.idempotency))
        .collect();
    assert_eq!(routes, [(1.0, ms(900), Idempotency::Idempotent), (3.0, ms(700), Idempotency::NonIdempotent)]);
    assert_eq!(config.timeouts.warm_up, ms(12_000));
    assert_eq!(
        (config.channel.entries_per_s, config.channel.max_queued_entries, config.channel.message_overhead),
        (8000.0, 9000.0, 3.0)
    );
    assert_eq!(config.channel.max_transit, ms(400));
    assert_eq!(
        (
            config.proxy_capabilities.zones,
            config.proxy_capabilities.proxies,
            config.proxy_capabilities.attempt_timeout_factor
        ),
        (2, 12, 0.7)
    );
    assert_eq!(config.proxy_capabilities.admission_mode, AdmissionMode::Share);
}

/// Each case gives the servers in the table of a new proxy after an answer of discovery, and the known version.
#[rstest]
#[case::changes("changes", &["s2", "s3", "s4"], 4)]
#[case::no_changes("nothing_new", &["s0", "s1", "s2", "s3"], 4)]
#[case::full_list("whole", &["s2"], 9)]
fn recorded_answer_of_discovery_is_applied_as_expected(
    #[case] name: &str,
    #[case] servers: &[&str],
    #[case] version: u64,
) {
    let mut harness = Harness::with_config(PlannerConfig::parse(START.as_bytes()).unwrap());
    harness.join(1, 5);
    harness.run_until(ms(2000));
    let proxy_table = table(&harness.written(1), BTreeMap::new());
    assert_eq!(proxy_table.into_keys().collect::<Vec<_>>(), ["s0", "s1", "s2", "s3"]);
    harness.receive_list_at(START_UNIX_MS, Some(3), lines_of(DISCOVERY)[name].as_bytes()).unwrap();
    // Only a proxy that joins after the change is bound to a new table.
    harness.run_until(ms(30_000));
    harness.join(2, 6);
    let proxy_table = table(&harness.written(2), BTreeMap::new());
    assert_eq!(proxy_table.into_keys().collect::<Vec<_>>(), servers);
    assert_eq!(harness.manager.endpoint_list_version(), Some(version));
    assert!(harness.recorded.borrow().warnings.is_empty(), "{:?}", harness.recorded.borrow().warnings);
}

/// A server with a recent start in its entry gets a small weight (slow start); a server without a start keeps its
/// weight.
#[rstest]
fn recorded_start_of_a_server_determines_its_age() {
    let mut harness = Harness::with_config(PlannerConfig::parse(START.as_bytes()).unwrap());
    harness.run_until(ms(15_000));
    let restarted = lines_of(DISCOVERY)["restarted"].as_bytes();
    harness.receive_list_at(START_UNIX_MS + 15_000.0, Some(3), restarted).unwrap();
    harness.run_until(ms(15_100));
    harness.join(1, 5);
    let proxy_table = table(&harness.written(1), BTreeMap::new());
    assert!(
        proxy_table["s3"] >= 0.9 && proxy_table.get("s1").is_none_or(|weight| *weight <= 0.25),
        "{proxy_table:?}"
    );
}

#[rstest]
fn requests_for_the_list_have_the_expected_paths() {
    let mut watch = EndpointWatch::new("127.0.0.1:8000".parse().unwrap());
    watch.request();
    assert!(watch.begin());
    let paths = |watch: &mut EndpointWatch| {
        let request: ListRequest = watch.next_request(Some(41));
        watch.request_answered(&request);
        request.path
    };
    assert_eq!(watch.next_request(None).path, "/v1/endpoints");
    assert_eq!(paths(&mut watch), "/v1/endpoints?since=41&timeout_ms=1");
    assert_eq!(paths(&mut watch), "/v1/endpoints?since=41&timeout_ms=4000");
}

const COLLECTOR: u64 = 900;

/// Messages of peers that have not joined, one for each reason that a NACK to a single connection can have.
const REFUSED: [&[u8]; 12] = [
    br#"{"msg":"SOURCE","locality":"west"}"#,
    br#"{"msg":"SUBSCRIBE","node":12,"locality":"north","w":3.5,"cold":true}"#,
    br#"{"msg":"SUBSCRIBE","node":1,"locality":"north","w":"3","cold":true}"#,
    br#"{"msg":"SUBSCRIBE","node":1,"w":3.5,"cold":true}"#,
    br#"{"msg":"SUBSCRIBE","node":1.5,"locality":"north","w":3.5,"cold":true}"#,
    br#"{"msg":"SUBSCRIBE","node":1,"locality":"north","w":-3.5,"cold":1}"#,
    br#"{"msg":"RATE","node":1,"route":"store","total":1,"errors":0,"interval":1}"#,
    br#"{"msg":"RATE","node":1,"route":"store","total":1,"errors":0,"interval":0}"#,
    br#"{"msg":"CONFIG","lines":[["s1",1]]}"#,
    br#"{"node":1}"#,
    br#"{]"#,
    br#"[]"#,
];

/// Bytes that are not frames.
const NO_FRAMES: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0, 0, 0, 0], &[0, 0, 0x10, 1, b'{']];

/// Runs twenty seconds in which proxies join, the load rises until the admission level falls, and servers drain and are
/// removed.
fn session() -> Harness {
    let mut harness = Harness::with_config(PlannerConfig::parse(START.as_bytes()).unwrap());
    harness.open(COLLECTOR);
    harness.receive_message(COLLECTOR, &json!({"msg": "SOURCE", "locality": "north"}));
    harness.open(50);
    harness.receive_message(50, &json!({"msg": "PING"}));
    for (connection, body) in (100..).zip(REFUSED) {
        harness.open(connection);
        harness.receive(connection, &framed(body));
    }
    for (connection, bytes) in (200..).zip(NO_FRAMES) {
        harness.open(connection);
        harness.receive(connection, bytes);
    }
    // Two streams of one proxy; the join of the older stream is read last.
    let join = framed(subscribe(4, "north").to_string().as_bytes());
    harness.open(301);
    harness.receive(301, &join[..join.len() - 1]);
    harness.open(302);
    harness.receive(302, &join);
    harness.receive(301, &join[join.len() - 1..]);
    harness.manager.connection_closed(302);
    for step in 1..400u64 {
        harness.run_until(ms(step * 50));
        match step {
            20 => harness.join(1, 5),
            60 => harness.join(2, 6),
            120 => harness
                .receive_list_at(START_UNIX_MS, Some(3), lines_of(DISCOVERY)["changes"].as_bytes())
                .unwrap(),
            150 => harness.receive_message(1, &json!({"msg": "ACK", "node": 5, "nonce": 1, "latency": 30.5})),
            380 => harness.join(3, 7),
            _ => report_load(&mut harness, step),
        }
    }
    // More connections than may be open without a join, and one that cannot be accepted.
    (400..=461).for_each(|connection| harness.open(connection));
    harness.manager.accept_failed(harness.now, "no descriptors");
    harness
}

fn report_load(harness: &mut Harness, step: u64) {
    let share = 0.99 - 0.001 * (step % 7) as f64;
    harness.receive_message(
        COLLECTOR,
        &json!({"msg": "LOAD", "locality": "north", "endpoint": format!("s{}", step % 4), "total": 20,
                "errors": 5, "rtt": 80.0, "interval": 500.0,
                "metrics": {"cpu_share": share, "pending": 1.0}}),
    );
    harness.receive_message(
        COLLECTOR,
        &json!({"msg": "RATE", "node": 5, "route": "store", "total": 20, "errors": 0, "interval": 500.0}),
    );
}

/// Converts the frames of a connection into lines of a fixture.
fn as_lines(connection: u64, bytes: &[u8]) -> Vec<String> {
    let (mut rest, mut lines) = (bytes, vec![]);
    while let Some((head, more)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*head);
        let (body, more) = more.split_at(length as usize);
        lines.push(format!("{connection} {length:08x} {}", std::str::from_utf8(body).unwrap()));
        rest = more;
    }
    assert!(rest.is_empty(), "expected only complete frames");
    lines
}

#[rstest]
fn fixed_input_is_answered_with_the_recorded_bytes() {
    let harness = session();
    let recorded = harness.recorded.borrow();
    let written: Vec<String> =
        recorded.written.iter().flat_map(|(connection, bytes)| as_lines(*connection, bytes)).collect();
    assert_eq!(written, WRITTEN.lines().collect::<Vec<_>>());
}

/// Guards against a fixture that lacks a kind of message or a reason of a NACK: the comparison above would not notice.
#[rstest]
#[case::pong(r#"{"msg":"PONG"}"#)]
#[case::full_table(r#""whole":true"#)]
#[case::changed_weights(r#"{"lines":[["#)]
#[case::removed_server(r#"["s0",0.0]"#)]
#[case::one_part_of_several(r#""more":true"#)]
#[case::admission_level_of_some_routes(r#"{"classes":["store"],"level":"#)]
#[case::admission_level_of_all_routes(r#"{"level":"#)]
#[case::admission_level_below_one(r#""level":0."#)]
#[case::retry_never(r#""retry":0"#)]
#[case::retry_if_not_executed(r#""retry":1"#)]
#[case::retry_after_failure(r#""retry":2"#)]
#[case::ack_token(r#""ticket":1}"#)]
#[case::nack_timed_out("in time\"")]
#[case::nack_unknown_zone("which is not stated\"")]
#[case::nack_unknown_proxy("which does not exist\"")]
#[case::nack_report_before_join("a report without a joining\"")]
#[case::nack_newer_stream("a newer stream of its proxy has joined\"")]
#[case::nack_too_many_unknown_peers("too many have not joined\"")]
#[case::nack_out_of_descriptors("descriptors run out\"")]
#[case::nack_missing_field("locality is missing\"")]
#[case::nack_field_of_another_type("w is no figure\"")]
#[case::nack_field_out_of_range("w is out of range\"")]
#[case::nack_field_with_a_fraction("node is no whole number\"")]
#[case::nack_interval_of_zero("interval is nought\"")]
#[case::nack_missing_kind("an object: msg is missing\"")]
#[case::nack_unknown_kind("is no message that may come\"")]
#[case::nack_not_an_object("it is not an object of JSON\"")]
#[case::nack_too_long("bytes; at most 4096 are possible here\"")]
#[case::nack_empty("a message of no bytes\"")]
fn every_kind_of_written_message_is_recorded(#[case] part: &str) {
    assert!(WRITTEN.contains(part), "{part}");
}
