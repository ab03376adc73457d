//! Measures, in one run: kills of the leading controller, with the times until the next leader, its first updates and the
//! binding of all proxies; the cost of membership compared with a single planner; and the size of a snapshot.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_cluster::Store;
use grebespool_controller_server::dial::{AppliedUpdate, Dialer, handshake, read_message};
use grebespool_emulator::{FleetHost, PlannerHost, ProcessHost};
use grebespool_leader_election::{
    AppliedOrders, EndpointPhase as Known, EndpointRecord, LearnedWeight, Membership, PoolRecord,
    ProxyBinding, Snapshot,
};
use grebespool_settings::{Deployment, ListMode, ListSource, Planned, Span};
use grebespool_wire::{
    Challenge, Change, EndpointEntry, EndpointList, EndpointPoll, EndpointState, FleetKey, FrameDecoder,
    Hello, MAX_BODY_BYTES, Message, PROTOCOL_VERSION, Role, ServerId, TableBinding, Transcript, Update,
    UpdateAck, Welcome,
};
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const KEY: &[u8] = b"the key of a benchmark";
const PROXIES: usize = 60;
const SERVERS: usize = 100;

fn deployment() -> Deployment {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl");
    let mut deployment = Planned::read(&example).unwrap_or_else(|bad| panic!("{bad}")).deployment;
    deployment.proxies.expected = PROXIES;
    // Each proxy joins again after every kill.
    deployment.proxies.joins = 100;
    deployment.reports.probing = false;
    deployment
}

fn server(n: usize) -> ServerId {
    ServerId { addr: ([127, 1, (n >> 8) as u8, n as u8], 9000).into(), number: n as u32 }
}

/// Serves the same list to each planner.
async fn serve_list(listener: TcpListener) {
    loop {
        let Ok((mut socket, _)) = listener.accept().await else { continue };
        spawn_local(async move {
            let (mut inbox, key) = (FrameDecoder::new(MAX_BODY_BYTES), FleetKey::derive(KEY));
            let Ok(Message::Hello(Hello { name, nonce, .. })) = read_message(&mut socket, &mut inbox).await
            else {
                return;
            };
            let challenge =
                Message::Challenge(Challenge { version: PROTOCOL_VERSION, incarnation: 1, nonce: [7; 16] });
            let _ = socket.write_all(&challenge.to_frame()).await;
            let Ok(Message::Join(join)) = read_message(&mut socket, &mut inbox).await else { return };
            let proof = key.listener_proof(&Transcript {
                dialer_nonce: &nonce,
                listener_nonce: &[7; 16],
                incarnation: 1,
                name: &name,
                zone: &join.zone,
            });
            let _ =
                socket.write_all(&Message::Welcome(Welcome { stream: 1, term: 0, proof }).to_frame()).await;
            let entry = |n: usize| {
                let zone = if n.is_multiple_of(2) { "east" } else { "west" }.into();
                EndpointEntry { server: server(n), zone, state: EndpointState::Ready, started_ms: 0 }
            };
            while let Ok(Message::EndpointPoll(EndpointPoll { known_version: have, .. })) =
                read_message(&mut socket, &mut inbox).await
            {
                if have < 1 {
                    let entries = (0..SERVERS).map(entry).collect();
                    let list = Message::EndpointList(EndpointList {
                        version: 1,
                        base_version: 0,
                        now_ms: 1,
                        entries,
                    });
                    let _ = socket.write_all(&list.to_frame()).await;
                }
            }
        });
    }
}

/// Observations of all proxies in the newest term.
#[derive(Default)]
struct Seen {
    term: Cell<u64>,
    welcomed: Cell<Option<Instant>>,
    ordered: Cell<Option<Instant>>,
    bound: RefCell<BTreeMap<usize, Instant>>,
    lines: Cell<usize>,
}

impl Seen {
    /// Returns true if a term is the newest one. The first sight of a newer term resets the observations.
    fn is_newest(&self, term: u64) -> bool {
        if term > self.term.get() {
            self.term.set(term);
            self.welcomed.take();
            self.ordered.take();
            self.bound.borrow_mut().clear();
            self.lines.set(0);
        }
        term == self.term.get()
    }

