//! Peers that say what they must not: each is close_reason why and closed, and the others go on.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_controller::Incarnation;
use grebespool_controller_server::dial::{AppliedUpdate, Dialer, WelcomedStream, handshake, read_message};
use grebespool_controller_server::{NoObserver, PassThrough, ServerConfig, serve};
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
        let incarnation = Incarnation { id: 9, seed: 1, term: 0 };
        let config = ServerConfig {
            incarnation,
            key: FleetKey::derive(KEY),
            deployment,
            listen,
            endpoint_source: source,
            health_check_timeout: SOON,
        };
        let serving = serve(listener, config, PassThrough, NoObserver);
        spawn_local(async move { serving.await.unwrap() });
        what(address).await;
    });
}

async fn join(
    to: SocketAddr,
    key: &[u8],
    name: &str,
    zone: &str,
) -> std::io::Result<(TcpStream, WelcomedStream)> {
    let mut socket = TcpStream::connect(to).await?;
    let peer = Dialer {
        role: Role::Proxy,
        name,
        zone,
        calls_per_s: 1.0,
        initial_table_only: true,
        applied: AppliedUpdate::default(),
        newest_term: 0,
    };
    let dialled = handshake(&mut socket, &FleetKey::derive(key), [3; 16], &peer).await?;
    Ok((socket, dialled))
}

/// What a stream is close_reason before it is closed.
async fn close_reason(socket: &mut TcpStream) -> Option<CloseReason> {
    let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
    loop {
        match timeout(SOON, read_message(socket, &mut inbox)).await.expect("the stream stays open") {
            Ok(Message::Close(Close { reason, .. })) => return Some(reason),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
}

fn hello(version: u16, role: Role, name: &str) -> Vec<u8> {
    Message::Hello(Hello { version, role, name: name.into(), nonce: [1; 16] }).to_frame()
}

#[rstest]
#[case::oversized(vec![0x7f, 0xff, 0xff, 0xff], CloseReason::Malformed)]
#[case::over_what_an_unjoined_one_may(vec![0, 0, 0x20, 0], CloseReason::Malformed)]
#[case::unknown_kind(vec![0, 0, 0, 1, 200], CloseReason::Malformed)]
#[case::empty(vec![0, 0, 0, 0], CloseReason::Malformed)]
#[case::another_version(hello(PROTOCOL_VERSION + 1, Role::Proxy, "p"), CloseReason::VersionMismatch)]
#[case::no_name(hello(PROTOCOL_VERSION, Role::Proxy, ""), CloseReason::Rejected)]
#[case::another_role(hello(PROTOCOL_VERSION, Role::Watcher, "p"), CloseReason::Rejected)]
#[case::sums_before_it_joined(Message::ProxyReport(ProxyReport { servers: vec![], routes: vec![] }).to_frame(), CloseReason::UnexpectedMessage)]
#[case::hello_twice([hello(PROTOCOL_VERSION, Role::Proxy, "p"), hello(PROTOCOL_VERSION, Role::Proxy, "p")].concat(), CloseReason::UnexpectedMessage)]
#[case::silence(vec![], CloseReason::TimedOut)]
#[case::silence_in_mid_frame(vec![0, 0, 0, 9, 1, 0], CloseReason::TimedOut)]
fn closes_only_the_stream_that_breaks_the_protocol(#[case] bytes: Vec<u8>, #[case] reason: CloseReason) {
    with_planner(|to| async move {
        let (mut good, dialled) = join(to, KEY, "good", "east").await.unwrap();
        let mut bad = TcpStream::connect(to).await.unwrap();
        bad.write_all(&bytes).await.unwrap();
        assert_eq!(close_reason(&mut bad).await, Some(reason));
        // The good one is still joined: what does not belong there is what it is close_reason of next.
        assert_eq!(dialled.incarnation, 9);
        good.write_all(&Message::ProxyReport(ProxyReport { servers: vec![], routes: vec![] }).to_frame())
            .await
            .unwrap();
        good.write_all(&Message::HealthCheck(HealthCheck { server_number: 1 }).to_frame()).await.unwrap();
        assert_eq!(close_reason(&mut good).await, Some(CloseReason::UnexpectedMessage));
    });
}

#[rstest]
#[case::another_key(b"some other key, long enough", "east")]
#[case::an_unknown_zone(KEY, "nowhere")]
fn rejects_another_key_and_an_unknown_zone(#[case] key: &'static [u8], #[case] zone: &'static str) {
    with_planner(|to| async move {
        let error = join(to, key, "p", zone).await.map(|_| ()).unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::PermissionDenied, "{error}");
    });
}

#[rstest]
fn rejects_a_replayed_proof() {
    with_planner(|to| async move {
        // A proof for one challenge, shown for the next.
        let mut first = TcpStream::connect(to).await.unwrap();
        first.write_all(&hello(PROTOCOL_VERSION, Role::Proxy, "p")).await.unwrap();
        let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
        let Ok(Message::Challenge(Challenge { incarnation: start, nonce, .. })) =
            read_message(&mut first, &mut inbox).await
        else {
            panic!("no challenge");
        };
        let proof = FleetKey::derive(KEY).dialer_proof(&Transcript {
            dialer_nonce: &[1; 16],
            listener_nonce: &nonce,
            incarnation: start,
            name: "p",
            zone: "east",
        });
        let join = Join {
            zone: "east".into(),
            calls_per_s: 1.0,
            initial_table_only: true,
            applied_incarnation: 0,
            applied_sequence: 0,
            newest_term: 0,
            proof,
        };
        let mut second = TcpStream::connect(to).await.unwrap();
        second.write_all(&hello(PROTOCOL_VERSION, Role::Proxy, "p")).await.unwrap();
        second.write_all(&Message::Join(join).to_frame()).await.unwrap();
        assert_eq!(close_reason(&mut second).await, Some(CloseReason::Rejected));
    });
}

#[rstest]
fn closes_the_older_stream_of_a_name() {
    with_planner(|to| async move {
        let (mut older, _) = join(to, KEY, "p", "east").await.unwrap();
        let (_newer, dialled) = join(to, KEY, "p", "east").await.unwrap();
        assert_eq!(close_reason(&mut older).await, Some(CloseReason::Superseded));
        assert!(dialled.stream > 1);
    });
}

#[rstest]
fn closes_connections_from_outside_the_allowed_networks() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl");
        let Planned { deployment, mut listen, list, .. } = Planned::read(&folder).unwrap();
        listen.allow_only(&["10.0.0.0/8".parse().unwrap()]);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let to = listener.local_addr().unwrap();
        let incarnation = Incarnation { id: 9, seed: 1, term: 0 };
        let config = ServerConfig {
            incarnation,
            key: FleetKey::derive(KEY),
            deployment,
            listen,
            endpoint_source: list,
            health_check_timeout: SOON,
        };
        let serving = serve(listener, config, PassThrough, NoObserver);
        spawn_local(async move { serving.await.unwrap() });
        let mut socket = TcpStream::connect(to).await.unwrap();
        let mut heard = vec![];
        let ended = timeout(SOON, socket.read_to_end(&mut heard)).await.expect("the stream stays open");
        assert!(ended.is_err() || heard.is_empty());
    });
}
