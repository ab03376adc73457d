//! The encodings that are stored or sent, byte for byte. Each line of a fixture is a name and the bytes of its value in hex,
//! or a name and JSON.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_cluster::transport::{AuthenticatedStream, Identity, PROTOCOL_VERSION, Packet};
use grebespool_cluster::{
    AccountAudit, ConfigurationStatus, Keys, MemberStatus, Request, Response, Store, StoredEntries,
    TaskOrder, audit_accounts, fleet_id, initial_membership, voter_id,
};
use grebespool_config_consensus::{
    ActiveVersions, Change, ConfigVersion, Configuration, EffectiveConfiguration, Limit, Message, Rack,
    Renewal, Route, Server, ServerState, StoredState,
};
use grebespool_leader_election::{
    AppliedOrders, EndpointPhase, EndpointRecord, HardState, KnownDrain, LearnedWeight, Membership,
    MembershipVersion, Message as ElectionMessage, PoolRecord, ProxyBinding, Snapshot, Voter,
};
use grebespool_singleton_tasks::{Counts, FencingToken, RegisterEntry, StepRecord, Tally};
use redb::{Database, ReadableTable, TableDefinition};
use rstest::rstest;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

const FLEET: &str = "portaal";

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

fn membership() -> Membership {
    let members = ["a", "b", "c"].map(|name| (name.to_string(), format!("{name}.example:7100")));
    initial_membership(fleet_id(FLEET), members)
}

fn record(completed: bool) -> StepRecord {
    StepRecord { token: token(), step: 17, completed, content: vec![1, 2, 255] }
}

fn register_entry(completed: bool) -> RegisterEntry {
    RegisterEntry { highest_token: FencingToken { term: 3, number: 301 }, record: Some(record(completed)) }
}

fn counts() -> Counts {
    Counts { requests: 1000, attempts: 1100, unanswered: 3 }
}

fn tally() -> Tally {
    let mut tally = Tally::default();
    tally.add(4000, (2, 1), counts());
    tally.add(4001, (2, 255), Counts { requests: 5, attempts: 5, unanswered: 0 });
    tally
}

fn snapshot(number: u64) -> Snapshot {
    let addr = "10.0.0.1:8080".parse().unwrap();
    let endpoint = |number, phase| EndpointRecord {
        addr,
        number,
        zone: "north".into(),
        phase,
        started_ms: 1_700_000_000_000,
    };
    Snapshot {
        term: 3,
        number,
        list_version: 12,
        list_ms: 1_700_000_000_500,
        endpoints: vec![endpoint(1, EndpointPhase::Ready), endpoint(2, EndpointPhase::Draining)],
        weights: vec![LearnedWeight { addr, number: 1, weight: 1.25 }],
        drains: vec![KnownDrain { addr, number: 2, known_for_ms: 900 }],
        applied_orders: vec![AppliedOrders { proxy: "p1".into(), sequence: 77 }],
        pools: vec![PoolRecord { zone: "north".into(), endpoints: vec![0, 1] }],
        bindings: vec![ProxyBinding { proxy: "p1".into(), pool: 0 }],
    }
}

fn configuration() -> Configuration {
    let server = |capacity, state| Server { rack: "r1".into(), capacity, state };
    Configuration {
        routes: BTreeMap::from([("browse".into(), Route { importance: 1.5, max_share: 0.75 })]),
        limits: BTreeMap::from([
            ("power.most_withdrawn".into(), Limit::AtMost(0.25)),
            ("power.reserve".into(), Limit::AtLeast(0.1)),
        ]),
        racks: BTreeMap::from([(
            "r1".into(),
            Rack { site: "north".into(), feed: "a".into(), power_cap: 4000.0 },
        )]),
        servers: BTreeMap::from([
            ("s1".into(), server(120.0, ServerState::Ready)),
            ("s2".into(), server(80.5, ServerState::Draining)),
            ("s3".into(), server(40.0, ServerState::Removed)),
        ]),
    }
}

fn changes() -> Vec<Change> {
    vec![
        Change::Replace(Box::new(configuration())),
        Change::Route("search".into(), None),
        Change::Limit("power.reserve".into(), Some(Limit::AtLeast(0.2))),
        Change::Rack("r2".into(), None),
        Change::Server("s2".into(), None),
        Change::State("s1".into(), ServerState::Draining),
    ]
}

