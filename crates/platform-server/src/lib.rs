//! The planner on the platform's protocol: streams, discovery over HTTP, probes and signals, around the station
//! ([`grebespool_platform_protocol`]). No decision is made here.
//!
//! Everything runs on one thread, as tasks of a `LocalSet`.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod discovery;
mod http;
mod log;
mod probe;
mod stream;

pub use log::Log;

use grebespool::host::HealthCheckResult;
use grebespool_platform_protocol::{Conn, Outlet, Station, Terms};
use grebespool_write_queue::WriteQueue;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep};
use tracing::{Level, debug, error, info, warn};

/// What the tasks of one planner share. All of it is on one thread, and no borrow lives over an await.
struct Shared {
    began: Instant,
    station: RefCell<Station<Shell>>,
    streams: Rc<RefCell<BTreeMap<Conn, Rc<WriteQueue>>>>,
    /// The station was called, so it may be due earlier.
    called: Notify,
    watch: Rc<Watch>,
    probes: Rc<Probes>,
    /// One buffer for whatever is read: hundreds of silent connections hold none of their own.
    scratch: RefCell<Vec<u8>>,
}

/// What discovery's task is to do.
struct Watch {
    state: RefCell<grebespool_platform_protocol::Watch>,
    come: Notify,
    moved: Notify,
}

#[derive(Default)]
struct Probes {
    waiting: RefCell<VecDeque<(String, SocketAddr)>>,
    named: RefCell<BTreeSet<(String, SocketAddr)>>,
    come: Notify,
}

/// What the station asks, handed to the tasks concerned.
struct Shell {
    began: Instant,
    streams: Rc<RefCell<BTreeMap<Conn, Rc<WriteQueue>>>>,
    watch: Rc<Watch>,
    probes: Rc<Probes>,
}

impl Outlet for Shell {
    fn write(&mut self, conn: Conn, bytes: &[u8]) {
        if let Some(out) = self.streams.borrow().get(&conn) {
            out.push(self.began.elapsed(), bytes);
        }
    }
    fn close(&mut self, conn: Conn) {
        if let Some(out) = self.streams.borrow().get(&conn) {
            // A few words go out with it; a reader that has left much untaken takes none of them.
            if out.queued_bytes() > 1 << 10 { out.abort() } else { out.close() }
        }
    }
    fn probe(&mut self, server: &str, address: SocketAddr) {
        if self.probes.named.borrow_mut().insert((server.into(), address)) {
            self.probes.waiting.borrow_mut().push_back((server.into(), address));
            self.probes.come.notify_one();
        }
    }
    fn watch(&mut self) {
        self.watch.state.borrow_mut().ask();
        self.watch.come.notify_one();
    }
    fn ask_whole(&mut self) {
        self.watch.state.borrow_mut().ask_whole();
    }
    fn say(&mut self, text: &str) {
        warn!("{text}");
    }
    fn note(&mut self, text: &str) {
        info!("{text}");
    }
    fn debug(&mut self, text: &str) {
        debug!("{text}");
    }
}

impl Shared {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Calls the station at this moment, and has the clock look again at when it is due.
    fn call<T>(&self, what: impl FnOnce(&mut Station<Shell>, Duration) -> T) -> T {
        let done = what(&mut self.station.borrow_mut(), self.now());
        self.called.notify_one();
        done
    }

    fn probed(&self, server: String, address: SocketAddr, result: HealthCheckResult) {
        let probe = (server, address);
        self.probes.named.borrow_mut().remove(&probe);
        self.call(|station, _| station.probed(&probe.0, address, result));
    }
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// Runs a planner as the platform starts it, until it is told to stop. Exit 2: it cannot be started as it was told.
pub fn run() -> ExitCode {
    let Some(file) = std::env::var_os("GW_CONFIG").map(PathBuf::from) else {
        eprintln!(
            "grebespool: GW_CONFIG is not set; it names the file that the platform starts a planner with"
        );
        return ExitCode::from(2);
    };
    match start(&file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("grebespool: {why}");
            ExitCode::from(2)
        }
    }
}

fn read(file: &Path) -> Result<Terms, String> {
    let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
    Terms::read(&text).map_err(|bad| format!("{}: {bad}", file.display()))
}

