//! An emulated proxy on sockets: clients on one side, servers on the other, and a stream to the planner.

use crate::link::Link;
use crate::world::World;
use grebespool_controller_server::HEARTBEAT_INTERVAL;
use grebespool_controller_server::dial::{AppliedUpdate, Dialer, handshake, read_message};
use grebespool_invariants::Event;
use grebespool_server_model::{Admission, Avoidance, ProxyTables, ReportAggregator, UpdateId};
use grebespool_settings::ProxyKind;
use grebespool_wire::{
    Call, CallOutcome, Close, CloseReason, FrameDecoder, MAX_BODY_BYTES, Message, Response, RetryPolicy,
    Role, ServerId, UpdateAck,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The senders for awaited responses, by request, client attempt and retry.
type PendingResponses = Rc<RefCell<BTreeMap<(u64, u8, u8), oneshot::Sender<Response>>>>;

/// A connection to a server.
struct ServerConnection {
    calls: mpsc::UnboundedSender<Call>,
    pending: PendingResponses,
    task: AbortHandle,
}

/// An emulated proxy.
pub(crate) struct Proxy {
    world: Rc<World>,
    pub(crate) number: u16,
    pub(crate) zone: u16,
    kind: ProxyKind,
    pub(crate) addr: SocketAddr,
    pub(crate) link: Rc<Link>,
    tables: RefCell<ProxyTables>,
    rng: RefCell<Pcg64Mcg>,
    connections: RefCell<BTreeMap<ServerId, ServerConnection>>,
    /// Zone of each server.
    zones: Rc<RefCell<BTreeMap<ServerId, u16>>>,
    reports: RefCell<ReportAggregator>,
    nonces: Cell<u64>,
    /// Mean request rate of a proxy, per second, for the join.
    rate: f32,
}

/// The result of one attempt at a server.
enum AttemptResult {
    /// The server responded.
    Answered(CallOutcome),
    /// The attempt is proven not to have run.
    NotRun,
    /// The attempt may have run.
    Unknown,
}

impl Proxy {
    /// Timeout of a connection attempt.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
    const NO_LIMIT: Duration = Duration::from_secs(86_400);

    /// Starts a proxy with an initial table of the servers in `standing`.
    #[expect(clippy::too_many_arguments, reason = "each is a distinct property of the proxy")]
    pub(crate) async fn new(
        world: Rc<World>,
        number: u16,
        zone: u16,
        kind: ProxyKind,
        link: Rc<Link>,
        standing: Vec<ServerId>,
        zones: Rc<RefCell<BTreeMap<ServerId, u16>>>,
        seed: u64,
        rate: f32,
    ) -> io::Result<Rc<Proxy>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let lines = standing.iter().map(|s| (*s, 1.0)).collect();
        world.put(Event::Began { proxy: number, lines });
        let tables = ProxyTables::new(
            kind.picks,
            Avoidance { after_failures: kind.avoids, duration: kind.avoids_for.0 },
            &standing,
        );
        let proxy = Rc::new(Proxy {
            addr: listener.local_addr()?,
            world,
            number,
            zone,
            kind,
            link,
            tables: RefCell::new(tables),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            connections: RefCell::default(),
            zones,
            reports: RefCell::default(),
            nonces: Cell::new(seed << 32),
            rate,
        });
        spawn_local(proxy.clone().run_streams());
        let serving = proxy.clone();
        spawn_local(async move {
            loop {
                if let Ok((socket, _)) = listener.accept().await {
                    let _ = socket.set_nodelay(true);
                    spawn_local(serving.clone().serve_client(socket));
                }
            }
        });
        Ok(proxy)
    }

    /// Returns the name under which the proxy joins.
    pub(crate) fn name(&self) -> String {
        format!("proxy-{}", self.number)
    }

    /// Returns a nonce that no other proxy and no other handshake uses.
    fn nonce(&self) -> [u8; 16] {
        self.nonces.set(self.nonces.get() + 1);
        (u128::from(self.number) << 64 | u128::from(self.nonces.get())).to_be_bytes()
    }

    // The planner's side.

    /// Joins the planner again and again, with a random wait after each stream.
    async fn run_streams(self: Rc<Self>) {
        loop {
            let joined = Cell::new(false);
            let _ = self.stream(&joined).await;
            if joined.get() {
                self.world.put(Event::Left { proxy: self.number });
                self.tables.borrow_mut().stream_closed();
            }
            let max_wait = self.kind.redial.0;
            let wait = max_wait.mul_f64(self.rng.borrow_mut().random_range(0.2..1.0));
            sleep(wait).await;
        }
    }

    /// Joins, and applies updates and sends reports until the stream ends.
    async fn stream(&self, joined: &Cell<bool>) -> io::Result<()> {
        let mut socket = TcpStream::connect(self.link.addr).await?;
        socket.set_nodelay(true)?;
        let welcome = timeout(Duration::from_secs(3), self.join(&mut socket, &self.name())).await??;
        let mut decoder = welcome.decoder;
        let accepted =
            self.tables.borrow_mut().stream_accepted(welcome.incarnation, welcome.stream, welcome.term);
        if accepted.is_err() {
            let text = format!("epoch {} has been seen", self.tables.borrow().term());
            let close = Message::Close(Close { reason: CloseReason::StaleTerm, text });
            return socket.write_all(&close.to_frame()).await;
        }
        joined.set(true);
        let (mut from, mut to) = socket.into_split();
        // Without terms no other planner takes over, so waiting for a silent one costs nothing.
        let silence_limit = if welcome.term > 0 { HEARTBEAT_INTERVAL * 3 } else { Self::NO_LIMIT };
        let mut last_message = Instant::now();
        let mut report_timer = tokio::time::interval(self.world.deployment.reports.cycle.0);
        loop {
            tokio::select! {
                message = timeout_at(last_message + silence_limit, read_message(&mut from, &mut decoder)) => match message
                    .inspect_err(|_| self.link.select_next_planner())??
                {
                    Message::Heartbeat => last_message = Instant::now(),
                    Message::Update(orders) => {
                        last_message = Instant::now();
                        let applied_update = self.tables.borrow_mut().apply(&orders);
                        if let Ok(token) = applied_update {
                            let (start, stream, seq) = (orders.incarnation, orders.stream, orders.sequence);
                            to.write_all(&Message::UpdateAck(UpdateAck { incarnation: start, stream, sequence: seq, token}).to_frame()).await?;
                            self.close_unlisted();
                        }
                    }
                    _ => return Ok(()),
                },
                _ = report_timer.tick() => {
                    let report = self.reports.borrow_mut().take_report();
                    to.write_all(&report.to_frame()).await?;
                },
            }
        }
    }

    /// Performs the handshake with the planner.
    async fn join(
        &self,
        socket: &mut TcpStream,
        name: &str,
    ) -> io::Result<grebespool_controller_server::dial::WelcomedStream> {
        let (unconfigured, applied, term) = {
            let tables = self.tables.borrow();
            let UpdateId { incarnation, sequence } = tables.last_applied();
            (tables.is_unconfigured(), AppliedUpdate { incarnation, sequence }, tables.term())
        };
        let zone = &self.world.deployment.zones[usize::from(self.zone)];
        let peer = Dialer {
            role: Role::Proxy,
            name,
            zone,
            calls_per_s: self.rate,
            initial_table_only: unconfigured,
            applied,
            newest_term: term,
        };
        handshake(socket, &self.world.key, self.nonce(), &peer).await
    }

    /// Closes connections to servers that the tables no longer contain.
    fn close_unlisted(&self) {
        let tables = self.tables.borrow();
        self.connections.borrow_mut().retain(|server, conn| {
            // A connection stays open until the attempts on it have ended.
            tables.contains(*server) || !conn.pending.borrow().is_empty()
        });
    }

    // The clients' side.

    /// Serves a client's connection.
    async fn serve_client(self: Rc<Self>, socket: TcpStream) {
        let (mut from, mut to) = socket.into_split();
        let (answers, mut waiting) = mpsc::unbounded_channel::<Response>();
        spawn_local(async move {
            while let Some(answer) = waiting.recv().await {
                if to.write_all(&Message::Response(answer).to_frame()).await.is_err() {
                    break;
                }
            }
        });
        let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
        while let Ok(Message::Call(call)) = read_message(&mut from, &mut decoder).await {
            let (proxy, answers) = (self.clone(), answers.clone());
            spawn_local(async move {
                let outcome = proxy.forward_request(call).await;
                let (id, attempt) = (call.id, call.attempt);
                let _ = answers.send(Response { id, attempt, retry: 0, outcome, metrics: None });
            });
        }
    }

    /// Sends a client's attempt to up to two servers and returns its outcome.
    async fn forward_request(&self, call: Call) -> CallOutcome {
        self.reports.borrow_mut().request_received(call.route);
        let Admission { share, retries: tries } = self.tables.borrow().admission(call.route);
        if self.rng.borrow_mut().random_range(0.0..1.0) >= share {
            return CallOutcome::Rejected;
        }
        let max_attempts = if tries == RetryPolicy::Never { 1 } else { 2 };
        let route = &self.world.deployment.routes[usize::from(call.route)];
        let began = self.world.now();
        let limit = Duration::from_micros(call.timeout_us.into());
        let mut tried = vec![];
        loop {
            let left = limit.saturating_sub(self.world.now() - began);
            let picked = self.pick(call.route, &tried);
            let Some(server) = picked.filter(|_| left > limit / 8) else { return CallOutcome::Rejected };
            let last = tried.len() + 1 >= max_attempts;
            let wait = match tries {
                RetryPolicy::AfterFailure if !last => {
                    left.min(route.slo.0.mul_f64(self.world.deployment.proxies.try_factor))
                }
                _ => left,
            };
            let sent = Call { retry: tried.len() as u8, proxy: self.number, ..call };
            tried.push(server);
            match self.attempt(server, sent, wait).await {
                AttemptResult::Answered(outcome) => return outcome,
                AttemptResult::NotRun if !last => {}
                AttemptResult::Unknown if !last && tries == RetryPolicy::AfterFailure => {}
                AttemptResult::NotRun => return CallOutcome::Rejected,
                AttemptResult::Unknown => return CallOutcome::Failed,
            }
        }
    }

    /// Picks a server by the tables, other than those tried.
    fn pick(&self, route: u8, tried: &[ServerId]) -> Option<ServerId> {
        let connections = self.connections.borrow();
        let in_flight = |s| connections.get(&s).map_or(0, |c: &ServerConnection| c.pending.borrow().len());
        let (now, rng) = (self.world.now(), &mut *self.rng.borrow_mut());
        self.tables.borrow_mut().pick(now, rng, route, tried, in_flight)
    }

    /// Sends an attempt to a server, waits for its result, and adds it to the report and the tables.
    async fn attempt(&self, server: ServerId, call: Call, wait: Duration) -> AttemptResult {
        let from = self.world.now();
        let ended = timeout(wait, self.send_attempt(server, call)).await;
        let took = self.world.now() - from;
        let mut report = None;
        let (result, succeeded) = match ended {
            Ok(Ok(answer)) => {
                report = answer.metrics;
                match answer.outcome {
                    CallOutcome::Answered | CallOutcome::Duplicate => {
                        (AttemptResult::Answered(CallOutcome::Answered), true)
                    }
                    CallOutcome::Rejected => (AttemptResult::NotRun, false),
                    CallOutcome::Failed => (AttemptResult::Unknown, false),
                }
            }
            Ok(Err(not_run)) => (if not_run { AttemptResult::NotRun } else { AttemptResult::Unknown }, false),
            Err(_) => (AttemptResult::Unknown, false),
        };
        self.reports.borrow_mut().attempt_finished(server, succeeded.then_some(took), report);
        self.tables.borrow_mut().attempt_finished(self.world.now(), server, succeeded);
        result
    }

    /// Returns the server's response. The error is true if it is proven that the attempt did not run.
    async fn send_attempt(&self, server: ServerId, call: Call) -> Result<Response, bool> {
        let (sender, answer) = oneshot::channel();
        let key = (call.id, call.attempt, call.retry);
        let known = self.connections.borrow().get(&server).filter(|c| !c.task.is_finished()).is_some();
        if !known {
            let server_zone = self.zones.borrow().get(&server).copied().unwrap_or(self.zone);
            if self.world.partitioned(self.zone, server_zone) {
                // Across a partition, the connection attempt fails only after a timeout.
                sleep(Self::CONNECT_TIMEOUT).await;
                return Err(true);
            }
            let socket = match timeout(Self::CONNECT_TIMEOUT, TcpStream::connect(server.addr)).await {
                Ok(Ok(socket)) => socket,
                _ => return Err(true),
            };
            let _ = socket.set_nodelay(true);
            self.open_connection(server, server_zone, socket);
            self.world.put(Event::Connected { proxy: self.number, server });
        }
        {
            let connections = self.connections.borrow();
            let Some(conn) = connections.get(&server) else { return Err(true) };
            conn.pending.borrow_mut().insert(key, sender);
            if conn.calls.send(call).is_err() {
                return Err(true);
            }
        }
        self.world.put(Event::Sent { proxy: self.number, server, call });
        answer.await.map_err(|_| false)
    }

    /// Adds a connection to a server and starts its task.
    fn open_connection(&self, server: ServerId, server_zone: u16, socket: TcpStream) {
        let (calls, mut waiting) = mpsc::unbounded_channel::<Call>();
        let pending = PendingResponses::default();
        let (mut from, mut to) = socket.into_split();
        let (world, zone, waiters) = (self.world.clone(), self.zone, pending.clone());
        let task = spawn_local(async move {
            let writing = async {
                while let Some(call) = waiting.recv().await {
                    if !world.partitioned(zone, server_zone)
                        && to.write_all(&Message::Call(call).to_frame()).await.is_err()
                    {
                        break;
                    }
                }
            };
            let reading = async {
                let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
                while let Ok(Message::Response(answer)) = read_message(&mut from, &mut decoder).await {
                    if world.partitioned(zone, server_zone) {
                        continue;
                    }
                    let key = (answer.id, answer.attempt, answer.retry);
                    let waiter = waiters.borrow_mut().remove(&key);
                    if let Some(waiter) = waiter {
                        let _ = waiter.send(answer);
                    }
                }
            };
            tokio::select! {
                () = writing => {}
                () = reading => {}
            }
            waiters.borrow_mut().clear();
        })
        .abort_handle();
        self.connections.borrow_mut().insert(server, ServerConnection { calls, pending, task });
    }
}
