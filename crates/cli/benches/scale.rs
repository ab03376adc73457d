//! Measures a planner process with many proxies and servers: simultaneous joins, the time until a change is in force at
//! all proxies that have the server, CPU and memory. All sizes are measured in one run, one after another.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_controller_server::dial::{AppliedUpdate, Dialer, handshake, read_message};
use grebespool_emulator::{PlannerHost, ProcessHost};
use grebespool_settings::{Deployment, ListMode, ListSource, Planned, Span};
use grebespool_wire::{
    Challenge, Change, EndpointEntry, EndpointList, EndpointState, FleetKey, FrameDecoder, Hello,
    MAX_BODY_BYTES, Message, PROTOCOL_VERSION, ProxyReport, Role, RouteLoad, ServerId, ServerLoad,
    ServerMetrics, TableBinding, Transcript, Update, UpdateAck, WeightChange, Welcome,
};
use hdrhistogram::Histogram;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const KEY: &[u8] = b"the key of a benchmark";
const CHANGES: usize = 24;

/// Observations of all proxies: when each was bound, and when the removal of an endpoint was in force.
#[derive(Default)]
struct Seen {
    bound: BTreeMap<usize, Instant>,
    holders: BTreeMap<ServerId, BTreeSet<usize>>,
    removed: Vec<(ServerId, usize, Instant)>,
    lines: usize,
}

fn deployment(proxies: usize) -> Deployment {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl");
    let mut deployment = Planned::read(&example).unwrap_or_else(|bad| panic!("{bad}")).deployment;
    deployment.proxies.expected = proxies;
    deployment.servers.least_connections = 300.0;
    // High limits, so that the program is measured and not its rate limit.
    (deployment.channel.lines_per_s, deployment.channel.most_waiting) = (1e6, 1e6);
    deployment.reports.probing = false;
    deployment
}

fn entry(server: ServerId, phase: EndpointState) -> EndpointEntry {
    let zone = if server.number.is_multiple_of(2) { "east" } else { "west" }.into();
    EndpointEntry { server, zone, state: phase, started_ms: 0 }
}

async fn serve_list(
    listener: TcpListener,
    entries: Vec<EndpointEntry>,
    mut changes: mpsc::UnboundedReceiver<Message>,
) {
    let (mut socket, _) = listener.accept().await.unwrap();
    socket.set_nodelay(true).unwrap();
    let (mut inbox, key) = (FrameDecoder::new(MAX_BODY_BYTES), FleetKey::derive(KEY));
    let Ok(Message::Hello(Hello { name, nonce, .. })) = read_message(&mut socket, &mut inbox).await else {
        return;
    };
    let challenge =
        Message::Challenge(Challenge { version: PROTOCOL_VERSION, incarnation: 1, nonce: [7; 16] });
    socket.write_all(&challenge.to_frame()).await.unwrap();
    let Ok(Message::Join(join)) = read_message(&mut socket, &mut inbox).await else { return };
    let proof = key.listener_proof(&Transcript {
        dialer_nonce: &nonce,
        listener_nonce: &[7; 16],
        incarnation: 1,
        name: &name,
        zone: &join.zone,
    });
    socket.write_all(&Message::Welcome(Welcome { stream: 1, term: 0, proof }).to_frame()).await.unwrap();
    let list = Message::EndpointList(EndpointList { version: 1, base_version: 0, now_ms: 1, entries });
    socket.write_all(&list.to_frame()).await.unwrap();
    while let Some(change) = changes.recv().await {
        socket.write_all(&change.to_frame()).await.unwrap();
    }
}