fn stored_versions() -> StoredState {
    let committed = ConfigVersion::default().successor(&changes()[..1], &BTreeMap::new());
    let pending = Some(committed.successor(&changes()[1..], &BTreeMap::new()));
    StoredState { committed, pending, newest_token: token() }
}

fn hard_state() -> HardState {
    let id = voter_id(fleet_id(FLEET), "a");
    let vote = Some(voter_id(fleet_id(FLEET), "b"));
    HardState { id, fleet: fleet_id(FLEET), term: 4, voted_for: vote, membership: membership(), revision: 9 }
}

const TASKS: [&str; 2] = ["accounts", "editions"];

fn task_names() -> Vec<String> {
    TASKS.map(String::from).to_vec()
}

/// Returns the content of a folder's tables as lines `file|table|key|value`. Values are in hex, numbers in decimal.
fn dump(folder: &Path) -> Vec<String> {
    let mut lines = vec![];
    let state = Database::open(folder.join("state.redb")).unwrap().begin_read().unwrap();
    for table in ["cells", "damaged cells", "editions", "state"] {
        let open = state.open_table(TableDefinition::<&str, &[u8]>::new(table)).unwrap();
        for entry in open.iter().unwrap() {
            let (key, value) = entry.unwrap();
            lines.push(format!("state.redb|{table}|{}|{}", key.value(), to_hex(value.value())));
        }
    }
    let counts = state.open_table(TableDefinition::<&str, u64>::new("counts")).unwrap();
    for entry in counts.iter().unwrap() {
        let (key, value) = entry.unwrap();
        lines.push(format!("state.redb|counts|{}|{}", key.value(), value.value()));
    }
    let snapshots = Database::open(folder.join("memories.redb")).unwrap().begin_read().unwrap();
    for table in ["memories", "set aside"] {
        let open = snapshots.open_table(TableDefinition::<(u64, u64), &[u8]>::new(table)).unwrap();
        for entry in open.iter().unwrap() {
            let (key, value) = entry.unwrap();
            let (term, number) = key.value();
            lines.push(format!("memories.redb|{table}|{term}.{number}|{}", to_hex(value.value())));
        }
    }
    let tally = snapshots.open_table(TableDefinition::<&str, &[u8]>::new("tally")).unwrap();
    for entry in tally.iter().unwrap() {
        let (key, value) = entry.unwrap();
        lines.push(format!("memories.redb|tally|{}|{}", key.value(), to_hex(value.value())));
    }
    lines
}

/// Creates the databases of a folder from the lines of [`dump`].
fn restore(folder: &Path, lines: &str) {
    for line in lines.lines() {
        let [file, table, key, value] = line.split('|').collect::<Vec<_>>().try_into().unwrap();
        let write = Database::create(folder.join(file)).unwrap();
        let write = write.begin_write().unwrap();
        match table {
            "counts" => {
                let mut open = write.open_table(TableDefinition::<&str, u64>::new(table)).unwrap();
                open.insert(key, value.parse::<u64>().unwrap()).unwrap();
            }
            "memories" | "set aside" => {
                let (term, number) = key.split_once('.').unwrap();
                let key = (term.parse::<u64>().unwrap(), number.parse::<u64>().unwrap());
                let mut open = write.open_table(TableDefinition::<(u64, u64), &[u8]>::new(table)).unwrap();
                open.insert(key, from_hex(value).as_slice()).unwrap();
            }
            _ => {
                let mut open = write.open_table(TableDefinition::<&str, &[u8]>::new(table)).unwrap();
                open.insert(key, from_hex(value).as_slice()).unwrap();
            }
        }
        write.commit().unwrap();
    }
}

fn damage(mut bytes: Vec<u8>) -> Vec<u8> {
    *bytes.last_mut().unwrap() ^= 1;
    bytes
}

/// Damages a stored journal entry, as a torn write does.
fn damage_entry(folder: &Path, name: &str) {
    let state = Database::open(folder.join("state.redb")).unwrap();
    let write = state.begin_write().unwrap();
    {
        let mut entries = write.open_table(TableDefinition::<&str, &[u8]>::new("cells")).unwrap();
        let damaged = damage(entries.get(name).unwrap().unwrap().value().to_vec());
        entries.insert(name, damaged.as_slice()).unwrap();
    }
    write.commit().unwrap();
}

