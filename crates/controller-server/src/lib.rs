//! The planner on sockets: accepts proxies, follows the server list, probes servers, and carries out what the
//! engine ([`grebespool_controller`]) asks. All decisions are the engine's and the module's; here are streams,
//! timers and backpressure.
//!
//! Everything runs on one thread, as tasks of a `LocalSet`; [`serve`] never returns while its future is
//! polled, and dropping that future ends the planner at once, as a kill would.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

pub mod dial;
mod elsewhere;
mod list;
mod memory;
mod outgoing;
mod probe;
mod sites;
mod stream;

pub use elsewhere::send_elsewhere;
use grebespool::host::HealthCheckResult;
use grebespool_controller::{Engine, Outlet, Start, StreamId, Unsupported};
use grebespool_leader_election::Snapshot;
use grebespool_settings::{Deployment, ListSource, Listen};
use grebespool_wire::{CameLine, Entry, Key, Message, MetLine, Orders, Reason, ServerId};
use outgoing::Outgoing;
pub use sites::{SiteAsk, SiteWhat};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tracing::{debug, info, warn};

/// Stands between the engine and the streams: [`Untouched`] but for tests, and for a controller that may order only
/// while it leads.
pub trait Passage: 'static {
    fn pass(&mut self, stream: StreamId, orders: Orders) -> Option<Orders>;
}

pub struct Untouched;

/// A leader among several controllers is heard at least this often; a proxy that hears nothing for three times as long
/// looks for another.
pub const ALIVE: Duration = Duration::from_secs(1);

impl Passage for Untouched {
    fn pass(&mut self, _: StreamId, orders: Orders) -> Option<Orders> {
        Some(orders)
    }
}

/// Told of what a recording of the day needs, as it happens. It is called on the planner's own thread, and must not
/// wait.
pub trait Watch: 'static {
    fn list(&mut self, now: Duration, version: u64, base: u64, now_ms: u64, entries: &[Entry]);
    fn joined(&mut self, now: Duration, name: &str, zone: &str, bare: bool);
    /// The proxy is without this planner from here on.
    fn left(&mut self, now: Duration, name: &str);
    /// So many calls of each route came to the proxy within its last cycle.
    fn came(&mut self, now: Duration, name: &str, came: &[CameLine]);
    /// What the proxy met at servers within its last cycle.
    fn met(&mut self, _: &str, _: &[MetLine]) {}
    /// A proxy holds orders of an epoch that is newer than this planner's.
    fn passed_over(&mut self, epoch: u64);
    /// What a former leader of the fleet knew, to begin with. Asked once, before anybody is listened to.
    fn recall(&mut self) -> Option<Snapshot> {
        None
    }
    /// How often [`Watch::remember`] is to be told.
    fn remembers_every(&self) -> Option<Duration> {
        None
    }
    /// Where operators' questions and orders on sites come from, if any do. Asked once.
    fn site_asks(&mut self) -> Option<tokio::sync::mpsc::UnboundedReceiver<SiteAsk>> {
        None
    }
    /// What this planner knows now; its epoch and number are the hearer's to set.
    fn remember(&mut self, _: Snapshot) {}
}

pub struct Unwatched;

impl Watch for Unwatched {
    fn list(&mut self, _: Duration, _: u64, _: u64, _: u64, _: &[Entry]) {}
    fn joined(&mut self, _: Duration, _: &str, _: &str, _: bool) {}
    fn left(&mut self, _: Duration, _: &str) {}
    fn came(&mut self, _: Duration, _: &str, _: &[CameLine]) {}
    fn passed_over(&mut self, _: u64) {}
}

/// What the tasks of one planner share. All of it is on one thread, and no borrow lives over an await.
struct Shared {
    began: Instant,
    start: Start,
    key: Key,
    listen: Listen,
    engine: RefCell<Engine<Shell>>,
    streams: Rc<RefCell<BTreeMap<StreamId, Rc<Outgoing>>>>,
    next_stream: Cell<StreamId>,
    unjoined: Cell<usize>,
    /// The engine was called, so it may be due earlier.
    called: Notify,
    asks: Rc<Asks>,
    probes: Rc<Probes>,
    watch: RefCell<Box<dyn Watch>>,
    /// Each joined name's stream: one that a newer has taken the place of is not missed when it ends.
    names: RefCell<BTreeMap<String, StreamId>>,
}