/// Applies an update, records the observations and returns the token to acknowledge.
fn apply_update(
    update: &Update,
    number: usize,
    table: &mut BTreeSet<ServerId>,
    seen: &mut Seen,
) -> Option<u16> {
    let mut token = None;
    for part in &update.changes {
        match part {
            Change::BindTable(TableBinding { weights: lines, .. }) => {
                seen.bound.entry(number).or_insert(Instant::now());
                seen.lines += lines.len();
                *table = lines.iter().map(|w| w.server).collect();
                for s in &*table {
                    seen.holders.entry(*s).or_default().insert(number);
                }
            }
            Change::SetWeight(WeightChange { server, weight, .. }) if *weight == 0.0 => {
                table.remove(server);
                seen.removed.push((*server, number, Instant::now()));
                seen.holders.entry(*server).or_default().remove(&number);
            }
            Change::SetWeight(WeightChange { server, .. }) => {
                table.insert(*server);
                seen.holders.entry(*server).or_default().insert(number);
            }
            Change::RequestAck(m) => token = Some(*m),
            _ => {}
        }
    }
    token
}

/// Runs a proxy that applies updates and reports loads every second.
async fn proxy(number: usize, to: std::net::SocketAddr, seen: Rc<RefCell<Seen>>) {
    let mut socket = TcpStream::connect(to).await.unwrap();
    socket.set_nodelay(true).unwrap();
    let zone = if number.is_multiple_of(2) { "east" } else { "west" };
    let (name, nonce) = (format!("p{number}"), (number as u128).to_be_bytes());
    let peer = Dialer {
        role: Role::Proxy,
        name: &name,
        zone,
        calls_per_s: 5.0,
        initial_table_only: true,
        applied: AppliedUpdate::default(),
        newest_term: 0,
    };
    let mut dialed = handshake(&mut socket, &FleetKey::derive(KEY), nonce, &peer).await.unwrap();
    let (mut from, mut to) = socket.into_split();
    let mut table = BTreeSet::new();
    let mut report_number = 0;
    // Spreads the reports of the proxies over a second.
    let mut sums = tokio::time::interval_at(
        Instant::now() + Duration::from_millis(1000 + number as u64 % 1000),
        Duration::from_secs(1),
    );
    loop {
        tokio::select! {
            message = read_message(&mut from, &mut dialed.decoder) => {
                let Ok(Message::Update(update)) = message else { return };
                let token = apply_update(&update, number, &mut table, &mut seen.borrow_mut());
                let applied =
                    Message::UpdateAck(UpdateAck { incarnation: update.incarnation, stream: update.stream, sequence: update.sequence, token});
                if to.write_all(&applied.to_frame()).await.is_err() {
                    return;
                }
            }
            _ = sums.tick() => {
                report_number += 1;
                let line = |s: &ServerId| {
                    let load = 0.3 + 0.1 * (s.number % 5) as f32 + 0.001 * (report_number % 9) as f32;
                    let report = Some(ServerMetrics { incarnation: 1, sequence: report_number, values: vec![load, 0.0] });
                    ServerLoad { server: *s, attempts: 1, dropped: 0, mean_latency_us: 40_000, metrics: report}
                };
                let met = table.iter().take(20).map(line).collect();
                let sums = Message::ProxyReport(ProxyReport { servers: met, routes: vec![RouteLoad { route: 0, calls: 20 }] });
                if to.write_all(&sums.to_frame()).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Returns the CPU seconds used and the peak memory in MiB.
fn usage(id: u32) -> (f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: f64 = fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
    let kib: f64 = peak.trim().trim_end_matches(" kB").trim().parse().unwrap();
    (ticks / 100.0, kib / 1024.0)
}

/// Drains servers one after another. Returns the times until proxies had the change in force, in microseconds, and the
/// number of proxies that did not within 600 ms.
async fn drain_servers(
    ids: &[ServerId],
    seen: &RefCell<Seen>,
    changes: &mpsc::UnboundedSender<Message>,
) -> (Histogram<u64>, usize) {
    let mut took = Histogram::<u64>::new(3).unwrap();
    let mut missed = 0;
    for i in 0..CHANGES {
        let server = ids[i * (ids.len() / CHANGES).max(1) % ids.len()];
        let holders = seen.borrow().holders.get(&server).cloned().unwrap_or_default();
        let sent_at = Instant::now();
        let version = 2 + i as u64;
        let drained = vec![entry(server, EndpointState::Draining)];
        changes
            .send(Message::EndpointList(EndpointList {
                version,
                base_version: version - 1,
                now_ms: 1,
                entries: drained,
            }))
            .unwrap();
        sleep(Duration::from_millis(600)).await;
        let seen = seen.borrow();
        let gone: Vec<_> = seen.removed.iter().filter(|r| r.0 == server).collect();
        missed += holders.len().saturating_sub(gone.len());
        gone.iter().for_each(|r| took.record((r.2 - sent_at).as_micros() as u64).unwrap());
    }
    (took, missed)
}

async fn measure(proxies: usize, servers: usize, record: bool) {
    let folder = tempfile::tempdir().unwrap();
    let key_file = folder.path().join("key");
    std::fs::write(&key_file, KEY).unwrap();
    let ids: Vec<ServerId> = (0..servers as u32)
        .map(|number| ServerId { addr: ([127, 1, (number >> 8) as u8, number as u8], 9000).into(), number })
        .collect();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let mode = ListMode::Pushed;
    let source = ListSource::new(listener.local_addr().unwrap(), mode, Span(Duration::from_secs(10)));
    let (changes, report_number) = mpsc::unbounded_channel();
    let entries = ids.iter().map(|s| entry(*s, EndpointState::Ready)).collect();
    spawn_local(serve_list(listener, entries, report_number));
    let program = PathBuf::from(env!("CARGO_BIN_EXE_grebespool-cli"));
    let trace = folder.path().join("day.trace").display().to_string();
    let recorded = ["--record", trace.as_str()];
    let arguments = if record { &recorded[..] } else { &[] };
    let mut host = ProcessHost::new(program, Duration::from_secs(20)).unwrap().with(arguments);
    let address = host.start(&deployment(proxies), &source, &key_file).unwrap()[0];
    sleep(Duration::from_millis(800)).await;
    let id = host.id().unwrap();
    let seen = Rc::new(RefCell::new(Seen::default()));
    let began = Instant::now();
    for number in 0..proxies {
        spawn_local(proxy(number, address, seen.clone()));
    }
    let all = async {
        while seen.borrow().bound.len() < proxies {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(Duration::from_secs(60), all).await.expect("not all are bound within a minute");
    let last = seen.borrow().bound.values().max().copied().unwrap() - began;
    let lines = seen.borrow().lines / proxies;
    sleep(Duration::from_secs(4)).await;
    let (cpu, _) = usage(id);
    let from = Instant::now();
    let (took, missed) = drain_servers(&ids, &seen, &changes).await;
    let (after, peak) = usage(id);
    let cpu = (after - cpu) / from.elapsed().as_secs_f64();
    let ms = |q: f64| took.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "| {proxies} | {servers} | {lines} | {:.0} | {:.1} | {:.1} | {:.1} | {missed} | {:.3} | {peak:.0} |",
        last.as_secs_f64() * 1000.0,
        ms(0.5),
        ms(0.99),
        took.max() as f64 / 1000.0,
        cpu,
    );
    host.kill();
}

fn main() {
    println!(
        "| proxies | servers | lines a table | all bound, ms | change p50, ms | p99 | worst | not within 600 ms | CPU s/s | peak MiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    if std::env::args().any(|a| a == "recording") {
        // Alternates, so that other load on the machine affects both alike.
        for i in 0..8 {
            println!("| {} ", if i % 2 == 0 { "without" } else { "recorded" });
            LocalSet::new().block_on(&runtime, measure(600, 545, i % 2 == 1));
        }
        return;
    }
    for (proxies, servers) in [(10, 100), (100, 100), (600, 545), (2000, 2000)] {
        LocalSet::new().block_on(&runtime, measure(proxies, servers, false));
    }
}
