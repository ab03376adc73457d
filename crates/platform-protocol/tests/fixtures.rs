//! Messages of every kind on the platform's protocol, as recorded bytes: those that come in are read as expected, and
//! fixed input is answered with the same bytes.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::wildcard_imports, reason = "the helpers of the tests beside them")]

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

/// The frame that a line of a fixture stands for: eight digits of its length, a space, its body.
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
    let body = frames.next_body().unwrap().expect("a whole frame").to_vec();
    assert!(!frames.has_partial_frame(), "the length covers the body exactly");
    parse_message(&body).unwrap()
}

#[rstest]
#[case::ping("ping", Message::Ping)]
#[case::collector("collector", Message::Collector { zone: "north".into() })]
#[case::sums("sums", Message::ServerReport(ServerReport {
    zone: "north".into(),
    server: "s-5be2a07c".into(),
    attempts: 212,
    failures: 3,
    mean_latency_ms: Some(41.7),
    metrics: vec![("cpu_share".into(), 0.61), ("pending".into(), 7.0)],
}))]
#[case::sums_without_a_report("sums_without_a_report", Message::ServerReport(ServerReport {
    zone: "a".into(),
    server: "s".into(),
    attempts: 2,
    failures: 2,
    mean_latency_ms: None,
    metrics: vec![],
}))]
#[case::joining("joining", Message::Join(JoinRequest {
    proxy: 17, zone: "a".into(), requests_per_second: 21.5, without_table: true,
}))]
#[case::answer_to_a_mark("answer_to_a_mark", Message::Ack { proxy: 17, token: 905 })]
#[case::usage("usage", Message::Usage(UsageReport { proxy: 17, route: "look up".into(), requests: 19 }))]
fn recorded_message_is_read_as_expected(#[case] name: &str, #[case] expected: Message) {
    assert_eq!(message(name), expected);
}

#[rstest]
fn every_recorded_message_is_compared() {
    let compared =
        ["answer_to_a_mark", "collector", "joining", "ping", "sums", "sums_without_a_report", "usage"];
    assert_eq!(lines_of(READ).into_keys().collect::<Vec<_>>(), compared);
}

#[rstest]
fn recorded_start_file_is_read_as_expected() {
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

/// Servers in the table of a proxy after an answer of discovery, and the version that is known then.
#[rstest]
#[case::changes("changes", &["s2", "s3", "s4"], 4)]
#[case::nothing_new("nothing_new", &["s0", "s1", "s2", "s3"], 4)]
#[case::whole("whole", &["s2"], 9)]
fn recorded_answer_of_discovery_is_read_as_expected(
    #[case] name: &str,
    #[case] left: &[&str],
    #[case] version: u64,
) {
    let mut harness = Harness::with_config(PlannerConfig::parse(START.as_bytes()).unwrap());
    harness.join(1, 5);
    harness.run_until(ms(2000));
    let holds = table(&harness.written(1), BTreeMap::new());
    assert_eq!(holds.into_keys().collect::<Vec<_>>(), ["s0", "s1", "s2", "s3"]);
    harness.receive_list_at(UNIX, Some(3), lines_of(DISCOVERY)[name].as_bytes()).unwrap();
    // A new table is bound only to who joins after the change.
    harness.run_until(ms(30_000));
    harness.join(2, 6);
    let holds = table(&harness.written(2), BTreeMap::new());
    assert_eq!(holds.into_keys().collect::<Vec<_>>(), left);
    assert_eq!(harness.manager.endpoint_list_version(), Some(version));
    assert!(harness.recorded.borrow().warnings.is_empty(), "{:?}", harness.recorded.borrow().warnings);
}

/// A server that says when it was started has an age, and a young one a small weight; the others keep theirs.
#[rstest]
fn recorded_start_of_a_server_is_read_as_its_age() {
    let mut harness = Harness::with_config(PlannerConfig::parse(START.as_bytes()).unwrap());
    harness.run_until(ms(15_000));
    let restarted = lines_of(DISCOVERY)["restarted"].as_bytes();
    harness.receive_list_at(UNIX + 15_000.0, Some(3), restarted).unwrap();
    harness.run_until(ms(15_100));
    harness.join(1, 5);
    let holds = table(&harness.written(1), BTreeMap::new());
    assert!(holds["s3"] >= 0.9 && holds.get("s1").is_none_or(|weight| *weight <= 0.25), "{holds:?}");
}

#[rstest]
fn calls_for_the_list_are_asked_as_recorded() {
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

/// What is said by one who has not joined, and refused with a reason: one for each reason that one connection can get.
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

/// Bytes that are no frames.
const NO_FRAMES: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0, 0, 0, 0], &[0, 0, 0x10, 1, b'{']];

