//! The program as the platform starts it, against scripted proxies, collectors, strangers and a discovery.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_test_cluster::*;
use rstest::rstest;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::thread;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");

fn start(discovery: &Discovery, sockets: usize) -> Program {
    Program::start(PROGRAM, discovery, sockets, &settings())
}

#[rstest]
#[case::hangs(Mood::Hangs)]
#[case::trickles(Mood::Trickles)]
#[case::is_unavailable(Mood::Unavailable)]
#[case::resets(Mood::Resets)]
fn a_drain_reaches_every_proxy_and_the_list_is_found_again_after_discovery(#[case] mood: Mood) {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    discovery.change(&[server(2, "DRAINING")]);
    discovery.mood(mood);
    // The drain went out with the answer that the change ended, or is told by the first that comes again.
    thread::sleep(ms(1500));
    discovery.change(&[server(3, "DELETED")]);
    discovery.mood(Mood::Answers);
    until("both are out everywhere", ms(8000), || proxies.iter().all(|p| !p.has("s2") && !p.has("s3")));
    discovery.change(&[server(4, "DRAINING")]);
    until("a drain is out everywhere", ms(700), || proxies.iter().all(|p| !p.has("s4") && p.servers() == 3));
    assert!(proxies.iter().all(|p| !p.ended() && p.holds.lock().unwrap().wholes == 1));
}

#[rstest]
fn the_list_is_watched_and_not_polled() {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    thread::sleep(ms(1000));
    assert!(discovery.world.lock().unwrap().calls < 5);
    drop(proxies);
}

#[rstest]
fn a_newer_stream_holds_and_a_silent_older_one_is_let_go() {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let older = Proxy::join(program.listen, 3, true);
    until("a table", ms(5000), || older.servers() == 6);
    let newer = Proxy::join(program.listen, 3, false);
    until("a table", ms(5000), || newer.servers() == 6 && older.ended());
    discovery.change(&[server(0, "DRAINING")]);
    until("a change", ms(1000), || newer.servers() == 5);
    assert_eq!(older.servers(), 6);
}

#[rstest]
fn after_a_kill_proxies_with_old_tables_get_whole_ones() {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 128);
    let before = join_all(&program, 6, true);
    discovery.change(&[server(1, "DELETED"), server(9, "SERVING")]);
    program.restart();
    until("broken streams are seen", ms(1000), || before.iter().all(Proxy::ended));
    let after = join_all(&program, 6, false);
    assert!(after.iter().all(|p| !p.has("s1") && p.has("s9")));
}

#[rstest]
fn a_new_discovery_is_used_at_once_and_no_stream_breaks() {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    other.change(&[server(5, "DRAINING")]);
    discovery.mood(Mood::Hangs);
    // Half of the file first: what stood before stays in force until the rest is there.
    let new = program.config(other.address);
    std::fs::write(&program.file, &new[..new.len() / 2]).unwrap();
    program.signal("HUP");
    thread::sleep(ms(300));
    std::fs::write(&program.file, &new).unwrap();
    until("the other list", ms(1500), || proxies.iter().all(|p| !p.has("s5") && p.servers() == 5));
    other.change(&[server(4, "DRAINING")]);
    until("its changes", ms(700), || proxies.iter().all(|p| p.servers() == 4));
    assert!(proxies.iter().all(|p| !p.ended()));
}

#[rstest]
#[case::told_to("TERM")]
#[case::interrupted("INT")]
fn it_ends_cleanly_and_soon(#[case] signal: &str) {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    program.signal(signal);
    let mut status = None;
    until("its end", ms(600), || proxies.iter().all(Proxy::ended));
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
fn strangers_by_hundreds_do_not_keep_the_joined_from_being_served() {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 80);
    let proxies = join_all(&program, 6, true);
    let strangers: Vec<Conn> = strangers(program.listen, 400).into_iter().map(Conn).collect();
    assert!(strangers.len() > 300);
    discovery.change(&[server(0, "DRAINING")]);
    until("a change amid them", ms(1500), || proxies.iter().all(|p| p.servers() == 5));
    let late = Proxy::join(program.listen, 7, false);
    until("a joining amid them", ms(2000), || late.servers() == 5);
    let mut away = 0;
    for mut stranger in strangers {
        away += usize::from(stranger.turned_away(ms(3000)));
    }
    assert!(away > 300, "{away}");
    assert!(program.runs() && proxies.iter().enumerate().all(|(p, x)| p == 7 || !x.ended()));
}

#[rstest]
fn a_garbled_stream_ends_alone() {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 128);
    let mut proxies = join_all(&program, 6, true);
    proxies[2].conn.say(&json!({"msg": "ACK", "node": 2, "nonce": 60_000, "latency": -4}));
    proxies[2].conn.say(&json!({"msg": "RATE", "node": 3}));
    proxies[4].conn.0.write_all(&[0xfe; 4000]).unwrap();
    until("the garbled one's end", ms(1500), || proxies[4].ended());
    discovery.change(&[server(0, "DRAINING")]);
    until("a change", ms(1500), || proxies.iter().enumerate().all(|(p, x)| p == 4 || x.servers() == 5));
    let again = Proxy::join(program.listen, 4, false);
    until("it comes again", ms(1500), || again.servers() == 5);
    assert!(program.runs());
}

#[rstest]
fn a_proxy_that_reads_nothing_delays_nobody() {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    let mut mute = Conn(TcpStream::connect(program.listen).unwrap());
    mute.say(&json!({"msg": "SUBSCRIBE", "node": 11, "locality": "south", "w": 2.5, "cold": true}));
    for round in 0..30 {
        let state = if round % 2 == 0 { "DRAINING" } else { "SERVING" };
        discovery.change(&[server(1, state)]);
        let out = round % 2 == 0;
        until("each change at the others", ms(1000), || proxies[..11].iter().all(|p| p.has("s1") != out));
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
fn what_cannot_be_used_is_said_in_one_line(#[case] text: &str, #[case] says: &str) {
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
fn without_an_address_that_can_be_had_it_says_so() {
    let held = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("config.json");
    std::fs::write(&file, config(held.local_addr().unwrap(), nowhere, 64, &settings())).unwrap();
    let mut command = Command::new(PROGRAM);
    let out = command.arg("platform").env("GW_CONFIG", &file).output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8(out.stderr).unwrap().contains("cannot listen at 127.0.0.1"));
}
