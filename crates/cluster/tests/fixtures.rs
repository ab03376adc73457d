//! What is stored and what is on the wire, byte for byte: each line of a fixture is a name and the hex of its bytes, or a
//! name and JSON.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_cluster::seal::{Own, Packet, Sealed, VERSION};
use grebespool_cluster::{
    Answer, Audit, DutyOrder, Editions, Keys, Question, Shown, Store, audit, first_roster, fleet_id, seat_id,
};
use grebespool_config_consensus::{
    ActiveVersions, Change, ConfigVersion, Configuration, EffectiveConfiguration, Limit, Message, Rack,
    Renewal, Route, Server, ServerState, StoredState,
};
use grebespool_leader_election::{Drain, Held, Kept, Listed, Memory, Phase, Roster, Seat, Weight, Word};
use grebespool_singleton_tasks::{Cell, Counts, Record, Tally, Token};
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

fn roster() -> Roster {
    let members = ["a", "b", "c"].map(|name| (name.to_string(), format!("{name}.example:7100")));
    first_roster(fleet_id(FLEET), members)
}

fn record(ended: bool) -> Record {
    Record { token: token(), step: 17, ended, content: vec![1, 2, 255] }
}

fn cell(ended: bool) -> Cell {
    Cell { seen: Token { epoch: 3, number: 301 }, record: Some(record(ended)) }
}

fn counts() -> Counts {
    Counts { calls: 1000, tries: 1100, dropped: 3 }
}

fn tally() -> Tally {
    let mut tally = Tally::default();
    tally.add(4000, (2, 1), counts());
    tally.add(4001, (2, 255), Counts { calls: 5, tries: 5, dropped: 0 });
    tally
}

fn memory(number: u64) -> Memory {
    let addr = "10.0.0.1:8080".parse().unwrap();
    let listed =
        |number, phase| Listed { addr, number, zone: "north".into(), phase, started_ms: 1_700_000_000_000 };
    Memory {
        epoch: 3,
        number,
        list_version: 12,
        list_ms: 1_700_000_000_500,
        list: vec![listed(1, Phase::Ready), listed(2, Phase::Draining)],
        weights: vec![Weight { addr, number: 1, weight: 1.25 }],
        drains: vec![Drain { addr, number: 2, known_for_ms: 900 }],
        held: vec![Held { proxy: "p1".into(), seq: 77 }],
        pools: vec![("north".into(), vec![0, 1])],
        bound: vec![("p1".into(), 0)],
    }
}

fn content() -> Configuration {
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
        Change::Replace(Box::new(content())),
        Change::Route("search".into(), None),
        Change::Limit("power.reserve".into(), Some(Limit::AtLeast(0.2))),
        Change::Rack("r2".into(), None),
        Change::Server("s2".into(), None),
        Change::State("s1".into(), ServerState::Draining),
    ]
}

fn held_editions() -> StoredState {
    let committed = ConfigVersion::default().successor(&changes()[..1], &BTreeMap::new());
    let pending = Some(committed.successor(&changes()[1..], &BTreeMap::new()));
    StoredState { committed, pending, newest_token: token() }
}

fn kept() -> Kept {
    let id = seat_id(fleet_id(FLEET), "a");
    let vote = Some(seat_id(fleet_id(FLEET), "b"));
    Kept { id, fleet: fleet_id(FLEET), epoch: 4, vote, roster: roster(), stamp: 9 }
}

const DUTIES: [&str; 2] = ["accounts", "editions"];

fn duties() -> Vec<String> {
    DUTIES.map(String::from).to_vec()
}

/// What a folder's tables hold: `file|table|key|value`, each value in hex, numbers as they are.
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
    let memories = Database::open(folder.join("memories.redb")).unwrap().begin_read().unwrap();
    for table in ["memories", "set aside"] {
        let open = memories.open_table(TableDefinition::<(u64, u64), &[u8]>::new(table)).unwrap();
        for entry in open.iter().unwrap() {
            let (key, value) = entry.unwrap();
            let (epoch, number) = key.value();
            lines.push(format!("memories.redb|{table}|{epoch}.{number}|{}", to_hex(value.value())));
        }
    }
    let tally = memories.open_table(TableDefinition::<&str, &[u8]>::new("tally")).unwrap();
    for entry in tally.iter().unwrap() {
        let (key, value) = entry.unwrap();
        lines.push(format!("memories.redb|tally|{}|{}", key.value(), to_hex(value.value())));
    }
    lines
}

