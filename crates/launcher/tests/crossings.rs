//! The instant in which something ends while something is still owed: forced by parties that hold their last byte, half
//! an answer or the planner itself until the other side has come as far, and never hoped for.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_test_cluster::*;
use rstest::rstest;
use serde_json::{Value, json};
use std::io::{ErrorKind, Read, Write};
use std::net::Shutdown;

const PROGRAM: &str = env!("CARGO_BIN_EXE_grebespool");

fn start(discovery: &Discovery, sockets: usize) -> Program {
    Program::start(PROGRAM, discovery, sockets, &settings())
}

/// The same for so many proxies, with a discovery of its own.
fn start_for(proxies: usize, sockets: usize) -> (Discovery, Program) {
    let (discovery, mut settings) = (Discovery::new(6), settings());
    settings["familyInfo"]["dataPlaneSize"] = json!(proxies);
    let program = Program::start(PROGRAM, &discovery, sockets, &settings);
    (discovery, program)
}

/// So many proxies come and say their joining.
fn come(program: &Program, proxies: usize) -> Vec<Conn> {
    let mut conns: Vec<Conn> = (0..proxies).map(|_| Conn::dial(program.listen)).collect();
    conns.iter_mut().enumerate().for_each(|(node, conn)| conn.say(&joining(node)));
    conns
}

/// How many of them are told a table, each within the limit.
fn let_in(conns: &mut [Conn], limit: std::time::Duration) -> usize {
    let told = |conn: &mut Conn| {
        conn.0.set_read_timeout(Some(limit)).unwrap();
        conn.hear().is_some_and(|m| m["msg"] == "CONFIG")
    };
    conns.iter_mut().map(|conn| usize::from(told(conn))).sum()
}

fn joining(node: usize) -> Value {
    json!({"msg": "SUBSCRIBE", "node": node, "locality": (["north", "south"][node % 2]), "w": 2.5, "cold": true})
}

fn none_has(proxies: &[Proxy], server: &str) -> bool {
    proxies.iter().all(|p| !p.has(server))
}

/// Has the file name another discovery, and says so.
fn move_to(program: &Program, discovery: &Discovery) {
    std::fs::write(&program.file, program.config(discovery.address)).unwrap();
    program.signal("HUP");
}

#[rstest]
#[case::asked_for("on_request")]
#[case::pushed("pushed")]
fn the_list_is_followed_however_the_simulator_tells_it(#[case] mode: &str) {
    let discovery = Discovery::new(6);
    let mut settings = settings();
    settings["registryMode"] = json!(mode);
    let program = Program::start(PROGRAM, &discovery, 128, &settings);
    let proxies = join_all(&program, 6, true);
    discovery.change(&[server(2, "DRAINING")]);
    until("a drain is out everywhere", ms(2000), || none_has(&proxies, "s2"));
}

/// What was written in part counts as told: it is taken though the list is asked elsewhere by then, and nobody answers
/// there.
#[rstest]
#[case::that_hangs(Mood::Hangs)]
#[case::that_is_unavailable(Mood::Unavailable)]
#[case::that_trickles(Mood::Trickles)]
fn a_drain_in_an_answer_that_is_received_holds_while_discovery_moves_to_one(#[case] mood: Mood) {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    until("a watch", ms(3000), || discovery.world.lock().unwrap().asked.iter().any(|a| a.contains("=4000")));
    discovery.mood(Mood::Halves);
    discovery.change(&[server(2, "DRAINING")]);
    until("half of an answer", ms(3000), || discovery.world.lock().unwrap().halves == 1);
    other.mood(mood);
    move_to(&program, &other);
    until("a call at the other", ms(2000), || other.world.lock().unwrap().calls > 0);
    assert!(proxies.iter().all(|p| p.has("s2")));
    discovery.mood(Mood::Answers);
    until("the drain is out everywhere", ms(1000), || none_has(&proxies, "s2"));
    assert!(proxies.iter().all(|p| !p.ended()));
}

