//! An emulated server on a socket.

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

/// The faults that a server has at the moment.
#[derive(Default)]
pub(crate) struct Faults {
    /// True if the server accepts attempts and never responds.
    pub(crate) silent: Cell<bool>,
    /// True if the server is suspended, as a stopped process is.
    frozen: Cell<bool>,
    /// True if the server fails every attempt.
    pub(crate) erring: Cell<bool>,
    /// False value that the server reports for its metrics.
    pub(crate) false_metric: Cell<Option<f32>>,
    /// True if the server rejects attempts because it drains.
    pub(crate) draining: Cell<bool>,
}

/// An accepted attempt, and the channel for its response.
struct AcceptedAttempt {
    call: Call,
    to: mpsc::UnboundedSender<Message>,
}

/// The state of a server from one start to the next stop.
struct RunningServer {
    machine: RefCell<ServerModel>,
    waiting: RefCell<BTreeMap<u64, AcceptedAttempt>>,
    next: Cell<u64>,
    changed: Notify,
    /// Attempts that arrived while the server was suspended.
    received_while_frozen: RefCell<Vec<(Call, mpsc::UnboundedSender<Message>)>>,
    /// Number of open connections.
    open: Cell<usize>,
}

/// An emulated server. It keeps its address when it restarts, and may get another number.
pub(crate) struct Server {
    world: Rc<World>,
    spec: ServerSpec,
    pub(crate) zone: u16,
    pub(crate) addr: SocketAddr,
    number: Cell<u32>,
    pub(crate) faults: Faults,
    /// Start time, in milliseconds of the list's clock; 0: long ago.
    pub(crate) started_ms: Cell<u64>,
    running: RefCell<Option<(Rc<RunningServer>, AbortHandle)>>,
}

impl Server {
    /// Starts a server that is warm.
    pub(crate) async fn new(world: Rc<World>, spec: ServerSpec, number: u32) -> std::io::Result<Rc<Server>> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let (zone, addr) = (world.zone(&spec.kind.zone), listener.local_addr()?);
        let server = Rc::new(Server {
            world,
            spec,
            zone,
            addr,
            number: Cell::new(number),
            faults: Faults::default(),
            started_ms: Cell::new(0),
            running: RefCell::new(None),
        });
        server.run(listener, false);
        Ok(server)
    }

    /// Returns the server's address and number.
    pub(crate) fn id(&self) -> ServerId {
        ServerId { addr: self.addr, number: self.number.get() }
    }

    /// Makes the running server slower by a factor.
    pub(crate) fn set_slowdown(&self, factor: f64) {
        if let Some((running, _)) = &*self.running.borrow() {
            running.machine.borrow_mut().slowdown = factor;
        }
    }

    /// Suspends the server with all its attempts, or resumes it and handles the attempts that arrived meanwhile.
    pub(crate) fn set_frozen(self: &Rc<Self>, frozen: bool) {
        self.faults.frozen.set(frozen);
        let running = self.running.borrow().as_ref().map(|l| l.0.clone());
        let Some(running) = running else { return };
        running.machine.borrow_mut().set_frozen(self.world.now(), frozen);
        let received_while_frozen =
            if frozen { vec![] } else { std::mem::take(&mut *running.received_while_frozen.borrow_mut()) };
        received_while_frozen.into_iter().for_each(|(call, to)| receive_attempt(self, &running, call, &to));
        running.changed.notify_one();
    }

    /// Stops the server at once. Its accepted attempts get no response.
    pub(crate) fn stop(&self) {
        if let Some((_, task)) = self.running.borrow_mut().take() {
            task.abort();
            self.world.put(Event::Down { server: self.id() });
        }
    }

    /// Starts the server cold at its former address, under its own number or as another server.
    pub(crate) async fn start(self: &Rc<Self>, number: u32) -> std::io::Result<()> {
        let listener = loop {
            // The sockets of the former process may take a moment to close.
            match TcpListener::bind(self.addr).await {
                Ok(listener) => break listener,
                Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                Err(e) => return Err(e),
            }
        };
        self.number.set(number);
        self.faults.draining.set(false);
        self.faults.frozen.set(false);
        self.started_ms.set(self.world.now_ms());
        self.run(listener, true);
        Ok(())
    }

    /// Starts the task of the server.
    fn run(self: &Rc<Self>, listener: TcpListener, cold: bool) {
        let now = self.world.now();
        let machine = ServerModel::new(self.spec.clone(), self.world.now_ms(), now, cold);
        let capacity = machine.full_capacity();
        let running = Rc::new(RunningServer {
            machine: RefCell::new(machine),
            waiting: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
            received_while_frozen: RefCell::default(),
            open: Cell::new(0),
        });
        let task = spawn_local(run_server(self.clone(), running.clone(), listener)).abort_handle();
        *self.running.borrow_mut() = Some((running, task));
        if cold {
            let cold = self.spec.kind.cold;
            self.world.put(Event::Up { server: self.id(), capacity, cold });
        }
    }
}

