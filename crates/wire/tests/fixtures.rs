//! Guards against unintended changes of the protocol's bytes. `fixtures/messages.hex` has a frame of every message kind
//! and every enum value, `fixtures/proofs.hex` has proofs that depend on the key derivation and both domains.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_wire::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MESSAGES: &str = include_str!("fixtures/messages.hex");
const PROOFS: &str = include_str!("fixtures/proofs.hex");

// All values of each enum, in the order of their bytes on the wire. The fixtures are named by the position in these
// tables, which is independent of the crate's own encoding.
const ROLES: [Role; 2] = [Role::Proxy, Role::Watcher];
const ENDPOINT_STATES: [EndpointState; 3] =
    [EndpointState::Removed, EndpointState::Ready, EndpointState::Draining];
const RETRY_POLICIES: [RetryPolicy; 3] =
    [RetryPolicy::Never, RetryPolicy::IfNotExecuted, RetryPolicy::AfterFailure];
const CAUSES: [UpdateCause; 3] =
    [UpdateCause::ProxyJoined, UpdateCause::EndpointsChanged, UpdateCause::Interval];
const OUTCOMES: [CallOutcome; 4] =
    [CallOutcome::Answered, CallOutcome::Rejected, CallOutcome::Failed, CallOutcome::Duplicate];
const HEALTH_STATUSES: [HealthStatus; 3] = [HealthStatus::Ready, HealthStatus::Draining, HealthStatus::Busy];
const CLOSE_REASONS: [CloseReason; 11] = [
    CloseReason::ShuttingDown,
    CloseReason::Malformed,
    CloseReason::VersionMismatch,
    CloseReason::Rejected,
    CloseReason::Superseded,
    CloseReason::TooSlow,
    CloseReason::TimedOut,
    CloseReason::Overloaded,
    CloseReason::UnexpectedMessage,
    CloseReason::NotLeader,
    CloseReason::StaleTerm,
];

const INCARNATION: u64 = 0x1112_1314_1516_1718;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Parses a fixture file. Each line is a name, a space and hexadecimal bytes.
fn lines(file: &str) -> BTreeMap<String, Vec<u8>> {
    let mut lines = BTreeMap::new();
    for line in file.lines() {
        let (name, bytes) = line.split_once(' ').unwrap();
        assert!(lines.insert(name.to_string(), unhex(bytes)).is_none(), "duplicate name {name}");
    }
    lines
}

fn nonce(first: u8) -> [u8; 16] {
    std::array::from_fn(|position| first + position as u8)
}

fn server_v4() -> ServerId {
    ServerId { addr: SocketAddr::from(([10, 1, 2, 3], 8080)), number: 0x0102_0304 }
}

fn server_v6() -> ServerId {
    ServerId { addr: "[2001:db8::17]:443".parse().unwrap(), number: 9 }
}

fn metrics() -> ServerMetrics {
    ServerMetrics { incarnation: INCARNATION, sequence: 0x2122_2324, values: vec![0.5, 3.25, 1e6] }
}

fn admission_rule(retry_policy: RetryPolicy) -> AdmissionRule {
    AdmissionRule { routes: 0x8001, admitted_fraction: 0.75, retry_policy }
}

fn update(cause: UpdateCause, changes: Vec<Change>) -> Message {
    Message::Update(Update {
        term: 0x0a0b,
        incarnation: INCARNATION,
        stream: 0x3132_3334,
        sequence: 0x4142,
        created_us: 0x5152_5354,
        endpoints_version: 0x6162,
        cause,
        changes,
    })
}

fn changes() -> Vec<(String, Change)> {
    let (table, version) = (0x0708, 0x090a_0b0c);
    let weight = |server, weight| ServerWeight { server, weight };
    let weights = vec![weight(server_v4(), 1.5), weight(server_v6(), 0.25)];
    let admission = RETRY_POLICIES.map(admission_rule).to_vec();
    let mut changes = vec![
        (
            "bind".into(),
            Change::BindTable(TableBinding { table, version, routes: 0x0003, weights, admission }),
        ),
        ("line".into(), Change::SetWeight(WeightChange { table, version, server: server_v6(), weight: 2.5 })),
        ("withdraw-out".into(), Change::Exclude(Exclusion { server: server_v4(), excluded: true })),
        ("withdraw-in".into(), Change::Exclude(Exclusion { server: server_v4(), excluded: false })),
        ("mark".into(), Change::RequestAck(0xbeef)),
    ];
    for (byte, policy) in RETRY_POLICIES.into_iter().enumerate() {
        changes.push((format!("level-{byte}"), Change::SetAdmission(admission_rule(policy))));
    }
    changes
}

fn entry(state: EndpointState) -> EndpointEntry {
    EndpointEntry { server: server_v6(), zone: "östlich".into(), state, started_ms: 1_700_000_000_123 }
}

/// The messages that the fixtures decode to, by the names of the fixtures.
#[derive(Default)]
struct Messages(BTreeMap<String, Message>);

