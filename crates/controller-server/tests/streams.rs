//! Peers that violate the protocol: the stream of each is closed with a reason, and other streams remain open.

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
/// Time limit of each step of a test.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a test body against a planner that listens on loopback and whose endpoint list is unreachable.
fn with_planner<F: Future<Output = ()>>(body: impl FnOnce(SocketAddr) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl");
        let deployment = Planned::read(&example).unwrap_or_else(|error| panic!("{error}")).deployment;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut listen = Listen::new(address, PathBuf::new(), TIMEOUT, TIMEOUT);
        listen.handshake = Span(Duration::from_millis(500));
        let unreachable = ([127, 0, 0, 1], 1).into();
        let source = ListSource::new(unreachable, ListMode::Pushed, Span(TIMEOUT));
        let incarnation = Incarnation { id: 9, seed: 1, term: 0 };
        let config = ServerConfig {
            incarnation,
            key: FleetKey::derive(KEY),
            deployment,
            listen,
            endpoint_source: source,
            health_check_timeout: TIMEOUT,
        };
        let serving = serve(listener, config, PassThrough, NoObserver);
        spawn_local(async move { serving.await.unwrap() });
        body(address).await;
    });
}

/// Connects and joins as a proxy.
async fn join(
    planner: SocketAddr,
    key: &[u8],
    name: &str,
    zone: &str,
) -> std::io::Result<(TcpStream, WelcomedStream)> {
    let mut socket = TcpStream::connect(planner).await?;
    let dialer = Dialer {
        role: Role::Proxy,
        name,
        zone,
        calls_per_s: 1.0,
        initial_table_only: true,
        applied: AppliedUpdate::default(),
        newest_term: 0,
    };
    let welcomed = handshake(&mut socket, &FleetKey::derive(key), [3; 16], &dialer).await?;
    Ok((socket, welcomed))
}

