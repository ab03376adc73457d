//! Races between something that ends and something that is still owed. Each is forced, by a party that holds back its last
//! byte, half an answer or the planner itself until the other side has come as far; none is left to chance.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::wildcard_imports, reason = "the test cluster's parties make up the whole test")]

use grebespool_test_cluster::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");

fn start(discovery: &Discovery, descriptors: usize) -> PlannerProcess {
    PlannerProcess::start(PROGRAM, discovery, descriptors, &default_settings())
}

/// The same for so many proxies, with a discovery service of its own.
fn start_for(proxies: usize, descriptors: usize) -> (Discovery, PlannerProcess) {
    let (discovery, mut settings) = (Discovery::new(6), default_settings());
    settings["familyInfo"]["dataPlaneSize"] = json!(proxies);
    let program = PlannerProcess::start(PROGRAM, &discovery, descriptors, &settings);
    (discovery, program)
}

/// So many proxies connect and send their join.
fn connect_proxies(program: &PlannerProcess, proxies: usize) -> Vec<Connection> {
    let mut conns: Vec<Connection> = (0..proxies).map(|_| Connection::connect(program.listen)).collect();
    conns.iter_mut().enumerate().for_each(|(node, conn)| conn.send(&join_message(node)));
    conns
}

/// How many of them get a table, each within the limit.
fn count_served(conns: &mut [Connection], limit: std::time::Duration) -> usize {
    let is_served = |conn: &mut Connection| {
        conn.set_read_timeout(limit);
        conn.receive().is_some_and(|m| m["msg"] == "CONFIG")
    };
    conns.iter_mut().map(|conn| usize::from(is_served(conn))).sum()
}

fn join_message(node: usize) -> Value {
    json!({"msg": "SUBSCRIBE", "node": node, "locality": (["north", "south"][node % 2]), "w": 2.5, "cold": true})
}

fn none_has(proxies: &[TestProxy], server: &str) -> bool {
    proxies.iter().all(|p| !p.has(server))
}

/// Has the start file name another discovery, and signals that.
fn move_to(program: &PlannerProcess, discovery: &Discovery) {
    std::fs::write(&program.file, program.start_file_with(discovery.address)).unwrap();
    program.signal("HUP");
}

#[rstest]
#[case::asked_for("on_request")]
#[case::pushed("pushed")]
fn follows_list_whether_settings_say_polled_or_pushed(#[case] mode: &str) {
    let discovery = Discovery::new(6);
    let mut settings = default_settings();
    settings["registryMode"] = json!(mode);
    let program = PlannerProcess::start(PROGRAM, &discovery, 128, &settings);
    let proxies = join_all(&program, 6, true);
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until("a drain is out everywhere", ms(2000), || none_has(&proxies, "s2"));
}

/// What was written in part counts as notified: it is applied though the list is requested elsewhere by then, and nobody
/// answers there.
#[rstest]
#[case::that_hangs(DiscoveryBehavior::Hangs)]
#[case::that_is_unavailable(DiscoveryBehavior::Unavailable)]
#[case::that_trickles(DiscoveryBehavior::Trickles)]
fn keeps_drain_of_half_received_answer_while_discovery_moves_to_one(#[case] behavior: DiscoveryBehavior) {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    wait_until("a watch", ms(3000), || discovery.list().requests.iter().any(|path| path.contains("=4000")));
    discovery.set_behavior(DiscoveryBehavior::SendsHalf);
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until("half of an answer", ms(3000), || discovery.list().half_answers == 1);
    other.set_behavior(behavior);
    move_to(&program, &other);
    wait_until("a call at the other", ms(2000), || other.list().request_count > 0);
    assert!(proxies.iter().all(|p| p.has("s2")));
    discovery.set_behavior(DiscoveryBehavior::Answers);
    wait_until("the drain is out everywhere", ms(1000), || none_has(&proxies, "s2"));
    assert!(proxies.iter().all(|p| !p.ended()));
}

