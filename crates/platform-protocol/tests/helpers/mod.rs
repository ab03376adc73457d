//! A harness around a session manager that records its effects, and the settings of a small deployment.

use grebespool_platform_protocol::{
    ConnectionId, Effects, EndpointListError, Event, PlannerConfig, ReceivedAt, SessionManager, Warning,
};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The wall clock of the machine at the planner's start, in Unix milliseconds.
pub const START_UNIX_MS: f64 = 1_700_000_000_000.0;

/// The number of descriptors that peers without a join cannot take.
const RESERVED_DESCRIPTORS: usize = 20;

pub fn settings() -> Value {
    serde_json::from_str(include_str!("../settings.json")).unwrap()
}

pub fn server(k: usize, state: &str, age_ms: u64) -> Value {
    let started = if age_ms == 0 { 0.0 } else { START_UNIX_MS - age_ms as f64 };
    let zone = ["north", "south"][k % 2];
    json!({"id": format!("s{k}"), "addr": format!("127.0.0.9:{}", 7000 + k), "zone": zone, "kind": "k", "cell": 1,
           "state": state, "weight": 1.0, "started_ms": started})
}

pub fn list(version: u64, full: bool, servers: Vec<Value>) -> Value {
    json!({"version": version, "full": full, "servers": servers})
}

pub fn config(servers: usize) -> PlannerConfig {
    config_with(servers, settings())
}

pub fn config_with(servers: usize, settings: Value) -> PlannerConfig {
    config_with_limits(servers, settings, 32, 100)
}

pub fn config_with_limits(servers: usize, settings: Value, memory_mb: u64, sockets: u64) -> PlannerConfig {
    let known = list(3, true, (0..servers).map(|k| server(k, "SERVING", 0)).collect());
    let file = json!({
        "name": "p0", "listen": "127.0.0.1:9", "discovery": "127.0.0.1:8", "seed": "8c1f", "known": known,
        "limits": {"cores": 0.5, "memory_mb": memory_mb, "sockets": sockets}, "settings": settings, "unheard_of": [1, {}],
    });
    PlannerConfig::parse(file.to_string().as_bytes()).unwrap()
}

#[derive(Default)]
pub struct Recorded {
    pub written: BTreeMap<ConnectionId, Vec<u8>>,
    pub closed: Vec<ConnectionId>,
    pub health_checks: Vec<String>,
    pub watch_requests: usize,
    pub resumptions: usize,
    pub full_list_requests: usize,
    pub warnings: Vec<Warning>,
    /// The events that are always logged.
    pub events: Vec<Event>,
    /// The events that are logged only at the level `debug`.
    pub debug_events: Vec<Event>,
}

#[derive(Clone, Default)]
pub struct RecordedEffects(pub Rc<RefCell<Recorded>>);

impl Effects for RecordedEffects {
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]) {
        self.0.borrow_mut().written.entry(connection).or_default().extend(bytes);
    }

    fn close(&mut self, connection: ConnectionId) {
        self.0.borrow_mut().closed.push(connection);
    }

    fn resume_reading(&mut self) {
        self.0.borrow_mut().resumptions += 1;
    }

    fn start_health_check(&mut self, server: &str, _: SocketAddr) {
        self.0.borrow_mut().health_checks.push(server.into());
    }

    fn watch_endpoints(&mut self) {
        self.0.borrow_mut().watch_requests += 1;
    }

    fn request_full_list(&mut self) {
        self.0.borrow_mut().full_list_requests += 1;
    }

    fn log(&mut self, event: &Event) {
        let recorded = &mut *self.0.borrow_mut();
        match event {
            Event::Warning(warning) => recorded.warnings.push(warning.clone()),
            Event::TableWeights(_) => recorded.debug_events.push(event.clone()),
            _ => recorded.events.push(event.clone()),
        }
    }
}

pub fn framed(body: &[u8]) -> Vec<u8> {
    [&(body.len() as u32).to_be_bytes()[..], body].concat()
}

pub fn subscribe(node: u64, locality: &str) -> Value {
    json!({"msg": "SUBSCRIBE", "node": node, "locality": locality, "w": 3.5, "cold": true})
}

