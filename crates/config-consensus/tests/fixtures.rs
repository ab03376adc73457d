//! The encodings that are stored or sent, byte for byte. Each line of a fixture is a name and the bytes of its value in hex.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_config_consensus::{
    ActiveVersions, Change, Chunk, ConfigVersion, Configuration, ContentHash, DecidedProposals,
    EffectiveConfiguration, Limit, Message, Proposal, ProposalBody, ProposalOutcome, Rack, Renewal, Route,
    Server, ServerState, StoredState, VersionBody, VersionHeader,
};
use grebespool_singleton_tasks::FencingToken;
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

/// Asserts that each value encodes to the bytes of its line, that these bytes decode to the value, and that there are no
/// other lines.
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

fn token() -> FencingToken {
    FencingToken { term: 3, number: 300 }
}

fn configuration() -> Configuration {
    Configuration {
        routes: BTreeMap::from([
            ("browse".into(), Route { importance: 1.5, max_share: 0.75 }),
            ("checkout".into(), Route { importance: 9.0, max_share: 1.0 }),
        ]),
        limits: BTreeMap::from([
            ("power.most_withdrawn".into(), Limit::AtMost(0.25)),
            ("power.reserve".into(), Limit::AtLeast(0.1)),
        ]),
        racks: BTreeMap::from([("r1".into(), rack(4000.0))]),
        servers: BTreeMap::from([
            ("s1".into(), server(120.0, ServerState::Ready)),
            ("s2".into(), server(80.0, ServerState::Draining)),
            ("s3".into(), server(40.5, ServerState::Removed)),
        ]),
    }
}

fn rack(power_cap: f64) -> Rack {
    Rack { site: "north".into(), feed: "feed-a".into(), power_cap }
}

fn server(capacity: f64, state: ServerState) -> Server {
    Server { rack: "r1".into(), capacity, state }
}

/// Returns one change of every kind.
fn changes() -> Vec<Change> {
    vec![
        Change::Replace(Box::new(configuration())),
        Change::Route("browse".into(), Some(Route { importance: 2.0, max_share: 0.5 })),
        Change::Route("search".into(), None),
        Change::Limit("power.reserve".into(), Some(Limit::AtLeast(0.2))),
        Change::Rack("r1".into(), Some(rack(3500.0))),
        Change::Server("s4".into(), Some(server(60.0, ServerState::Ready))),
        Change::State("s1".into(), ServerState::Draining),
    ]
}

fn decided() -> BTreeMap<u64, DecidedProposals> {
    BTreeMap::from([(
        7,
        DecidedProposals { last: (1 << 32) + 5, rejected: BTreeSet::from([(1 << 32) + 2, (1 << 32) + 4]) },
    )])
}

fn version() -> ConfigVersion {
    ConfigVersion::new(VersionBody { number: 41, configuration: configuration(), decided: decided() })
}

fn next_version() -> ConfigVersion {
    version().successor(
        &changes()[1..],
        &BTreeMap::from([(8, DecidedProposals { last: 9, rejected: BTreeSet::new() })]),
    )
}

fn header(changes: Option<Vec<Change>>) -> VersionHeader {
    VersionHeader {
        number: 42,
        hash: next_version().hash,
        parent: version().hash,
        changes,
        decided: decided(),
    }
}

fn proposals() -> Vec<Proposal> {
    vec![
        Proposal { id: (1 << 32) + 1, body: ProposalBody::Inline(changes()), forced: false },
        Proposal { id: (1 << 32) + 2, body: ProposalBody::ByHash(ContentHash::of(b"changes")), forced: true },
    ]
}

