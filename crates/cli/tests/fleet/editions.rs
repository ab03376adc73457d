//! Editions agreed on by three controllers as processes, while these are killed, stopped and run on. What each acts by is
//! asked all the time over its own streams, and what they answered is checked.

use crate::helpers::Fleet;
use grebespool_cluster::transport::{AuthenticatedStream, Identity, Packet};
use grebespool_cluster::{Keys, Request, Response, fleet_id};
use grebespool_config_consensus::{ActiveVersions, Change, Limit};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// One answer: whose, when it was asked for and when it came, and what it said.
#[derive(Debug, Clone, Copy)]
struct Seen {
    member: usize,
    asked: Instant,
    came: Instant,
    acts: ActiveVersions,
}

/// Once somebody acts by an edition alone, nobody acts by editions before it alone any more. What was asked after that
/// answer had come was surely said later, whatever lay in buffers.
fn contradictions(seen: &[Seen]) -> Vec<(Seen, Seen)> {
    let mut by_came: Vec<&Seen> =
        seen.iter().filter(|s| matches!(s.acts, ActiveVersions::Single(_))).collect();
    by_came.sort_by_key(|s| s.came);
    let mut found = vec![];
    for later in seen {
        let highest = match later.acts {
            ActiveVersions::Single(n) | ActiveVersions::Joint(_, n) => n,
            ActiveVersions::Unleased => continue,
        };
        let before = by_came.partition_point(|s| s.came < later.asked);
        let alone = |s: &&&Seen| matches!(s.acts, ActiveVersions::Single(n) if n > highest);
        found.extend(by_came[..before].iter().rev().find(alone).map(|first| (**first, *later)));
    }
    found
}

async fn stream(address: SocketAddr, keys: &Keys) -> std::io::Result<AuthenticatedStream<TcpStream>> {
    let socket = TcpStream::connect(address).await?;
    let mut sealed =
        AuthenticatedStream::connect(socket, Identity { fleet: fleet_id("f"), id: 0 }, keys).await?;
    sealed.introduce("operator", 0).await?;
    Ok(sealed)
}

async fn ask(sealed: &mut AuthenticatedStream<TcpStream>, request: Request) -> std::io::Result<Response> {
    sealed.send(&Packet::Request(request)).await?;
    match sealed.receive().await? {
        Packet::Response(response) => Ok(response),
        other => Err(std::io::Error::other(format!("{other:?}"))),
    }
}

/// Asks one member all the time, and has it propose now and then, on a thread of its own.
struct Watcher {
    seen: Arc<Mutex<Vec<Seen>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Watcher {
    fn on(fleet: &Fleet) -> Watcher {
        let (seen, stop) = (Arc::new(Mutex::new(vec![])), Arc::new(AtomicBool::new(false)));
        let key_file = fleet.folder.path().join("members.key");
        let threads = (0..fleet.running.len()).flat_map(|member| {
            let address: SocketAddr = format!("127.0.0.1:{}", fleet.ports[2 * member + 1]).parse().unwrap();
            [false, true].map(|proposes| {
                let of = (seen.clone(), stop.clone(), key_file.clone());
                std::thread::spawn(move || watch(member, address, proposes, &of.0, &of.1, &of.2))
            })
        });
        let threads = threads.collect();
        Watcher { seen, stop, threads }
    }

    fn newest(&self) -> u64 {
        let alone = |s: &Seen| if let ActiveVersions::Single(n) = s.acts { n } else { 0 };
        self.seen.lock().unwrap().iter().map(alone).max().unwrap_or_default()
    }

    /// Until all act by an edition of at least this number alone.
    fn until_agreed(&self, least: u64, members: usize) {
        let began = Instant::now();
        loop {
            let since = Instant::now();
            std::thread::sleep(MS(150));
            let seen = self.seen.lock().unwrap();
            let agrees = |m: usize| {
                seen.iter()
                    .rev()
                    .take_while(|s| s.asked > since)
                    .any(|s| s.member == m && matches!(s.acts, ActiveVersions::Single(n) if n >= least))
            };
            if (0..members).all(agrees) {
                return;
            }
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "not all act by edition {least}: {:?}",
                seen.last()
            );
        }
    }

    fn end(mut self) -> Vec<Seen> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        self.seen.lock().unwrap().clone()
    }
}