#[rstest]
fn a_folder_is_written_to_the_tables_keys_and_bytes_of_the_fixture() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    Store::form(path, fleet_id(FLEET), voter_id(fleet_id(FLEET), "a"), membership()).unwrap();
    let (store, formed) = Store::open(path, fleet_id(FLEET)).unwrap();
    assert_eq!(formed.membership, membership());
    store.write_election(&hard_state()).unwrap();
    store.write_snapshot((3, 1), &snapshot(1).encode().unwrap()).unwrap();
    store.write_snapshot((3, 2), &damage(snapshot(2).encode().unwrap())).unwrap();
    assert_eq!(store.read_snapshot(|order, _| assert_eq!(order, (3, 2))).unwrap(), Some(snapshot(1)));
    store.write_snapshot((3, 3), &snapshot(3).encode().unwrap()).unwrap();
    let entries = TASKS.map(|name| (name.to_string(), register_entry(name == "editions")));
    store.write_entries(&entries, Some(true)).unwrap();
    drop(store);
    damage_entry(path, "accounts");
    let (store, _) = Store::open(path, fleet_id(FLEET)).unwrap();
    let StoredEntries { entries, complete } =
        store.read_entries(&task_names(), |name, _| assert_eq!(name, "accounts")).unwrap();
    assert_eq!((entries, complete), (BTreeMap::from([(1, register_entry(true))]), false));
    store.write_versions(&stored_versions()).unwrap();
    store.write_tally(&tally()).unwrap();
    assert_eq!(store.count_start().unwrap(), 1);
    drop(store);
    assert_eq!(include_str!("fixtures/state-folder.txt").trim_end(), dump(path).join("\n"));
}

#[rstest]
fn a_folder_with_the_content_of_the_fixture_is_read_completely() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    restore(path, include_str!("fixtures/state-folder.txt"));
    let (store, found) = Store::open(path, fleet_id(FLEET)).unwrap();
    assert_eq!(found, hard_state());
    assert_eq!(store.read_snapshot(|order, _| panic!("{order:?} is damaged")).unwrap(), Some(snapshot(3)));
    assert_eq!(store.damaged_snapshots().unwrap(), 1);
    let StoredEntries { entries, complete } =
        store.read_entries(&task_names(), |name, _| panic!("{name} is damaged")).unwrap();
    assert_eq!((entries, complete), (BTreeMap::from([(1, register_entry(true))]), false));
    assert_eq!(store.read_versions(|error| panic!("{error}")).unwrap(), stored_versions());
    assert_eq!(store.read_tally().unwrap(), tally());
    assert_eq!(store.count_start().unwrap(), 2);
}

#[rstest]
fn account_files_of_the_fixture_are_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/accounts");
    let longest_gap = Duration::from_secs(1);
    let expected = AccountAudit {
        steps: 3,
        duplicates: 0,
        by_stale_holders: 1,
        missing: 1,
        longest_gap,
        requests: 1012,
    };
    assert_eq!(audit_accounts(&folder).unwrap(), expected);
}

const KEY_FILE: &str = "the first of the members' keys\nthe second of the members' keys\n";

#[rstest]
fn ids_and_keys_are_derived_as_in_the_fixture() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), KEY_FILE).unwrap();
    let keys = Keys::read(file.path()).unwrap();
    let second = blake3::derive_key("grebespool 2026 members' key", b"the second of the members' keys");
    let second = keys.by_id(Keys::id_of(&second)).unwrap();
    let derived = [
        format!("fleet {:016x}", fleet_id(FLEET)),
        format!("seat {:016x}", voter_id(fleet_id(FLEET), "a")),
        format!("first-key {}", to_hex(keys.first())),
        format!("first-hint {}", to_hex(&Keys::id_of(keys.first()))),
        format!("second-key {}", to_hex(second)),
    ];
    assert_eq!(include_str!("fixtures/derived.txt").trim_end(), derived.join("\n"));
}

fn requests() -> Vec<(&'static str, Request)> {
    let task = |order| Request::Task { name: "accounts".into(), order };
    vec![
        ("show", Request::ShowMember),
        ("add", Request::Add { name: "d".into(), address: "d.example:7100".into() }),
        ("remove", Request::Remove { name: "d".into() }),
        ("step-down", Request::StepDown),
        ("duties", Request::ShowTasks),
        ("duty-move", task(TaskOrder::Move("b".into()))),
        ("duty-hold", task(TaskOrder::Suspend(30_000))),
        ("duty-release", task(TaskOrder::Release)),
        ("editions", Request::ShowConfiguration),
        ("propose", Request::Propose { changes: changes(), forced: true }),
        ("sites", Request::ShowSites),
        ("site", Request::Site { site: "north".into(), out: true, forced: false, dry_run: true }),
    ]
}

