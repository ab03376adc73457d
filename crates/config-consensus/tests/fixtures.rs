//! What is stored and what is on the wire, byte for byte: each line of a fixture is a name and the hex of its bytes.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_config_consensus::{
    Acts, Blob, Body, Change, Content, Done, Edition, Hash, Kept, Limit, Manifest, Proposal, Rack, Route,
    Server, State, View, Word,
};
use grebespool_singleton_tasks::Token;
use rstest::rstest;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Each value encodes to the bytes of its line, and these decode to it; no line is left over.
fn assert_postcard_fixture<T>(fixture: &str, values: &[(&str, T)])
where
    T: Serialize + DeserializeOwned + Debug + PartialEq,
{
    let encoded: Vec<String> = values
        .iter()
        .map(|(name, value)| format!("{name} {}", to_hex(&postcard::to_stdvec(value).unwrap())))
        .collect();
    assert_eq!(fixture.lines().collect::<Vec<_>>().join("\n"), encoded.join("\n"));
    for (line, (name, value)) in fixture.lines().zip(values) {
        let bytes = from_hex(line.split_once(' ').unwrap().1);
        let (decoded, rest) = postcard::take_from_bytes::<T>(&bytes).unwrap();
        assert_eq!((&decoded, rest.len()), (value, 0), "{name}");
    }
}

fn token() -> Token {
    Token { epoch: 3, number: 300 }
}

fn content() -> Content {
    Content {
        routes: BTreeMap::from([
            ("browse".into(), Route { importance: 1.5, most: 0.75 }),
            ("checkout".into(), Route { importance: 9.0, most: 1.0 }),
        ]),
        limits: BTreeMap::from([
            ("power.most_withdrawn".into(), Limit::Most(0.25)),
            ("power.reserve".into(), Limit::Least(0.1)),
        ]),
        racks: BTreeMap::from([("r1".into(), rack(4000.0))]),
        servers: BTreeMap::from([
            ("s1".into(), server(120.0, State::Ready)),
            ("s2".into(), server(80.0, State::Draining)),
            ("s3".into(), server(40.5, State::Gone)),
        ]),
    }
}

fn rack(cap: f64) -> Rack {
    Rack { site: "north".into(), feed: "feed-a".into(), cap }
}

fn server(capacity: f64, state: State) -> Server {
    Server { rack: "r1".into(), capacity, state }
}

/// Every kind of change.
fn changes() -> Vec<Change> {
    vec![
        Change::Whole(Box::new(content())),
        Change::Route("browse".into(), Some(Route { importance: 2.0, most: 0.5 })),
        Change::Route("search".into(), None),
        Change::Limit("power.reserve".into(), Some(Limit::Least(0.2))),
        Change::Rack("r1".into(), Some(rack(3500.0))),
        Change::Server("s4".into(), Some(server(60.0, State::Ready))),
        Change::State("s1".into(), State::Draining),
    ]
}

fn done() -> BTreeMap<u64, Done> {
    BTreeMap::from([(
        7,
        Done { last: (1 << 32) + 5, refused: BTreeSet::from([(1 << 32) + 2, (1 << 32) + 4]) },
    )])
}

fn edition() -> Edition {
    Edition::new(Blob { number: 41, content: content(), done: done() })
}

fn next_edition() -> Edition {
    edition().next(&changes()[1..], &BTreeMap::from([(8, Done { last: 9, refused: BTreeSet::new() })]))
}

fn manifest(changes: Option<Vec<Change>>) -> Manifest {
    Manifest { number: 42, hash: next_edition().hash, base: edition().hash, changes, done: done() }
}

fn proposals() -> Vec<Proposal> {
    vec![
        Proposal { ticket: (1 << 32) + 1, body: Body::Changes(changes()), forced: false },
        Proposal { ticket: (1 << 32) + 2, body: Body::Bytes(Hash::of(b"changes")), forced: true },
    ]
}