/// The versions of another service tell nothing of what it has told: until it has given its whole list once, that is what
/// is asked for.
#[rstest]
#[case::is_unavailable(Mood::Unavailable)]
#[case::resets(Mood::Resets)]
#[case::breaks_off(Mood::BreaksOff(150))]
fn the_whole_list_of_another_discovery_is_asked_for_until_it_came_where_that_first(#[case] mood: Mood) {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    // The drain that it knows of is older than what the first has come to, and its newest is newer than that.
    for k in 0..5 {
        discovery.change(&[server(10 + k, "SERVING")]);
    }
    until("all that is new", ms(3000), || proxies.iter().all(|p| p.servers() == 11));
    other.change(&[server(5, "DRAINING")]);
    for k in 0..8 {
        other.change(&[server(20 + k, "DRAINING")]);
    }
    other.mood(mood);
    move_to(&program, &other);
    until("a call at the other", ms(2000), || other.world.lock().unwrap().calls > 0);
    other.mood(Mood::Answers);
    until("its list", ms(5000), || proxies.iter().all(|p| !p.has("s5") && p.servers() == 5));
    other.change(&[server(4, "DRAINING")]);
    until("its changes", ms(1500), || none_has(&proxies, "s4"));
}

/// An answer that ends too soon, says more than was asked, or less than was known, is no reason to miss what comes next.
#[rstest]
#[case::breaks_off_in_its_head(Mood::BreaksOff(20))]
#[case::breaks_off_in_its_body(Mood::BreaksOff(90))]
#[case::is_a_whole_list(Mood::Wholes)]
#[case::goes_back(Mood::GoesBack)]
fn a_drain_is_out_soon_where_the_answer_that_told_it(#[case] mood: Mood) {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    until("a watch", ms(3000), || discovery.world.lock().unwrap().asked.iter().any(|a| a.contains("=4000")));
    let before = discovery.world.lock().unwrap().calls;
    discovery.mood(mood);
    discovery.change(&[server(2, "DRAINING")]);
    until("it was told", ms(6000), || {
        discovery.world.lock().unwrap().calls > before || none_has(&proxies, "s2")
    });
    discovery.mood(Mood::Answers);
    until("the drain is out everywhere", ms(2000), || none_has(&proxies, "s2"));
    discovery.change(&[server(3, "DRAINING")]);
    until("and the next", ms(2500), || none_has(&proxies, "s3"));
    assert!(proxies.iter().all(|p| p.servers() == 4 && !p.ended()));
}

