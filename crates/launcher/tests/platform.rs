//! Tests of one planner process, started as the platform does, with the proxies, idle connections and discovery service of the
//! test cluster.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::wildcard_imports, reason = "the tests use most of the test cluster's items")]

use grebespool_test_cluster::*;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::Duration;

/// The time for which the planner asks discovery to wait for changes.
const LONG_POLL_WAIT: Duration = ms(4000);

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");

fn start(discovery: &Discovery, descriptors: usize) -> PlannerProcess {
    PlannerProcess::start(PROGRAM, discovery, descriptors, &default_settings())
}

#[rstest]
#[case::hangs(DiscoveryBehavior::Hangs)]
#[case::trickles(DiscoveryBehavior::Trickles)]
#[case::is_unavailable(DiscoveryBehavior::Unavailable)]
#[case::resets(DiscoveryBehavior::Resets)]
fn drains_reach_every_proxy_after_discovery_works_again(#[case] behavior: DiscoveryBehavior) {
    let discovery = Discovery::new(6);
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    discovery.publish(&[endpoint(2, "DRAINING")]);
    discovery.set_behavior(behavior);
    // The answer that the change completes may still bring the drain; otherwise the next answer does.
    thread::sleep(ms(1500));
    discovery.publish(&[endpoint(3, "DELETED")]);
    discovery.set_behavior(DiscoveryBehavior::Answers);
    wait_until("both servers have left every table", ms(8000), || {
        proxies.iter().all(|p| !p.has("s2") && !p.has("s3"))
    });
    discovery.publish(&[endpoint(4, "DRAINING")]);
    wait_until("the draining server has left every table", ms(700), || {
        proxies.iter().all(|p| !p.has("s4") && p.server_count() == 3)
    });
    assert!(proxies.iter().all(|p| !p.ended() && p.state().full_tables == 1));
}

/// The time that the platform's protocol gives discovery for an answer, beyond the wait of the request.
const DISCOVERY_ANSWER_TIME: Duration = ms(2000);

/// Guards against a planner that hangs up on discovery before the answer of its watch is due: the drain is in that answer,
/// and discovery rejects all other requests.
#[rstest]
#[case::soon_after_the_wait(ms(200))]
#[case::as_late_as_the_protocol_allows(DISCOVERY_ANSWER_TIME - ms(100))]
fn drain_in_a_late_answer_of_a_long_poll_reaches_every_proxy(#[case] delay: Duration) {
    let discovery = Discovery::new(6);
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    wait_until("the planner watches the list", ms(5000), || {
        discovery.list().requests.last().is_some_and(|path| path.ends_with("timeout_ms=4000"))
    });
    discovery.set_behavior(DiscoveryBehavior::Busy(LONG_POLL_WAIT + delay));
    discovery.publish(&[endpoint(2, "DRAINING")]);
    wait_until(
        "the draining server has left every table",
        LONG_POLL_WAIT + DISCOVERY_ANSWER_TIME + ms(700),
        || proxies.iter().all(|p| !p.has("s2")),
    );
    assert!(proxies.iter().all(|p| !p.ended()));
}

#[rstest]
fn watches_the_list_instead_of_polling() {
    let discovery = Discovery::new(6);
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    thread::sleep(ms(1000));
    assert!(discovery.list().request_count < 5);
    drop(proxies);
}

#[rstest]
fn newer_stream_replaces_silent_older_one() {
    let discovery = Discovery::new(6);
    let planner = start(&discovery, 128);
    let older = TestProxy::join(planner.listen, 3, true);
    wait_until("the older stream has a table", ms(5000), || older.server_count() == 6);
    let newer = TestProxy::join(planner.listen, 3, false);
    wait_until("the newer stream has a table and the older has ended", ms(5000), || {
        newer.server_count() == 6 && older.ended()
    });
    discovery.publish(&[endpoint(0, "DRAINING")]);
    wait_until("the newer stream gets the change", ms(1000), || newer.server_count() == 5);
    assert_eq!(older.server_count(), 6);
}

#[rstest]
fn proxies_get_full_tables_after_the_planner_is_killed() {
    let discovery = Discovery::new(6);
    let mut planner = start(&discovery, 128);
    let before = join_all(&planner, 6, true);
    discovery.publish(&[endpoint(1, "DELETED"), endpoint(9, "SERVING")]);
    planner.restart();
    wait_until("every proxy sees the end of its stream", ms(1000), || before.iter().all(TestProxy::ended));
    let after = join_all(&planner, 6, false);
    assert!(after.iter().all(|p| !p.has("s1") && p.has("s9")));
}