    /// Records the first update of the term and the binding of a proxy.
    fn record_update(&self, number: usize, update: &Update) {
        if self.is_newest(update.term) {
            let now = Instant::now();
            self.ordered.set(self.ordered.get().or(Some(now)));
            for part in &update.changes {
                if let Change::BindTable(TableBinding { weights: lines, .. }) = part {
                    self.bound.borrow_mut().entry(number).or_insert(now);
                    self.lines.set(self.lines.get() + lines.len());
                }
            }
        }
    }
}

/// Returns the acknowledgement of an update, with the token that the update requests.
fn acknowledgement(update: &Update) -> Message {
    let token =
        update.changes.iter().find_map(|p| if let Change::RequestAck(m) = p { Some(*m) } else { None });
    let Update { incarnation, stream, sequence, .. } = *update;
    Message::UpdateAck(UpdateAck { incarnation, stream, sequence, token })
}

/// Runs a proxy that follows the leader.
async fn proxy(number: usize, at: Vec<SocketAddr>, seen: Rc<Seen>) {
    let (name, zone) = (format!("p{number}"), if number.is_multiple_of(2) { "east" } else { "west" });
    let (mut term, mut turn, mut dials) = (0, number, 0u64);
    loop {
        dials += 1;
        let nonce = ((number as u128) << 64 | u128::from(dials)).to_be_bytes();
        let to = at[turn % at.len()];
        let dialed = async {
            let mut socket = TcpStream::connect(to).await?;
            socket.set_nodelay(true)?;
            let peer = Dialer {
                role: Role::Proxy,
                name: &name,
                zone,
                calls_per_s: 5.0,
                initial_table_only: dials == 1,
                applied: AppliedUpdate::default(),
                newest_term: term,
            };
            handshake(&mut socket, &FleetKey::derive(KEY), nonce, &peer).await.map(|d| (socket, d))
        };
        let Ok(Ok((socket, mut dialed))) = timeout(Duration::from_millis(500), dialed).await else {
            turn += 1;
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        if dialed.term < term {
            continue;
        }
        term = dialed.term;
        if seen.is_newest(term) {
            seen.welcomed.set(seen.welcomed.get().or(Some(Instant::now())));
        }
        let (mut from, mut to) = socket.into_split();
        while let Ok(message) = read_message(&mut from, &mut dialed.decoder).await {
            let update = match message {
                Message::Update(update) => update,
                Message::Heartbeat => continue,
                _ => break,
            };
            seen.record_update(number, &update);
            if to.write_all(&acknowledgement(&update).to_frame()).await.is_err() {
                break;
            }
        }
    }
}

/// Returns the CPU seconds used by a process.
fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / 100.0
}

fn waits() -> Histogram<u64> {
    Histogram::new(3).unwrap()
}

fn row(what: &str, h: &Histogram<u64>, scale: f64) {
    let of = |q: f64| h.value_at_quantile(q) as f64 / scale;
    println!("| {what} | {:.0} | {:.0} | {:.0} |", of(0.5), of(0.99), h.max() as f64 / scale);
}