fn start(file: &Path) -> Result<(), String> {
    let terms = read(file)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        // Before anybody is answered: a signal that nobody waits for would end the program.
        let hangups = signal(SignalKind::hangup()).map_err(|e| e.to_string())?;
        let mut terminated = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
        let mut interrupted = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
        let listener = listen(terms.listen).map_err(|e| format!("cannot listen at {}: {e}", terms.listen))?;
        info!(name = terms.name, listen = %terms.listen, discovery = %terms.discovery, "planner started");
        tokio::select! {
            () = serve(listener, terms, file.to_path_buf(), hangups) => {}
            _ = terminated.recv() => info!("told to stop"),
            _ = interrupted.recv() => info!("interrupted"),
        }
        Ok(())
    })
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    // All proxies may come at once.
    socket.listen(1024)
}

/// Descriptors that are held back: the runtime's and the log's, discovery's, the probes', and a few to spare.
const KEPT_FREE: usize = 24 + probe::AT_ONCE;

async fn serve(listener: TcpListener, terms: Terms, file: PathBuf, hangups: Signal) {
    let began = Instant::now();
    let streams = Rc::new(RefCell::new(BTreeMap::new()));
    let watch = Rc::new(Watch {
        state: RefCell::new(grebespool_platform_protocol::Watch::new(terms.discovery)),
        come: Notify::new(),
        moved: Notify::new(),
    });
    let probes = Rc::new(Probes::default());
    let shell = Shell { began, streams: streams.clone(), watch: watch.clone(), probes: probes.clone() };
    let mut station = Station::start(shell, terms, KEPT_FREE, unix_ms());
    if tracing::enabled!(Level::DEBUG) {
        station.log_weights();
    }
    let shared = Rc::new(Shared {
        began,
        station: RefCell::new(station),
        streams,
        called: Notify::new(),
        watch,
        probes,
        scratch: RefCell::new(vec![0; 16 << 10]),
    });
    let mut tasks = JoinSet::new();
    tasks.spawn_local(again(shared.clone(), "clock", clock));
    tasks.spawn_local(again(shared.clone(), "list", discovery::follow));
    tasks.spawn_local(again(shared.clone(), "probes", probe::run));
    tasks.spawn_local(reload(shared.clone(), file, hangups));
    tasks.spawn_local(tell(shared.clone()));
    // A task among the others, that they have their turns before it: what is awaited here goes before all of them.
    let mut accepting = JoinSet::new();
    accepting.spawn_local(stream::accept(shared, listener, tasks));
    if let Some(Err(fault)) = accepting.join_next().await
        && let Ok(fault) = fault.try_into_panic()
    {
        std::panic::resume_unwind(fault);
    }
}

/// Against a fault in one part that would end the planner, and with it service: the part is begun anew. Harm: a fault
/// that always comes back fills the log, a line a second.
async fn again<F: Future<Output = ()> + 'static>(
    shared: Rc<Shared>,
    name: &'static str,
    part: fn(Rc<Shared>) -> F,
) {
    loop {
        let mut task = JoinSet::new();
        task.spawn_local(part(shared.clone()));
        if let Some(Err(fault)) = task.join_next().await {
            error!(part = name, %fault, "a part of the planner ended and is begun anew");
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Wakes the station when it is due.
async fn clock(shared: Rc<Shared>) {
    loop {
        let due = shared.station.borrow().due();
        tokio::select! {
            () = tokio::time::sleep_until(shared.began + due) => {
                let now = shared.now();
                shared.station.borrow_mut().woken(now);
            }
            () = shared.called.notified() => {}
        }
    }
}

/// A line now and then for operators.
async fn tell(shared: Rc<Shared>) {
    loop {
        sleep(Duration::from_secs(10)).await;
        let [joined, unjoined, listed, ready, indices] = shared.station.borrow().counts();
        let version = shared.station.borrow().list_version();
        info!(joined, unjoined, listed, ready, indices, ?version, "standing");
    }
}

/// Reads the file again when told to. A file that cannot be used, or not yet, leaves what stands in force.
async fn reload(shared: Rc<Shared>, file: PathBuf, mut hangups: Signal) {
    const TRIES: u32 = 20;
    while hangups.recv().await.is_some() {
        for attempt in 1..=TRIES {
            match read(&file) {
                Ok(terms) => {
                    info!(discovery = %terms.discovery, "the configuration was read again");
                    if shared.watch.state.borrow_mut().moved(terms.discovery) {
                        shared.watch.moved.notify_one();
                    }
                    break;
                }
                Err(why) => {
                    if attempt == 1 || attempt == TRIES {
                        warn!("{why}; what stood before stays in force");
                    }
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }
}