impl Messages {
    fn put(&mut self, name: String, message: Message) {
        assert!(self.0.insert(name.clone(), message).is_none(), "duplicate name {name}");
    }
}

/// Adds hello, challenge, join and welcome.
fn put_handshake(messages: &mut Messages) {
    let mut put = |name: String, message: Message| messages.put(name, message);
    for (byte, role) in ROLES.into_iter().enumerate() {
        let hello =
            Message::Hello(Hello { version: 0x0102, role, name: "proxy-é".into(), nonce: nonce(0x10) });
        put(format!("hello-{byte}"), hello);
    }
    put(
        "challenge".into(),
        Message::Challenge(Challenge { version: 0x0102, incarnation: INCARNATION, nonce: nonce(0x30) }),
    );
    for initial_table_only in [false, true] {
        let join = Join {
            zone: "west".into(),
            calls_per_s: 120.5,
            initial_table_only,
            applied_incarnation: 0x0101_0202,
            applied_sequence: 0x0303,
            newest_term: 0x0404,
            proof: Proof(std::array::from_fn(|position| 0xff - position as u8)),
        };
        put(format!("join-bare-{initial_table_only}"), Message::Join(join));
    }
    let proof = Proof(std::array::from_fn(|position| position as u8));
    put("welcome".into(), Message::Welcome(Welcome { stream: 0x3132_3334, term: 0x0a0b, proof }));
}

/// Adds updates with each kind of change, and their acknowledgements.
fn put_updates(messages: &mut Messages) {
    let mut put = |name: String, message: Message| messages.put(name, message);
    for (byte, cause) in CAUSES.into_iter().enumerate() {
        put(format!("orders-none-cause-{byte}"), update(cause, vec![]));
    }
    for (name, change) in changes() {
        put(format!("orders-{name}"), update(UpdateCause::Interval, vec![change]));
    }
    put(
        "orders-all".into(),
        update(UpdateCause::EndpointsChanged, changes().into_iter().map(|(_, change)| change).collect()),
    );
    for token in [None, Some(0xbeef)] {
        let ack = Message::UpdateAck(UpdateAck {
            incarnation: INCARNATION,
            stream: 0x3132_3334,
            sequence: 0x4142,
            token,
        });
        put(format!("applied-mark-{}", token.is_some()), ack);
    }
}

/// Adds reports of proxies.
fn put_proxy_reports(messages: &mut Messages) {
    let mut put = |name: String, message: Message| messages.put(name, message);
    let load = |server, metrics| ServerLoad {
        server,
        attempts: 0x0102_0304,
        dropped: 7,
        mean_latency_us: 123_456,
        metrics,
    };
    put(
        "sums".into(),
        Message::ProxyReport(ProxyReport {
            servers: vec![load(server_v4(), None), load(server_v6(), Some(metrics()))],
            routes: vec![RouteLoad { route: 0, calls: 5 }, RouteLoad { route: 15, calls: 0x0a0b_0c0d }],
        }),
    );
    put("sums-empty".into(), Message::ProxyReport(ProxyReport { servers: vec![], routes: vec![] }));
}

/// Adds a close message for each reason.
fn put_closes(messages: &mut Messages) {
    let mut put = |name: String, message: Message| messages.put(name, message);
    for (byte, reason) in CLOSE_REASONS.into_iter().enumerate() {
        put(format!("bye-{byte}"), Message::Close(Close { reason, text: "why: 10.0.0.1:5".into() }));
    }
}

/// Adds polls of the endpoint list, and their responses.
fn put_endpoint_lists(messages: &mut Messages) {
    let mut put = |name: String, message: Message| messages.put(name, message);
    for watch in [false, true] {
        put(
            format!("ask-list-watch-{watch}"),
            Message::EndpointPoll(EndpointPoll { known_version: 0x6162, watch }),
        );
    }
    let list = Message::EndpointList(EndpointList {
        version: 0x6163,
        base_version: 0x6162,
        now_ms: 1_700_000_005_000,
        entries: ENDPOINT_STATES.map(entry).to_vec(),
    });
    put("list".into(), list);
    put("list-failed".into(), Message::EndpointPollFailed(EndpointPollFailed { text: "no answer".into() }));
}

/// Adds health checks and their responses.
fn put_health_checks(messages: &mut Messages) {
    let mut put = |name: String, message: Message| messages.put(name, message);
    put("probe".into(), Message::HealthCheck(HealthCheck { server_number: 0x0102_0304 }));
    for (byte, status) in HEALTH_STATUSES.into_iter().enumerate() {
        let response = Message::HealthCheckResponse(HealthCheckResponse {
            server_number: 0x0102_0304,
            status,
            metrics: Some(metrics()),
        });
        put(format!("probed-{byte}"), response);
    }
    let response = Message::HealthCheckResponse(HealthCheckResponse {
        server_number: 0x0102_0304,
        status: HealthStatus::Ready,
        metrics: None,
    });
    put("probed-without-report".into(), response);
}