/// Makes a folder of what [`dump`] gave.
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
                let (epoch, number) = key.split_once('.').unwrap();
                let key = (epoch.parse::<u64>().unwrap(), number.parse::<u64>().unwrap());
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

fn spoil(mut bytes: Vec<u8>) -> Vec<u8> {
    *bytes.last_mut().unwrap() ^= 1;
    bytes
}

/// Spoils a journal's cell on the disk, as a torn write would.
fn spoil_cell(folder: &Path, name: &str) {
    let state = Database::open(folder.join("state.redb")).unwrap();
    let write = state.begin_write().unwrap();
    {
        let mut cells = write.open_table(TableDefinition::<&str, &[u8]>::new("cells")).unwrap();
        let spoilt = spoil(cells.get(name).unwrap().unwrap().value().to_vec());
        cells.insert(name, spoilt.as_slice()).unwrap();
    }
    write.commit().unwrap();
}

#[rstest]
fn a_folder_is_written_to_the_same_tables_keys_and_bytes() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    Store::form(path, fleet_id(FLEET), seat_id(fleet_id(FLEET), "a"), roster()).unwrap();
    let (store, formed) = Store::open(path, fleet_id(FLEET)).unwrap();
    assert_eq!(formed.roster, roster());
    store.keep(&kept()).unwrap();
    store.remember((3, 1), &memory(1).bytes().unwrap()).unwrap();
    store.remember((3, 2), &spoil(memory(2).bytes().unwrap())).unwrap();
    assert_eq!(store.memory(|order, _| assert_eq!(order, (3, 2))).unwrap(), Some(memory(1)));
    store.remember((3, 3), &memory(3).bytes().unwrap()).unwrap();
    let cells = DUTIES.map(|name| (name.to_string(), cell(name == "editions")));
    store.keep_cells(&cells, Some(true)).unwrap();
    drop(store);
    spoil_cell(path, "accounts");
    let (store, _) = Store::open(path, fleet_id(FLEET)).unwrap();
    let (cells, copied) = store.cells(&duties(), |name, _| assert_eq!(name, "accounts")).unwrap();
    assert_eq!((cells, copied), (BTreeMap::from([(1, cell(true))]), false));
    store.keep_editions(&held_editions()).unwrap();
    store.keep_tally(&tally()).unwrap();
    assert_eq!(store.live().unwrap(), 1);
    drop(store);
    assert_eq!(include_str!("fixtures/state-folder.txt").trim_end(), dump(path).join("\n"));
}

#[rstest]
fn a_folder_that_was_written_before_opens_with_all_that_it_holds() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path();
    restore(path, include_str!("fixtures/state-folder.txt"));
    let (store, found) = Store::open(path, fleet_id(FLEET)).unwrap();
    assert_eq!(found, kept());
    assert_eq!(store.memory(|order, _| panic!("{order:?} is damaged")).unwrap(), Some(memory(3)));
    assert_eq!(store.set_aside().unwrap(), 1);
    let (cells, copied) = store.cells(&duties(), |name, _| panic!("{name} is damaged")).unwrap();
    assert_eq!((cells, copied), (BTreeMap::from([(1, cell(true))]), false));
    assert_eq!(store.editions(|why| panic!("{why}")).unwrap(), held_editions());
    assert_eq!(store.tally().unwrap(), tally());
    assert_eq!(store.live().unwrap(), 2);
}

#[rstest]
fn account_files_that_were_written_before_are_read() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/accounts");
    let longest = Duration::from_secs(1);
    let expected = Audit { steps: 3, twice: 0, former: 1, left_out: 1, longest, calls: 1012 };
    assert_eq!(audit(&folder).unwrap(), expected);
}

const KEY_FILE: &str = "the first of the members' keys\nthe second of the members' keys\n";