/// Asks for the list that wait for the list's task.
#[derive(Default)]
struct Asks {
    have: Cell<Option<u64>>,
    come: Notify,
}

#[derive(Default)]
struct Probes {
    waiting: RefCell<VecDeque<ServerId>>,
    come: Notify,
}

/// What the engine asks, handed to the tasks concerned.
struct Shell {
    began: Instant,
    start: Start,
    streams: Rc<RefCell<BTreeMap<StreamId, Rc<Outgoing>>>>,
    asks: Rc<Asks>,
    probes: Rc<Probes>,
    passage: Box<dyn Passage>,
}

impl Shell {
    fn outgoing(&self, stream: StreamId) -> Option<Rc<Outgoing>> {
        self.streams.borrow().get(&stream).cloned()
    }
}

impl Outlet for Shell {
    fn welcome(&mut self, stream: StreamId) {
        if let Some(out) = self.outgoing(stream) {
            let (epoch, proof) = (self.start.epoch, out.proof.get());
            out.put(self.began.elapsed(), &Message::Welcome { stream, epoch, proof });
        }
    }

    fn send(&mut self, stream: StreamId, orders: Orders) {
        let Some(orders) = self.passage.pass(stream, orders) else { return };
        let Some(out) = self.outgoing(stream) else { return };
        if tracing::enabled!(tracing::Level::DEBUG) {
            log_orders(stream, &orders);
        }
        out.put(self.began.elapsed(), &Message::Orders(orders));
    }

    fn close(&mut self, stream: StreamId, reason: Reason, text: &str) {
        if let Some(out) = self.outgoing(stream) {
            out.close(self.began.elapsed(), reason, text);
        }
    }

    fn probe(&mut self, server: ServerId) {
        self.probes.waiting.borrow_mut().push_back(server);
        self.probes.come.notify_one();
    }

    fn ask_list(&mut self, have: u64) {
        self.asks.have.set(Some(have));
        self.asks.come.notify_one();
    }

    fn refused(&mut self, text: &str) {
        warn!(start = self.start.id, "{text}");
    }

    fn told(&mut self, text: &str) {
        warn!(start = self.start.id, "{text}");
    }
}

fn log_orders(stream: StreamId, orders: &Orders) {
    use grebespool_wire::Order::*;
    for part in &orders.parts {
        let cause = orders.cause;
        match part {
            Bind { table, version, lines, .. } => {
                debug!(
                    stream,
                    table,
                    version,
                    ?cause,
                    list = orders.list,
                    lines = lines.len(),
                    "table bound"
                );
            }
            Line { table, version, server, weight } => {
                debug!(stream, table, version, ?cause, list = orders.list, server = %server.addr, weight, "line");
            }
            Level(l) => debug!(stream, ?cause, routes = l.routes, share = l.share, tries = ?l.tries, "level"),
            Withdraw { server, out } => debug!(stream, ?cause, server = %server.addr, out, "withdrawal"),
            Mark(number) => debug!(stream, ?cause, number, "mark"),
        }
    }
}

impl Shared {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Calls the engine at this moment, and has the clock look again at when it is due.
    fn call<T>(&self, what: impl FnOnce(&mut Engine<Shell>, Duration) -> T) -> T {
        let done = what(&mut self.engine.borrow_mut(), self.now());
        self.called.notify_one();
        done
    }
}