fn watch(
    member: usize,
    address: SocketAddr,
    proposes: bool,
    seen: &Mutex<Vec<Seen>>,
    stop: &AtomicBool,
    key_file: &Path,
) {
    let keys = Keys::read(key_file).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let mut draw = 100.0 + member as f64;
    runtime.block_on(async {
        let going = || !stop.load(Ordering::Relaxed);
        while going() {
            let Ok(Ok(mut sealed)) = timeout(MS(500), stream(address, &keys)).await else {
                tokio::time::sleep(MS(30)).await;
                continue;
            };
            while going() {
                if proposes {
                    draw += 3.0;
                    let limit = Limit::AtLeast(draw);
                    let changes = vec![Change::Limit("power.reserve".into(), Some(limit))];
                    let proposed = ask(&mut sealed, Request::Propose { changes, forced: false });
                    if !matches!(timeout(MS(3000), proposed).await, Ok(Ok(_))) {
                        break;
                    }
                    tokio::time::sleep(MS(40)).await;
                    continue;
                }
                let asked = Instant::now();
                // One that is stopped answers when it runs on: that is what is to be seen.
                let Ok(Ok(Response::Configuration(shown))) =
                    timeout(MS(8000), ask(&mut sealed, Request::ShowConfiguration)).await
                else {
                    break;
                };
                seen.lock().unwrap().push(Seen { member, asked, came: Instant::now(), acts: shown.active });
                tokio::time::sleep(MS(4)).await;
            }
        }
    });
}

fn write(fleet: &Fleet, name: &str, text: &str) {
    std::fs::write(fleet.folder.path().join(name), text).unwrap();
}

const RACKS: &str = r#"[
  {"route": ["read", {"importance": 1, "most": 1}]},
  {"rack": ["r0", {"site": "east", "feed": "a", "cap": 4000}]},
  {"rack": ["r1", {"site": "west", "feed": "b", "cap": 4000}]},
  {"server": ["s0", {"rack": "r0", "capacity": 10, "state": "ready"}]},
  {"server": ["s1", {"rack": "r1", "capacity": 10, "state": "ready"}]}
]"#;

#[rstest]
fn editions_are_proposed_shown_and_refused_with_place_and_cause() {
    let mut fleet = Fleet::new(3);
    fleet.form_three();
    fleet.leader(&[0, 1, 2]);
    write(&fleet, "racks.json", RACKS);
    fleet.done(&["editions", "propose", "m1.ncl", "racks.json"], "edition 1 holds");
    for (text, force, says) in [
        (
            "[{\"limit\": [\"power.reserve\", {\"mist\": 3}]}]",
            false,
            "at [0].limit[1]: unknown variant `mist`",
        ),
        (
            "[{\"server\": [\"s2\", {\"rack\": \"r9\", \"capacity\": 1, \"state\": \"ready\"}]}]",
            false,
            "server \"s2\" names rack \"r9\"",
        ),
        ("[{\"limit\": [\"heat\", {\"most\": 3}]}]", false, "limit \"heat\" is none that this program knows"),
        (
            "[{\"state\": [\"s0\", \"draining\"]}]",
            false,
            "1 servers of 50% of the capacity would be withdrawn",
        ),
        (
            "[{\"state\": [\"s0\", \"draining\"]}, {\"state\": [\"s1\", \"draining\"]}]",
            true,
            "all 2 servers would be closed",
        ),
        ("[{\"state\": [\"s7\", \"draining\"]}]", false, "nothing of that name to change"),
    ] {
        write(&fleet, "bad.json", text);
        let mut arguments = vec!["editions", "propose", "m2.ncl", "bad.json"];
        arguments.extend(force.then_some("--force"));
        let (code, told) = fleet.run(&arguments);
        assert!(code == Some(2) && told.contains(says), "{text}: {told}");
    }
    write(&fleet, "drain.json", "[{\"state\": [\"s0\", \"draining\"]}]");
    fleet.done(&["editions", "propose", "m0.ncl", "drain.json", "--force"], "edition 2 holds");
    for member in ["m0.ncl", "m1.ncl", "m2.ncl"] {
        fleet.done(&["editions", "show", member], "standing: edition 2");
        fleet.done(&["editions", "show", member], "2 servers of which 1 are ready");
    }
}