/// Twenty seconds in which proxies come, load rises until calls are let in only in part, and servers drain and leave.
fn session() -> Harness {
    let mut harness = Harness::with_config(PlannerConfig::parse(START.as_bytes()).unwrap());
    harness.open(COLLECTOR);
    harness.receive_message(COLLECTOR, &json!({"msg": "SOURCE", "locality": "north"}));
    harness.open(50);
    harness.receive_message(50, &json!({"msg": "PING"}));
    for (conn, body) in (100..).zip(REFUSED) {
        harness.open(conn);
        harness.receive(conn, &framed(body));
    }
    for (conn, bytes) in (200..).zip(NO_FRAMES) {
        harness.open(conn);
        harness.receive(conn, bytes);
    }
    // The older stream of a proxy whose joining is read last.
    let joining = framed(subscribe(4, "north").to_string().as_bytes());
    harness.open(301);
    harness.receive(301, &joining[..joining.len() - 1]);
    harness.open(302);
    harness.receive(302, &joining);
    harness.receive(301, &joining[joining.len() - 1..]);
    harness.manager.connection_closed(302);
    for step in 1..400u64 {
        harness.run_until(ms(step * 50));
        match step {
            20 => harness.join(1, 5),
            60 => harness.join(2, 6),
            120 => harness.receive_list_at(UNIX, Some(3), lines_of(DISCOVERY)["changes"].as_bytes()).unwrap(),
            150 => harness.receive_message(1, &json!({"msg": "ACK", "node": 5, "nonce": 1, "latency": 30.5})),
            380 => harness.join(3, 7),
            _ => report_load(&mut harness, step),
        }
    }
    // More than may wait without joining, and one that cannot be accepted.
    (400..=461).for_each(|conn| harness.open(conn));
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

/// The frames of a connection as lines of a fixture.
fn as_lines(conn: u64, bytes: &[u8]) -> Vec<String> {
    let (mut rest, mut lines) = (bytes, vec![]);
    while let Some((head, more)) = rest.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*head);
        let (body, more) = more.split_at(length as usize);
        lines.push(format!("{conn} {length:08x} {}", std::str::from_utf8(body).unwrap()));
        rest = more;
    }
    assert!(rest.is_empty(), "whole frames only");
    lines
}

#[rstest]
fn fixed_input_is_answered_with_the_recorded_bytes() {
    let harness = session();
    let recorded = harness.recorded.borrow();
    let written: Vec<String> =
        recorded.written.iter().flat_map(|(conn, bytes)| as_lines(*conn, bytes)).collect();
    assert_eq!(written, WRITTEN.lines().collect::<Vec<_>>());
}

/// A fixture that no longer holds a kind of message, or of a reason, would compare nothing for it.
#[rstest]
#[case::pong(r#"{"msg":"PONG"}"#)]
#[case::whole_table(r#""whole":true"#)]
#[case::changed_lines(r#"{"lines":[["#)]
#[case::a_line_that_goes(r#"["s0",0.0]"#)]
#[case::one_part_of_several(r#""more":true"#)]
#[case::level_of_some_classes(r#"{"classes":["store"],"level":"#)]
#[case::level_of_all_classes(r#"{"level":"#)]
#[case::share_that_is_let_in(r#""level":0."#)]
#[case::never_tried_again(r#""retry":0"#)]
#[case::tried_again_after_proof(r#""retry":1"#)]
#[case::tried_again_after_failure(r#""retry":2"#)]
#[case::mark(r#""ticket":1}"#)]
#[case::not_in_time("in time\"")]
#[case::zone_that_is_not_stated("which is not stated\"")]
#[case::proxy_that_does_not_exist("which does not exist\"")]
#[case::report_first("a report without a joining\"")]
#[case::newer_stream("a newer stream of its proxy has joined\"")]
#[case::too_many("too many have not joined\"")]
#[case::no_descriptors("descriptors run out\"")]
#[case::field_missing("locality is missing\"")]
#[case::field_of_another_type("w is no figure\"")]
#[case::field_out_of_range("w is out of range\"")]
#[case::field_in_parts("node is no whole number\"")]
#[case::interval_of_nought("interval is nought\"")]
#[case::no_kind("an object: msg is missing\"")]
#[case::other_kind("is no message that may come\"")]
#[case::no_object("it is not an object of JSON\"")]
#[case::too_long("bytes; at most 4096 are possible here\"")]
#[case::empty("a message of no bytes\"")]
fn every_kind_of_written_message_is_recorded(#[case] part: &str) {
    assert!(WRITTEN.contains(part), "{part}");
}
