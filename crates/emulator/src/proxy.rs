//! A proxy on sockets: callers on one side, servers on the other, and a stream to the planner.

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

/// What is wanted of a server's answer: who waits, by call, attempt and try.
type Asked = Rc<RefCell<BTreeMap<(u64, u8, u8), oneshot::Sender<Response>>>>;

struct Conn {
    calls: mpsc::UnboundedSender<Call>,
    asked: Asked,
    task: AbortHandle,
}

pub struct Proxy {
    world: Rc<World>,
    pub number: u16,
    pub zone: u16,
    kind: ProxyKind,
    pub addr: SocketAddr,
    pub link: Rc<Link>,
    held: RefCell<ProxyTables>,
    rng: RefCell<Pcg64Mcg>,
    conns: RefCell<BTreeMap<ServerId, Conn>>,
    zones: Rc<RefCell<BTreeMap<ServerId, u16>>>,
    sums: RefCell<ReportAggregator>,
    nonces: Cell<u64>,
    rate: f32,
}

/// How one try ended.
enum Tried {
    Answered(CallOutcome),
    /// Proven not to have run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Proxy {
    const CONNECT: Duration = Duration::from_millis(300);
    const FOR_EVER: Duration = Duration::from_secs(86_400);

    #[expect(clippy::too_many_arguments, reason = "each is its own")]
    pub async fn new(
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
        let held = ProxyTables::new(
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
            held: RefCell::new(held),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            conns: RefCell::default(),
            zones,
            sums: RefCell::default(),
            nonces: Cell::new(seed << 32),
            rate,
        });
        spawn_local(proxy.clone().follow());
        let serving = proxy.clone();
        spawn_local(async move {
            loop {
                if let Ok((socket, _)) = listener.accept().await {
                    let _ = socket.set_nodelay(true);
                    spawn_local(serving.clone().serve(socket));
                }
            }
        });
        Ok(proxy)
    }

    pub fn name(&self) -> String {
        format!("proxy-{}", self.number)
    }

    fn nonce(&self) -> [u8; 16] {
        self.nonces.set(self.nonces.get() + 1);
        (u128::from(self.number) << 64 | u128::from(self.nonces.get())).to_be_bytes()
    }

    // The planner's side.

    async fn follow(self: Rc<Self>) {
        loop {
            let joined = Cell::new(false);
            let _ = self.stream(&joined).await;
            if joined.get() {
                self.world.put(Event::Left { proxy: self.number });
                self.held.borrow_mut().stream_closed();
            }
            let most = self.kind.redial.0;
            let wait = most.mul_f64(self.rng.borrow_mut().random_range(0.2..1.0));
            sleep(wait).await;
        }
    }

    async fn stream(&self, joined: &Cell<bool>) -> io::Result<()> {
        let mut socket = TcpStream::connect(self.link.addr).await?;
        socket.set_nodelay(true)?;
        let dialled = timeout(Duration::from_secs(3), self.join(&mut socket, &self.name())).await??;
        let mut inbox = dialled.decoder;
        let welcomed =
            self.held.borrow_mut().stream_accepted(dialled.incarnation, dialled.stream, dialled.term);
        if welcomed.is_err() {
            let text = format!("epoch {} has been seen", self.held.borrow().term());
            let bye = Message::Close(Close { reason: CloseReason::StaleTerm, text });
            return socket.write_all(&bye.to_frame()).await;
        }
        joined.set(true);
        let (mut from, mut to) = socket.into_split();
        // Where nobody else would lead there is nothing to lose by waiting.
        let patience = if dialled.term > 0 { HEARTBEAT_INTERVAL * 3 } else { Self::FOR_EVER };
        let mut heard = Instant::now();
        let mut sums = tokio::time::interval(self.world.deployment.reports.cycle.0);
        loop {
            tokio::select! {
                message = timeout_at(heard + patience, read_message(&mut from, &mut inbox)) => match message
                    .inspect_err(|_| self.link.look_elsewhere())??
                {
                    Message::Heartbeat => heard = Instant::now(),
                    Message::Update(orders) => {
                        heard = Instant::now();
                        let obeyed = self.held.borrow_mut().apply(&orders);
                        if let Ok(mark) = obeyed {
                            let (start, stream, seq) = (orders.incarnation, orders.stream, orders.sequence);
                            to.write_all(&Message::UpdateAck(UpdateAck { incarnation: start, stream, sequence: seq, token: mark}).to_frame()).await?;
                            self.close_unnamed();
                        }
                    }
                    _ => return Ok(()),
                },
                _ = sums.tick() => {
                    let told = self.sums.borrow_mut().take_report();
                    to.write_all(&told.to_frame()).await?;
                },
            }
        }
    }

    async fn join(
        &self,
        socket: &mut TcpStream,
        name: &str,
    ) -> io::Result<grebespool_controller_server::dial::WelcomedStream> {
        let (bare, applied, epoch) = {
            let held = self.held.borrow();
            let UpdateId { incarnation, sequence } = held.last_applied();
            (held.is_unconfigured(), AppliedUpdate { incarnation, sequence }, held.term())
        };
        let zone = &self.world.deployment.zones[usize::from(self.zone)];
        let peer = Dialer {
            role: Role::Proxy,
            name,
            zone,
            calls_per_s: self.rate,
            initial_table_only: bare,
            applied,
            newest_term: epoch,
        };
        handshake(socket, &self.world.key, self.nonce(), &peer).await
    }

    fn close_unnamed(&self) {
        let held = self.held.borrow();
        self.conns.borrow_mut().retain(|server, conn| {
            // What is in hand there is answered first.
            held.contains(*server) || !conn.asked.borrow().is_empty()
        });
    }

    // The callers' side.

    async fn serve(self: Rc<Self>, socket: TcpStream) {
        let (mut from, mut to) = socket.into_split();
        let (answers, mut waiting) = mpsc::unbounded_channel::<Response>();
        spawn_local(async move {
            while let Some(answer) = waiting.recv().await {
                if to.write_all(&Message::Response(answer).to_frame()).await.is_err() {
                    break;
                }
            }
        });
        let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
        while let Ok(Message::Call(call)) = read_message(&mut from, &mut inbox).await {
            let (proxy, answers) = (self.clone(), answers.clone());
            spawn_local(async move {
                let outcome = proxy.carry_out(call).await;
                let (id, attempt) = (call.id, call.attempt);
                let _ = answers.send(Response { id, attempt, retry: 0, outcome, metrics: None });
            });
        }
    }

    async fn carry_out(&self, call: Call) -> CallOutcome {
        self.sums.borrow_mut().request_received(call.route);
        let Admission { share, retries: tries } = self.held.borrow().admission(call.route);
        if self.rng.borrow_mut().random_range(0.0..1.0) >= share {
            return CallOutcome::Rejected;
        }
        let most = if tries == RetryPolicy::Never { 1 } else { 2 };
        let route = &self.world.deployment.routes[usize::from(call.route)];
        let began = self.world.now();
        let limit = Duration::from_micros(call.timeout_us.into());
        let mut tried = vec![];
        loop {
            let left = limit.saturating_sub(self.world.now() - began);
            let picked = self.pick(call.route, &tried);
            let Some(server) = picked.filter(|_| left > limit / 8) else { return CallOutcome::Rejected };
            let last = tried.len() + 1 >= most;
            let wait = match tries {
                RetryPolicy::AfterFailure if !last => {
                    left.min(route.slo.0.mul_f64(self.world.deployment.proxies.try_factor))
                }
                _ => left,
            };
            let sent = Call { retry: tried.len() as u8, proxy: self.number, ..call };
            tried.push(server);
            match self.attempt(server, sent, wait).await {
                Tried::Answered(outcome) => return outcome,
                Tried::NotRun if !last => {}
                Tried::Unknown if !last && tries == RetryPolicy::AfterFailure => {}
                Tried::NotRun => return CallOutcome::Rejected,
                Tried::Unknown => return CallOutcome::Failed,
            }
        }
    }

    fn pick(&self, route: u8, tried: &[ServerId]) -> Option<ServerId> {
        let conns = self.conns.borrow();
        let in_hand = |s| conns.get(&s).map_or(0, |c: &Conn| c.asked.borrow().len());
        let (now, rng) = (self.world.now(), &mut *self.rng.borrow_mut());
        self.held.borrow_mut().pick(now, rng, route, tried, in_hand)
    }

    async fn attempt(&self, server: ServerId, call: Call, wait: Duration) -> Tried {
        let from = self.world.now();
        let ended = timeout(wait, self.ask(server, call)).await;
        let took = self.world.now() - from;
        let mut report = None;
        let (tried, good) = match ended {
            Ok(Ok(answer)) => {
                report = answer.metrics;
                match answer.outcome {
                    CallOutcome::Answered | CallOutcome::Duplicate => {
                        (Tried::Answered(CallOutcome::Answered), true)
                    }
                    CallOutcome::Rejected => (Tried::NotRun, false),
                    CallOutcome::Failed => (Tried::Unknown, false),
                }
            }
            Ok(Err(not_run)) => (if not_run { Tried::NotRun } else { Tried::Unknown }, false),
            Err(_) => (Tried::Unknown, false),
        };
        self.sums.borrow_mut().attempt_finished(server, good.then_some(took), report);
        self.held.borrow_mut().attempt_finished(self.world.now(), server, good);
        tried
    }

    /// The server's answer; an error tells whether it is proven that the call did not run.
    async fn ask(&self, server: ServerId, call: Call) -> Result<Response, bool> {
        let (sender, answer) = oneshot::channel();
        let place = (call.id, call.attempt, call.retry);
        let known = self.conns.borrow().get(&server).filter(|c| !c.task.is_finished()).is_some();
        if !known {
            let far = self.zones.borrow().get(&server).copied().unwrap_or(self.zone);
            if self.world.apart(self.zone, far) {
                // Over a cut no connection is made, and that takes its time to show.
                sleep(Self::CONNECT).await;
                return Err(true);
            }
            let socket = match timeout(Self::CONNECT, TcpStream::connect(server.addr)).await {
                Ok(Ok(socket)) => socket,
                _ => return Err(true),
            };
            let _ = socket.set_nodelay(true);
            self.open(server, far, socket);
            self.world.put(Event::Connected { proxy: self.number, server });
        }
        {
            let conns = self.conns.borrow();
            let Some(conn) = conns.get(&server) else { return Err(true) };
            conn.asked.borrow_mut().insert(place, sender);
            if conn.calls.send(call).is_err() {
                return Err(true);
            }
        }
        self.world.put(Event::Sent { proxy: self.number, server, call });
        answer.await.map_err(|_| false)
    }

    fn open(&self, server: ServerId, far: u16, socket: TcpStream) {
        let (calls, mut waiting) = mpsc::unbounded_channel::<Call>();
        let asked = Asked::default();
        let (mut from, mut to) = socket.into_split();
        let (world, zone, waiters) = (self.world.clone(), self.zone, asked.clone());
        let task = spawn_local(async move {
            let writing = async {
                while let Some(call) = waiting.recv().await {
                    if !world.apart(zone, far) && to.write_all(&Message::Call(call).to_frame()).await.is_err()
                    {
                        break;
                    }
                }
            };
            let reading = async {
                let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
                while let Ok(Message::Response(answer)) = read_message(&mut from, &mut inbox).await {
                    if world.apart(zone, far) {
                        continue;
                    }
                    let place = (answer.id, answer.attempt, answer.retry);
                    let waiter = waiters.borrow_mut().remove(&place);
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
        self.conns.borrow_mut().insert(server, Conn { calls, asked, task });
    }
}