#[rstest]
fn messages_encode_to_the_bytes_of_the_fixture() {
    let (committed, next) = (version().id(), next_version().id());
    let reasons = vec!["all 3 servers would be closed".to_string(), "no site".to_string()];
    assert_postcard_fixture(
        include_str!("fixtures/messages.txt"),
        &[
            ("call", Message::Announce { token: token(), committed }),
            ("prepare", Message::Prepare { token: token(), header: header(Some(changes())) }),
            ("prepare-large", Message::Prepare { token: token(), header: header(None) }),
            ("prepared", Message::Prepared { token: token(), pending: next }),
            ("hold", Message::Activate { token: token(), committed }),
            (
                "renew",
                Message::Renew {
                    token: token(),
                    renewal: Renewal { count: 1000, committed, pending: Some(next) },
                },
            ),
            (
                "renew-alone",
                Message::Renew { token: token(), renewal: Renewal { count: 1001, committed, pending: None } },
            ),
            (
                "renewed",
                Message::Renewed {
                    token: token(),
                    renewal: Renewal { count: 1000, committed, pending: Some(next) },
                },
            ),
            ("want", Message::FetchChunk { hash: committed.hash, index: 2 }),
            (
                "part",
                Message::Chunk(Chunk { hash: committed.hash, index: 2, count: 3, bytes: vec![0, 1, 255] }),
            ),
            ("propose", Message::Propose { proposals: proposals() }),
            ("proposed", Message::ProposalDecided { id: 17, outcome: ProposalOutcome::Activated(42) }),
            (
                "proposed-refused",
                Message::ProposalDecided { id: 18, outcome: ProposalOutcome::Rejected(reasons) },
            ),
        ],
    );
}

#[rstest]
fn stored_state_encodes_to_the_bytes_of_the_fixture() {
    let stored = |pending| StoredState { committed: version(), pending, newest_token: token() };
    assert_postcard_fixture(
        include_str!("fixtures/state.txt"),
        &[
            ("first", StoredState::default()),
            ("alone", stored(None)),
            ("prepared", stored(Some(next_version()))),
        ],
    );
}

#[rstest]
fn journal_records_encode_to_the_bytes_of_the_fixture() {
    assert_postcard_fixture(
        include_str!("fixtures/journal.txt"),
        &[("with-changes", header(Some(changes()))), ("by-hash", header(None))],
    );
}

#[rstest]
fn versions_encode_to_the_bytes_and_hashes_of_the_fixtures() {
    let versions = [("first", ConfigVersion::default()), ("whole", version()), ("next", next_version())];
    let bodies: Vec<(&str, VersionBody)> = versions.iter().map(|(name, v)| (*name, v.body.clone())).collect();
    assert_postcard_fixture(include_str!("fixtures/versions.txt"), &bodies);
    let hashes: Vec<String> =
        versions.iter().map(|(name, v)| format!("{name} {}", to_hex(&v.hash.0))).collect();
    let expected: Vec<&str> = include_str!("fixtures/hashes.txt").lines().collect();
    assert_eq!(expected, hashes);
    for (line, (name, version)) in include_str!("fixtures/versions.txt").lines().zip(&versions) {
        let bytes = from_hex(line.split_once(' ').unwrap().1);
        assert_eq!(version.body.encode(), bytes, "{name}");
        assert_eq!(ConfigVersion::decode(&bytes, version.hash).unwrap(), *version, "{name}");
    }
    let parent = version();
    let header = VersionHeader { changes: Some(changes()[1..].to_vec()), ..header(None) };
    let header = VersionHeader {
        decided: BTreeMap::from([(8, DecidedProposals { last: 9, rejected: BTreeSet::new() })]),
        ..header
    };
    assert_eq!(parent.apply_header(&header), Some(next_version()), "derived from the parent");
}

/// Operators write changes in files, and read effective configurations in a member's answer.
#[rstest]
fn changes_and_effective_configurations_encode_to_the_json_of_the_fixture() {
    let effective =
        EffectiveConfiguration::intersect(version().configuration(), next_version().configuration());
    let active = [ActiveVersions::Single(41), ActiveVersions::Joint(41, 42), ActiveVersions::Unleased];
    let encoded = [
        serde_json::to_string(&changes()).unwrap(),
        serde_json::to_string(&effective).unwrap(),
        serde_json::to_string(&active).unwrap(),
    ];
    let lines: Vec<&str> = include_str!("fixtures/operators.jsonl").lines().collect();
    assert_eq!(lines.join("\n"), encoded.join("\n"));
    assert_eq!(serde_json::from_str::<Vec<Change>>(lines[0]).unwrap(), changes());
    assert_eq!(serde_json::from_str::<EffectiveConfiguration>(lines[1]).unwrap(), effective);
    assert_eq!(serde_json::from_str::<[ActiveVersions; 3]>(lines[2]).unwrap(), active);
}
