//! Tests of races between an end (of a connection, a configuration or the process) and work that is still pending. Each race is
//! forced rather than left to chance: a peer holds back its last byte or half an answer, or the planner is paused, until the
//! other side has reached the wanted state.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::wildcard_imports, reason = "the tests use most of the test cluster's items")]

use grebespool_test_cluster::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");

fn start(discovery: &Discovery, descriptors: usize) -> PlannerProcess {
    PlannerProcess::start(PROGRAM, discovery, descriptors, &default_settings())
}

/// Starts a planner for `proxies` proxies, with its own discovery service.
fn start_for(proxies: usize, descriptors: usize) -> (Discovery, PlannerProcess) {
    let (discovery, mut settings) = (Discovery::new(6), default_settings());
    settings["familyInfo"]["dataPlaneSize"] = json!(proxies);
    let planner = PlannerProcess::start(PROGRAM, &discovery, descriptors, &settings);
    (discovery, planner)
}

/// Connects `proxies` proxies, each of which sends its join.
fn connect_proxies(planner: &PlannerProcess, proxies: usize) -> Vec<Connection> {
    let mut connections: Vec<Connection> =
        (0..proxies).map(|_| Connection::connect(planner.listen)).collect();
    connections.iter_mut().enumerate().for_each(|(node, connection)| connection.send(&join_message(node)));
    connections
}

/// Returns the number of connections that get a table, each within the limit.
fn count_served(connections: &mut [Connection], limit: std::time::Duration) -> usize {
    let is_served = |connection: &mut Connection| {
        connection.set_read_timeout(limit);
        connection.receive().is_some_and(|m| m["msg"] == "CONFIG")
    };
    connections.iter_mut().map(|connection| usize::from(is_served(connection))).sum()
}

fn join_message(node: usize) -> Value {
    json!({"msg": "SUBSCRIBE", "node": node, "locality": (["north", "south"][node % 2]), "w": 2.5, "cold": true})
}

fn none_has(proxies: &[TestProxy], server: &str) -> bool {
    proxies.iter().all(|p| !p.has(server))
}

/// Writes another discovery service to the start file and signals the planner to reload the file.
fn reload_with_discovery(planner: &PlannerProcess, discovery: &Discovery) {
    std::fs::write(&planner.file, planner.start_file_with(discovery.address)).unwrap();
    planner.signal("HUP");
}

#[rstest]
#[case::polled("on_request")]
#[case::pushed("pushed")]
fn follows_list_in_either_registry_mode(#[case] mode: &str) {
    let discovery = Discovery::new(6);
    let mut settings = default_settings();
    settings["registryMode"] = json!(mode);
    let planner = PlannerProcess::start(PROGRAM, &discovery, 128, &settings);
    let proxies = join_all(&planner, 6, true);
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until("the draining server has left every table", ms(2000), || none_has(&proxies, "s2"));
}

/// A drain counts as published once its answer is partly written. The planner must apply the drain even if it has moved to another
/// discovery service in the meantime, which does not answer.
#[rstest]
#[case::that_hangs(DiscoveryBehavior::Hangs)]
#[case::that_is_unavailable(DiscoveryBehavior::Unavailable)]
#[case::that_trickles(DiscoveryBehavior::Trickles)]
fn applies_drain_of_half_received_answer_after_a_move_to_discovery(#[case] behavior: DiscoveryBehavior) {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    wait_until("the planner watches the list", ms(3000), || {
        discovery.list().requests.iter().any(|path| path.contains("=4000"))
    });
    discovery.set_behavior(DiscoveryBehavior::SendsHalf);
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until("half of an answer is sent", ms(3000), || discovery.list().half_answers == 1);
    other.set_behavior(behavior);
    reload_with_discovery(&planner, &other);
    wait_until("the other discovery service gets a request", ms(2000), || other.list().request_count > 0);
    assert!(proxies.iter().all(|p| p.has("s2")));
    discovery.set_behavior(DiscoveryBehavior::Answers);
    wait_until("the draining server has left every table", ms(1000), || none_has(&proxies, "s2"));
    assert!(proxies.iter().all(|p| !p.ended()));
}