/// The versions of another service mean nothing for what is known: its full list is requested until it came once.
#[rstest]
#[case::is_unavailable(DiscoveryBehavior::Unavailable)]
#[case::resets(DiscoveryBehavior::Resets)]
#[case::breaks_off(DiscoveryBehavior::BreaksOff(150))]
fn requests_full_list_of_new_discovery_until_it_came_where_that_first(#[case] behavior: DiscoveryBehavior) {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    // Its drain has an older version than the first service has reached, and its latest version is newer than that.
    for k in 0..5 {
        discovery.publish(&[endpoint(10 + k, "SERVING")]);
    }
    wait_until("all that is new", ms(3000), || proxies.iter().all(|p| p.server_count() == 11));
    other.publish(&[endpoint(5, "DRAINING")]);
    for k in 0..8 {
        other.publish(&[endpoint(20 + k, "DRAINING")]);
    }
    other.set_behavior(behavior);
    move_to(&program, &other);
    wait_until("a call at the other", ms(2000), || other.list().request_count > 0);
    other.set_behavior(DiscoveryBehavior::Answers);
    wait_until("its list", ms(5000), || proxies.iter().all(|p| !p.has("s5") && p.server_count() == 5));
    other.publish(&[endpoint(4, "DRAINING")]);
    wait_until("its changes", ms(1500), || none_has(&proxies, "s4"));
}

/// An answer that ends too soon, holds more than was requested, or less than was known, is no reason to miss what comes next.
#[rstest]
#[case::breaks_off_in_its_head(DiscoveryBehavior::BreaksOff(20))]
#[case::breaks_off_in_its_body(DiscoveryBehavior::BreaksOff(90))]
#[case::is_a_whole_list(DiscoveryBehavior::SendsFullList)]
#[case::goes_back(DiscoveryBehavior::VersionGoesBack)]
fn applies_drain_soon_where_its_answer(#[case] behavior: DiscoveryBehavior) {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    wait_until("a watch", ms(3000), || discovery.list().requests.iter().any(|path| path.contains("=4000")));
    let before = discovery.list().request_count;
    discovery.set_behavior(behavior);
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until("the answer came", ms(6000), || {
        discovery.list().request_count > before || none_has(&proxies, "s2")
    });
    discovery.set_behavior(DiscoveryBehavior::Answers);
    wait_until("the drain is out everywhere", ms(2000), || none_has(&proxies, "s2"));
    discovery.publish(&[endpoint(3, "DRAINING")]);
    wait_until("and the next", ms(2500), || none_has(&proxies, "s3"));
    assert!(proxies.iter().all(|p| p.server_count() == 4 && !p.ended()));
}