/// Serves proxies on `listener` until it is dropped.
///
/// `passage` stands between the engine and the streams ([`Untouched`] but for tests). `probe_limit` is when a
/// probe without an answer has failed. `watch` is told what happens ([`Unwatched`] where nobody records it).
///
/// # Errors
///
/// A deployment of a kind that nothing is decided for; nothing is listened to then.
#[expect(clippy::too_many_arguments, reason = "each part takes its own few settings; none holds them all")]
pub async fn serve(
    listener: TcpListener,
    start: Start,
    key: Key,
    deployment: Deployment,
    listen: Listen,
    source: ListSource,
    probe_limit: Duration,
    passage: impl Passage,
    watch: impl Watch,
) -> Result<(), Unsupported> {
    let began = Instant::now();
    let streams = Rc::new(RefCell::new(BTreeMap::new()));
    let (asks, probes) = (Rc::new(Asks::default()), Rc::new(Probes::default()));
    let shell = Shell {
        began,
        start,
        streams: streams.clone(),
        asks: asks.clone(),
        probes: probes.clone(),
        passage: Box::new(passage),
    };
    let mut watch = watch;
    let mut engine = Engine::start(
        shell,
        start,
        deployment.bounds(listen.stall.0),
        deployment.zones.clone(),
        deployment.routes(),
        deployment.plane(),
        deployment.graces(),
        deployment.pace(),
        deployment.sight(source.ask_within()),
    )?;
    if let Some(timing) = deployment.watch() {
        engine.watch_sites(&deployment.routes(), timing);
    }
    if let Some(memory) = watch.recall() {
        memory::recall(&mut engine, &memory);
    }
    let (every, site_asks) = (watch.remembers_every(), watch.site_asks());
    let shared = Rc::new(Shared {
        began,
        start,
        key,
        listen,
        engine: RefCell::new(engine),
        streams,
        next_stream: Cell::new(1),
        unjoined: Cell::new(0),
        called: Notify::new(),
        asks,
        probes,
        watch: RefCell::new(Box::new(watch)),
        names: RefCell::default(),
    });
    info!(start = start.id, address = ?listener.local_addr().ok(), "planner started");
    let mut tasks = JoinSet::new();
    tasks.spawn_local(clock(shared.clone()));
    tasks.spawn_local(list::follow(shared.clone(), source));
    tasks.spawn_local(probe::run(shared.clone(), probe_limit));
    if start.epoch > 0 {
        tasks.spawn_local(alive(shared.clone()));
    }
    if let Some(asks) = site_asks {
        tasks.spawn_local(sites::answer(shared.clone(), asks));
    }
    if let Some(every) = every {
        tasks.spawn_local(memory::remember(shared.clone(), every));
    }
    accept(shared, listener, tasks).await;
    Ok(())
}

/// Wakes the engine when it is due.
async fn clock(shared: Rc<Shared>) {
    loop {
        let due = shared.engine.borrow().due();
        tokio::select! {
            () = tokio::time::sleep_until(shared.began + due) => {
                let now = shared.now();
                shared.engine.borrow_mut().woken(now);
            }
            () = shared.called.notified() => {}
        }
    }
}

/// Against a leader that hangs with its streams open: its proxies, told of nothing, would wait for it for ever while
/// another leads. Only controllers that follow each other say it; else there is nobody to go to.
async fn alive(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(ALIVE).await;
        let joined: Vec<Rc<Outgoing>> =
            shared.streams.borrow().values().filter(|out| out.name.borrow().is_some()).cloned().collect();
        joined.iter().for_each(|out| out.put(shared.now(), &Message::Alive));
    }
}

async fn accept(shared: Rc<Shared>, listener: TcpListener, mut tasks: JoinSet<()>) {
    let allowed = shared.listen.allowed();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((_, from)) if !allowed.holds(from.ip()) => {
                    warn!(%from, "a connection from outside the allowed networks was closed");
                }
                // Against streams that are opened and left: those that do join are not kept out for long.
                Ok((_, from)) if shared.unjoined.get() >= shared.listen.unjoined => {
                    warn!(%from, "too many streams have not joined; one more was closed");
                }
                Ok((socket, from)) => {
                    let _ = socket.set_nodelay(true);
                    tasks.spawn_local(stream::run(shared.clone(), socket, from));
                }
                Err(error) => {
                    // Out of descriptors, say: the streams that there are go on.
                    warn!(%error, "a connection could not be accepted");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            },
            Some(ended) = tasks.join_next() => if let Err(error) = ended && error.is_panic() {
                std::panic::resume_unwind(error.into_panic());
            },
        }
    }
}

impl Shared {
    fn joined(&self, id: StreamId, name: &str, zone: &str, bare: bool) {
        self.names.borrow_mut().insert(name.into(), id);
        self.watch.borrow_mut().joined(self.now(), name, zone, bare);
    }

    fn left(&self, id: StreamId, name: &str) {
        let mut names = self.names.borrow_mut();
        if names.get(name) == Some(&id) {
            names.remove(name);
            self.watch.borrow_mut().left(self.now(), name);
        }
    }

    fn probed(&self, server: ServerId, result: HealthCheckResult) {
        self.call(|engine, now| engine.probed(now, server, result));
    }
}