/// Versions of two discovery services cannot be compared, so the planner must request the full list of a new service until it has
/// received one.
#[rstest]
#[case::is_unavailable(DiscoveryBehavior::Unavailable)]
#[case::resets(DiscoveryBehavior::Resets)]
#[case::breaks_off(DiscoveryBehavior::BreaksOff(150))]
fn requests_full_list_until_received_from_a_new_discovery_that_first(#[case] behavior: DiscoveryBehavior) {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    // The drain of the other service has an older version than the first service has reached, and its latest version is newer.
    for k in 0..5 {
        discovery.publish(&[endpoint(10 + k, "SERVING")]);
    }
    wait_until("every proxy has the new servers", ms(3000), || {
        proxies.iter().all(|p| p.server_count() == 11)
    });
    other.publish(&[endpoint(5, "DRAINING")]);
    for k in 0..8 {
        other.publish(&[endpoint(20 + k, "DRAINING")]);
    }
    other.set_behavior(behavior);
    reload_with_discovery(&planner, &other);
    wait_until("the other discovery service gets a request", ms(2000), || other.list().request_count > 0);
    other.set_behavior(DiscoveryBehavior::Answers);
    wait_until("every proxy has the list of the other service", ms(5000), || {
        proxies.iter().all(|p| !p.has("s5") && p.server_count() == 5)
    });
    other.publish(&[endpoint(4, "DRAINING")]);
    wait_until("every proxy gets the change of the other service", ms(1500), || none_has(&proxies, "s4"));
}

/// An answer that ends too soon, has more than the requested changes, or has an older version than the known one must not make
/// the planner miss later changes.
#[rstest]
#[case::breaks_off_in_its_head(DiscoveryBehavior::BreaksOff(20))]
#[case::breaks_off_in_its_body(DiscoveryBehavior::BreaksOff(90))]
#[case::is_a_full_list(DiscoveryBehavior::SendsFullList)]
#[case::goes_back_in_version(DiscoveryBehavior::VersionGoesBack)]
fn applies_drain_within_two_seconds_although_the_answer(#[case] behavior: DiscoveryBehavior) {
    let discovery = Discovery::new(6);
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    wait_until("the planner watches the list", ms(3000), || {
        discovery.list().requests.iter().any(|path| path.contains("=4000"))
    });
    let before = discovery.list().request_count;
    discovery.set_behavior(behavior);
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until("the list is requested again or the drain is applied", ms(6000), || {
        discovery.list().request_count > before || none_has(&proxies, "s2")
    });
    discovery.set_behavior(DiscoveryBehavior::Answers);
    wait_until("the draining server has left every table", ms(2000), || none_has(&proxies, "s2"));
    discovery.publish(&[endpoint(3, "DRAINING")]);
    wait_until("the next draining server has left every table", ms(2500), || none_has(&proxies, "s3"));
    assert!(proxies.iter().all(|p| p.server_count() == 4 && !p.ended()));
}

/// The system may merge two signals before the first is handled. The planner must then apply the last version of the file.
#[rstest]
fn two_reloads_at_once_apply_the_last_file() {
    let (discovery, other, last) = (Discovery::new(6), Discovery::new(6), Discovery::new(6));
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    last.publish(&[endpoint(1, "DRAINING")]);
    planner.pause();
    reload_with_discovery(&planner, &other);
    reload_with_discovery(&planner, &last);
    planner.resume();
    wait_until("every proxy has the list of the last service", ms(2500), || {
        proxies.iter().all(|p| !p.has("s1") && p.server_count() == 5)
    });
    last.publish(&[endpoint(2, "DRAINING")]);
    wait_until("every proxy gets the change of the last service", ms(1500), || none_has(&proxies, "s2"));
    assert!(proxies.iter().all(|p| !p.ended()));
}

/// The planner rereads an invalid file for two seconds. A second signal with a valid file must take effect during that time.
#[rstest]
fn valid_file_is_applied_soon_after_an_invalid_one() {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    other.publish(&[endpoint(1, "DRAINING")]);
    std::fs::write(&planner.file, "{\"name\":").unwrap();
    planner.signal("HUP");
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until("the changes of the former list are still applied", ms(1500), || none_has(&proxies, "s2"));
    reload_with_discovery(&planner, &other);
    wait_until("every proxy has the other list", ms(2500), || {
        proxies.iter().all(|p| !p.has("s1") && p.has("s2"))
    });
}