fn status(
    leader: Option<String>,
    stepped_down: Option<String>,
    snapshot: Option<(u64, u64, u64)>,
) -> Response {
    Response::Status {
        name: "a".into(),
        standing: "follows".into(),
        leader,
        term: 4,
        since_ms: 1500,
        stepped_down,
        members: vec![MemberStatus {
            name: "b".into(),
            address: "b.example:7100".into(),
            id: 77,
            missing: true,
        }],
        settled: true,
        snapshot,
        rejections: 2,
    }
}

fn configuration_status(
    active: ActiveVersions,
    pending: Option<(u64, String)>,
    coordinator: Option<String>,
) -> Response {
    Response::Configuration(Box::new(ConfigurationStatus {
        name: "a".into(),
        active,
        committed: (41, "0123456789ab".into()),
        pending,
        coordinator,
        undecided_proposals: 3,
        effective: EffectiveConfiguration::intersect(
            stored_versions().committed.configuration(),
            stored_versions().pending.unwrap().configuration(),
        ),
    }))
}

fn responses() -> Vec<(&'static str, Response)> {
    vec![
        ("status", status(Some("b".into()), Some("no majority".into()), Some((3, 2, 900)))),
        ("status-alone", status(None, None, None)),
        ("done", Response::Done("it stands down".into())),
        ("refused", Response::Rejected("this member does not lead".into())),
        ("lines", Response::Lines(vec!["one".into(), "two".into()])),
        (
            "editions-both",
            configuration_status(
                ActiveVersions::Joint(41, 42),
                Some((42, "ba9876543210".into())),
                Some("b".into()),
            ),
        ),
        ("editions-alone", configuration_status(ActiveVersions::Single(41), None, None)),
        ("editions-unleased", configuration_status(ActiveVersions::Unleased, None, None)),
    ]
}

fn assert_json_fixture<T>(fixture: &str, values: &[(&str, T)])
where
    T: Serialize + DeserializeOwned + Debug + PartialEq,
{
    let encoded: Vec<String> = values
        .iter()
        .map(|(name, value)| format!("{name} {}", serde_json::to_string(value).unwrap()))
        .collect();
    assert_eq!(fixture.trim_end(), encoded.join("\n"));
    for (line, (name, value)) in fixture.lines().zip(values) {
        let decoded: T = serde_json::from_str(line.split_once(' ').unwrap().1).unwrap();
        assert_eq!(decoded, *value, "{name}");
    }
}

#[rstest]
fn requests_and_responses_encode_to_the_json_of_the_fixtures() {
    assert_json_fixture(include_str!("fixtures/questions.jsonl"), &requests());
    assert_json_fixture(include_str!("fixtures/answers.jsonl"), &responses());
}

fn election_messages() -> Vec<(&'static str, ElectionMessage)> {
    let (term, number, version) = (4, 300, MembershipVersion { term: 3, number: 1 });
    vec![
        ("canvass", ElectionMessage::PreVoteRequest { term, membership_version: version }),
        ("favour", ElectionMessage::PreVoteGranted { term }),
        (
            "ask",
            ElectionMessage::VoteRequest { term, membership_version: version, leadership_transfer: true },
        ),
        ("vote", ElectionMessage::VoteGranted { term }),
        ("beat", ElectionMessage::Heartbeat { term, number, membership_version: version }),
        ("heard", ElectionMessage::HeartbeatAck { term, number, membership_version: version }),
        ("newer", ElectionMessage::NewerTerm { term }),
        (
            "seats",
            ElectionMessage::MembershipUpdate {
                term,
                membership: Membership {
                    version: MembershipVersion { term: 3, number: 1 },
                    voters: voters(),
                },
            },
        ),
        ("turn", ElectionMessage::TransferLeadership { term }),
    ]
}

fn voters() -> BTreeMap<u64, Voter> {
    BTreeMap::from([(5, Voter { name: "a".into(), address: "a.example:7100".into() })])
}