fn fault(fleet: &mut Fleet, rng: &mut Pcg64Mcg) {
    let convener = (0..3).find_map(|i| {
        let (_, text) = fleet.run(&["editions", "show", &format!("m{i}.ncl")]);
        text.lines().find_map(|l| l.strip_prefix("convener: m")?.parse::<usize>().ok())
    });
    let convener = convener.unwrap_or(0);
    let other = (convener + rng.random_range(1..3)) % 3;
    let kill = |fleet: &mut Fleet, i: usize| {
        fleet.running[i].take().map(|mut c| (c.kill(), c.wait())).unwrap().1.unwrap();
    };
    // Past three leases of 0.9 s.
    let stop = |fleet: &Fleet, i: usize, span: u64| {
        fleet.signal(i, "-STOP");
        std::thread::sleep(MS(span));
        fleet.signal(i, "-CONT");
    };
    match rng.random_range(0..6) {
        0 => {
            kill(fleet, convener);
            std::thread::sleep(MS(rng.random_range(0..1500)));
            fleet.start(convener);
        }
        1 => {
            kill(fleet, other);
            std::thread::sleep(MS(rng.random_range(0..1500)));
            fleet.start(other);
        }
        2 => stop(fleet, convener, 2900),
        3 => stop(fleet, other, 2900),
        4 => {
            fleet.signal(other, "-STOP");
            kill(fleet, convener);
            std::thread::sleep(MS(400));
            fleet.start(convener);
            std::thread::sleep(MS(1200));
            fleet.signal(other, "-CONT");
        }
        _ => {
            (0..3).for_each(|i| kill(fleet, i));
            (0..3).for_each(|i| fleet.start(i));
        }
    }
}

/// Six faults in a test run; `FAULTS` plays more, as a measurement (docs/measurements.md).
#[rstest]
fn no_two_members_contradict_each_other_through_kills_and_stops() {
    let faults = std::env::var("FAULTS").ok().and_then(|n| n.parse().ok()).unwrap_or(6);
    let mut rng = Pcg64Mcg::seed_from_u64(faults);
    let mut fleet = Fleet::new(3);
    fleet.form_three();
    let watcher = Watcher::on(&fleet);
    watcher.until_agreed(1, 3);
    for _ in 0..faults {
        fault(&mut fleet, &mut rng);
        std::thread::sleep(MS(rng.random_range(0..700)));
    }
    let least = watcher.newest() + 3;
    watcher.until_agreed(least, 3);
    let editions = watcher.newest();
    let seen = watcher.end();
    let found = contradictions(&seen);
    println!("faults {faults}, editions {editions}, answers {}, contradictions {}", seen.len(), found.len());
    assert!(found.is_empty(), "{} contradictions: {:?}", found.len(), found[0]);
    assert!(seen.iter().any(|s| s.acts == ActiveVersions::Unleased), "nobody was ever without a lease");
}

/// What the checker is for: each of these has one that acts by the new edition alone too early, or goes on with the old.
#[rstest]
#[case::goes_on_with_the_old(&[(0, 0, 1, ActiveVersions::Single(1)), (1, 2, 3, ActiveVersions::Single(2)), (0, 4, 5, ActiveVersions::Single(1))], 1)]
#[case::still_the_stricter_of_older_ones(&[(1, 2, 3, ActiveVersions::Single(3)), (0, 4, 5, ActiveVersions::Joint(1, 2))], 1)]
#[case::in_a_buffer_since_before(&[(0, 0, 9, ActiveVersions::Single(1)), (1, 2, 3, ActiveVersions::Single(2))], 0)]
#[case::the_stricter_of_both(&[(1, 2, 3, ActiveVersions::Single(2)), (0, 4, 5, ActiveVersions::Joint(1, 2))], 0)]
#[case::without_a_lease(&[(1, 2, 3, ActiveVersions::Single(2)), (0, 4, 5, ActiveVersions::Unleased)], 0)]
fn the_checker_finds_what_it_is_for(
    #[case] told: &[(usize, u64, u64, ActiveVersions)],
    #[case] count: usize,
) {
    let began = Instant::now();
    let seen = |t: &(usize, u64, u64, ActiveVersions)| Seen {
        member: t.0,
        asked: began + MS(t.1),
        came: began + MS(t.2),
        acts: t.3,
    };
    let seen: Vec<Seen> = told.iter().map(seen).collect();
    assert_eq!(contradictions(&seen).len(), count);
}