pub struct Harness {
    pub manager: SessionManager<RecordedEffects>,
    pub recorded: Rc<RefCell<Recorded>>,
    pub now: Duration,
}

impl Harness {
    pub fn new(servers: usize) -> Harness {
        Harness::with_config(config(servers))
    }

    pub fn with_config(config: PlannerConfig) -> Harness {
        let effects = RecordedEffects::default();
        let recorded = effects.0.clone();
        let manager = SessionManager::new(effects, config, RESERVED_DESCRIPTORS, START_UNIX_MS);
        Harness { manager, recorded, now: Duration::ZERO }
    }

    pub fn open(&mut self, connection: ConnectionId) {
        self.manager.connection_opened(self.now, connection);
    }

    /// Passes bytes to the session manager in the parts in which it allows them, and handles all messages.
    pub fn receive(&mut self, connection: ConnectionId, bytes: &[u8]) {
        let taken = self.receive_allowed(connection, bytes);
        assert_eq!(taken, bytes.len(), "the memory for received bytes is exhausted");
    }

    /// Like [`Self::receive`], but stops where the session manager allows no more bytes. Returns the number of bytes taken.
    pub fn receive_allowed(&mut self, connection: ConnectionId, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() {
            let part = self.manager.read_allowance(connection).min(bytes.len() - taken);
            if part == 0 {
                break;
            }
            self.manager.bytes_received(self.now, connection, &bytes[taken..taken + part]);
            taken += part;
            while self.manager.handle_next_message(self.now, connection) {}
        }
        taken
    }

    pub fn receive_message(&mut self, connection: ConnectionId, message: &Value) {
        self.receive(connection, &framed(message.to_string().as_bytes()));
    }

    pub fn join(&mut self, connection: ConnectionId, node: u64) {
        self.open(connection);
        self.receive_message(connection, &subscribe(node, ["north", "south"][node as usize % 2]));
    }

    pub fn receive_list(&mut self, since: Option<u64>, list: &Value) -> Result<(), EndpointListError> {
        let unix_ms = START_UNIX_MS + self.now.as_secs_f64() * 1000.0;
        self.receive_list_at(unix_ms, since, list.to_string().as_bytes())
    }

    /// Receives a list at this wall clock, which may differ from the planner's clock.
    pub fn receive_list_at(
        &mut self,
        unix_ms: f64,
        since: Option<u64>,
        body: &[u8],
    ) -> Result<(), EndpointListError> {
        self.manager.endpoint_list_received(ReceivedAt { now: self.now, unix_ms }, since, body)
    }

    pub fn run_until(&mut self, at: Duration) {
        while self.manager.next_deadline() <= at {
            self.now = self.manager.next_deadline().max(self.now);
            self.manager.timer_fired(self.now);
        }
        self.now = at;
    }

    /// Returns the messages that were written to the connection since the last call.
    pub fn written(&mut self, connection: ConnectionId) -> Vec<Value> {
        let bytes = self.recorded.borrow_mut().written.remove(&connection).unwrap_or_default();
        let mut rest = &bytes[..];
        let mut messages = vec![];
        while let Some((head, more)) = rest.split_first_chunk::<4>() {
            let (body, more) = more.split_at(u32::from_be_bytes(*head) as usize);
            messages.push(serde_json::from_slice(body).unwrap());
            rest = more;
        }
        messages
    }

    pub fn is_closed(&self, connection: ConnectionId) -> bool {
        self.recorded.borrow().closed.contains(&connection)
    }
}

/// Applies the messages to a proxy's table and returns the table.
pub fn table(messages: &[Value], mut table: BTreeMap<String, f64>) -> BTreeMap<String, f64> {
    for message in messages.iter().filter(|message| message["msg"] == "CONFIG") {
        if message["whole"] == true {
            table.clear();
        }
        for line in message["lines"].as_array().into_iter().flatten() {
            let (id, weight) = (line[0].as_str().unwrap().to_string(), line[1].as_f64().unwrap());
            if weight > 0.0 {
                table.insert(id, weight)
            } else {
                table.remove(&id)
            };
        }
    }
    table
}
