//! State folders that are torn, copied, shared or of another fleet; streams that are altered, played again or sealed
//! with another key.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_cluster::seal::{Own, Packet, Sealed, VERSION};
use grebespool_cluster::{Keys, Store, Unusable, fleet_id, seat_id};
use grebespool_leader_election::{HardState, Membership, MembershipVersion, Message, Snapshot, Voter};
use rstest::rstest;
use std::io::{ErrorKind, Write};
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};

const FLEET: u64 = 77;

fn roster() -> Membership {
    let seat = |n: u64| (n, Voter { name: format!("m{n}"), address: format!("127.0.0.1:{n}") });
    Membership { version: MembershipVersion::default(), voters: (1..=3).map(seat).collect() }
}

fn formed() -> tempfile::TempDir {
    let folder = tempfile::tempdir().unwrap();
    Store::form(folder.path(), FLEET, 1, roster()).unwrap();
    folder
}

#[rstest]
fn what_is_kept_is_found_again() {
    let folder = formed();
    let (store, first) = Store::open(folder.path(), FLEET).unwrap();
    assert_eq!((first.id, first.term, &first.membership), (1, 0, &roster()));
    let voted = HardState { term: 4, voted_for: Some(3), revision: 9, ..first };
    store.keep(&voted).unwrap();
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
fn folders_that_cannot_be_used_are_named() {
    let empty = tempfile::tempdir().unwrap();
    assert!(matches!(Store::open(empty.path(), FLEET), Err(Unusable::Empty(_))));
    let folder = formed();
    assert!(matches!(Store::form(folder.path(), FLEET, 1, roster()), Err(Unusable::Taken(_))));
    assert!(matches!(Store::open(folder.path(), 78), Err(Unusable::Fleet { found: FLEET, wanted: 78, .. })));
    let held = Store::open(folder.path(), FLEET).unwrap();
    assert!(
        matches!(Store::open(folder.path(), FLEET), Err(Unusable::Open { .. })),
        "two processes on one folder"
    );
    drop(held);
    spoil(&folder.path().join("state.redb"));
    let spoilt = Store::open(folder.path(), FLEET).map(|_| ());
    assert!(matches!(spoilt, Err(Unusable::Open { .. } | Unusable::Damaged { .. })), "{spoilt:?}");
}

fn memory(number: u64) -> Snapshot {
    Snapshot { term: 3, number, list_version: number, ..Snapshot::default() }
}

#[rstest]
fn of_memories_two_are_kept_and_a_damaged_one_gives_way_to_the_one_before() {
    let folder = formed();
    let (store, _) = Store::open(folder.path(), FLEET).unwrap();
    let none = |_, _| panic!("none is damaged");
    assert_eq!(store.memory(none).unwrap(), None);
    for number in 1..=4 {
        store.remember((3, number), &memory(number).encode().unwrap()).unwrap();
    }
    assert_eq!(store.memory(none).unwrap(), Some(memory(4)));
    let mut torn = memory(5).encode().unwrap();
    torn.truncate(torn.len() - 1);
    store.remember((3, 5), &torn).unwrap();
    let mut named = vec![];
    assert_eq!(store.memory(|order, _| named.push(order)).unwrap(), Some(memory(4)));
    assert_eq!((named, store.set_aside().unwrap()), (vec![(3, 5)], 1));
}

#[rstest]
fn ids_are_of_a_fleet_and_a_name() {
    assert_ne!(fleet_id("a"), fleet_id("b"));
    assert_eq!(seat_id(fleet_id("a"), "m"), seat_id(fleet_id("a"), "m"));
    assert_ne!(seat_id(fleet_id("a"), "m"), seat_id(fleet_id("b"), "m"));
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
fn bad_key_files_are_named(#[case] text: &str, #[case] says: &str) {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    write!(file, "{text}").unwrap();
    let why = Keys::read(file.path()).map(|_| ()).unwrap_err().to_string();
    assert!(why.contains(says), "{why}");
}

type Both = (std::io::Result<Sealed<DuplexStream>>, std::io::Result<Sealed<DuplexStream>>);

async fn seal_both(dialler: (Own, Keys), listener: (Own, Keys)) -> Both {
    let (near, far) = duplex(1 << 16);
    let dial = async { Sealed::dial(near, dialler.0, &dialler.1).await };
    let accept = async { Sealed::accept(far, listener.0, &listener.1).await };
    tokio::join!(dial, accept)
}

fn own(id: u64) -> Own {
    Own { fleet: FLEET, id }
}

#[rstest]
#[case::the_same(&[ONE], &[ONE], true)]
#[case::the_new_one_is_known_already(&[ONE], &[ONE, TWO], true)]
#[case::the_new_one_is_first_here(&[TWO, ONE], &[ONE, TWO], true)]
#[case::another(&[TWO], &[ONE], false)]
#[tokio::test]
async fn keys_are_rotated_one_step_after_another(
    #[case] dialler: &[&str],
    #[case] listener: &[&str],
    #[case] holds: bool,
) {
    let (a, b) = seal_both((own(1), keys(dialler)), (own(2), keys(listener))).await;
    if !holds {
        assert_eq!(b.map(|_| ()).unwrap_err().kind(), ErrorKind::PermissionDenied);
        return;
    }
    let (mut a, mut b) = (a.unwrap(), b.unwrap());
    assert_eq!((a.peer, b.peer), (2, 1));
    for number in 0..3 {
        let packet = Packet::Word(Message::Heartbeat {
            term: 1,
            number,
            membership_version: MembershipVersion { term: 1, number: 0 },
        });
        a.say(&packet).await.unwrap();
        assert_eq!(b.hear().await.unwrap(), packet);
    }
}

#[rstest]
#[case::a_strangers_fleet(Own { fleet: 78, id: 1 }, "is of fleet")]
#[case::its_own_id(Own { fleet: FLEET, id: 2 }, "own id")]
#[tokio::test]
async fn strangers_are_refused_on_both_sides(#[case] dialler: Own, #[case] says: &str) {
    let (a, b) = seal_both((dialler, keys(&[ONE])), (own(2), keys(&[ONE]))).await;
    for side in [a.map(|_| ()).unwrap_err(), b.map(|_| ()).unwrap_err()] {
        assert!(side.to_string().contains(says), "{side}");
    }
}

/// Everything between two sealed ends, as one that taps the wire has it.
async fn tapped(alter: impl Fn(Vec<u8>) -> Vec<u8>) -> Vec<std::io::Result<Packet>> {
    let (near, mut tap_near) = duplex(1 << 16);
    let (mut tap_far, far) = duplex(1 << 16);
    let dial = tokio::spawn(async move { Sealed::dial(near, own(1), &keys(&[ONE])).await.unwrap() });
    let accept = tokio::spawn(async move { Sealed::accept(far, own(2), &keys(&[ONE])).await.unwrap() });
    let mut hello = [0; 46];
    tap_near.read_exact(&mut hello).await.unwrap();
    tap_far.write_all(&hello).await.unwrap();
    tap_far.read_exact(&mut hello).await.unwrap();
    tap_near.write_all(&hello).await.unwrap();
    let (mut a, mut b) = (dial.await.unwrap(), accept.await.unwrap());
    for epoch in 1..=3 {
        a.say(&Packet::Word(Message::VoteGranted { term: epoch })).await.unwrap();
    }
    let mut bytes = vec![0; 4096];
    let count = tap_near.read(&mut bytes).await.unwrap();
    bytes.truncate(count);
    tap_far.write_all(&alter(bytes)).await.unwrap();
    drop(tap_far);
    let mut heard = vec![];
    for _ in 0..4 {
        heard.push(b.hear().await);
    }
    heard
}

fn votes(heard: &[std::io::Result<Packet>]) -> usize {
    heard.iter().take_while(|p| matches!(p, Ok(Packet::Word(Message::VoteGranted { .. })))).count()
}

#[rstest]
#[tokio::test]
async fn frames_that_are_altered_left_out_or_played_again_end_the_stream() {
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
    assert_eq!(again[1].as_ref().unwrap_err().kind(), ErrorKind::PermissionDenied);
    let left_out = tapped(|b| [&b[..frame(&b)], &b[2 * frame(&b)..]].concat()).await;
    assert_eq!(votes(&left_out), 1, "the second frame left out");
    assert_eq!(votes(&tapped(|b| b[..b.len() - 1].to_vec()).await), 2, "cut off within the last");
}

#[rstest]
#[tokio::test]
async fn an_older_protocol_is_named() {
    let (mut near, far) = duplex(1 << 10);
    let accept = tokio::spawn(async move { Sealed::accept(far, own(2), &keys(&[ONE])).await.map(|_| ()) });
    let mut hello = b"GBMB".to_vec();
    hello.extend_from_slice(&(VERSION + 1).to_be_bytes());
    hello.extend_from_slice(&[7; 40]);
    near.write_all(&hello).await.unwrap();
    let why = accept.await.unwrap().unwrap_err().to_string();
    assert!(why.contains(&format!("speaks version {}", VERSION + 1)), "{why}");
}