/// A peer may send its last message and close its sending side at once. The planner must still answer the message.
#[rstest]
#[case::a_ping(json!({"msg": "PING"}), "PONG")]
#[case::an_invalid_message(json!({"msg": "RATE"}), "NACK")]
fn answers_last_message_before_half_close(#[case] message: Value, #[case] answer: &str) {
    let discovery = Discovery::new(2);
    let planner = start(&discovery, 128);
    // With a single connection, the order of the planner's tasks could hide a fault.
    planner.pause();
    let mut connections: Vec<Connection> = (0..16).map(|_| Connection::connect(planner.listen)).collect();
    for connection in &mut connections {
        connection.send(&message);
        connection.socket.shutdown(Shutdown::Write).unwrap();
    }
    planner.resume();
    for connection in &mut connections {
        connection.set_read_timeout(ms(3000));
        assert_eq!(connection.receive().map(|m| m["msg"].clone()), Some(json!(answer)));
        assert_eq!(connection.socket.read(&mut [0; 8]).map_err(|e| e.kind()), Ok(0));
    }
}

/// If the planner closed a connection with unread bytes, the system would reset it and could drop the refusal written last.
#[rstest]
fn refusal_survives_unread_bytes() {
    let discovery = Discovery::new(2);
    let planner = start(&discovery, 128);
    planner.pause();
    let mut connections: Vec<Connection> = (0..8).map(|_| Connection::connect(planner.listen)).collect();
    for connection in &mut connections {
        connection.socket.write_all(&[0x47; 40 << 10]).unwrap();
    }
    planner.resume();
    for connection in &mut connections {
        connection.set_read_timeout(ms(3000));
        assert_eq!(connection.receive().map(|m| m["msg"].clone()), Some(json!("NACK")));
        assert_eq!(connection.socket.read(&mut [0; 8]).map_err(|e| e.kind()), Ok::<_, ErrorKind>(0));
    }
}

/// A proxy abandons its first stream and joins on a second one; the last byte of the first stream's join arrives after that.
#[rstest]
fn older_stream_whose_join_is_read_last_does_not_replace_the_newer_one() {
    let discovery = Discovery::new(6);
    let planner = start(&discovery, 128);
    let bytes = encode_frame(&join_message(3));
    let mut older = Connection::connect(planner.listen);
    older.socket.write_all(&bytes[..bytes.len() - 1]).unwrap();
    let newer = TestProxy::join(planner.listen, 3, true);
    wait_until("the newer stream has a table", ms(6000), || newer.server_count() == 6);
    older.socket.write_all(&bytes[bytes.len() - 1..]).unwrap();
    assert!(older.is_refused(ms(1500)));
    discovery.publish(&[endpoint(0, "DRAINING")]);
    wait_until("the newer stream gets the change", ms(2000), || newer.server_count() == 5);
    assert!(!newer.ended());
}

/// More proxies connect to one planner at once than the planner allows connections that have not joined. Each has sent its join,
/// so none may be evicted.
#[rstest]
fn accepts_all_proxies_that_connect_at_once() {
    const PROXIES: usize = 120;
    // Of the 50 descriptors beyond one for each proxy, 32 are reserved and 8 are for collectors, so 10 are left for peers that
    // have not joined.
    let (discovery, planner) = start_for(PROXIES, PROXIES + 50);
    wait_until("the planner watches the list", ms(3000), || discovery.list().request_count > 1);
    planner.pause();
    let mut connections = connect_proxies(&planner, PROXIES);
    planner.resume();
    assert_eq!(count_served(&mut connections, ms(5000)), PROXIES);
}

/// A whole fleet of proxies connects at once at the limit of descriptors, among idle connections. Every proxy must be served, and
/// a ping must be answered at the same time.
#[rstest]
fn accepts_a_fleet_amid_idle_connections() {
    const PROXIES: usize = 600;
    let (discovery, planner) = start_for(PROXIES, PROXIES + 100);
    wait_until("the planner watches the list", ms(3000), || discovery.list().request_count > 1);
    planner.pause();
    let mut idle = open_idle_connections(planner.listen, 200);
    let mut connections = connect_proxies(&planner, PROXIES);
    idle.extend(open_idle_connections(planner.listen, 100));
    let mut pinging = Connection::connect(planner.listen);
    pinging.send(&json!({"msg": "PING"}));
    planner.resume();
    pinging.set_read_timeout(ms(3000));
    assert_eq!(pinging.receive().map(|m| m["msg"].clone()), Some(json!("PONG")));
    assert_eq!(count_served(&mut connections, ms(8000)), PROXIES);
    let sockets: usize = planner.sockets().values().sum();
    assert!(sockets <= PROXIES + 100, "the planner has {sockets} sockets");
}

