//! The program as the platform starts it, against proxies, collectors, idle connections and a discovery service of the test
//! cluster.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::wildcard_imports, reason = "the test cluster's parties make up the whole test")]

use grebespool_test_cluster::*;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");

fn start(discovery: &Discovery, descriptors: usize) -> PlannerProcess {
    PlannerProcess::start(PROGRAM, discovery, descriptors, &default_settings())
}

#[rstest]
#[case::hangs(DiscoveryBehavior::Hangs)]
#[case::trickles(DiscoveryBehavior::Trickles)]
#[case::is_unavailable(DiscoveryBehavior::Unavailable)]
#[case::resets(DiscoveryBehavior::Resets)]
fn drain_reaches_every_proxy_and_list_is_followed_again_after_discovery_fails(
    #[case] behavior: DiscoveryBehavior,
) {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    discovery.publish(&[endpoint(2, "DRAINING")]);
    discovery.set_behavior(behavior);
    // The drain went out with the answer that the change completed, or comes with the next answer.
    thread::sleep(ms(1500));
    discovery.publish(&[endpoint(3, "DELETED")]);
    discovery.set_behavior(DiscoveryBehavior::Answers);
    wait_until("both are out everywhere", ms(8000), || proxies.iter().all(|p| !p.has("s2") && !p.has("s3")));
    discovery.publish(&[endpoint(4, "DRAINING")]);
    wait_until("a drain is out everywhere", ms(700), || {
        proxies.iter().all(|p| !p.has("s4") && p.server_count() == 3)
    });
    assert!(proxies.iter().all(|p| !p.ended() && p.state().full_tables == 1));
}

#[rstest]
fn watches_the_list_instead_of_polling() {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    thread::sleep(ms(1000));
    assert!(discovery.list().request_count < 5);
    drop(proxies);
}

#[rstest]
fn newer_stream_replaces_silent_older_one() {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let older = TestProxy::join(program.listen, 3, true);
    wait_until("a table", ms(5000), || older.server_count() == 6);
    let newer = TestProxy::join(program.listen, 3, false);
    wait_until("a table", ms(5000), || newer.server_count() == 6 && older.ended());
    discovery.publish(&[endpoint(0, "DRAINING")]);
    wait_until("a change", ms(1000), || newer.server_count() == 5);
    assert_eq!(older.server_count(), 6);
}

#[rstest]
fn proxies_get_full_tables_after_a_kill() {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 128);
    let before = join_all(&program, 6, true);
    discovery.publish(&[endpoint(1, "DELETED"), endpoint(9, "SERVING")]);
    program.restart();
    wait_until("broken streams are seen", ms(1000), || before.iter().all(TestProxy::ended));
    let after = join_all(&program, 6, false);
    assert!(after.iter().all(|p| !p.has("s1") && p.has("s9")));
}

#[rstest]
fn uses_new_discovery_at_once_without_breaking_streams() {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    other.publish(&[endpoint(5, "DRAINING")]);
    discovery.set_behavior(DiscoveryBehavior::Hangs);
    // Half of the file first: the former one stays in force until the rest is there.
    let new = program.start_file_with(other.address);
    std::fs::write(&program.file, &new[..new.len() / 2]).unwrap();
    program.signal("HUP");
    thread::sleep(ms(300));
    std::fs::write(&program.file, &new).unwrap();
    wait_until("the other list", ms(1500), || proxies.iter().all(|p| !p.has("s5") && p.server_count() == 5));
    other.publish(&[endpoint(4, "DRAINING")]);
    wait_until("its changes", ms(700), || proxies.iter().all(|p| p.server_count() == 4));
    assert!(proxies.iter().all(|p| !p.ended()));
}

