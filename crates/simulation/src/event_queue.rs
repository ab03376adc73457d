//! The queue of scheduled events, and the host that puts the planner's outputs on it.

use grebespool::host::HealthCheckResult;
use grebespool_controller::{ControllerEvent, Effects, StreamId};
use grebespool_invariants::Event;
use grebespool_wire::{
    Call, Close, CloseReason, EndpointEntry, Message, Response, ServerId, Update, Welcome,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// One-way network delay between any two processes.
pub(crate) const HOP: Duration = Duration::from_micros(200);

/// Identifies an attempt: the request, the client's attempt, the proxy's retry.
pub(crate) type AttemptId = (u64, u8, u8);

/// An event that happens at its time on the simulated clock.
#[derive(Debug, Clone)]
pub(crate) enum Scheduled {
    /// The controller's timer fires.
    PlannerTimer,
    /// The next request of this kind of client becomes due.
    ClientRequest(usize),
    /// The next input of the recorded day.
    Input(crate::recorded_day::Input),
    /// A client sends its next attempt of a request to a proxy.
    ClientAttempt(u64),
    /// A proxy's new connection reaches a server.
    Connect { id: AttemptId, server: ServerId },
    /// An attempt arrives at a server.
    AttemptArrives { id: AttemptId, server: usize, starts: u32, call: Call },
    /// A server completes work.
    WorkCompleted { server: usize, starts: u32 },
    /// A response arrives at a proxy.
    ResponseArrives { answer: Response },
    /// An attempt fails without a response. `not_run` is true if it is proven not to have run.
    AttemptLost { id: AttemptId, not_run: bool },
    /// A proxy dials the planner.
    Dial(usize),
    /// A proxy's join arrives at the planner.
    Join(StreamId),
    /// A message from the planner arrives at a proxy.
    ToProxy { stream: StreamId, message: Message },
    /// A message from a proxy arrives at the planner.
    ToPlanner { stream: StreamId, message: Message },
    /// The planner learns that a stream ended.
    StreamEnded(StreamId),
    /// A proxy sends its periodic report.
    SendReport(StreamId),
    /// The planner's poll of the server list, with the version that it has, arrives at the list's service.
    EndpointPoll(u64),
    /// The list's service publishes changed entries.
    PublishList { changed: Vec<EndpointEntry> },
    /// A list or its changes arrive at the planner.
    ListArrives { version: u64, base: u64, entries: Vec<EndpointEntry> },
    /// The planner's health check of a server ends.
    HealthCheckFinished { server: ServerId, result: HealthCheckResult },
    /// The leader replicates its state to the other members.
    ReplicateState,
    /// A fault of the day begins.
    FaultBegins(usize),
    /// A fault of the day ends.
    FaultEnds(usize),
    /// The next step of a server's redeployment: drain, stop, start. `other` is true if the server returns as another
    /// one.
    Redeploy { server: usize, step: u8, drain: Duration, down: Duration, other: bool },
}

/// The state of the link between a proxy and the planner.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// Delay in addition to the network's.
    pub(crate) delay: Duration,
    /// Bandwidth from the planner to the proxy.
    pub(crate) bytes_per_s: f64,
    /// When the last message that was sent to the proxy has been transmitted.
    pub(crate) free_at: Duration,
    /// True if the proxy cannot dial the planner.
    pub(crate) closed: bool,
    /// True if messages are held back until the link is released.
    pub(crate) held: bool,
    /// Messages that are held back, in their order.
    pub(crate) held_back: Vec<Scheduled>,
    /// True if the proxy's acknowledgements are dropped.
    pub(crate) drops_acks: bool,
}

/// The scheduled events, the links, and the events to be recorded. Both the planner's host and the model write them.
pub(crate) struct EventQueue {
    pub(crate) now: Duration,
    next: u64,
    scheduled: BTreeMap<(Duration, u64), Scheduled>,
    /// Links by proxy.
    pub(crate) links: Vec<Link>,
    /// The proxy of each open stream.
    pub(crate) streams: BTreeMap<StreamId, usize>,
    /// Events for the record since they were last collected.
    pub(crate) unrecorded: Vec<(Duration, Event)>,
    /// By running server: the duration and the result of a health check that starts now.
    pub(crate) health_checks: BTreeMap<ServerId, (Duration, HealthCheckResult)>,
}

