//! A server on a socket.

use crate::world::World;
use grebespool_controller_server::dial::read_message;
use grebespool_invariants::Event;
use grebespool_server_model::{ServerModel, ServerSpec};
use grebespool_wire::{
    Call, CallOutcome, FrameDecoder, HealthCheck, HealthCheckResponse, HealthStatus, MAX_BODY_BYTES, Message,
    Response, ServerId,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, JoinSet, spawn_local};

/// How it behaves beside what it is able to do.
#[derive(Default)]
pub struct Manner {
    /// Takes calls and answers none.
    pub silent: Cell<bool>,
    /// Stands still, as a stopped process does.
    frozen: Cell<bool>,
    pub erring: Cell<bool>,
    pub lie: Cell<Option<f32>>,
    pub draining: Cell<bool>,
}

struct Waiting {
    call: Call,
    to: mpsc::UnboundedSender<Message>,
}

/// One life.
struct Life {
    machine: RefCell<ServerModel>,
    waiting: RefCell<BTreeMap<u64, Waiting>>,
    next: Cell<u64>,
    changed: Notify,
    /// What came while it stood still.
    came: RefCell<Vec<(Call, mpsc::UnboundedSender<Message>)>>,
    open: Cell<usize>,
}

pub struct Server {
    world: Rc<World>,
    ability: ServerSpec,
    pub zone: u16,
    pub addr: SocketAddr,
    number: Cell<u32>,
    pub manner: Manner,
    /// Milliseconds by the list's clock; 0 for long past.
    pub started_ms: Cell<u64>,
    life: RefCell<Option<(Rc<Life>, AbortHandle)>>,
}

impl Server {
    pub async fn new(world: Rc<World>, ability: ServerSpec, number: u32) -> std::io::Result<Rc<Server>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let (zone, addr) = (world.zone(&ability.kind.zone), listener.local_addr()?);
        let server = Rc::new(Server {
            world,
            ability,
            zone,
            addr,
            number: Cell::new(number),
            manner: Manner::default(),
            started_ms: Cell::new(0),
            life: RefCell::new(None),
        });
        server.run(listener, false);
        Ok(server)
    }

    pub fn id(&self) -> ServerId {
        ServerId { addr: self.addr, number: self.number.get() }
    }

    pub fn slow(&self, factor: f64) {
        if let Some((life, _)) = &*self.life.borrow() {
            life.machine.borrow_mut().slowdown = factor;
        }
    }

    /// Stands still with all that it has in hand, or runs on and meets what came meanwhile.
    pub fn freeze(self: &Rc<Self>, still: bool) {
        self.manner.frozen.set(still);
        let life = self.life.borrow().as_ref().map(|l| l.0.clone());
        let Some(life) = life else { return };
        life.machine.borrow_mut().set_frozen(self.world.now(), still);
        let came = if still { vec![] } else { std::mem::take(&mut *life.came.borrow_mut()) };
        came.into_iter().for_each(|(call, to)| take(self, &life, call, &to));
        life.changed.notify_one();
    }

    /// Ends at once, with all that it has in hand.
    pub fn stop(&self) {
        if let Some((_, task)) = self.life.borrow_mut().take() {
            task.abort();
            self.world.put(Event::Down { server: self.id() });
        }
    }

    /// Starts cold at the address that it had, under its own number or as another server.
    pub async fn start(self: &Rc<Self>, number: u32) -> std::io::Result<()> {
        let listener = loop {
            // The former life's sockets may take a moment to go.
            match TcpListener::bind(self.addr).await {
                Ok(listener) => break listener,
                Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(e) => return Err(e),
            }
        };
        self.number.set(number);
        self.manner.draining.set(false);
        self.manner.frozen.set(false);
        self.started_ms.set(self.world.now_ms());
        self.run(listener, true);
        Ok(())
    }

    fn run(self: &Rc<Self>, listener: TcpListener, cold: bool) {
        let now = self.world.now();
        let machine = ServerModel::new(self.ability.clone(), self.world.now_ms(), now, cold);
        let capacity = machine.full_capacity();
        let life = Rc::new(Life {
            machine: RefCell::new(machine),
            waiting: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
            came: RefCell::default(),
            open: Cell::new(0),
        });
        let task = spawn_local(live(self.clone(), life.clone(), listener)).abort_handle();
        *self.life.borrow_mut() = Some((life, task));
        if cold {
            let cold = self.ability.kind.cold;
            self.world.put(Event::Up { server: self.id(), capacity, cold });
        }
    }
}