/// Accepts connections and responds to completed attempts until the server is stopped.
async fn run_server(server: Rc<Server>, running: Rc<RunningServer>, listener: TcpListener) {
    let mut streams = JoinSet::new();
    loop {
        let due = running.machine.borrow().next_completion();
        let done = async {
            match due {
                Some(due) => tokio::time::sleep_until(server.world.began() + due).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = listener.accept() => if let Ok((socket, _)) = accepted {
                // A connection beyond the limit is closed at once.
                if running.open.get() < server.spec.kind.connections {
                    let _ = socket.set_nodelay(true);
                    running.machine.borrow_mut().add_overhead(server.world.now(), server.spec.kind.handshake.0);
                    streams.spawn_local(serve_connection(server.clone(), running.clone(), socket));
                }
            },
            () = done => {
                let tickets = running.machine.borrow_mut().take_completed(server.world.now());
                for ticket in tickets {
                    let waiting = running.waiting.borrow_mut().remove(&ticket);
                    if let Some(w) = waiting {
                        respond(&server, &running, w.call, CallOutcome::Answered, &w.to);
                    }
                }
            }
            () = running.changed.notified() => {}
            Some(_) = streams.join_next() => {}
        }
    }
}

/// Sends a response to an attempt.
fn respond(
    server: &Server,
    running: &RunningServer,
    call: Call,
    outcome: CallOutcome,
    to: &mpsc::UnboundedSender<Message>,
) {
    let (now, fields) = (server.world.now(), &server.world.deployment.reports.fields);
    let report = Some(running.machine.borrow_mut().report(now, fields, server.faults.false_metric.get()));
    server.world.put(Event::Answered { server: server.id(), call, outcome });
    let (id, attempt, retry) = (call.id, call.attempt, call.retry);
    let _ = to.send(Message::Response(Response { id, attempt, retry, outcome, metrics: report }));
}

/// Counts down the open connections when it is dropped.
struct OpenConnection(Rc<RunningServer>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Serves a connection until it ends.
async fn serve_connection(server: Rc<Server>, running: Rc<RunningServer>, socket: TcpStream) {
    running.open.set(running.open.get() + 1);
    let _open_connection = OpenConnection(running.clone());
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
        let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
        while let Ok(message) = read_message(&mut from, &mut decoder).await {
            let now = server.world.now();
            match message {
                Message::Call(call) => receive_attempt(&server, &running, call, &answers),
                Message::HealthCheck(HealthCheck { server_number: number }) => {
                    if server.faults.silent.get()
                        || server.faults.frozen.get()
                        || running.machine.borrow().crashed
                    {
                        continue;
                    }
                    running.machine.borrow_mut().add_overhead(now, Duration::from_millis(1));
                    let status = if server.faults.draining.get() {
                        HealthStatus::Draining
                    } else {
                        HealthStatus::Ready
                    };
                    // A server that has another number by now doesn't answer for its predecessor.
                    if number == server.number.get() {
                        let _ = answers.send(Message::HealthCheckResponse(HealthCheckResponse {
                            server_number: number,
                            status,
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

/// Handles an attempt that arrives.
fn receive_attempt(
    server: &Rc<Server>,
    running: &Rc<RunningServer>,
    call: Call,
    answers: &mpsc::UnboundedSender<Message>,
) {
    if server.faults.frozen.get() {
        return running.received_while_frozen.borrow_mut().push((call, answers.clone()));
    }
    let now = server.world.now();
    server.world.put(Event::Received { server: server.id(), call });
    if server.faults.silent.get() {
        return;
    }
    if server.faults.draining.get() {
        return respond(server, running, call, CallOutcome::Rejected, answers);
    }
    if server.faults.erring.get() {
        running.machine.borrow_mut().count_error();
        return respond(server, running, call, CallOutcome::Failed, answers);
    }
    let ticket = running.next.get();
    running.next.set(ticket + 1);
    let had_crashed = running.machine.borrow().crashed;
    let work = Duration::from_micros(call.work_us.into());
    let accepted = running.machine.borrow_mut().accept(now, ticket, work, call.key);
    if running.machine.borrow().crashed {
        if !had_crashed {
            server.world.put(Event::Fell { server: server.id() });
        }
        return;
    }
    if accepted {
        running.waiting.borrow_mut().insert(ticket, AcceptedAttempt { call, to: answers.clone() });
        running.changed.notify_one();
    } else {
        respond(server, running, call, CallOutcome::Rejected, answers);
    }
}