impl EventQueue {
    /// Creates a queue with this number of links.
    pub(crate) fn new(links: usize) -> EventQueue {
        let link = Link {
            delay: Duration::ZERO,
            bytes_per_s: f64::INFINITY,
            free_at: Duration::ZERO,
            closed: false,
            held: false,
            held_back: vec![],
            drops_acks: false,
        };
        EventQueue {
            now: Duration::ZERO,
            next: 0,
            scheduled: BTreeMap::new(),
            links: vec![link; links],
            streams: BTreeMap::new(),
            unrecorded: vec![],
            health_checks: BTreeMap::new(),
        }
    }

    /// Schedules an event at a time, or now if the time is past.
    pub(crate) fn at(&mut self, at: Duration, due: Scheduled) {
        // Events of one instant happen in the order in which they were scheduled; results depend on it.
        self.next += 1;
        self.scheduled.insert((at.max(self.now), self.next), due);
    }

    /// Schedules an event after a wait.
    pub(crate) fn after(&mut self, wait: Duration, due: Scheduled) {
        self.at(self.now + wait, due);
    }

    /// Removes the next event and moves the clock to its time.
    pub(crate) fn pop(&mut self) -> Option<Scheduled> {
        let ((at, _), due) = self.scheduled.pop_first()?;
        self.now = at;
        Some(due)
    }

    /// Holds back the messages of a link, or releases the link and delivers the held messages.
    pub(crate) fn hold(&mut self, link: usize, held: bool) {
        self.links[link].held = held;
        if !held {
            for due in std::mem::take(&mut self.links[link].held_back) {
                self.after(Duration::ZERO, due);
            }
        }
    }

    /// Records an event that happens now.
    pub(crate) fn record(&mut self, event: Event) {
        self.unrecorded.push((self.now, event));
    }

    /// Schedules a message from the planner to arrive at the stream's proxy, at the link's bandwidth and delay.
    fn send_to_proxy(&mut self, stream: StreamId, message: Message) {
        let Some(&proxy) = self.streams.get(&stream) else { return };
        if let Message::Update(orders) = &message {
            self.record(Event::Ordered { proxy: proxy as u16, orders: orders.clone() });
        }
        let length = message.to_frame().len() as f64;
        let link = &mut self.links[proxy];
        let transmission_start = (self.now + HOP + link.delay).max(link.free_at);
        let transmission_time = if link.bytes_per_s.is_finite() { length / link.bytes_per_s } else { 0.0 };
        link.free_at = transmission_start + Duration::from_secs_f64(transmission_time);
        let at = link.free_at;
        self.at(at, Scheduled::ToProxy { stream, message });
    }
}

/// The controller's host: schedules what the controller sends and asks for.
#[derive(Clone)]
pub(crate) struct PlannerOutput {
    pub(crate) queue: Rc<RefCell<EventQueue>>,
}

impl Effects for PlannerOutput {
    fn welcome(&mut self, stream: StreamId) {
        let proof = grebespool_wire::Proof([0; 32]);
        self.queue.borrow_mut().send_to_proxy(stream, Message::Welcome(Welcome { stream, term: 0, proof }));
    }
    fn send(&mut self, stream: StreamId, orders: Update) {
        self.queue.borrow_mut().send_to_proxy(stream, Message::Update(orders));
    }
    fn close(&mut self, stream: StreamId, reason: CloseReason, text: &str) {
        self.queue.borrow_mut().send_to_proxy(stream, Message::Close(Close { reason, text: text.into() }));
    }
    fn start_health_check(&mut self, server: ServerId) {
        let mut queue = self.queue.borrow_mut();
        let refused = (HOP * 2, HealthCheckResult::Failed);
        let (takes, result) = queue.health_checks.get(&server).copied().unwrap_or(refused);
        queue.after(takes, Scheduled::HealthCheckFinished { server, result });
    }
    fn poll_endpoints(&mut self, have: u64) {
        self.queue.borrow_mut().after(HOP, Scheduled::EndpointPoll(have));
    }
    fn report(&mut self, _: ControllerEvent) {}
}