/// The system may merge two signals before the first is handled: the file as it is last counts.
#[rstest]
fn two_reloads_at_once_apply_the_last_file() {
    let (discovery, other, last) = (Discovery::new(6), Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    last.publish(&[endpoint(1, "DRAINING")]);
    program.pause();
    move_to(&program, &other);
    move_to(&program, &last);
    program.resume();
    wait_until("the last one's list", ms(2500), || {
        proxies.iter().all(|p| !p.has("s1") && p.server_count() == 5)
    });
    last.publish(&[endpoint(2, "DRAINING")]);
    wait_until("its changes", ms(1500), || none_has(&proxies, "s2"));
    assert!(proxies.iter().all(|p| !p.ended()));
}

/// While an invalid file is read again for two seconds, a second signal comes with a valid one.
#[rstest]
fn valid_file_is_applied_soon_after_an_invalid_one() {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    other.publish(&[endpoint(1, "DRAINING")]);
    std::fs::write(&program.file, "{\"name\":").unwrap();
    program.signal("HUP");
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until("the list as it was is followed", ms(1500), || none_has(&proxies, "s2"));
    move_to(&program, &other);
    wait_until("the other list", ms(2500), || proxies.iter().all(|p| !p.has("s1") && p.has("s2")));
}

/// A message and the end of all messages at once: the answer is owed all the same.
#[rstest]
#[case::a_ping(json!({"msg": "PING"}), "PONG")]
#[case::an_invalid_message(json!({"msg": "RATE"}), "NACK")]
fn answers_last_message_before_half_close(#[case] message: Value, #[case] answer: &str) {
    let discovery = Discovery::new(2);
    let program = start(&discovery, 128);
    // Several, since with one alone the order of the planner's tasks could hide a fault.
    program.pause();
    let mut conns: Vec<Connection> = (0..16).map(|_| Connection::connect(program.listen)).collect();
    for conn in &mut conns {
        conn.send(&message);
        conn.socket.shutdown(Shutdown::Write).unwrap();
    }
    program.resume();
    for conn in &mut conns {
        conn.set_read_timeout(ms(3000));
        assert_eq!(conn.receive().map(|m| m["msg"].clone()), Some(json!(answer)));
        assert_eq!(conn.socket.read(&mut [0; 8]).map_err(|e| e.kind()), Ok(0));
    }
}

/// Bytes that nobody reads would have the system reset the connection, and what was written last could be lost with it.
#[rstest]
fn refusal_survives_unread_bytes() {
    let discovery = Discovery::new(2);
    let program = start(&discovery, 128);
    program.pause();
    let mut conns: Vec<Connection> = (0..8).map(|_| Connection::connect(program.listen)).collect();
    for conn in &mut conns {
        conn.socket.write_all(&[0x47; 40 << 10]).unwrap();
    }
    program.resume();
    for conn in &mut conns {
        conn.set_read_timeout(ms(3000));
        assert_eq!(conn.receive().map(|m| m["msg"].clone()), Some(json!("NACK")));
        assert_eq!(conn.socket.read(&mut [0; 8]).map_err(|e| e.kind()), Ok::<_, ErrorKind>(0));
    }
}

/// The proxy gave its first stream up and connected again; the last byte of the first comes when the second has joined.
#[rstest]
fn older_stream_whose_join_is_read_last_leaves_the_newer_one() {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let bytes = encode_frame(&join_message(3));
    let mut older = Connection::connect(program.listen);
    older.socket.write_all(&bytes[..bytes.len() - 1]).unwrap();
    let newer = TestProxy::join(program.listen, 3, true);
    wait_until("a table", ms(6000), || newer.server_count() == 6);
    older.socket.write_all(&bytes[bytes.len() - 1..]).unwrap();
    assert!(older.is_refused(ms(1500)));
    discovery.publish(&[endpoint(0, "DRAINING")]);
    wait_until("a change", ms(2000), || newer.server_count() == 5);
    assert!(!newer.ended());
}

/// All proxies connect to one planner at once, more of them than may be there without having joined, and each has sent its
/// join.
#[rstest]
fn accepts_all_proxies_that_connect_at_once() {
    const PROXIES: usize = 120;
    // 32 descriptors are reserved, and 8 for collectors: ten are left for peers that have not joined.
    let (discovery, program) = start_for(PROXIES, PROXIES + 50);
    wait_until("the list", ms(3000), || discovery.list().request_count > 1);
    program.pause();
    let mut conns = connect_proxies(&program, PROXIES);
    program.resume();
    assert_eq!(count_served(&mut conns, ms(5000)), PROXIES);
}

/// The same at the size of a fleet, at the limit of descriptors, among idle connections; and a ping is answered meanwhile.
#[rstest]
fn accepts_a_fleet_amid_idle_connections() {
    const PROXIES: usize = 600;
    let (discovery, program) = start_for(PROXIES, PROXIES + 100);
    wait_until("the list", ms(3000), || discovery.list().request_count > 1);
    program.pause();
    let mut idle = open_idle_connections(program.listen, 200);
    let mut conns = connect_proxies(&program, PROXIES);
    idle.extend(open_idle_connections(program.listen, 100));
    let mut last = Connection::connect(program.listen);
    last.send(&json!({"msg": "PING"}));
    program.resume();
    last.set_read_timeout(ms(3000));
    assert_eq!(last.receive().map(|m| m["msg"].clone()), Some(json!("PONG")));
    assert_eq!(count_served(&mut conns, ms(8000)), PROXIES);
    let held: usize = program.sockets().values().sum();
    assert!(held <= PROXIES + 100, "{held}");
}

/// Each stream sends a message as long as the protocol allows, and never ends it.
#[rstest]
fn unfinished_long_messages_take_no_memory() {
    const PROXIES: usize = 60;
    let (_discovery, program) = start_for(PROXIES, 256);
    let before = program.peak_memory_kib();
    let mut conns = connect_proxies(&program, PROXIES);
    for conn in &mut conns {
        conn.socket.set_write_timeout(Some(ms(2000))).unwrap();
        let _ =
            conn.socket.write_all(&[&(1_000_000u32).to_be_bytes()[..], b"{", &[b' '; 900_000][..]].concat());
    }
    // Each is closed, or all that it sent was read.
    for conn in &mut conns {
        conn.set_read_timeout(ms(50));
        while conn.receive().is_some() {}
    }
    let grown = program.peak_memory_kib() - before;
    assert!(grown < 12_000, "{grown} KiB");
}

/// Whatever is in progress when the signal comes, it exits by itself, and messages that were written completely stay so.
#[rstest]
#[case::nobody_there(|_: &mut Vec<Connection>| {})]
#[case::within_a_join(|conns: &mut Vec<Connection>| {
    let bytes = encode_frame(&join_message(4));
    conns[0].socket.write_all(&bytes[..bytes.len() / 2]).unwrap();
})]
#[case::with_unread_updates(|conns: &mut Vec<Connection>| {
    conns.iter_mut().take(6).enumerate().for_each(|(node, c)| c.send(&join_message(node)));
})]
#[case::with_bytes_arriving(|conns: &mut Vec<Connection>| {
    for conn in conns {
        conn.socket.write_all(&encode_frame(&json!({"msg": "PING"})).repeat(500)).unwrap();
    }
})]
fn exits_by_itself_after_signal(
    #[case] in_progress: fn(&mut Vec<Connection>),
    #[values("TERM", "INT")] signal: &str,
    #[values(true, false)] in_one_instant: bool,
) {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 128);
    let mut conns: Vec<Connection> = (0..8).map(|_| Connection::connect(program.listen)).collect();
    if in_one_instant {
        program.pause();
    }
    in_progress(&mut conns);
    program.signal(signal);
    if in_one_instant {
        program.resume();
    }
    assert_eq!(program.wait_for_exit(ms(600)), Some(0));
}