/// Returns some messages of singleton tasks; the fixtures of `grebespool-singleton-tasks` contain all kinds.
fn task_messages() -> Vec<(&'static str, grebespool_singleton_tasks::Message)> {
    use grebespool_singleton_tasks::Message;
    vec![
        ("duty-open", Message::OpenRequest { task: 1, token: token() }),
        ("duty-opened", Message::OpenResponse { task: 1, token: token(), record: Some(record(false)) }),
        ("duty-write", Message::WriteRequest { task: 1, record: record(true) }),
        (
            "duty-copied",
            Message::CopyResponse { from: 0, entries: vec![(0, register_entry(true))], next: Some(1) },
        ),
        ("duty-counted", Message::CountResponse { periods: vec![(4000, vec![((2, 1), counts())])] }),
    ]
}

/// Returns some messages of the shared configuration; the fixtures of `grebespool-config-consensus` contain all kinds.
fn configuration_messages() -> Vec<(&'static str, Message)> {
    let committed = stored_versions().committed.id();
    vec![
        ("edition-call", Message::Announce { token: token(), committed }),
        (
            "edition-renew",
            Message::Renew { token: token(), renewal: Renewal { count: 9, committed, pending: None } },
        ),
    ]
}

#[rstest]
fn packets_encode_to_the_bytes_of_the_fixture() {
    let mut packets = vec![
        ("here", Packet::Introduction { name: "a".into(), stamp: 9 }),
        ("memory", Packet::SnapshotChunk { order: (3, 1), part: 0, parts: 2, bytes: vec![1, 2, 255] }),
        ("refused", Packet::Rejected("another fleet".into())),
    ];
    packets.extend(election_messages().into_iter().map(|(name, message)| (name, Packet::Election(message))));
    packets.extend(requests().into_iter().map(|(name, request)| (name, Packet::Request(request))));
    packets.extend(responses().into_iter().map(|(name, response)| (name, Packet::Response(response))));
    packets.extend(task_messages().into_iter().map(|(name, message)| (name, Packet::Task(message))));
    packets.extend(
        configuration_messages().into_iter().map(|(name, message)| (name, Packet::Configuration(message))),
    );
    assert_postcard_fixture(include_str!("fixtures/frames.txt"), &packets);
}

/// The test implements the handshake and the code of frames a second time, and so guards against a change that members of
/// earlier releases do not understand.
#[rstest]
#[tokio::test]
async fn the_handshake_and_the_frame_codes_are_those_of_protocol_version_2() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), KEY_FILE).unwrap();
    let keys = Keys::read(file.path()).unwrap();
    let key = blake3::derive_key("grebespool 2026 members' key", b"the first of the members' keys");
    let (near, mut far) = duplex(1 << 16);
    let connecting = tokio::spawn(async move {
        let mut stream =
            AuthenticatedStream::connect(near, Identity { fleet: 0x0102, id: 0x0304 }, &keys).await.unwrap();
        stream.send(&Packet::Election(ElectionMessage::VoteGranted { term: 300 })).await.unwrap();
        stream.receive().await.unwrap()
    });
    let mut connecting_hello = [0; 46];
    far.read_exact(&mut connecting_hello).await.unwrap();
    assert_eq!(to_hex(&connecting_hello[..22]), "47424d42000200000000000001020000000000000304");
    assert_eq!(connecting_hello[22..30], blake3::keyed_hash(&key, b"which key is meant").as_bytes()[..8]);
    let mut accepting_hello = connecting_hello;
    accepting_hello[14..22].copy_from_slice(&7u64.to_be_bytes());
    accepting_hello[30..].fill(9);
    far.write_all(&accepting_hello).await.unwrap();
    let code = |side: &str, body: &[u8]| {
        let mut session = blake3::Hasher::new_keyed(&key);
        session.update(side.as_bytes()).update(&connecting_hello).update(&accepting_hello);
        let mut frame = blake3::Hasher::new_keyed(session.finalize().as_bytes());
        frame.update(&0u64.to_be_bytes()).update(body);
        frame.finalize().as_bytes()[..16].to_vec()
    };
    let body = postcard::to_stdvec(&Packet::Election(ElectionMessage::VoteGranted { term: 300 })).unwrap();
    let mut frame = vec![0; 4 + body.len() + 16];
    far.read_exact(&mut frame).await.unwrap();
    let length = (body.len() as u32 + 16).to_be_bytes();
    assert_eq!(frame, [&length[..], &body, &code("dialler", &body)].concat());
    far.write_all(&[&length[..], &body, &code("listener", &body)].concat()).await.unwrap();
    assert_eq!(connecting.await.unwrap(), Packet::Election(ElectionMessage::VoteGranted { term: 300 }));
    assert_eq!(PROTOCOL_VERSION, 2);
}