async fn live(server: Rc<Server>, life: Rc<Life>, listener: TcpListener) {
    let mut streams = JoinSet::new();
    loop {
        let due = life.machine.borrow().next_completion();
        let done = async {
            match due {
                Some(due) => tokio::time::sleep_until(server.world.began() + due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = listener.accept() => if let Ok((socket, _)) = accepted {
                // Past its limit a connection is closed at once.
                if life.open.get() < server.ability.kind.connections {
                    let _ = socket.set_nodelay(true);
                    life.machine.borrow_mut().add_overhead(server.world.now(), server.ability.kind.handshake.0);
                    streams.spawn_local(talk(server.clone(), life.clone(), socket));
                }
            },
            () = done => {
                let tickets = life.machine.borrow_mut().take_completed(server.world.now());
                for ticket in tickets {
                    let waiting = life.waiting.borrow_mut().remove(&ticket);
                    if let Some(w) = waiting {
                        answer(&server, &life, w.call, CallOutcome::Answered, &w.to);
                    }
                }
            }
            () = life.changed.notified() => {}
            Some(_) = streams.join_next() => {}
        }
    }
}

fn answer(
    server: &Server,
    life: &Life,
    call: Call,
    outcome: CallOutcome,
    to: &mpsc::UnboundedSender<Message>,
) {
    let (now, fields) = (server.world.now(), &server.world.deployment.reports.fields);
    let report = Some(life.machine.borrow_mut().report(now, fields, server.manner.lie.get()));
    server.world.put(Event::Answered { server: server.id(), call, outcome });
    let (id, attempt, tried) = (call.id, call.attempt, call.retry);
    let _ = to.send(Message::Response(Response { id, attempt, retry: tried, outcome, metrics: report }));
}

struct Open(Rc<Life>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

async fn talk(server: Rc<Server>, life: Rc<Life>, socket: TcpStream) {
    life.open.set(life.open.get() + 1);
    let _open = Open(life.clone());
    let (mut from, mut to) = socket.into_split();
    let (answers, mut waiting) = mpsc::unbounded_channel::<Message>();
    let writing = async move {
        while let Some(message) = waiting.recv().await {
            if to.write_all(&message.to_frame()).await.is_err() {
                break;
            }
        }
    };
    let reading = async {
        let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
        while let Ok(message) = read_message(&mut from, &mut inbox).await {
            let now = server.world.now();
            match message {
                Message::Call(call) => take(&server, &life, call, &answers),
                Message::HealthCheck(HealthCheck { server_number: number }) => {
                    if server.manner.silent.get()
                        || server.manner.frozen.get()
                        || life.machine.borrow().crashed
                    {
                        continue;
                    }
                    life.machine.borrow_mut().add_overhead(now, Duration::from_millis(1));
                    let state = if server.manner.draining.get() {
                        HealthStatus::Draining
                    } else {
                        HealthStatus::Ready
                    };
                    // One that is another server by now does not answer for the former.
                    if number == server.number.get() {
                        let _ = answers.send(Message::HealthCheckResponse(HealthCheckResponse {
                            server_number: number,
                            status: state,
                            metrics: None,
                        }));
                    }
                }
                _ => break,
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
    }
}

fn take(server: &Rc<Server>, life: &Rc<Life>, call: Call, answers: &mpsc::UnboundedSender<Message>) {
    if server.manner.frozen.get() {
        return life.came.borrow_mut().push((call, answers.clone()));
    }
    let now = server.world.now();
    server.world.put(Event::Received { server: server.id(), call });
    if server.manner.silent.get() {
        return;
    }
    if server.manner.draining.get() {
        return answer(server, life, call, CallOutcome::Rejected, answers);
    }
    if server.manner.erring.get() {
        life.machine.borrow_mut().count_error();
        return answer(server, life, call, CallOutcome::Failed, answers);
    }
    let ticket = life.next.get();
    life.next.set(ticket + 1);
    let had_fallen = life.machine.borrow().crashed;
    let work = Duration::from_micros(call.work_us.into());
    let taken = life.machine.borrow_mut().accept(now, ticket, work, call.key);
    if life.machine.borrow().crashed {
        if !had_fallen {
            server.world.put(Event::Fell { server: server.id() });
        }
        return;
    }
    if taken {
        life.waiting.borrow_mut().insert(ticket, Waiting { call, to: answers.clone() });
        life.changed.notify_one();
    } else {
        answer(server, life, call, CallOutcome::Rejected, answers);
    }
}
