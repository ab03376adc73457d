//! Callers: calls on their own schedule, however long answers take, and their own repeats.

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

type Asked = Rc<RefCell<BTreeMap<(u64, u8), oneshot::Sender<Response>>>>;

/// A kept connection to one proxy.
struct Way {
    proxy: u16,
    calls: mpsc::UnboundedSender<Call>,
    asked: Asked,
}

pub struct Callers {
    world: Rc<World>,
    kind: CallerKind,
    ways: Vec<Way>,
    rng: RefCell<Pcg64Mcg>,
    first: u64,
    made: Cell<u64>,
    open: Cell<usize>,
}

impl Callers {
    /// `first`: the number of their first call; others' are far from it.
    pub async fn new(
        world: Rc<World>,
        kind: CallerKind,
        proxies: &[Rc<Proxy>],
        seed: u64,
        first: u64,
    ) -> std::io::Result<Rc<Callers>> {
        let mut ways = vec![];
        for proxy in proxies {
            let socket = TcpStream::connect(proxy.addr).await?;
            socket.set_nodelay(true)?;
            let (mut from, mut to) = socket.into_split();
            let (calls, mut waiting) = mpsc::unbounded_channel::<Call>();
            let asked = Asked::default();
            spawn_local(async move {
                while let Some(call) = waiting.recv().await {
                    if to.write_all(&Message::Call(call).to_frame()).await.is_err() {
                        break;
                    }
                }
            });
            let waiters = asked.clone();
            spawn_local(async move {
                let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
                while let Ok(Message::Response(answer)) = read_message(&mut from, &mut inbox).await {
                    let waiter = waiters.borrow_mut().remove(&(answer.id, answer.attempt));
                    if let Some(waiter) = waiter {
                        let _ = waiter.send(answer);
                    }
                }
            });
            ways.push(Way { proxy: proxy.number, calls, asked });
        }
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
        Ok(Rc::new(Callers { world, kind, ways, rng, first, made: Cell::new(0), open: Cell::new(0) }))
    }

    /// Calls until the day's end, each when it is due.
    pub async fn run(self: Rc<Self>, length: Duration) {
        let mut due = self.world.now();
        loop {
            let rate = self.kind.rate * self.world.burst.get();
            let gap = -self.rng.borrow_mut().random_range(f64::EPSILON..1.0).ln() / rate;
            due += Duration::from_secs_f64(gap);
            if due >= length {
                break;
            }
            sleep_until(self.world.began() + due).await;
            self.made.set(self.made.get() + 1);
            let id = self.first + self.made.get();
            self.open.set(self.open.get() + 1);
            spawn_local(self.clone().call(id, due));
        }
        while self.open.get() > 0 {
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn call(self: Rc<Self>, id: u64, due: Duration) {
        let (route, zone) = (self.kind.route as u8, self.world.zone(&self.kind.zone));
        let limit = self.world.deployment.routes[self.kind.route].time_limit.0;
        let key = self.rng.borrow_mut().random_range(0..self.kind.keys);
        let work_us = self.kind.work.0.as_micros() as u32;
        let mut way = self.way();
        let proxy = self.ways[way].proxy;
        self.world.put_at(due, Event::Asked { id, route, zone, key, work_us, proxy });
        let mut outcome = CallOutcome::Failed;
        for attempt in 0..self.kind.attempts {
            let left = limit.saturating_sub(self.world.now() - due);
            if left.is_zero() {
                break;
            }
            let call = Call {
                id,
                attempt,
                retry: 0,
                route,
                key,
                work_us,
                timeout_us: left.min(limit.mul_f64(self.kind.patience)).as_micros() as u32,
                proxy: 0,
            };
            outcome = self.attempt(&self.ways[way], call).await;
            if outcome == CallOutcome::Answered || attempt + 1 == self.kind.attempts {
                break;
            }
            let wait = self.kind.wait.0.mul_f64(self.rng.borrow_mut().random_range(0.5..1.5));
            sleep(wait).await;
            way = self.way();
        }
        self.world.put(Event::Done { id, route, outcome });
        self.open.set(self.open.get() - 1);
    }

    fn way(&self) -> usize {
        self.rng.borrow_mut().random_range(0..self.ways.len())
    }

    async fn attempt(&self, way: &Way, call: Call) -> CallOutcome {
        let (sender, answer) = oneshot::channel();
        let place = (call.id, call.attempt);
        way.asked.borrow_mut().insert(place, sender);
        if way.calls.send(call).is_err() {
            return CallOutcome::Failed;
        }
        let wait = Duration::from_micros(call.timeout_us.into());
        match timeout(wait, answer).await {
            Ok(Ok(answer)) => answer.outcome,
            _ => {
                way.asked.borrow_mut().remove(&place);
                CallOutcome::Failed
            }
        }
    }
}