#[rstest]
fn ids_and_keys_are_derived_as_before() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), KEY_FILE).unwrap();
    let keys = Keys::read(file.path()).unwrap();
    let second = blake3::derive_key("grebespool 2026 members' key", b"the second of the members' keys");
    let second = keys.by_hint(Keys::hint(&second)).unwrap();
    let derived = [
        format!("fleet {:016x}", fleet_id(FLEET)),
        format!("seat {:016x}", seat_id(fleet_id(FLEET), "a")),
        format!("first-key {}", to_hex(keys.first())),
        format!("first-hint {}", to_hex(&Keys::hint(keys.first()))),
        format!("second-key {}", to_hex(second)),
    ];
    assert_eq!(include_str!("fixtures/derived.txt").trim_end(), derived.join("\n"));
}

fn questions() -> Vec<(&'static str, Question)> {
    let duty = |order| Question::Duty { name: "accounts".into(), order };
    vec![
        ("show", Question::Show),
        ("add", Question::Add { name: "d".into(), address: "d.example:7100".into() }),
        ("remove", Question::Remove { name: "d".into() }),
        ("step-down", Question::StepDown),
        ("duties", Question::Duties),
        ("duty-move", duty(DutyOrder::Move("b".into()))),
        ("duty-hold", duty(DutyOrder::Hold(30_000))),
        ("duty-release", duty(DutyOrder::Release)),
        ("editions", Question::Editions),
        ("propose", Question::Propose { changes: changes(), forced: true }),
        ("sites", Question::Sites),
        ("site", Question::Site { site: "north".into(), out: true, forced: false, dry: true }),
    ]
}

fn status(leader: Option<String>, stood_down: Option<String>, memory: Option<(u64, u64, u64)>) -> Answer {
    Answer::Status {
        name: "a".into(),
        standing: "follows".into(),
        leader,
        epoch: 4,
        since_ms: 1500,
        stood_down,
        members: vec![Shown { name: "b".into(), address: "b.example:7100".into(), id: 77, missing: true }],
        settled: true,
        memory,
        refused: 2,
    }
}

fn editions(acts: ActiveVersions, next: Option<(u64, String)>, convener: Option<String>) -> Answer {
    Answer::Editions(Box::new(Editions {
        name: "a".into(),
        acts,
        standing: (41, "0123456789ab".into()),
        next,
        convener,
        waiting: 3,
        view: EffectiveConfiguration::intersect(
            held_editions().committed.configuration(),
            held_editions().pending.unwrap().configuration(),
        ),
    }))
}

