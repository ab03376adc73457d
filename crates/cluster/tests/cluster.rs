//! State folders that are damaged, copied, shared or of another fleet, and streams whose frames are altered or replayed or
//! that use another key.

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
    let voter = |n: u64| (n, Voter { name: format!("m{n}"), address: format!("127.0.0.1:{n}") });
    Membership { version: MembershipVersion::default(), voters: (1..=3).map(voter).collect() }
}

fn formed_folder() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    Store::form(folder.path(), FLEET, 1, membership()).unwrap();
    folder
}

#[rstest]
fn a_reopened_folder_contains_the_written_election_state() {
    let folder = formed_folder();
    let (store, first) = Store::open(folder.path(), FLEET).unwrap();
    assert_eq!((first.id, first.term, &first.membership), (1, 0, &membership()));
    let voted = HardState { term: 4, voted_for: Some(3), revision: 9, ..first };
    store.write_election(&voted).unwrap();
    drop(store);
    assert_eq!(Store::open(folder.path(), FLEET).unwrap().1, voted);
}

fn damage(file: &Path) {
    let mut bytes = std::fs::read(file).unwrap();
    let middle = bytes.len() / 2;
    bytes[..middle].fill(0xAA);
    std::fs::write(file, bytes).unwrap();
}

#[rstest]
fn a_folder_that_is_empty_formed_open_damaged_or_of_another_fleet_is_rejected() {
    let empty = tempfile::tempdir().unwrap();
    assert!(matches!(Store::open(empty.path(), FLEET), Err(StoreError::NotFormed(_))));
    let folder = formed_folder();
    assert!(matches!(Store::form(folder.path(), FLEET, 1, membership()), Err(StoreError::AlreadyFormed(_))));
    assert!(matches!(
        Store::open(folder.path(), 78),
        Err(StoreError::OtherFleet { found: FLEET, expected: 78, .. })
    ));
    let open = Store::open(folder.path(), FLEET).unwrap();
    assert!(
        matches!(Store::open(folder.path(), FLEET), Err(StoreError::Open { .. })),
        "opened a folder that is already open"
    );
    drop(open);
    damage(&folder.path().join("state.redb"));
    let damaged = Store::open(folder.path(), FLEET).map(|_| ());
    assert!(matches!(damaged, Err(StoreError::Open { .. } | StoreError::Damaged { .. })), "{damaged:?}");
}

fn snapshot(number: u64) -> Snapshot {
    Snapshot { term: 3, number, list_version: number, ..Snapshot::default() }
}

#[rstest]
fn a_damaged_snapshot_is_set_aside_and_the_newest_intact_one_is_read() {
    let folder = formed_folder();
    let (store, _) = Store::open(folder.path(), FLEET).unwrap();
    let none_damaged = |order, _| panic!("{order:?} is damaged");
    assert_eq!(store.read_snapshot(none_damaged).unwrap(), None);
    for number in 1..=4 {
        store.write_snapshot((3, number), &snapshot(number).encode().unwrap()).unwrap();
    }
    assert_eq!(store.read_snapshot(none_damaged).unwrap(), Some(snapshot(4)));
    let mut torn = snapshot(5).encode().unwrap();
    torn.truncate(torn.len() - 1);
    store.write_snapshot((3, 5), &torn).unwrap();
    let mut damaged = vec![];
    assert_eq!(store.read_snapshot(|order, _| damaged.push(order)).unwrap(), Some(snapshot(4)));
    assert_eq!((damaged, store.damaged_snapshots().unwrap()), (vec![(3, 5)], 1));
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
#[case::no_keys("", "0 keys")]
#[case::short_key("short", "at least 16 bytes")]
#[case::too_many_keys("0123456789abcdef\n0123456789abcdeg\n0123456789abcdeh\n0123456789abcdei", "4 keys")]
fn an_invalid_key_file_is_rejected(#[case] text: &str, #[case] expected: &str) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    write!(file, "{text}").unwrap();
    let error = Keys::read(file.path()).map(|_| ()).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
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
#[case::same_key(&[ONE], &[ONE], true)]
#[case::accepting_side_also_has_the_new_key(&[ONE], &[ONE, TWO], true)]
#[case::connecting_side_uses_the_new_key(&[TWO, ONE], &[ONE, TWO], true)]
#[case::unknown_key(&[TWO], &[ONE], false)]
#[tokio::test]
async fn a_stream_is_accepted_if_the_accepting_side_has_the_connecting_sides_first_key(
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
#[case::another_fleet(Identity { fleet: 78, id: 1 }, "is of fleet")]
#[case::same_id(Identity { fleet: FLEET, id: 2 }, "own id")]
#[tokio::test]
async fn both_sides_reject_another_fleet_and_their_own_id(
    #[case] connecting: Identity,
    #[case] expected: &str,
) {
    let (a, b) = connect_both((connecting, keys(&[ONE])), (own(2), keys(&[ONE]))).await;
    for side in [a.map(|_| ()).unwrap_err(), b.map(|_| ()).unwrap_err()] {
        assert!(side.to_string().contains(expected), "{side}");
    }
}

/// Sends three packets over an authenticated stream whose bytes pass through `alter`, and returns what the receiver gets.
async fn receive_altered(alter: impl Fn(Vec<u8>) -> Vec<u8>) -> Vec<Result<Packet, TransportError>> {
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
    for term in 1..=3 {
        a.send(&Packet::Election(Message::VoteGranted { term })).await.unwrap();
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

/// Returns the number of votes that were received before the first other result.
fn votes(received: &[Result<Packet, TransportError>]) -> usize {
    received.iter().take_while(|p| matches!(p, Ok(Packet::Election(Message::VoteGranted { .. })))).count()
}

#[rstest]
#[tokio::test]
async fn a_stream_ends_at_an_altered_omitted_or_replayed_frame() {
    let frame_length = |bytes: &[u8]| bytes.len() / 3;
    assert_eq!(votes(&receive_altered(|b| b).await), 3);
    for at in 0..60 {
        let altered = receive_altered(|mut b| {
            let at = at % b.len();
            b[at] ^= 1;
            b
        })
        .await;
        assert!(votes(&altered) < 3, "byte {at} is altered");
    }
    let replayed = receive_altered(|b| [&b[..frame_length(&b)], &b[..]].concat()).await;
    assert_eq!(votes(&replayed), 1, "the first frame is sent twice");
    assert!(matches!(replayed[1], Err(TransportError::WrongCode)));
    let omitted = receive_altered(|b| [&b[..frame_length(&b)], &b[2 * frame_length(&b)..]].concat()).await;
    assert_eq!(votes(&omitted), 1, "the second frame is omitted");
    assert_eq!(votes(&receive_altered(|b| b[..b.len() - 1].to_vec()).await), 2, "the last frame is cut off");
}

#[rstest]
#[tokio::test]
async fn another_protocol_version_is_rejected_with_its_number() {
    let (mut near, far) = duplex(1 << 10);
    let accept =
        tokio::spawn(
            async move { AuthenticatedStream::accept(far, own(2), &keys(&[ONE])).await.map(|_| ()) },
        );
    let mut hello = b"GBMB".to_vec();
    hello.extend_from_slice(&(PROTOCOL_VERSION + 1).to_be_bytes());
    hello.extend_from_slice(&[7; 40]);
    near.write_all(&hello).await.unwrap();
    let error = accept.await.unwrap().unwrap_err().to_string();
    assert!(error.contains(&format!("speaks version {}", PROTOCOL_VERSION + 1)), "{error}");
}