/// Each stream starts a message of the greatest length that the protocol allows and never finishes it. The planner's memory must
/// stay bounded.
#[rstest]
fn unfinished_long_messages_take_bounded_memory() {
    const PROXIES: usize = 60;
    let (_discovery, planner) = start_for(PROXIES, 256);
    let peak_before = planner.peak_memory_kib();
    let mut connections = connect_proxies(&planner, PROXIES);
    for connection in &mut connections {
        connection.socket.set_write_timeout(Some(ms(2000))).unwrap();
        let _ = connection
            .socket
            .write_all(&[&(1_000_000u32).to_be_bytes()[..], b"{", &[b' '; 900_000][..]].concat());
    }
    // Waits until the planner has closed each stream or has had time to read all of it.
    for connection in &mut connections {
        connection.set_read_timeout(ms(50));
        while connection.receive().is_some() {}
    }
    let grown = planner.peak_memory_kib() - peak_before;
    assert!(grown < 12_000, "the peak memory grew by {grown} KiB");
}

/// Whatever is in progress when the signal arrives, the planner exits with code 0 within the limit.
#[rstest]
#[case::without_traffic(|_: &mut Vec<Connection>| {})]
#[case::during_a_join(|connections: &mut Vec<Connection>| {
    let bytes = encode_frame(&join_message(4));
    connections[0].socket.write_all(&bytes[..bytes.len() / 2]).unwrap();
})]
#[case::with_unread_updates(|connections: &mut Vec<Connection>| {
    connections.iter_mut().take(6).enumerate().for_each(|(node, c)| c.send(&join_message(node)));
})]
#[case::with_unread_pings(|connections: &mut Vec<Connection>| {
    for connection in connections {
        connection.socket.write_all(&encode_frame(&json!({"msg": "PING"})).repeat(500)).unwrap();
    }
})]
fn exits_with_zero_after_signal(
    #[case] in_progress: fn(&mut Vec<Connection>),
    #[values("TERM", "INT")] signal: &str,
    #[values(true, false)] paused_meanwhile: bool,
) {
    let discovery = Discovery::new(6);
    let mut planner = start(&discovery, 128);
    let mut connections: Vec<Connection> = (0..8).map(|_| Connection::connect(planner.listen)).collect();
    if paused_meanwhile {
        planner.pause();
    }
    in_progress(&mut connections);
    planner.signal(signal);
    if paused_meanwhile {
        planner.resume();
    }
    assert_eq!(planner.wait_for_exit(ms(600)), Some(0));
}

/// A signal may arrive before the planner has installed its handler. The system then ends the process, which is acceptable.
#[rstest]
fn exits_after_signal_before_it_is_ready() {
    let discovery = Discovery::new(6);
    discovery.set_behavior(DiscoveryBehavior::Hangs);
    for _ in 0..10 {
        let mut planner = PlannerProcess::spawn(PROGRAM, &discovery, 128, &default_settings());
        planner.signal("TERM");
        assert!(matches!(planner.wait_for_exit(ms(600)), None | Some(0)));
    }
}

/// The log goes to a pipe that is full because its reader has stopped reading, or that has no reader any more.
#[rstest]
#[case::has_stopped(true)]
#[case::is_gone(false)]
fn keeps_serving_when_the_log_reader(#[case] stopped: bool) {
    let discovery = Discovery::new(6);
    let (reader, mut log) = std::io::pipe().unwrap();
    let reader = if stopped {
        // A pipe holds 64 KiB.
        log.write_all(&[b'.'; 64 << 10]).unwrap();
        Some(reader)
    } else {
        drop(reader);
        None
    };
    let planner = PlannerProcess::spawn_with_log(PROGRAM, &discovery, 128, &default_settings(), log);
    planner.wait_until_ready();
    let proxies = join_all(&planner, 6, true);
    // Each change writes a log line, and there are more changes than the planner queues log lines.
    for round in 0..300 {
        let state = ["DRAINING", "SERVING"][round % 2];
        discovery.publish(&[endpoint(1, state)]);
        wait_until("every proxy gets the change", ms(3000), || {
            proxies.iter().all(|p| p.has("s1") == (state == "SERVING"))
        });
    }
    drop(reader);
}
