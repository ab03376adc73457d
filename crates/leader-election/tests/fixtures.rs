//! The encoding of stored records and of messages between members is stable: the bytes that an earlier release wrote are
//! decoded, and encoded again to the same bytes.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_leader_election::*;
use rstest::rstest;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::net::SocketAddr;

const RECORDS: &str = include_str!("fixtures/records.txt");
const MESSAGES: &str = include_str!("fixtures/messages.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Parses a fixture's lines, each a name and bytes in hexadecimal.
fn lines(file: &str) -> BTreeMap<String, Vec<u8>> {
    let parse = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("a line has a name and bytes");
        (name.to_owned(), unhex(bytes))
    };
    file.lines().filter(|line| !line.is_empty()).map(parse).collect()
}

fn assert_stable_encoding<T>(file: &str, name: &str, expected: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = postcard::to_stdvec(expected).unwrap();
    let stored = lines(file).remove(name).unwrap_or_default();
    assert_eq!(hex(&written), hex(&stored), "the bytes of {name}");
    assert_eq!(&postcard::from_bytes::<T>(&stored).unwrap(), expected, "the content of {name}");
}

fn membership() -> Membership {
    let voter = |name: &str, address: &str| Voter { name: name.into(), address: address.into() };
    Membership {
        version: MembershipVersion { term: 300, number: 2 },
        voters: BTreeMap::from([
            (7, voter("alder", "10.0.0.1:7100")),
            (1 << 40, voter("birch", "10.0.0.2:7100")),
        ]),
    }
}

fn messages() -> Vec<Message> {
    vec![
        Message::PreVoteRequest { term: 301, membership_version: MembershipVersion { term: 300, number: 2 } },
        Message::PreVoteGranted { term: 302 },
        Message::VoteRequest {
            term: 303,
            membership_version: MembershipVersion { term: 300, number: 3 },
            leadership_transfer: true,
        },
        Message::VoteGranted { term: 304 },
        Message::Heartbeat {
            term: 305,
            number: 1000,
            membership_version: MembershipVersion { term: 300, number: 4 },
        },
        Message::HeartbeatAck {
            term: 306,
            number: 1001,
            membership_version: MembershipVersion { term: 300, number: 5 },
        },
        Message::NewerTerm { term: 307 },
        Message::MembershipUpdate { term: 308, membership: membership() },
        Message::TransferLeadership { term: 309 },
    ]
}

/// Returns the name of a message in the fixture. A variant that is added needs a name here.
fn name(message: &Message) -> &'static str {
    match message {
        Message::PreVoteRequest { .. } => "pre-vote-request",
        Message::PreVoteGranted { .. } => "pre-vote-granted",
        Message::VoteRequest { .. } => "vote-request",
        Message::VoteGranted { .. } => "vote-granted",
        Message::Heartbeat { .. } => "heartbeat",
        Message::HeartbeatAck { .. } => "heartbeat-ack",
        Message::NewerTerm { .. } => "newer-term",
        Message::MembershipUpdate { .. } => "membership-update",
        Message::TransferLeadership { .. } => "transfer-leadership",
    }
}

fn snapshot() -> Snapshot {
    let v4: SocketAddr = ([10, 0, 0, 1], 80).into();
    let v6: SocketAddr = ([0xfd00, 0, 0, 0, 0, 0, 0, 2], 8080).into();
    Snapshot {
        term: 4,
        number: 700,
        list_version: 12,
        list_ms: 1_000_000,
        endpoints: vec![
            EndpointRecord {
                addr: v4,
                number: 1,
                zone: "east".into(),
                phase: EndpointPhase::Ready,
                started_ms: 5,
            },
            EndpointRecord {
                addr: v6,
                number: 2,
                zone: "west".into(),
                phase: EndpointPhase::Draining,
                started_ms: 600,
            },
        ],
        weights: vec![LearnedWeight { addr: v4, number: 1, weight: 1.5 }],
        drains: vec![KnownDrain { addr: v6, number: 2, known_for_ms: 800 }],
        applied_orders: vec![AppliedOrders { proxy: "proxy-1".into(), sequence: 300 }],
        pools: vec![
            PoolRecord { zone: "east".into(), endpoints: vec![0, 1] },
            PoolRecord { zone: "west".into(), endpoints: vec![1] },
        ],
        bindings: vec![ProxyBinding { proxy: "proxy-1".into(), pool: 1 }],
    }
}

#[rstest]
fn encoding_of_every_message_is_stable() {
    let messages = messages();
    for message in &messages {
        assert_stable_encoding(MESSAGES, name(message), message);
    }
    assert_eq!(lines(MESSAGES).len(), messages.len(), "the fixture has one line for each message");
}

#[rstest]
#[case::voted("hard-state-voted", Some(7))]
#[case::without_a_vote("hard-state-without-vote", None)]
fn encoding_of_the_hard_state_is_stable(#[case] name: &str, #[case] voted_for: Option<MemberId>) {
    let state =
        HardState { id: 7, fleet: 0xfeed, term: 301, voted_for, membership: membership(), revision: 900 };
    assert_stable_encoding(RECORDS, name, &state);
}

#[rstest]
fn encoding_of_a_snapshot_with_version_and_checksum_is_stable() {
    let stored = lines(RECORDS).remove("snapshot").unwrap_or_default();
    assert_eq!(hex(&snapshot().encode().unwrap()), hex(&stored));
    assert_eq!(Snapshot::decode(&stored), Ok(snapshot()));
}