/// Reads until the stream is closed, and returns the reason from the close message, if one was received.
async fn close_reason(socket: &mut TcpStream) -> Option<CloseReason> {
    let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
    loop {
        match timeout(TIMEOUT, read_message(socket, &mut decoder)).await.expect("the stream remains open") {
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
#[case::frame_too_long(vec![0x7f, 0xff, 0xff, 0xff], CloseReason::Malformed)]
#[case::frame_too_long_before_join(vec![0, 0, 0x20, 0], CloseReason::Malformed)]
#[case::unknown_kind(vec![0, 0, 0, 1, 200], CloseReason::Malformed)]
#[case::empty_frame(vec![0, 0, 0, 0], CloseReason::Malformed)]
#[case::version_mismatch(hello(PROTOCOL_VERSION + 1, Role::Proxy, "p"), CloseReason::VersionMismatch)]
#[case::empty_name(hello(PROTOCOL_VERSION, Role::Proxy, ""), CloseReason::Rejected)]
#[case::watcher_role(hello(PROTOCOL_VERSION, Role::Watcher, "p"), CloseReason::Rejected)]
#[case::report_before_join(Message::ProxyReport(ProxyReport { servers: vec![], routes: vec![] }).to_frame(), CloseReason::UnexpectedMessage)]
#[case::hello_twice([hello(PROTOCOL_VERSION, Role::Proxy, "p"), hello(PROTOCOL_VERSION, Role::Proxy, "p")].concat(), CloseReason::UnexpectedMessage)]
#[case::no_bytes(vec![], CloseReason::TimedOut)]
#[case::incomplete_frame(vec![0, 0, 0, 9, 1, 0], CloseReason::TimedOut)]
fn only_the_stream_that_violates_the_protocol_is_closed(#[case] bytes: Vec<u8>, #[case] reason: CloseReason) {
    with_planner(|planner| async move {
        let (mut good, welcomed) = join(planner, KEY, "good", "east").await.unwrap();
        let mut bad = TcpStream::connect(planner).await.unwrap();
        bad.write_all(&bytes).await.unwrap();
        assert_eq!(close_reason(&mut bad).await, Some(reason));
        // The good proxy is still joined: its report is accepted, and only its unexpected message closes the stream.
        assert_eq!(welcomed.incarnation, 9);
        good.write_all(&Message::ProxyReport(ProxyReport { servers: vec![], routes: vec![] }).to_frame())
            .await
            .unwrap();
        good.write_all(&Message::HealthCheck(HealthCheck { server_number: 1 }).to_frame()).await.unwrap();
        assert_eq!(close_reason(&mut good).await, Some(CloseReason::UnexpectedMessage));
    });
}

#[rstest]
#[case::another_key(b"some other key, long enough", "east")]
#[case::unknown_zone(KEY, "nowhere")]
fn a_join_with_another_key_or_an_unknown_zone_is_rejected(
    #[case] key: &'static [u8],
    #[case] zone: &'static str,
) {
    with_planner(|planner| async move {
        let error = join(planner, key, "p", zone).await.map(|_| ()).unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::PermissionDenied, "{error}");
    });
}

#[rstest]
fn a_replayed_proof_is_rejected() {
    with_planner(|planner| async move {
        // The proof for the first stream's challenge is sent on the second stream.
        let mut first = TcpStream::connect(planner).await.unwrap();
        first.write_all(&hello(PROTOCOL_VERSION, Role::Proxy, "p")).await.unwrap();
        let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
        let Ok(Message::Challenge(Challenge { incarnation, nonce, .. })) =
            read_message(&mut first, &mut decoder).await
        else {
            panic!("the planner sent no challenge");
        };
        let proof = FleetKey::derive(KEY).dialer_proof(&Transcript {
            dialer_nonce: &[1; 16],
            listener_nonce: &nonce,
            incarnation,
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
        let mut second = TcpStream::connect(planner).await.unwrap();
        second.write_all(&hello(PROTOCOL_VERSION, Role::Proxy, "p")).await.unwrap();
        second.write_all(&Message::Join(join).to_frame()).await.unwrap();
        assert_eq!(close_reason(&mut second).await, Some(CloseReason::Rejected));
    });
}

/// Sends reports as fast as the socket takes them, until the planner closes the stream.
fn send_reports_without_end(socket: std::net::TcpStream) {
    let report = Message::ProxyReport(ProxyReport { servers: vec![], routes: vec![] }).to_frame();
    let reports = report.repeat(1000);
    socket.set_nonblocking(false).unwrap();
    while std::io::Write::write_all(&mut &socket, &reports).is_ok() {}
}

/// Guards against one stream that always has messages and delays all others for as long as it sends.
#[rstest]
fn a_stream_that_sends_without_end_does_not_delay_another_join() {
    const JOIN_LIMIT: Duration = Duration::from_secs(1);
    with_planner(|planner| async move {
        let (busy, _) = join(planner, KEY, "busy", "east").await.unwrap();
        let busy = busy.into_std().unwrap();
        let flooding = busy.try_clone().unwrap();
        let sender = std::thread::spawn(move || send_reports_without_end(flooding));
        for attempt in 0..5 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let joined = timeout(JOIN_LIMIT, join(planner, KEY, &format!("p{attempt}"), "east")).await;
            assert!(joined.is_ok_and(|joined| joined.is_ok()), "join {attempt}");
        }
        busy.shutdown(std::net::Shutdown::Both).unwrap();
        sender.join().unwrap();
    });
}

#[rstest]
fn the_older_stream_of_a_name_that_joins_again_is_closed() {
    with_planner(|planner| async move {
        let (mut older, _) = join(planner, KEY, "p", "east").await.unwrap();
        let (_newer, welcomed) = join(planner, KEY, "p", "east").await.unwrap();
        assert_eq!(close_reason(&mut older).await, Some(CloseReason::Superseded));
        assert!(welcomed.stream > 1);
    });
}

#[rstest]
fn a_connection_from_outside_the_allowed_networks_is_closed() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl");
        let Planned { deployment, mut listen, list, .. } = Planned::read(&example).unwrap();
        listen.allow_only(&["10.0.0.0/8".parse().unwrap()]);
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let planner = listener.local_addr().unwrap();
        let incarnation = Incarnation { id: 9, seed: 1, term: 0 };
        let config = ServerConfig {
            incarnation,
            key: FleetKey::derive(KEY),
            deployment,
            listen,
            endpoint_source: list,
            health_check_timeout: TIMEOUT,
        };
        let serving = serve(listener, config, PassThrough, NoObserver);
        spawn_local(async move { serving.await.unwrap() });
        let mut socket = TcpStream::connect(planner).await.unwrap();
        let mut received = vec![];
        let ended =
            timeout(TIMEOUT, socket.read_to_end(&mut received)).await.expect("the stream remains open");
        assert!(ended.is_err() || received.is_empty());
    });
}