async fn kills(count: usize) {
    let folder = tempfile::tempdir().unwrap();
    let key_file = folder.path().join("key");
    std::fs::write(&key_file, KEY).unwrap();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let source =
        ListSource::new(listener.local_addr().unwrap(), ListMode::Pushed, Span(Duration::from_secs(10)));
    spawn_local(serve_list(listener));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_grebespool-cli"));
    let stall = Duration::from_secs(20);
    let mut lone = ProcessHost::new(program.clone(), stall).unwrap();
    let alone = lone.start(&deployment(), &source, &key_file).unwrap();
    let accounts = tempfile::tempdir().unwrap();
    let mut fleet = FleetHost::new(program, stall, 3, accounts.path().into()).unwrap();
    let at = fleet.start(&deployment(), &source, &key_file).unwrap();
    let (seen, lone_seen) = (Rc::new(Seen::default()), Rc::new(Seen::default()));
    for number in 0..PROXIES {
        spawn_local(proxy(number, at.clone(), seen.clone()));
        spawn_local(proxy(number, alone.clone(), lone_seen.clone()));
    }
    sleep(Duration::from_secs(5)).await;
    assert_eq!((seen.bound.borrow().len(), lone_seen.bound.borrow().len()), (PROXIES, PROXIES));
    let ids: Vec<u32> = fleet.ids();
    let before = (cpu(lone.id().unwrap()), ids.iter().map(|i| cpu(*i)).collect::<Vec<_>>());
    sleep(Duration::from_secs(10)).await;
    let spent: Vec<f64> = ids.iter().zip(&before.1).map(|(i, b)| (cpu(*i) - b) / 10.0).collect();
    let lone_spent = (cpu(lone.id().unwrap()) - before.0) / 10.0;
    println!(
        "CPU s/s with {PROXIES} idle proxies: a lone planner {lone_spent:.3}, three members {spent:.3?}\n"
    );
    let (mut leader, mut first, mut bound, mut lines) = (waits(), waits(), waits(), waits());
    for i in 0..count {
        let was = seen.term.get();
        let at = Instant::now();
        fleet.kill();
        let all = async {
            while seen.term.get() == was || seen.bound.borrow().len() < PROXIES {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(Duration::from_secs(30), all).await.unwrap_or_else(|_| panic!("kill {i}: not all are bound"));
        let us = |t: Instant| (t - at).as_micros() as u64;
        leader.record(us(seen.welcomed.get().unwrap())).unwrap();
        first.record(us(seen.ordered.get().unwrap())).unwrap();
        bound.record(us(*seen.bound.borrow().values().max().unwrap())).unwrap();
        lines.record(seen.lines.get() as u64).unwrap();
        // Restarts the killed controller before the next kill.
        fleet.start(&deployment(), &source, &key_file).unwrap();
        sleep(Duration::from_millis(900)).await;
    }
    println!("| {count} kills of the leader, {PROXIES} proxies, {SERVERS} servers | p50 | p99 | worst |");
    println!("| --- | --- | --- | --- |");
    row("first proxy welcomed by the next, ms", &leader, 1000.0);
    row("its first orders, ms", &first, 1000.0);
    row("all proxies bound, ms", &bound, 1000.0);
    row("lines in their tables", &lines, 1.0);
}

fn snapshots() {
    println!("\n| servers | proxies | memory, KiB | to bytes, ms | written and synced, ms (median of 20) |");
    println!("| --- | --- | --- | --- | --- |");
    for times in [1, 4] {
        let (servers, proxies) = (545 * times, 600 * times);
        let listed = |n: usize| EndpointRecord {
            addr: server(n).addr,
            number: n as u32,
            zone: "east".into(),
            phase: Known::Ready,
            started_ms: 1_700_000_000_000,
        };
        let weight = |n: usize| LearnedWeight { addr: server(n).addr, number: n as u32, weight: 1.1 };
        let held = |n: usize| AppliedOrders { proxy: format!("proxy-{n}"), sequence: n as u64 };
        let snapshot = Snapshot {
            term: 1,
            number: 1,
            list_version: 9,
            list_ms: 1_700_000_000_000,
            endpoints: (0..servers).map(listed).collect(),
            weights: (0..servers).map(weight).collect(),
            drains: vec![],
            pools: vec![PoolRecord { zone: "east".into(), endpoints: (0..servers as u32).collect() }],
            bindings: (0..proxies).map(|n| ProxyBinding { proxy: format!("proxy-{n}"), pool: 0 }).collect(),
            applied_orders: (0..proxies).map(held).collect(),
        };
        let folder = tempfile::tempdir().unwrap();
        Store::form(folder.path(), 1, 1, Membership::default()).unwrap();
        let (store, _) = Store::open(folder.path(), 1).unwrap();
        let (mut made, mut written) = (vec![], vec![]);
        let mut size = 0;
        for number in 0..20 {
            let began = std::time::Instant::now();
            let bytes = snapshot.encode().unwrap();
            made.push(began.elapsed());
            size = bytes.len();
            let began = std::time::Instant::now();
            store.write_snapshot((1, number), &bytes).unwrap();
            written.push(began.elapsed());
        }
        made.sort();
        written.sort();
        let ms = |all: &[Duration]| all[all.len() / 2].as_secs_f64() * 1000.0;
        println!(
            "| {servers} | {proxies} | {:.0} | {:.2} | {:.1} |",
            size as f64 / 1024.0,
            ms(&made),
            ms(&written)
        );
    }
}

fn main() {
    let count = std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(100);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, kills(count));
    snapshots();
}
