//! Configuration versions (editions) that three controllers as processes agree on, while the processes are killed, stopped
//! and continued. Each controller is asked constantly for the version that it acts by, and the answers are checked.

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

/// An answer of a member, with the times of the question and of the answer.
#[derive(Debug, Clone, Copy)]
struct Observation {
    member: usize,
    asked: Instant,
    answered: Instant,
    active: ActiveVersions,
}

/// Returns the pairs of answers that break the invariant: once a member acts by one version alone, no member acts by
/// older versions only. A question sent after an answer arrived is certainly answered later, whatever buffers held.
fn contradictions(observations: &[Observation]) -> Vec<(Observation, Observation)> {
    let mut by_answer: Vec<&Observation> =
        observations.iter().filter(|s| matches!(s.active, ActiveVersions::Single(_))).collect();
    by_answer.sort_by_key(|s| s.answered);
    let mut found = vec![];
    for later in observations {
        let highest = match later.active {
            ActiveVersions::Single(n) | ActiveVersions::Joint(_, n) => n,
            ActiveVersions::Unleased => continue,
        };
        let before = by_answer.partition_point(|s| s.answered < later.asked);
        let alone = |s: &&&Observation| matches!(s.active, ActiveVersions::Single(n) if n > highest);
        found.extend(by_answer[..before].iter().rev().find(alone).map(|first| (**first, *later)));
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

/// Asks all members constantly and lets them propose changes, on two threads for each member.
struct Watcher {
    observations: Arc<Mutex<Vec<Observation>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Watcher {
    fn on(fleet: &Fleet) -> Watcher {
        let (observations, stop) = (Arc::new(Mutex::new(vec![])), Arc::new(AtomicBool::new(false)));
        let key_file = fleet.folder.path().join("members.key");
        let threads = (0..fleet.running.len()).flat_map(|member| {
            let address: SocketAddr = format!("127.0.0.1:{}", fleet.ports[2 * member + 1]).parse().unwrap();
            [false, true].map(|proposes| {
                let of = (observations.clone(), stop.clone(), key_file.clone());
                std::thread::spawn(move || watch(member, address, proposes, &of.0, &of.1, &of.2))
            })
        });
        let threads = threads.collect();
        Watcher { observations, stop, threads }
    }

    fn newest(&self) -> u64 {
        let alone = |s: &Observation| if let ActiveVersions::Single(n) = s.active { n } else { 0 };
        self.observations.lock().unwrap().iter().map(alone).max().unwrap_or_default()
    }

    /// Waits until all members act by one version of at least this number alone.
    fn until_agreed(&self, least: u64, members: usize) {
        let began = Instant::now();
        loop {
            let since = Instant::now();
            std::thread::sleep(MS(150));
            let observations = self.observations.lock().unwrap();
            let agrees = |m: usize| {
                observations
                    .iter()
                    .rev()
                    .take_while(|s| s.asked > since)
                    .any(|s| s.member == m && matches!(s.active, ActiveVersions::Single(n) if n >= least))
            };
            if (0..members).all(agrees) {
                return;
            }
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "not all act by edition {least}: {:?}",
                observations.last()
            );
        }
    }

    fn end(mut self) -> Vec<Observation> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().unwrap();
        }
        self.observations.lock().unwrap().clone()
    }
}

fn watch(
    member: usize,
    address: SocketAddr,
    proposes: bool,
    observations: &Mutex<Vec<Observation>>,
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
                // The timeout is long, because the answer of a stopped member after its continuation matters most.
                let Ok(Ok(Response::Configuration(shown))) =
                    timeout(MS(8000), ask(&mut sealed, Request::ShowConfiguration)).await
                else {
                    break;
                };
                observations.lock().unwrap().push(Observation {
                    member,
                    asked,
                    answered: Instant::now(),
                    active: shown.active,
                });
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
fn editions_are_proposed_shown_and_rejected_with_place_and_cause() {
    let mut fleet = Fleet::new(3);
    fleet.form_three();
    fleet.leader(&[0, 1, 2]);
    write(&fleet, "racks.json", RACKS);
    fleet.run_until_ok(&["editions", "propose", "m1.ncl", "racks.json"], "edition 1 holds");
    for (text, force, expected) in [
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
        let (code, output) = fleet.run(&arguments);
        assert!(code == Some(2) && output.contains(expected), "{text}: {output}");
    }
    write(&fleet, "drain.json", "[{\"state\": [\"s0\", \"draining\"]}]");
    fleet.run_until_ok(&["editions", "propose", "m0.ncl", "drain.json", "--force"], "edition 2 holds");
    for member in ["m0.ncl", "m1.ncl", "m2.ncl"] {
        fleet.run_until_ok(&["editions", "show", member], "standing: edition 2");
        fleet.run_until_ok(&["editions", "show", member], "2 servers of which 1 are ready");
    }
}

/// Kills or stops members at random, for a while.
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
    // Spans of 2900 ms are longer than three leases of 900 ms.
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

/// Plays six faults in a test run; the variable `FAULTS` sets another number for measurements (docs/measurements.md).
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
    let observations = watcher.end();
    let found = contradictions(&observations);
    println!(
        "faults {faults}, editions {editions}, answers {}, contradictions {}",
        observations.len(),
        found.len()
    );
    assert!(found.is_empty(), "{} contradictions: {:?}", found.len(), found[0]);
    assert!(
        observations.iter().any(|s| s.active == ActiveVersions::Unleased),
        "no member was ever without a lease"
    );
}

/// The checker finds a member that acts by the new version alone too early, or that continues with the old one.
#[rstest]
#[case::goes_on_with_the_old(&[(0, 0, 1, ActiveVersions::Single(1)), (1, 2, 3, ActiveVersions::Single(2)), (0, 4, 5, ActiveVersions::Single(1))], 1)]
#[case::still_the_stricter_of_older_ones(&[(1, 2, 3, ActiveVersions::Single(3)), (0, 4, 5, ActiveVersions::Joint(1, 2))], 1)]
#[case::in_a_buffer_since_before(&[(0, 0, 9, ActiveVersions::Single(1)), (1, 2, 3, ActiveVersions::Single(2))], 0)]
#[case::the_stricter_of_both(&[(1, 2, 3, ActiveVersions::Single(2)), (0, 4, 5, ActiveVersions::Joint(1, 2))], 0)]
#[case::without_a_lease(&[(1, 2, 3, ActiveVersions::Single(2)), (0, 4, 5, ActiveVersions::Unleased)], 0)]
fn the_checker_finds_contradictions(
    #[case] answers: &[(usize, u64, u64, ActiveVersions)],
    #[case] count: usize,
) {
    let began = Instant::now();
    let observations = |t: &(usize, u64, u64, ActiveVersions)| Observation {
        member: t.0,
        asked: began + MS(t.1),
        answered: began + MS(t.2),
        active: t.3,
    };
    let observations: Vec<Observation> = answers.iter().map(observations).collect();
    assert_eq!(contradictions(&observations).len(), count);
}
