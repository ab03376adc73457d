//! State folders that are torn, copied, shared or of another fleet; streams that are altered, replayed or authenticated with
//! another key.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_cluster::transport::{
    AuthenticatedStream, Identity, PROTOCOL_VERSION, Packet, TransportError,
};
use grebespool_cluster::{Keys, Store, StoreError, fleet_id, voter_id};
use grebespool_leader_election::{HardState, Membership, MembershipVersion, Message, Snapshot, Voter};
use rstest::rstest;
use std::io::Write;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

const FLEET: u64 = 77;

fn membership() -> Membership {
    let seat = |n: u64| (n, Voter { name: format!("m{n}"), address: format!("127.0.0.1:{n}") });
    Membership { version: MembershipVersion::default(), voters: (1..=3).map(seat).collect() }
}

fn formed() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    Store::form(folder.path(), FLEET, 1, membership()).unwrap();
    folder
}

#[rstest]
fn finds_the_election_state_again() {
    let folder = formed();
    let (store, first) = Store::open(folder.path(), FLEET).unwrap();
    assert_eq!((first.id, first.term, &first.membership), (1, 0, &membership()));
    let voted = HardState { term: 4, voted_for: Some(3), revision: 9, ..first };
    store.write_election(&voted).unwrap();
    drop(store);
    assert_eq!(Store::open(folder.path(), FLEET).unwrap().1, voted);
}

fn spoil(file: &Path) {
    let mut bytes = std::fs::read(file).unwrap();
    let middle = bytes.len() / 2;
    bytes[..middle].fill(0xAA);
    std::fs::write(file, bytes).unwrap();
}

#[rstest]
fn rejects_a_folder_that_is_missing_taken_foreign_open_or_damaged() {
    let empty = tempfile::tempdir().unwrap();
    assert!(matches!(Store::open(empty.path(), FLEET), Err(StoreError::NotFormed(_))));
    let folder = formed();
    assert!(matches!(Store::form(folder.path(), FLEET, 1, membership()), Err(StoreError::AlreadyFormed(_))));
    assert!(matches!(
        Store::open(folder.path(), 78),
        Err(StoreError::OtherFleet { found: FLEET, expected: 78, .. })
    ));
    let held = Store::open(folder.path(), FLEET).unwrap();
    assert!(
        matches!(Store::open(folder.path(), FLEET), Err(StoreError::Open { .. })),
        "two processes on one folder"
    );
    drop(held);
    spoil(&folder.path().join("state.redb"));
    let spoilt = Store::open(folder.path(), FLEET).map(|_| ());
    assert!(matches!(spoilt, Err(StoreError::Open { .. } | StoreError::Damaged { .. })), "{spoilt:?}");
}

fn snapshot(number: u64) -> Snapshot {
    Snapshot { term: 3, number, list_version: number, ..Snapshot::default() }
}

#[rstest]
fn keeps_two_snapshots_and_falls_back_from_a_damaged_one() {
    let folder = formed();
    let (store, _) = Store::open(folder.path(), FLEET).unwrap();
    let none = |_, _| panic!("none is damaged");
    assert_eq!(store.read_snapshot(none).unwrap(), None);
    for number in 1..=4 {
        store.write_snapshot((3, number), &snapshot(number).encode().unwrap()).unwrap();
    }
    assert_eq!(store.read_snapshot(none).unwrap(), Some(snapshot(4)));
    let mut torn = snapshot(5).encode().unwrap();
    torn.truncate(torn.len() - 1);
    store.write_snapshot((3, 5), &torn).unwrap();
    let mut named = vec![];
    assert_eq!(store.read_snapshot(|order, _| named.push(order)).unwrap(), Some(snapshot(4)));
    assert_eq!((named, store.damaged_snapshots().unwrap()), (vec![(3, 5)], 1));
}

#[rstest]
fn ids_differ_by_fleet_and_name() {
    assert_ne!(fleet_id("a"), fleet_id("b"));
    assert_eq!(voter_id(fleet_id("a"), "m"), voter_id(fleet_id("a"), "m"));
    assert_ne!(voter_id(fleet_id("a"), "m"), voter_id(fleet_id("b"), "m"));
}

const ONE: &str = "the first of the members' keys";
const TWO: &str = "the second of the members' keys";

fn keys(lines: &[&str]) -> Keys {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    write!(file, "{}", lines.join("\n")).unwrap();
    Keys::read(file.path()).unwrap()
}

#[rstest]
#[case::none("", "0 keys")]
#[case::short("short", "at least 16 bytes")]
#[case::many("0123456789abcdef\n0123456789abcdeg\n0123456789abcdeh\n0123456789abcdei", "4 keys")]
fn rejects_a_bad_key_file(#[case] text: &str, #[case] says: &str) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    write!(file, "{text}").unwrap();
    let why = Keys::read(file.path()).map(|_| ()).unwrap_err().to_string();
    assert!(why.contains(says), "{why}");
}

type Authenticated = Result<AuthenticatedStream<DuplexStream>, TransportError>;

async fn connect_both(
    connecting: (Identity, Keys),
    accepting: (Identity, Keys),
) -> (Authenticated, Authenticated) {
    let (near, far) = duplex(1 << 16);
    let connect = async { AuthenticatedStream::connect(near, connecting.0, &connecting.1).await };
    let accept = async { AuthenticatedStream::accept(far, accepting.0, &accepting.1).await };
    tokio::join!(connect, accept)
}