/// Two hang-ups before the first is served are one to the system: the file as it is last counts.
#[rstest]
fn two_new_files_in_one_instant_are_read_as_they_are_last() {
    let (discovery, other, last) = (Discovery::new(6), Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    last.change(&[server(1, "DRAINING")]);
    program.pause();
    move_to(&program, &other);
    move_to(&program, &last);
    program.resume();
    until("the last one's list", ms(2500), || proxies.iter().all(|p| !p.has("s1") && p.servers() == 5));
    last.change(&[server(2, "DRAINING")]);
    until("its changes", ms(1500), || none_has(&proxies, "s2"));
    assert!(proxies.iter().all(|p| !p.ended()));
}

/// While a spoilt file is read again and again for two seconds, a second hang-up comes with one that is right.
#[rstest]
fn a_file_that_is_right_is_taken_soon_though_one_before_it_was_spoilt() {
    let (discovery, other) = (Discovery::new(6), Discovery::new(6));
    let program = start(&discovery, 128);
    let proxies = join_all(&program, 6, true);
    other.change(&[server(1, "DRAINING")]);
    std::fs::write(&program.file, "{\"name\":").unwrap();
    program.signal("HUP");
    discovery.change(&[server(2, "DRAINING")]);
    until("the list as it was is followed", ms(1500), || none_has(&proxies, "s2"));
    move_to(&program, &other);
    until("the other list", ms(2500), || proxies.iter().all(|p| !p.has("s1") && p.has("s2")));
}

/// A word and the end of all words in one instant: the answer is owed all the same.
#[rstest]
#[case::a_sign_of_life(json!({"msg": "PING"}), "PONG")]
#[case::what_cannot_be(json!({"msg": "RATE"}), "NACK")]
fn who_says_its_last_word_is_answered(#[case] says: Value, #[case] answer: &str) {
    let discovery = Discovery::new(2);
    let program = start(&discovery, 128);
    // Several, since whichever part of the planner is served first would do for one.
    program.pause();
    let mut conns: Vec<Conn> = (0..16).map(|_| Conn::dial(program.listen)).collect();
    for conn in &mut conns {
        conn.say(&says);
        conn.0.shutdown(Shutdown::Write).unwrap();
    }
    program.resume();
    for conn in &mut conns {
        conn.0.set_read_timeout(Some(ms(3000))).unwrap();
        assert_eq!(conn.hear().map(|m| m["msg"].clone()), Some(json!(answer)));
        assert_eq!(conn.0.read(&mut [0; 8]).map_err(|e| e.kind()), Ok(0));
    }
}

/// Bytes that nobody reads would have the system reset the connection, and what was written last could be lost with it.
#[rstest]
fn a_no_is_not_destroyed_by_what_was_still_unread() {
    let discovery = Discovery::new(2);
    let program = start(&discovery, 128);
    program.pause();
    let mut conns: Vec<Conn> = (0..8).map(|_| Conn::dial(program.listen)).collect();
    for conn in &mut conns {
        conn.0.write_all(&[0x47; 40 << 10]).unwrap();
    }
    program.resume();
    for conn in &mut conns {
        conn.0.set_read_timeout(Some(ms(3000))).unwrap();
        assert_eq!(conn.hear().map(|m| m["msg"].clone()), Some(json!("NACK")));
        assert_eq!(conn.0.read(&mut [0; 8]).map_err(|e| e.kind()), Ok::<_, ErrorKind>(0));
    }
}

/// The proxy gave its first stream up and dialled again; the first one's last byte comes when the second has joined.
#[rstest]
fn an_older_stream_whose_joining_is_read_last_does_not_end_the_newer() {
    let discovery = Discovery::new(6);
    let program = start(&discovery, 128);
    let bytes = frame(&joining(3));
    let mut older = Conn::dial(program.listen);
    older.0.write_all(&bytes[..bytes.len() - 1]).unwrap();
    let newer = Proxy::join(program.listen, 3, true);
    until("a table", ms(6000), || newer.servers() == 6);
    older.0.write_all(&bytes[bytes.len() - 1..]).unwrap();
    assert!(older.turned_away(ms(1500)));
    discovery.change(&[server(0, "DRAINING")]);
    until("a change", ms(2000), || newer.servers() == 5);
    assert!(!newer.ended());
}

/// All proxies come to one planner in one instant, more of them than may be there without having joined, and each has
/// said its joining.
#[rstest]
fn proxies_that_come_all_at_once_are_all_let_in() {
    const PROXIES: usize = 120;
    // 32 descriptors are held back, and 8 for collectors: ten are left for those who have not joined.
    let (discovery, program) = start_for(PROXIES, PROXIES + 50);
    until("the list", ms(3000), || discovery.world.lock().unwrap().calls > 1);
    program.pause();
    let mut conns = come(&program, PROXIES);
    program.resume();
    assert_eq!(let_in(&mut conns, ms(5000)), PROXIES);
}

/// The same at the size of a fleet, at the limit of descriptors, between strangers who say nothing; and a sign of life
/// is answered amid it.
#[rstest]
fn a_fleet_that_comes_to_one_planner_amid_strangers_is_let_in() {
    const PROXIES: usize = 600;
    let (discovery, program) = start_for(PROXIES, PROXIES + 100);
    until("the list", ms(3000), || discovery.world.lock().unwrap().calls > 1);
    program.pause();
    let mut strange = strangers(program.listen, 200);
    let mut conns = come(&program, PROXIES);
    strange.extend(strangers(program.listen, 100));
    let mut last = Conn::dial(program.listen);
    last.say(&json!({"msg": "PING"}));
    program.resume();
    last.0.set_read_timeout(Some(ms(3000))).unwrap();
    assert_eq!(last.hear().map(|m| m["msg"].clone()), Some(json!("PONG")));
    assert_eq!(let_in(&mut conns, ms(8000)), PROXIES);
    let held: usize = program.sockets().values().sum();
    assert!(held <= PROXIES + 100, "{held}");
}

/// Streams that go on with what cannot be read, each with a message as long as the protocol allows, and never end it.
#[rstest]
fn long_messages_that_never_end_take_no_memory() {
    const PROXIES: usize = 60;
    let (_discovery, program) = start_for(PROXIES, 256);
    let before = program.most_memory();
    let mut conns = come(&program, PROXIES);
    for conn in &mut conns {
        conn.0.set_write_timeout(Some(ms(2000))).unwrap();
        let _ = conn.0.write_all(&[&(1_000_000u32).to_be_bytes()[..], b"{", &[b' '; 900_000][..]].concat());
    }
    // Each is let go, or all that it said was taken.
    for conn in &mut conns {
        conn.0.set_read_timeout(Some(ms(50))).unwrap();
        while conn.hear().is_some() {}
    }
    let grown = program.most_memory() - before;
    assert!(grown < 12_000, "{grown} KiB");
}

/// Whatever is under way when it is told to stop, it ends by itself, and what was written whole stays whole.
#[rstest]
#[case::nobody_there(|_: &mut Vec<Conn>| {})]
#[case::amid_a_joining(|conns: &mut Vec<Conn>| {
    let bytes = frame(&joining(4));
    conns[0].0.write_all(&bytes[..bytes.len() / 2]).unwrap();
})]
#[case::amid_orders_that_nobody_reads(|conns: &mut Vec<Conn>| {
    conns.iter_mut().take(6).enumerate().for_each(|(node, c)| c.say(&joining(node)));
})]
#[case::with_bytes_arriving(|conns: &mut Vec<Conn>| {
    for conn in conns {
        conn.0.write_all(&frame(&json!({"msg": "PING"})).repeat(500)).unwrap();
    }
})]
fn it_ends_by_itself_when_told(
    #[case] under_way: fn(&mut Vec<Conn>),
    #[values("TERM", "INT")] signal: &str,
    #[values(true, false)] in_one_instant: bool,
) {
    let discovery = Discovery::new(6);
    let mut program = start(&discovery, 128);
    let mut conns: Vec<Conn> = (0..8).map(|_| Conn::dial(program.listen)).collect();
    if in_one_instant {
        program.pause();
    }
    under_way(&mut conns);
    program.signal(signal);
    if in_one_instant {
        program.resume();
    }
    assert_eq!(program.ended(ms(600)), Some(0));
}

/// A signal may come before anything is set up: then the system ends it, which is as good.
#[rstest]
fn it_ends_when_told_before_it_is_ready() {
    let discovery = Discovery::new(6);
    discovery.mood(Mood::Hangs);
    for _ in 0..10 {
        let mut program = Program::begin(PROGRAM, &discovery, 128, &settings());
        program.signal("TERM");
        assert!(matches!(program.ended(ms(600)), None | Some(0)));
    }
}

/// Whoever reads the log has stopped reading, so that the pipe is full, or is gone.
#[rstest]
#[case::stopped(true)]
#[case::gone(false)]
fn it_serves_on_though_the_reader_of_its_log_has(#[case] stopped: bool) {
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
    let program = Program::logging(PROGRAM, &discovery, 128, &settings(), log);
    program.ready();
    let proxies = join_all(&program, 6, true);
    // Each change is a line of the log, and more of them than may wait.
    for round in 0..300 {
        let state = ["DRAINING", "SERVING"][round % 2];
        discovery.change(&[server(1, state)]);
        until("each change", ms(3000), || proxies.iter().all(|p| p.has("s1") == (state == "SERVING")));
    }
    drop(reader);
}