fn answers() -> Vec<(&'static str, Answer)> {
    vec![
        ("status", status(Some("b".into()), Some("no majority".into()), Some((3, 2, 900)))),
        ("status-alone", status(None, None, None)),
        ("done", Answer::Done("it stands down".into())),
        ("refused", Answer::Refused("this member does not lead".into())),
        ("lines", Answer::Lines(vec!["one".into(), "two".into()])),
        (
            "editions-both",
            editions(ActiveVersions::Joint(41, 42), Some((42, "ba9876543210".into())), Some("b".into())),
        ),
        ("editions-alone", editions(ActiveVersions::Single(41), None, None)),
        ("editions-unleased", editions(ActiveVersions::Unleased, None, None)),
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
fn questions_and_answers_keep_their_json() {
    assert_json_fixture(include_str!("fixtures/questions.jsonl"), &questions());
    assert_json_fixture(include_str!("fixtures/answers.jsonl"), &answers());
}

fn election() -> Vec<(&'static str, Word)> {
    let (epoch, number, version) = (4, 300, (3, 1));
    vec![
        ("canvass", Word::Canvass { epoch, roster: version }),
        ("favour", Word::Favour { epoch }),
        ("ask", Word::Ask { epoch, roster: version, yielded: true }),
        ("vote", Word::Vote { epoch }),
        ("beat", Word::Beat { epoch, number, roster: version }),
        ("heard", Word::Heard { epoch, number, roster: version }),
        ("newer", Word::Newer { epoch }),
        ("seats", Word::Seats { epoch, roster: Roster { epoch: 3, number: 1, seats: seats() } }),
        ("turn", Word::Turn { epoch }),
    ]
}

fn seats() -> BTreeMap<u64, Seat> {
    BTreeMap::from([(5, Seat { name: "a".into(), address: "a.example:7100".into() })])
}

/// Of the kinds of messages of duties and editions, of which the packages that own them have all.
fn of_duties() -> Vec<(&'static str, grebespool_singleton_tasks::Word)> {
    use grebespool_singleton_tasks::Word;
    vec![
        ("duty-open", Word::Open { duty: 1, token: token() }),
        ("duty-opened", Word::Opened { duty: 1, token: token(), record: Some(record(false)) }),
        ("duty-write", Word::Write { duty: 1, record: record(true) }),
        ("duty-copied", Word::Copied { from: 0, cells: vec![(0, cell(true))], next: Some(1) }),
        ("duty-counted", Word::Counted { periods: vec![(4000, vec![((2, 1), counts())])] }),
    ]
}

fn of_editions() -> Vec<(&'static str, Message)> {
    let committed = held_editions().committed.id();
    vec![
        ("edition-call", Message::Announce { token: token(), committed }),
        (
            "edition-renew",
            Message::Renew { token: token(), renewal: Renewal { count: 9, committed, pending: None } },
        ),
    ]
}

#[rstest]
fn frames_between_members_keep_their_bytes() {
    let mut packets = vec![
        ("here", Packet::Here { name: "a".into(), stamp: 9 }),
        ("memory", Packet::Memory { order: (3, 1), part: 0, parts: 2, bytes: vec![1, 2, 255] }),
        ("refused", Packet::Refused("another fleet".into())),
    ];
    packets.extend(election().into_iter().map(|(name, word)| (name, Packet::Word(word))));
    packets.extend(questions().into_iter().map(|(name, question)| (name, Packet::Question(question))));
    packets.extend(answers().into_iter().map(|(name, answer)| (name, Packet::Answer(answer))));
    packets.extend(of_duties().into_iter().map(|(name, word)| (name, Packet::Duty(word))));
    packets.extend(of_editions().into_iter().map(|(name, word)| (name, Packet::Accord(word))));
    assert_postcard_fixture(include_str!("fixtures/frames.txt"), &packets);
}

/// The handshake and the frame's code, written here a second time: a member of before is on the other side.
#[rstest]
#[tokio::test]
async fn the_handshake_and_the_code_of_frames_are_those_of_version_2() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), KEY_FILE).unwrap();
    let keys = Keys::read(file.path()).unwrap();
    let key = blake3::derive_key("grebespool 2026 members' key", b"the first of the members' keys");
    let (near, mut far) = duplex(1 << 16);
    let dialled = tokio::spawn(async move {
        let mut sealed = Sealed::dial(near, Own { fleet: 0x0102, id: 0x0304 }, &keys).await.unwrap();
        sealed.say(&Packet::Word(Word::Vote { epoch: 300 })).await.unwrap();
        sealed.hear().await.unwrap()
    });
    let mut dialler = [0; 46];
    far.read_exact(&mut dialler).await.unwrap();
    assert_eq!(to_hex(&dialler[..22]), "47424d42000200000000000001020000000000000304");
    assert_eq!(dialler[22..30], blake3::keyed_hash(&key, b"which key is meant").as_bytes()[..8]);
    let mut listener = dialler;
    listener[14..22].copy_from_slice(&7u64.to_be_bytes());
    listener[30..].fill(9);
    far.write_all(&listener).await.unwrap();
    let code = |side: &str, body: &[u8]| {
        let mut stream = blake3::Hasher::new_keyed(&key);
        stream.update(side.as_bytes()).update(&dialler).update(&listener);
        let mut frame = blake3::Hasher::new_keyed(stream.finalize().as_bytes());
        frame.update(&0u64.to_be_bytes()).update(body);
        frame.finalize().as_bytes()[..16].to_vec()
    };
    let body = postcard::to_stdvec(&Packet::Word(Word::Vote { epoch: 300 })).unwrap();
    let mut frame = vec![0; 4 + body.len() + 16];
    far.read_exact(&mut frame).await.unwrap();
    let length = (body.len() as u32 + 16).to_be_bytes();
    assert_eq!(frame, [&length[..], &body, &code("dialler", &body)].concat());
    far.write_all(&[&length[..], &body, &code("listener", &body)].concat()).await.unwrap();
    assert_eq!(dialled.await.unwrap(), Packet::Word(Word::Vote { epoch: 300 }));
    assert_eq!(VERSION, 2);
}