/// A signal may come before its handler is set up: then the system ends the process, which is as good.
#[rstest]
fn exits_after_signal_before_it_is_ready() {
    let discovery = Discovery::new(6);
    discovery.set_behavior(DiscoveryBehavior::Hangs);
    for _ in 0..10 {
        let mut program = PlannerProcess::spawn(PROGRAM, &discovery, 128, &default_settings());
        program.signal("TERM");
        assert!(matches!(program.wait_for_exit(ms(600)), None | Some(0)));
    }
}

/// The reader of the log has stopped reading, so that the pipe is full, or is gone.
#[rstest]
#[case::stopped(true)]
#[case::gone(false)]
fn serves_on_though_the_reader_of_its_log_has(#[case] stopped: bool) {
    let discovery = Discovery::new(6);
    let (reader, mut log) = std::io::pipe().unwrap();
    let reader = if stopped {
        // As much as a pipe holds.
        log.write_all(&[b'.'; 64 << 10]).unwrap();
        Some(reader)
    } else {
        drop(reader);
        None
    };
    let program = PlannerProcess::spawn_with_log(PROGRAM, &discovery, 128, &default_settings(), log);
    program.wait_until_ready();
    let proxies = join_all(&program, 6, true);
    // Each change is a line of the log, and more of them than may wait.
    for round in 0..300 {
        let state = ["DRAINING", "SERVING"][round % 2];
        discovery.publish(&[endpoint(1, state)]);
        wait_until("each change", ms(3000), || proxies.iter().all(|p| p.has("s1") == (state == "SERVING")));
    }
    drop(reader);
}
