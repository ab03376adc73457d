//! Clients, which send requests on their own schedule, however long responses take, and repeat failed ones.

use crate::proxy::Proxy;
use crate::world::World;
use grebespool_controller_server::dial::read_message;
use grebespool_invariants::Event;
use grebespool_settings::CallerKind;
use grebespool_wire::{Call, CallOutcome, FrameDecoder, MAX_BODY_BYTES, Message, Response};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

/// The senders for awaited responses, by request and client attempt.
type PendingResponses = Rc<RefCell<BTreeMap<(u64, u8), oneshot::Sender<Response>>>>;

/// A permanent connection to one proxy.
struct ProxyConnection {
    proxy: u16,
    calls: mpsc::UnboundedSender<Call>,
    pending: PendingResponses,
}

/// The clients of one kind.
pub(crate) struct Clients {
    world: Rc<World>,
    kind: CallerKind,
    connections: Vec<ProxyConnection>,
    rng: RefCell<Pcg64Mcg>,
    /// Number from which the requests are numbered.
    first: u64,
    /// Number of requests begun.
    request_count: Cell<u64>,
    /// Number of requests that have not ended.
    open: Cell<usize>,
}

impl Clients {
    /// Connects to the proxies. Requests are numbered from `first`, far from the numbers of other clients.
    pub(crate) async fn new(
        world: Rc<World>,
        kind: CallerKind,
        proxies: &[Rc<Proxy>],
        seed: u64,
        first: u64,
    ) -> std::io::Result<Rc<Clients>> {
        let mut connections = vec![];
        for proxy in proxies {
            let socket = TcpStream::connect(proxy.addr).await?;
            socket.set_nodelay(true)?;
            let (mut from, mut to) = socket.into_split();
            let (calls, mut waiting) = mpsc::unbounded_channel::<Call>();
            let pending = PendingResponses::default();
            spawn_local(async move {
                while let Some(call) = waiting.recv().await {
                    if to.write_all(&Message::Call(call).to_frame()).await.is_err() {
                        break;
                    }
                }
            });
            let waiters = pending.clone();
            spawn_local(async move {
                let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
                while let Ok(Message::Response(answer)) = read_message(&mut from, &mut decoder).await {
                    let waiter = waiters.borrow_mut().remove(&(answer.id, answer.attempt));
                    if let Some(waiter) = waiter {
                        let _ = waiter.send(answer);
                    }
                }
            });
            connections.push(ProxyConnection { proxy: proxy.number, calls, pending });
        }
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
        Ok(Rc::new(Clients {
            world,
            kind,
            connections,
            rng,
            first,
            request_count: Cell::new(0),
            open: Cell::new(0),
        }))
    }

    /// Sends requests until the day's end, each when it is due, and waits until all have ended.
    pub(crate) async fn run(self: Rc<Self>, length: Duration) {
        let mut due = self.world.now();
        loop {
            let rate = self.kind.rate * self.world.rate_factor.get();
            let gap = -self.rng.borrow_mut().random_range(f64::EPSILON..1.0).ln() / rate;
            due += Duration::from_secs_f64(gap);
            if due >= length {
                break;
            }
            sleep_until(self.world.began() + due).await;
            self.request_count.set(self.request_count.get() + 1);
            let id = self.first + self.request_count.get();
            self.open.set(self.open.get() + 1);
            spawn_local(self.clone().run_request(id, due));
        }
        while self.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Runs a request with all its attempts.
    async fn run_request(self: Rc<Self>, id: u64, due: Duration) {
        let (route, zone) = (self.kind.route as u8, self.world.zone(&self.kind.zone));
        let limit = self.world.deployment.routes[self.kind.route].time_limit.0;
        let key = self.rng.borrow_mut().random_range(0..self.kind.keys);
        let work_us = self.kind.work.0.as_micros() as u32;
        let mut connection = self.pick_connection();
        let proxy = self.connections[connection].proxy;
        self.world.put_at(due, Event::Asked { id, route, zone, key, work_us, proxy });
        let mut outcome = CallOutcome::Failed;
        for attempt in 0..self.kind.attempts {
            let remaining = limit.saturating_sub(self.world.now() - due);
            if remaining.is_zero() {
                break;
            }
            let call = Call {
                id,
                attempt,
                retry: 0,
                route,
                key,
                work_us,
                timeout_us: remaining.min(limit.mul_f64(self.kind.patience)).as_micros() as u32,
                proxy: 0,
            };
            outcome = self.attempt(&self.connections[connection], call).await;
            if outcome == CallOutcome::Answered || attempt + 1 == self.kind.attempts {
                break;
            }
            let wait = self.kind.wait.0.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5));
            sleep(wait).await;
            connection = self.pick_connection();
        }
        self.world.put(Event::Done { id, route, outcome });
        self.open.set(self.open.get() - 1);
    }

    /// Returns the index of a random connection.
    fn pick_connection(&self) -> usize {
        self.rng.borrow_mut().random_range(0..self.connections.len())
    }

    /// Sends an attempt to a proxy and waits for its outcome.
    async fn attempt(&self, connection: &ProxyConnection, call: Call) -> CallOutcome {
        let (sender, answer) = oneshot::channel();
        let key_of_attempt = (call.id, call.attempt);
        connection.pending.borrow_mut().insert(key_of_attempt, sender);
        if connection.calls.send(call).is_err() {
            return CallOutcome::Failed;
        }
        let wait = Duration::from_micros(call.timeout_us.into());
        match timeout(wait, answer).await {
            Ok(Ok(answer)) => answer.outcome,
            _ => {
                connection.pending.borrow_mut().remove(&key_of_attempt);
                CallOutcome::Failed
            }
        }
    }
}