#[rstest]
fn messages_between_members_keep_their_bytes() {
    let (standing, next) = (edition().name(), next_edition().name());
    let refused = vec!["all 3 servers would be closed".to_string(), "no site".to_string()];
    assert_postcard_fixture(
        include_str!("fixtures/messages.txt"),
        &[
            ("call", Word::Call { token: token(), standing }),
            ("prepare", Word::Prepare { token: token(), manifest: manifest(Some(changes())) }),
            ("prepare-large", Word::Prepare { token: token(), manifest: manifest(None) }),
            ("prepared", Word::Prepared { token: token(), next }),
            ("hold", Word::Hold { token: token(), standing }),
            ("renew", Word::Renew { token: token(), count: 1000, standing, next: Some(next) }),
            ("renew-alone", Word::Renew { token: token(), count: 1001, standing, next: None }),
            ("renewed", Word::Renewed { token: token(), count: 1000, standing, next: Some(next) }),
            ("want", Word::Want { hash: standing.1, part: 2 }),
            ("part", Word::Part { hash: standing.1, part: 2, parts: 3, bytes: vec![0, 1, 255] }),
            ("propose", Word::Propose { proposals: proposals() }),
            ("proposed", Word::Proposed { ticket: 17, done: Ok(42) }),
            ("proposed-refused", Word::Proposed { ticket: 18, done: Err(refused) }),
        ],
    );
}

#[rstest]
fn stored_state_keeps_its_bytes() {
    let kept = |next| Kept { standing: edition(), next, seen: token() };
    assert_postcard_fixture(
        include_str!("fixtures/state.txt"),
        &[("first", Kept::default()), ("alone", kept(None)), ("prepared", kept(Some(next_edition())))],
    );
}

#[rstest]
fn journal_entries_keep_their_bytes() {
    assert_postcard_fixture(
        include_str!("fixtures/journal.txt"),
        &[("with-changes", manifest(Some(changes()))), ("by-hash", manifest(None))],
    );
}

#[rstest]
fn versions_keep_their_bytes_and_hashes() {
    let versions = [("first", Edition::default()), ("whole", edition()), ("next", next_edition())];
    let blobs: Vec<(&str, Blob)> = versions.iter().map(|(name, v)| (*name, v.blob.clone())).collect();
    assert_postcard_fixture(include_str!("fixtures/versions.txt"), &blobs);
    let hashes: Vec<String> =
        versions.iter().map(|(name, v)| format!("{name} {}", to_hex(&v.hash.0))).collect();
    let expected: Vec<&str> = include_str!("fixtures/hashes.txt").lines().collect();
    assert_eq!(expected, hashes);
    for (line, (name, version)) in include_str!("fixtures/versions.txt").lines().zip(&versions) {
        let bytes = from_hex(line.split_once(' ').unwrap().1);
        assert_eq!(version.blob.bytes(), bytes, "{name}");
        assert_eq!(Edition::read(&bytes, version.hash).unwrap(), *version, "{name}");
    }
    let base = edition();
    let header = Manifest { changes: Some(changes()[1..].to_vec()), ..manifest(None) };
    let header =
        Manifest { done: BTreeMap::from([(8, Done { last: 9, refused: BTreeSet::new() })]), ..header };
    assert_eq!(base.made(&header), Some(next_edition()), "made out of the one before it");
}

/// As operators write them in files and read them from a member's answer.
#[rstest]
fn changes_and_views_keep_their_json() {
    let view = View::both(edition().content(), next_edition().content());
    let acts = [Acts::Alone(41), Acts::Both(41, 42), Acts::Unleased];
    let encoded = [
        serde_json::to_string(&changes()).unwrap(),
        serde_json::to_string(&view).unwrap(),
        serde_json::to_string(&acts).unwrap(),
    ];
    let lines: Vec<&str> = include_str!("fixtures/operators.jsonl").lines().collect();
    assert_eq!(lines.join("\n"), encoded.join("\n"));
    assert_eq!(serde_json::from_str::<Vec<Change>>(lines[0]).unwrap(), changes());
    assert_eq!(serde_json::from_str::<View>(lines[1]).unwrap(), view);
    assert_eq!(serde_json::from_str::<[Acts; 3]>(lines[2]).unwrap(), acts);
}