#[rstest]
fn uses_new_discovery_at_once_without_breaking_streams() {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    other.publish(&[endpoint(5, "DRAINING")]);
    discovery.set_behavior(DiscoveryBehavior::Hangs);
    // With half of the file written, the former configuration stays in force until the file is complete.
    let new = planner.start_file_with(other.address);
    std::fs::write(&planner.file, &new[..new.len() / 2]).unwrap();
    planner.signal("HUP");
    thread::sleep(ms(300));
    std::fs::write(&planner.file, &new).unwrap();
    wait_until("every proxy has the other list", ms(1500), || {
        proxies.iter().all(|p| !p.has("s5") && p.server_count() == 5)
    });
    other.publish(&[endpoint(4, "DRAINING")]);
    wait_until("every proxy gets the changes of the other list", ms(700), || {
        proxies.iter().all(|p| p.server_count() == 4)
    });
    assert!(proxies.iter().all(|p| !p.ended()));
}

#[rstest]
#[case::sigterm("TERM")]
#[case::sigint("INT")]
fn closes_streams_and_exits_with_zero_after_signal(#[case] signal: &str) {
    let discovery = Discovery::new(6);
    let mut planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    planner.signal(signal);
    let mut status = None;
    wait_until("every stream has ended", ms(600), || proxies.iter().all(TestProxy::ended));
    for _ in 0..100 {
        status = planner.child.try_wait().unwrap();
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
    let mut planner = start(&discovery, 80);
    let proxies = join_all(&planner, 6, true);
    let idle: Vec<Connection> =
        open_idle_connections(planner.listen, 400).into_iter().map(|socket| Connection { socket }).collect();
    assert!(idle.len() > 300);
    discovery.publish(&[endpoint(0, "DRAINING")]);
    wait_until("every proxy gets the change", ms(1500), || proxies.iter().all(|p| p.server_count() == 5));
    let late = TestProxy::join(planner.listen, 7, false);
    wait_until("a new proxy joins and gets a table", ms(2000), || late.server_count() == 5);
    let mut refused = 0;
    for mut connection in idle {
        refused += usize::from(connection.is_refused(ms(3000)));
    }
    assert!(refused > 300, "{refused} idle connections were refused");
    assert!(planner.is_running() && proxies.iter().enumerate().all(|(p, x)| p == 7 || !x.ended()));
}

#[rstest]
fn closes_only_the_garbled_stream() {
    let discovery = Discovery::new(6);
    let mut planner = start(&discovery, 128);
    let mut proxies = join_all(&planner, 6, true);
    proxies[2].connection.send(&json!({"msg": "ACK", "node": 2, "nonce": 60_000, "latency": -4}));
    proxies[2].connection.send(&json!({"msg": "RATE", "node": 3}));
    proxies[4].connection.socket.write_all(&[0xfe; 4000]).unwrap();
    wait_until("the garbled stream has ended", ms(1500), || proxies[4].ended());
    discovery.publish(&[endpoint(0, "DRAINING")]);
    wait_until("every other proxy gets the change", ms(1500), || {
        proxies.iter().enumerate().all(|(p, x)| p == 4 || x.server_count() == 5)
    });
    let again = TestProxy::join(planner.listen, 4, false);
    wait_until("the proxy joins again and gets a table", ms(1500), || again.server_count() == 5);
    assert!(planner.is_running());
}

#[rstest]
fn proxy_that_reads_nothing_delays_no_other() {
    let discovery = Discovery::new(6);
    let planner = start(&discovery, 128);
    let proxies = join_all(&planner, 6, true);
    let mut silent = Connection::connect(planner.listen);
    silent.send(&json!({"msg": "SUBSCRIBE", "node": 11, "locality": "south", "w": 2.5, "cold": true}));
    for round in 0..30 {
        let state = if round % 2 == 0 { "DRAINING" } else { "SERVING" };
        discovery.publish(&[endpoint(1, state)]);
        let is_draining = round % 2 == 0;
        wait_until("every other proxy gets the change", ms(1000), || {
            proxies[..11].iter().all(|p| p.has("s1") != is_draining)
        });
    }
}

#[rstest]
#[case::invalid_json("{", "the file: is not JSON")]
#[case::missing_settings(
    r#"{"seed":"1","listen":"127.0.0.1:1","discovery":"127.0.0.1:1"}"#,
    "settings: is missing"
)]
#[case::missing_seed(r#"{"listen":"127.0.0.1:1"}"#, "seed: is missing")]
#[case::invalid_seed(r#"{"seed":"xyz"}"#, "seed: invalid digit")]
fn reports_unusable_start_file_in_one_line(#[case] text: &str, #[case] message: &str) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(PROGRAM);
    let out = command.arg("platform").env("GW_CONFIG", &file).output().unwrap();
    let stderr = String::from_utf8(out.stderr).unwrap();
    assert_eq!((out.status.code(), stderr.lines().count()), (Some(2), 1), "{stderr}");
    assert!(stderr.contains(&format!("config.json: {message}")), "{stderr}");
}

#[rstest]
fn reports_address_in_use_and_exits() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let unused_address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(
        &file,
        start_file(listener.local_addr().unwrap(), unused_address, 64, &default_settings()),
    )
    .unwrap();
    let mut command = Command::new(PROGRAM);
    let out = command.arg("platform").env("GW_CONFIG", &file).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8(out.stderr).unwrap().contains("cannot listen at 127.0.0.1"));
}
