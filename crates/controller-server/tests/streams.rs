//! Peers that say what they must not: each is told why and closed, and the others go on.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_controller::Start;
use grebespool_controller_server::dial::{Dialled, Peer, next, shake_hands};
use grebespool_controller_server::{Untouched, Unwatched, serve};
use grebespool_settings::{ListMode, ListSource, Listen, Planned, Span};
use grebespool_wire::*;
use rstest::rstest;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

const KEY: &[u8] = b"the key of these tests";
const SOON: Duration = Duration::from_secs(5);

/// Runs `what` against a planner that listens on loopback, with a list that nobody serves.
fn with_planner<F: Future<Output = ()>>(what: impl FnOnce(SocketAddr) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl");
        let deployment = Planned::read(&example).unwrap_or_else(|bad| panic!("{bad}")).deployment;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut listen = Listen::new(address, PathBuf::new(), SOON, SOON);
        listen.handshake = Span(Duration::from_millis(500));
        let nowhere = ([127, 0, 0, 1], 1).into();
        let source = ListSource::new(nowhere, ListMode::Pushed, Span(SOON));
        let start = Start { id: 9, seed: 1, epoch: 0 };
        let serving =
            serve(listener, start, Key::derive(KEY), deployment, listen, source, SOON, Untouched, Unwatched);
        spawn_local(async move { serving.await.unwrap() });
        what(address).await;
    });
}

async fn join(to: SocketAddr, key: &[u8], name: &str, zone: &str) -> std::io::Result<(TcpStream, Dialled)> {
    let mut socket = TcpStream::connect(to).await?;
    let peer = Peer { role: Role::Proxy, name, zone, rate: 1.0, bare: true, held: (0, 0), epoch: 0 };
    let dialled = shake_hands(&mut socket, &Key::derive(key), [3; 16], &peer).await?;
    Ok((socket, dialled))
}

/// What a stream is told before it is closed.
async fn told(socket: &mut TcpStream) -> Option<Reason> {
    let mut inbox = Inbox::new(MOST_BODY);
    loop {
        match timeout(SOON, next(socket, &mut inbox)).await.expect("the stream stays open") {
            Ok(Message::Bye { reason, .. }) => return Some(reason),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
}

fn hello(version: u16, role: Role, name: &str) -> Vec<u8> {
    Message::Hello { version, role, name: name.into(), nonce: [1; 16] }.frame()
}

#[rstest]
#[case::oversized(vec![0x7f, 0xff, 0xff, 0xff], Reason::Malformed)]
#[case::over_what_an_unjoined_one_may(vec![0, 0, 0x20, 0], Reason::Malformed)]
#[case::unknown_kind(vec![0, 0, 0, 1, 200], Reason::Malformed)]
#[case::empty(vec![0, 0, 0, 0], Reason::Malformed)]
#[case::another_version(hello(VERSION + 1, Role::Proxy, "p"), Reason::Version)]
#[case::no_name(hello(VERSION, Role::Proxy, ""), Reason::Refused)]
#[case::another_role(hello(VERSION, Role::Watcher, "p"), Reason::Refused)]
#[case::sums_before_it_joined(Message::Sums { met: vec![], came: vec![] }.frame(), Reason::State)]
#[case::hello_twice([hello(VERSION, Role::Proxy, "p"), hello(VERSION, Role::Proxy, "p")].concat(), Reason::State)]
#[case::silence(vec![], Reason::Silent)]
#[case::silence_in_mid_frame(vec![0, 0, 0, 9, 1, 0], Reason::Silent)]
fn what_must_not_be_said_closes_that_stream_alone(#[case] bytes: Vec<u8>, #[case] reason: Reason) {
    with_planner(|to| async move {
        let (mut good, dialled) = join(to, KEY, "good", "east").await.unwrap();
        let mut bad = TcpStream::connect(to).await.unwrap();
        bad.write_all(&bytes).await.unwrap();
        assert_eq!(told(&mut bad).await, Some(reason));
        // The good one is still joined: what does not belong there is what it is told of next.
        assert_eq!(dialled.start, 9);
        good.write_all(&Message::Sums { met: vec![], came: vec![] }.frame()).await.unwrap();
        good.write_all(&Message::Probe { number: 1 }.frame()).await.unwrap();
        assert_eq!(told(&mut good).await, Some(Reason::State));
    });
}

#[rstest]
#[case::another_key(b"some other key, long enough", "east")]
#[case::an_unknown_zone(KEY, "nowhere")]
fn nobody_unbidden_gets_in(#[case] key: &'static [u8], #[case] zone: &'static str) {
    with_planner(|to| async move {
        let error = join(to, key, "p", zone).await.map(|_| ()).unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::PermissionDenied, "{error}");
    });
}

#[rstest]
fn a_proof_cannot_be_played_again() {
    with_planner(|to| async move {
        // A proof for one challenge, shown for the next.
        let mut first = TcpStream::connect(to).await.unwrap();
        first.write_all(&hello(VERSION, Role::Proxy, "p")).await.unwrap();
        let mut inbox = Inbox::new(MOST_BODY);
        let Ok(Message::Challenge { start, nonce, .. }) = next(&mut first, &mut inbox).await else {
            panic!("no challenge");
        };
        let proof = Key::derive(KEY).peer([&[1; 16], &nonce], start, "p", "east");
        let join =
            Join { zone: "east".into(), rate: 1.0, bare: true, held_start: 0, held_seq: 0, epoch: 0, proof };
        let mut second = TcpStream::connect(to).await.unwrap();
        second.write_all(&hello(VERSION, Role::Proxy, "p")).await.unwrap();
        second.write_all(&Message::Join(join).frame()).await.unwrap();
        assert_eq!(told(&mut second).await, Some(Reason::Refused));
    });
}

#[rstest]
fn a_newer_stream_of_a_name_supersedes_the_older() {
    with_planner(|to| async move {
        let (mut older, _) = join(to, KEY, "p", "east").await.unwrap();
        let (_newer, dialled) = join(to, KEY, "p", "east").await.unwrap();
        assert_eq!(told(&mut older).await, Some(Reason::Superseded));
        assert!(dialled.stream > 1);
    });
}

#[rstest]
fn connections_from_outside_the_allowed_networks_are_closed_unheard() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl");
        let Planned { deployment, mut listen, list, .. } = Planned::read(&folder).unwrap();
        listen.allow_only(&["10.0.0.0/8".parse().unwrap()]);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let to = listener.local_addr().unwrap();
        let start = Start { id: 9, seed: 1, epoch: 0 };
        let serving =
            serve(listener, start, Key::derive(KEY), deployment, listen, list, SOON, Untouched, Unwatched);
        spawn_local(async move { serving.await.unwrap() });
        let mut socket = TcpStream::connect(to).await.unwrap();
        let mut heard = vec![];
        let ended = timeout(SOON, socket.read_to_end(&mut heard)).await.expect("the stream stays open");
        assert!(ended.is_err() || heard.is_empty());
    });
}