#[rstest]
#[case::told_to("TERM")]
#[case::interrupted("INT")]
fn exits_cleanly_after_signal(#[case] signal: &str) {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    program.signal(signal);
    let mut status = None;
    wait_until("its end", ms(600), || proxies.iter().all(TestProxy::ended));
    for _ in 0..100 {
        status = program.child.try_wait().unwrap();
        if status.is_some() {
            break;
        }
        thread::sleep(ms(5));
    }
    assert_eq!(status.and_then(|s| s.code()), Some(0));
}

#[rstest]
fn idle_connections_do_not_keep_joined_proxies_from_service() {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 80);
    let proxies = join_all(&program, 6, true);
    let idle: Vec<Connection> =
        open_idle_connections(program.listen, 400).into_iter().map(|socket| Connection { socket }).collect();
    assert!(idle.len() > 300);
    discovery.publish(&[endpoint(0, "DRAINING")]);
    wait_until("a change amid them", ms(1500), || proxies.iter().all(|p| p.server_count() == 5));
    let late = TestProxy::join(program.listen, 7, false);
    wait_until("a joining amid them", ms(2000), || late.server_count() == 5);
    let mut refused = 0;
    for mut connection in idle {
        refused += usize::from(connection.is_refused(ms(3000)));
    }
    assert!(refused > 300, "{refused}");
    assert!(program.is_running() && proxies.iter().enumerate().all(|(p, x)| p == 7 || !x.ended()));
}

#[rstest]
fn garbled_stream_ends_alone() {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 128);
    let mut proxies = join_all(&program, 6, true);
    proxies[2].connection.send(&json!({"msg": "ACK", "node": 2, "nonce": 60_000, "latency": -4}));
    proxies[2].connection.send(&json!({"msg": "RATE", "node": 3}));
    proxies[4].connection.socket.write_all(&[0xfe; 4000]).unwrap();
    wait_until("the garbled one's end", ms(1500), || proxies[4].ended());
    discovery.publish(&[endpoint(0, "DRAINING")]);
    wait_until("a change", ms(1500), || {
        proxies.iter().enumerate().all(|(p, x)| p == 4 || x.server_count() == 5)
    });
    let again = TestProxy::join(program.listen, 4, false);
    wait_until("it comes again", ms(1500), || again.server_count() == 5);
    assert!(program.is_running());
}

#[rstest]
fn proxy_that_reads_nothing_delays_no_other() {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    let mut silent = Connection::connect(program.listen);
    silent.send(&json!({"msg": "SUBSCRIBE", "node": 11, "locality": "south", "w": 2.5, "cold": true}));
    for round in 0..30 {
        let state = if round % 2 == 0 { "DRAINING" } else { "SERVING" };
        discovery.publish(&[endpoint(1, state)]);
        let out = round % 2 == 0;
        wait_until("each change at the others", ms(1000), || {
            proxies[..11].iter().all(|p| p.has("s1") != out)
        });
    }
}

#[rstest]
#[case::no_json("{", "the file: is not JSON")]
#[case::no_settings(
    r#"{"seed":"1","listen":"127.0.0.1:1","discovery":"127.0.0.1:1"}"#,
    "settings: is missing"
)]
#[case::no_seed(r#"{"listen":"127.0.0.1:1"}"#, "seed: is missing")]
#[case::a_seed_that_is_none(r#"{"seed":"xyz"}"#, "seed: invalid digit")]
fn reports_unusable_start_file_in_one_line(#[case] text: &str, #[case] says: &str) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(PROGRAM);
    let out = command.arg("platform").env("GW_CONFIG", &file).output().unwrap();
    let said = String::from_utf8(out.stderr).unwrap();
    assert_eq!((out.status.code(), said.lines().count()), (Some(2), 1), "{said}");
    assert!(said.contains(&format!("config.json: {says}")), "{said}");
}

#[rstest]
fn reports_address_in_use() {
    let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, start_file(held.local_addr().unwrap(), nowhere, 64, &default_settings())).unwrap();
    let mut command = Command::new(PROGRAM);
    let out = command.arg("platform").env("GW_CONFIG", &file).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8(out.stderr).unwrap().contains("cannot listen at 127.0.0.1"));
}