fn own(id: u64) -> Identity {
    Identity { fleet: FLEET, id }
}

#[rstest]
#[case::the_same(&[ONE], &[ONE], true)]
#[case::the_new_one_is_known_already(&[ONE], &[ONE, TWO], true)]
#[case::the_new_one_is_first_here(&[TWO, ONE], &[ONE, TWO], true)]
#[case::another(&[TWO], &[ONE], false)]
#[tokio::test]
async fn accepts_each_step_of_a_key_rotation(
    #[case] connecting: &[&str],
    #[case] accepting: &[&str],
    #[case] accepted: bool,
) {
    let (a, b) = connect_both((own(1), keys(connecting)), (own(2), keys(accepting))).await;
    if !accepted {
        assert!(matches!(b.map(|_| ()), Err(TransportError::UnknownKey)));
        return;
    }
    let (mut a, mut b) = (a.unwrap(), b.unwrap());
    assert_eq!((a.peer, b.peer), (2, 1));
    for number in 0..3 {
        let packet = Packet::Election(Message::Heartbeat {
            term: 1,
            number,
            membership_version: MembershipVersion { term: 1, number: 0 },
        });
        a.send(&packet).await.unwrap();
        assert_eq!(b.receive().await.unwrap(), packet);
    }
}

#[rstest]
#[case::a_strangers_fleet(Identity { fleet: 78, id: 1 }, "is of fleet")]
#[case::its_own_id(Identity { fleet: FLEET, id: 2 }, "own id")]
#[tokio::test]
async fn both_sides_reject_another_fleet_and_a_copied_folder(
    #[case] connecting: Identity,
    #[case] says: &str,
) {
    let (a, b) = connect_both((connecting, keys(&[ONE])), (own(2), keys(&[ONE]))).await;
    for side in [a.map(|_| ()).unwrap_err(), b.map(|_| ()).unwrap_err()] {
        assert!(side.to_string().contains(says), "{side}");
    }
}

/// Everything between two authenticated ends, as one that taps the wire has it.
async fn tapped(alter: impl Fn(Vec<u8>) -> Vec<u8>) -> Vec<Result<Packet, TransportError>> {
    let (near, mut tap_near) = duplex(1 << 16);
    let (mut tap_far, far) = duplex(1 << 16);
    let connect =
        tokio::spawn(async move { AuthenticatedStream::connect(near, own(1), &keys(&[ONE])).await.unwrap() });
    let accept =
        tokio::spawn(async move { AuthenticatedStream::accept(far, own(2), &keys(&[ONE])).await.unwrap() });
    let mut hello = [0; 46];
    tap_near.read_exact(&mut hello).await.unwrap();
    tap_far.write_all(&hello).await.unwrap();
    tap_far.read_exact(&mut hello).await.unwrap();
    tap_near.write_all(&hello).await.unwrap();
    let (mut a, mut b) = (connect.await.unwrap(), accept.await.unwrap());
    for epoch in 1..=3 {
        a.send(&Packet::Election(Message::VoteGranted { term: epoch })).await.unwrap();
    }
    let mut bytes = vec![0; 4096];
    let count = tap_near.read(&mut bytes).await.unwrap();
    bytes.truncate(count);
    tap_far.write_all(&alter(bytes)).await.unwrap();
    drop(tap_far);
    let mut received = vec![];
    for _ in 0..4 {
        received.push(b.receive().await);
    }
    received
}

fn votes(received: &[Result<Packet, TransportError>]) -> usize {
    received.iter().take_while(|p| matches!(p, Ok(Packet::Election(Message::VoteGranted { .. })))).count()
}

#[rstest]
#[tokio::test]
async fn ends_a_stream_whose_frames_are_altered_omitted_or_replayed() {
    let frame = |bytes: &[u8]| bytes.len() / 3;
    assert_eq!(votes(&tapped(|b| b).await), 3);
    for at in 0..60 {
        let altered = tapped(|mut b| {
            let at = at % b.len();
            b[at] ^= 1;
            b
        })
        .await;
        assert!(votes(&altered) < 3, "byte {at}");
    }
    let again = tapped(|b| [&b[..frame(&b)], &b[..]].concat()).await;
    assert_eq!(votes(&again), 1, "the first frame twice");
    assert!(matches!(again[1], Err(TransportError::WrongCode)));
    let left_out = tapped(|b| [&b[..frame(&b)], &b[2 * frame(&b)..]].concat()).await;
    assert_eq!(votes(&left_out), 1, "the second frame left out");
    assert_eq!(votes(&tapped(|b| b[..b.len() - 1].to_vec()).await), 2, "cut off within the last");
}

#[rstest]
#[tokio::test]
async fn names_another_protocol_version() {
    let (mut near, far) = duplex(1 << 10);
    let accept =
        tokio::spawn(
            async move { AuthenticatedStream::accept(far, own(2), &keys(&[ONE])).await.map(|_| ()) },
        );
    let mut hello = b"GBMB".to_vec();
    hello.extend_from_slice(&(PROTOCOL_VERSION + 1).to_be_bytes());
    hello.extend_from_slice(&[7; 40]);
    near.write_all(&hello).await.unwrap();
    let why = accept.await.unwrap().unwrap_err().to_string();
    assert!(why.contains(&format!("speaks version {}", PROTOCOL_VERSION + 1)), "{why}");
}
