//! Byte-for-byte tests of the stored formats and the wire format. Each line of a fixture is a name and the hex form of
//! the encoded value.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a panic fails the test")]

use grebespool_config_consensus::{Change, Limit, ServerState};
use grebespool_config_distribution::*;
use rstest::rstest;
use serde::{Serialize, de::DeserializeOwned};
use std::fmt::Debug;
use std::time::Duration;

const SCOPE: ScopeId = ScopeId(700);

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

/// Asserts that each value encodes to the bytes of its line, that these bytes decode to the value, and that the fixture
/// has no further line.
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

fn changes() -> Vec<Change> {
    vec![
        Change::Limit("draw".into(), Some(Limit::AtMost(12.5))),
        Change::Route("search".into(), None),
        Change::State("s1".into(), ServerState::Draining),
    ]
}

/// Returns a chain that prepares a version, activates it and prepares another, and its links.
fn chain() -> (ScopeChain, Vec<Link>) {
    let (mut chain, mut links) = (ScopeChain::new(SCOPE), vec![]);
    for step in [Step::Prepare(changes()), Step::Activate, Step::Prepare(changes()[..1].to_vec())] {
        let link = chain.next(step).unwrap();
        chain.apply(link.clone()).unwrap();
        links.push(link);
    }
    (chain, links)
}

fn session() -> SessionId {
    SessionId { start: 5, number: 300 }
}

fn status() -> ScopeStatus {
    ScopeStatus { scope: SCOPE, held: chain().0.position(), ready: 2 }
}

fn part() -> SnapshotPart {
    let Snapshot { scope, position, parent, state } = chain().0.snapshot();
    SnapshotPart { scope, position, parent, part: 0, parts: 1, bytes: state }
}

fn proposal() -> Proposal {
    Proposal { proposer: 11, number: 1 << 40, scope: SCOPE, changes: changes() }
}

/// Returns one record for each kind of log entry.
fn records() -> Vec<LogRecord> {
    let link = chain().1[0].clone();
    let entries = [
        LogEntry::Begin,
        LogEntry::Link(
            link,
            vec![ProposalKey { proposer: 11, number: 1 << 40 }, ProposalKey { proposer: 12, number: 3 }],
        ),
        LogEntry::Register(21, 4),
        LogEntry::Unregister(22),
    ];
    entries.into_iter().map(|entry| LogRecord { term: 9, entry }).collect()
}

fn upward() -> Vec<(&'static str, Upward)> {
    let session = session();
    vec![
        ("attach", Upward::Attach { session, term: 9, statuses: vec![status()] }),
        ("renew", Upward::Renew { session, count: 1000, statuses: vec![status()] }),
        ("release", Upward::Release { session }),
    ]
}

fn downward() -> Vec<(&'static str, Downward)> {
    let session = session();
    let lease = Some(Duration::new(3, 250_000_000));
    let refused = |why| Downward::Refused { session, why };
    vec![
        ("attached", Downward::Attached { session, term: 9 }),
        ("granted", Downward::Granted { session, term: 9, count: 1000, lease }),
        ("granted-without-lease", Downward::Granted { session, term: 9, count: 1000, lease: None }),
        ("links", Downward::Links { links: chain().1 }),
        ("part", Downward::Part(part())),
        ("not-leading", Downward::NotLeading { session, leader: Some(31) }),
        ("refused-unknown-session", refused(Refusal::UnknownSession)),
        ("refused-full", refused(Refusal::Full)),
        ("refused-other-history", refused(Refusal::OtherHistory(SCOPE))),
        ("refused-other-zone", refused(Refusal::OtherZone)),
        ("leaving", Downward::ShuttingDown),
    ]
}

fn control() -> Vec<(&'static str, LogMessage)> {
    let (term, last) = (9, 300);
    vec![
        ("recover", LogMessage::Recover { term }),
        ("recovered", LogMessage::Recovered { term, last: LogPosition { term: 8, index: 299 } }),
        ("fetch", LogMessage::Fetch { term, from: 17 }),
        ("fetched", LogMessage::Fetched { term, from: 17, records: records() }),
        (
            "append",
            LogMessage::Append {
                term,
                previous: LogPosition { term: 8, index: 299 },
                records: records(),
                committed: 298,
            },
        ),
        ("appended", LogMessage::Appended { term, last }),
        ("missing", LogMessage::Missing { term, last }),
    ]
}

#[rstest]
fn messages_between_nodes_keep_their_bytes() {
    let upward = upward().into_iter().map(|(name, message)| (name, Message::Upward(message)));
    let downward = downward().into_iter().map(|(name, message)| (name, Message::Downward(message)));
    let control = control().into_iter().map(|(name, message)| (name, Message::Log(message)));
    let refused = Some("a limit that is not known".to_string());
    let proposals = [
        ("propose", Message::Propose(proposal())),
        ("proposed", Message::Proposed { number: 4, refused: None }),
        ("proposed-refused", Message::Proposed { number: 5, refused }),
    ];
    let messages: Vec<(&str, Message)> = upward.chain(downward).chain(control).chain(proposals).collect();
    assert_postcard_fixture(include_str!("fixtures/messages.txt"), &messages);
}

#[rstest]
fn the_log_of_control_machines_keeps_its_bytes() {
    assert_postcard_fixture(include_str!("fixtures/log.txt"), &[("log", records())]);
}

#[rstest]
fn chains_keep_their_bytes_and_open_as_a_store() {
    let (three, _) = chain();
    assert_postcard_fixture(
        include_str!("fixtures/chains.txt"),
        &[("empty", ScopeChain::new(SCOPE)), ("three-links", three.clone())],
    );
    let stored = include_str!("fixtures/chains.txt").lines();
    let chains = stored.map(|line| from_hex(line.split_once(' ').unwrap().1));
    let store = Store::from_chains(chains.map(|bytes| postcard::from_bytes::<ScopeChain>(&bytes).unwrap()));
    assert_eq!(store.chain(SCOPE), Some(&three));
    assert_eq!((store.revision(SCOPE), store.position(SCOPE)), (3, three.position()));
}

#[rstest]
fn snapshots_keep_their_bytes_and_restore_the_chain() {
    let (three, _) = chain();
    assert_postcard_fixture(include_str!("fixtures/snapshots.txt"), &[("three-links", three.snapshot())]);
    let line = include_str!("fixtures/snapshots.txt").lines().next().unwrap();
    let bytes = from_hex(line.split_once(' ').unwrap().1);
    let mut restored = ScopeChain::new(SCOPE);
    restored.restore(&postcard::from_bytes(&bytes).unwrap()).unwrap();
    assert_eq!((restored.state(), restored.position()), (three.state(), three.position()));
}

#[rstest]
fn digests_keep_their_bytes() {
    let position = chain().0.position();
    let digests =
        [("nothing", Digest::of(&())), ("changes", Digest::of(&changes())), ("chain", position.hash)];
    assert_postcard_fixture(include_str!("fixtures/digests.txt"), &digests);
}