/// Adds requests and their responses.
fn put_calls(messages: &mut Messages) {
    let mut put = |name: String, message: Message| messages.put(name, message);
    let call = Call {
        id: 0x0102_0304_0506_0708,
        attempt: 2,
        retry: 1,
        route: 3,
        key: 0x1112_1314_1516_1718,
        work_us: 0x2122_2324,
        timeout_us: 0x3132_3334,
        proxy: 0x4142,
    };
    put("call".into(), Message::Call(call));
    for (byte, outcome) in OUTCOMES.into_iter().enumerate() {
        let metrics = (outcome == CallOutcome::Answered).then(metrics);
        let response = Response { id: 0x0102_0304_0506_0708, attempt: 2, retry: 1, outcome, metrics };
        put(format!("answer-{byte}"), Message::Response(response));
    }
}

/// Returns the message that each fixture has to decode to, by the name of the fixture.
fn expected() -> BTreeMap<String, Message> {
    let mut messages = Messages::default();
    put_handshake(&mut messages);
    put_updates(&mut messages);
    put_proxy_reports(&mut messages);
    put_closes(&mut messages);
    put_endpoint_lists(&mut messages);
    put_health_checks(&mut messages);
    put_calls(&mut messages);
    messages.put("alive".into(), Message::Heartbeat);
    messages.0
}

#[rstest]
fn every_fixture_decodes_to_the_expected_message_and_encodes_to_the_same_bytes() {
    let (fixtures, expected) = (lines(MESSAGES), expected());
    for (name, message) in &expected {
        assert!(
            fixtures.contains_key(name),
            "no fixture for this message; its line would be\n{name} {}",
            hex(&message.to_frame())
        );
    }
    assert_eq!(fixtures.len(), expected.len());
    for (name, frame) in &fixtures {
        let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
        decoder.push(frame);
        let decoded = decoder.next_message().unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(decoded.as_ref(), Some(&expected[name]), "{name}");
        assert_eq!(decoder.buffered_bytes(), 0, "{name}");
        assert_eq!(hex(&decoded.unwrap().to_frame()), hex(frame), "{name}");
    }
}

/// A frame consists of the body's length (4 bytes), the message kind (1 byte), and the fields. In a frame of an update
/// (kind 5), the kind of the first change is at byte 54.
#[rstest]
fn the_fixtures_have_a_frame_of_every_message_kind() {
    let kinds: BTreeSet<u8> = lines(MESSAGES).values().map(|frame| frame[4]).collect();
    assert_eq!(kinds, (1..=16).collect());
    let changes: BTreeSet<u8> = lines(MESSAGES)
        .values()
        .filter(|frame| frame[4] == 5 && frame.len() > 54)
        .map(|frame| frame[54])
        .collect();
    assert_eq!(changes, (1..=5).collect());
}

/// A new message kind makes this test fail: it needs a fixture and a new bound here.
#[rstest]
#[case::before_the_first(0)]
#[case::after_the_last(17)]
fn kinds_outside_those_of_the_fixtures_are_unknown(#[case] kind: u8) {
    assert_eq!(Message::decode(&[kind]), Err(DecodeError::UnknownKind(kind)));
}

/// A key is not readable, so the proofs made with it show that its derivation has not changed.
#[rstest]
fn the_proofs_of_a_fixed_key_and_fixed_nonces_stay_the_same() {
    let fixtures = lines(PROOFS);
    let (dialer_nonce, listener_nonce, incarnation) = (nonce(0x10), nonce(0x30), 0x1112_1314_1516_1718);
    let key = FleetKey::derive(b"the key file of the fixtures\n");
    let empty = FleetKey::derive(b"");
    let proofs = [
        (
            "peer",
            key.dialer_proof(&Transcript {
                dialer_nonce: &dialer_nonce,
                listener_nonce: &listener_nonce,
                incarnation,
                name: "proxy-1",
                zone: "west",
            }),
        ),
        (
            "planner",
            key.listener_proof(&Transcript {
                dialer_nonce: &dialer_nonce,
                listener_nonce: &listener_nonce,
                incarnation,
                name: "proxy-1",
                zone: "west",
            }),
        ),
        (
            "peer-without-zone",
            key.dialer_proof(&Transcript {
                dialer_nonce: &dialer_nonce,
                listener_nonce: &listener_nonce,
                incarnation,
                name: "planner-9",
                zone: "",
            }),
        ),
        (
            "peer-of-the-empty-key",
            empty.dialer_proof(&Transcript {
                dialer_nonce: &dialer_nonce,
                listener_nonce: &listener_nonce,
                incarnation,
                name: "proxy-1",
                zone: "west",
            }),
        ),
    ];
    for (name, proof) in proofs {
        let fixture = fixtures.get(name).map(|bytes| hex(bytes));
        assert_eq!(fixture, Some(hex(&proof.0)), "{name}");
    }
    assert_eq!(fixtures.len(), proofs.len());
}
