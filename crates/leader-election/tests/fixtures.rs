//! Stored records and messages between members keep their bytes: what an earlier release wrote is read, and written
//! again, without a difference.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

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

/// The fixture's lines: a name and the bytes in hexadecimal.
fn lines(file: &str) -> BTreeMap<String, Vec<u8>> {
    let parse = |line: &str| {
        let (name, bytes) = line.split_once(' ').expect("a name and bytes");
        (name.to_owned(), unhex(bytes))
    };
    file.lines().filter(|line| !line.is_empty()).map(parse).collect()
}

fn reads_and_writes_the_same<T>(file: &str, name: &str, expected: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let written = postcard::to_stdvec(expected).unwrap();
    let stored = lines(file).remove(name).unwrap_or_default();
    assert_eq!(hex(&written), hex(&stored), "the bytes of {name}");
    assert_eq!(&postcard::from_bytes::<T>(&stored).unwrap(), expected, "the content of {name}");
}

fn roster() -> Roster {
    let seat = |name: &str, address: &str| Seat { name: name.into(), address: address.into() };
    Roster {
        epoch: 300,
        number: 2,
        seats: BTreeMap::from([
            (7, seat("alder", "10.0.0.1:7100")),
            (1 << 40, seat("birch", "10.0.0.2:7100")),
        ]),
    }
}

fn messages() -> Vec<Word> {
    vec![
        Word::Canvass { epoch: 301, roster: (300, 2) },
        Word::Favour { epoch: 302 },
        Word::Ask { epoch: 303, roster: (300, 3), yielded: true },
        Word::Vote { epoch: 304 },
        Word::Beat { epoch: 305, number: 1000, roster: (300, 4) },
        Word::Heard { epoch: 306, number: 1001, roster: (300, 5) },
        Word::Newer { epoch: 307 },
        Word::Seats { epoch: 308, roster: roster() },
        Word::Turn { epoch: 309 },
    ]
}

/// The name of a message in the fixture. A variant that is added has to be named here.
fn name(message: &Word) -> &'static str {
    match message {
        Word::Canvass { .. } => "pre-vote-request",
        Word::Favour { .. } => "pre-vote-granted",
        Word::Ask { .. } => "vote-request",
        Word::Vote { .. } => "vote-granted",
        Word::Beat { .. } => "heartbeat",
        Word::Heard { .. } => "heartbeat-ack",
        Word::Newer { .. } => "newer-term",
        Word::Seats { .. } => "membership-update",
        Word::Turn { .. } => "transfer-leadership",
    }
}

fn snapshot() -> Memory {
    let v4: SocketAddr = ([10, 0, 0, 1], 80).into();
    let v6: SocketAddr = ([0xfd00, 0, 0, 0, 0, 0, 0, 2], 8080).into();
    Memory {
        epoch: 4,
        number: 700,
        list_version: 12,
        list_ms: 1_000_000,
        list: vec![
            Listed { addr: v4, number: 1, zone: "east".into(), phase: Phase::Ready, started_ms: 5 },
            Listed { addr: v6, number: 2, zone: "west".into(), phase: Phase::Draining, started_ms: 600 },
        ],
        weights: vec![Weight { addr: v4, number: 1, weight: 1.5 }],
        drains: vec![Drain { addr: v6, number: 2, known_for_ms: 800 }],
        held: vec![Held { proxy: "proxy-1".into(), seq: 300 }],
        pools: vec![("east".into(), vec![0, 1]), ("west".into(), vec![1])],
        bound: vec![("proxy-1".into(), 1)],
    }
}

#[rstest]
fn every_message_between_members_keeps_its_bytes() {
    let messages = messages();
    for message in &messages {
        reads_and_writes_the_same(MESSAGES, name(message), message);
    }
    assert_eq!(lines(MESSAGES).len(), messages.len(), "each message stands in the fixture, and nothing else");
}

#[rstest]
#[case::voted("hard-state-voted", Some(7))]
#[case::without_a_vote("hard-state-without-vote", None)]
fn stored_vote_keeps_its_bytes(#[case] name: &str, #[case] vote: Option<Id>) {
    let kept = Kept { id: 7, fleet: 0xfeed, epoch: 301, vote, roster: roster(), stamp: 900 };
    reads_and_writes_the_same(RECORDS, name, &kept);
}

#[rstest]
fn stored_snapshot_with_its_version_and_checksum_keeps_its_bytes() {
    let stored = lines(RECORDS).remove("snapshot").unwrap_or_default();
    assert_eq!(hex(&snapshot().bytes().unwrap()), hex(&stored));
    assert_eq!(Memory::read(&stored), Ok(snapshot()));
}
