//! What is due, and what the planner asks for, put on the agenda.

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

/// One way between two places takes so long.
pub const HOP: Duration = Duration::from_micros(200);

/// Which try of a call: the call, the caller's attempt, the proxy's try.
pub type TryId = (u64, u8, u8);

#[derive(Debug, Clone)]
pub enum Due {
    Wake,
    Caller(usize),
    /// The next of the recorded day.
    Recorded(crate::past::Input),
    Attempt(u64),
    Connect {
        id: TryId,
        server: ServerId,
    },
    AtServer {
        id: TryId,
        server: usize,
        life: u32,
        call: Call,
    },
    Work {
        server: usize,
        life: u32,
    },
    AtProxy {
        answer: Response,
    },
    /// The try failed, proven not to have run or not.
    Lost {
        id: TryId,
        not_run: bool,
    },
    Dial(usize),
    Join(StreamId),
    ToProxy {
        stream: StreamId,
        message: Message,
    },
    ToPlanner {
        stream: StreamId,
        message: Message,
    },
    /// The planner learns that a stream ended.
    Ended(StreamId),
    Sums(StreamId),
    Asked(u64),
    Publish {
        changed: Vec<EndpointEntry>,
    },
    ListAt {
        version: u64,
        base: u64,
        entries: Vec<EndpointEntry>,
    },
    Probed {
        server: ServerId,
        result: HealthCheckResult,
    },
    /// The leader's memory goes to the other members.
    Remember,
    Begin(usize),
    End(usize),
    Redeploy {
        server: usize,
        step: u8,
        drain: Duration,
        down: Duration,
        other: bool,
    },
}

/// The way between a proxy and the planner, as it is at the moment.
#[derive(Debug, Clone)]
pub struct Way {
    pub delay: Duration,
    pub bytes_per_s: f64,
    pub free_at: Duration,
    pub closed: bool,
    pub held: bool,
    /// What came while it was held, in its order.
    pub kept: Vec<Due>,
    pub unmarked: bool,
}

/// The agenda, the ways, and the record: what the planner's outlet and the model both write.
pub struct Agenda {
    pub now: Duration,
    next: u64,
    queue: BTreeMap<(Duration, u64), Due>,
    pub ways: Vec<Way>,
    /// Each open stream's proxy.
    pub streams: BTreeMap<StreamId, usize>,
    /// What passed since it was last looked at.
    pub passed: Vec<(Duration, Event)>,
    /// Whether a server answers probes, and how; set by the model as it changes.
    pub probes: BTreeMap<ServerId, (Duration, HealthCheckResult)>,
}

impl Agenda {
    pub fn new(ways: usize) -> Agenda {
        let way = Way {
            delay: Duration::ZERO,
            bytes_per_s: f64::INFINITY,
            free_at: Duration::ZERO,
            closed: false,
            held: false,
            kept: vec![],
            unmarked: false,
        };
        Agenda {
            now: Duration::ZERO,
            next: 0,
            queue: BTreeMap::new(),
            ways: vec![way; ways],
            streams: BTreeMap::new(),
            passed: vec![],
            probes: BTreeMap::new(),
        }
    }

    pub fn at(&mut self, at: Duration, due: Due) {
        // What is due at one instant comes in the order in which it was put there.
        self.next += 1;
        self.queue.insert((at.max(self.now), self.next), due);
    }

    pub fn after(&mut self, wait: Duration, due: Due) {
        self.at(self.now + wait, due);
    }

    pub fn pop(&mut self) -> Option<Due> {
        let ((at, _), due) = self.queue.pop_first()?;
        self.now = at;
        Some(due)
    }

    /// Holds a way, or lets it go on with what came meanwhile.
    pub fn hold(&mut self, way: usize, held: bool) {
        self.ways[way].held = held;
        if !held {
            for due in std::mem::take(&mut self.ways[way].kept) {
                self.after(Duration::ZERO, due);
            }
        }
    }

    pub fn put(&mut self, what: Event) {
        self.passed.push((self.now, what));
    }

    fn carry(&mut self, stream: StreamId, message: Message) {
        let Some(&proxy) = self.streams.get(&stream) else { return };
        if let Message::Update(orders) = &message {
            self.put(Event::Ordered { proxy: proxy as u16, orders: orders.clone() });
        }
        let length = message.to_frame().len() as f64;
        let way = &mut self.ways[proxy];
        let begins = (self.now + HOP + way.delay).max(way.free_at);
        let takes = if way.bytes_per_s.is_finite() { length / way.bytes_per_s } else { 0.0 };
        way.free_at = begins + Duration::from_secs_f64(takes);
        let at = way.free_at;
        self.at(at, Due::ToProxy { stream, message });
    }
}

/// The planner's outlet.
#[derive(Clone)]
pub struct Out {
    pub agenda: Rc<RefCell<Agenda>>,
}

impl Effects for Out {
    fn welcome(&mut self, stream: StreamId) {
        let proof = grebespool_wire::Proof([0; 32]);
        self.agenda.borrow_mut().carry(stream, Message::Welcome(Welcome { stream, term: 0, proof }));
    }
    fn send(&mut self, stream: StreamId, orders: Update) {
        self.agenda.borrow_mut().carry(stream, Message::Update(orders));
    }
    fn close(&mut self, stream: StreamId, reason: CloseReason, text: &str) {
        self.agenda.borrow_mut().carry(stream, Message::Close(Close { reason, text: text.into() }));
    }
    fn start_health_check(&mut self, server: ServerId) {
        let mut agenda = self.agenda.borrow_mut();
        let refused = (HOP * 2, HealthCheckResult::Failed);
        let (takes, result) = agenda.probes.get(&server).copied().unwrap_or(refused);
        agenda.after(takes, Due::Probed { server, result });
    }
    fn poll_endpoints(&mut self, have: u64) {
        self.agenda.borrow_mut().after(HOP, Due::Asked(have));
    }
    fn report(&mut self, _: ControllerEvent) {}
}
