//! Effects that keep what they were asked, and a controller of a few servers that can be driven through time.

use grebespool::host::*;
use grebespool_controller::*;
use grebespool_wire::{
    Change, CloseReason, EndpointEntry, EndpointList, ProxyReport, ServerId, ServerLoad, TableBinding,
    Update, UpdateAck, WeightChange,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
pub struct Recorded {
    pub welcomed: Vec<StreamId>,
    pub sent: Vec<(StreamId, Update)>,
    pub closed: Vec<(StreamId, CloseReason)>,
    pub health_checks: Vec<ServerId>,
    pub polls: Vec<u64>,
    pub events: Vec<ControllerEvent>,
}

#[derive(Clone, Default)]
pub struct RecordingEffects(pub Rc<RefCell<Recorded>>);

impl Effects for RecordingEffects {
    fn welcome(&mut self, stream: StreamId) {
        self.0.borrow_mut().welcomed.push(stream);
    }
    fn send(&mut self, stream: StreamId, update: Update) {
        self.0.borrow_mut().sent.push((stream, update));
    }
    fn close(&mut self, stream: StreamId, reason: CloseReason, _: &str) {
        self.0.borrow_mut().closed.push((stream, reason));
    }
    fn start_health_check(&mut self, server: ServerId) {
        self.0.borrow_mut().health_checks.push(server);
    }
    fn poll_endpoints(&mut self, known_version: u64) {
        self.0.borrow_mut().polls.push(known_version);
    }
    fn report(&mut self, event: ControllerEvent) {
        self.0.borrow_mut().events.push(event);
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn id(n: u32) -> ServerId {
    ServerId { addr: ([127, 0, 0, 1], 9000 + n as u16).into(), number: n }
}

pub fn entry(n: u32, phase: grebespool_wire::EndpointState, started_ms: u64) -> EndpointEntry {
    EndpointEntry {
        server: id(n),
        zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
        state: phase,
        started_ms,
    }
}

pub fn ready(count: u32) -> Vec<EndpointEntry> {
    (0..count).map(|n| entry(n, grebespool_wire::EndpointState::Ready, 0)).collect()
}

pub const CHANNEL_LIMITS: ControlChannelLimits = ControlChannelLimits {
    entries_per_s: 2000.0,
    max_queued_entries: 3000.0,
    message_overhead: 4.0,
    max_messages: 20,
    window: Duration::from_secs(10),
    max_transit: Duration::from_millis(300),
};

pub struct Fixture {
    pub controller: Controller<RecordingEffects>,
    pub recorded: Rc<RefCell<Recorded>>,
    pub now: Duration,
    pub number: u32,
    /// What each stream's table holds, as a proxy would have it.
    pub tables: BTreeMap<StreamId, BTreeMap<ServerId, f32>>,
}

impl Fixture {
    pub fn new(limits: ControlChannelLimits, slices: usize) -> Result<Fixture, UnsupportedDeploymentError> {
        let effects = RecordingEffects::default();
        let recorded = effects.0.clone();
        let route = Route {
            priority_weight: 1.0,
            latency_objective: ms(500),
            idempotency: Idempotency::Idempotent,
            zone_local: false,
        };
        let capabilities = ProxyCapabilities {
            zones: 2,
            slices,
            admission_mode: AdmissionMode::Share,
            attempt_timeout_factor: 1.0,
            proxies: 100,
            min_server_connections: 1e4,
        };
        let observability = Observability {
            metrics: vec![LoadMetric::Utilization],
            report_interval: ms(500),
            health_checks: true,
            endpoint_poll_interval: None,
        };
        let config = ControllerConfig {
            incarnation: Incarnation { id: 77, seed: 1, term: 0 },
            limits: Limits { servers: 50, proxies: 200, joins: 4, ack_timeout: ms(4000) },
            zones: vec!["a".into(), "b".into()],
            routes: vec![route],
            capabilities,
            timeouts: Timeouts { warm_up: Duration::from_secs(8), removal_is_final: true },
            channel: limits,
            observability,
        };
        let controller = Controller::new(effects, config)?;
        Ok(Fixture { controller, recorded, now: ms(10), number: 0, tables: BTreeMap::new() })
    }

    pub fn with_servers(count: u32) -> Fixture {
        Fixture::with_limits(CHANNEL_LIMITS, count)
    }

    /// A channel that does not take even the shortest tables for a hundred proxies at once.
    pub fn narrow(count: u32) -> Fixture {
        Fixture::with_limits(
            ControlChannelLimits { entries_per_s: 1000.0, max_queued_entries: 1000.0, ..CHANNEL_LIMITS },
            count,
        )
    }

    fn with_limits(limits: ControlChannelLimits, count: u32) -> Fixture {
        let mut fixture = Fixture::new(limits, 0).unwrap();
        fixture.list((1, 0), 5000, ready(count));
        fixture
    }

    /// Hands over an endpoint list. `of`: its version, and the version that it changes.
    pub fn list(&mut self, of: (u64, u64), now_ms: u64, entries: Vec<EndpointEntry>) {
        let list = EndpointList { version: of.0, base_version: of.1, now_ms, entries };
        self.controller.endpoints_received(self.now, &list);
    }

    pub fn join(&mut self, stream: StreamId, name: &str, bare: bool) {
        let zone = if stream.is_multiple_of(2) { "a" } else { "b" };
        let request = JoinRequest { name, zone, calls_per_s: 5.0, initial_table_only: bare };
        self.controller.proxy_joined(self.now, stream, request);
    }

    /// Runs on, firing the timers when they are due, and acknowledges each update at once for the streams that do.
    pub fn run(&mut self, length: Duration, answers: impl Fn(StreamId) -> bool) {
        let end = self.now + length;
        while self.controller.next_timer() <= end {
            self.now = self.controller.next_timer().max(self.now);
            self.controller.timer_fired(self.now);
            self.apply(&answers);
        }
        self.now = end;
    }

    pub fn apply(&mut self, answers: impl Fn(StreamId) -> bool) {
        let sent: Vec<_> = std::mem::take(&mut self.recorded.borrow_mut().sent);
        for (stream, update) in sent {
            let mut token = None;
            for change in update.changes {
                let table = self.tables.entry(stream).or_default();
                match change {
                    Change::BindTable(TableBinding { weights, .. }) => {
                        *table = weights.into_iter().map(|w| (w.server, w.weight)).collect()
                    }
                    Change::SetWeight(WeightChange { server, weight, .. }) if weight > 0.0 => {
                        let _ = table.insert(server, weight);
                    }
                    Change::SetWeight(WeightChange { server, .. }) => {
                        let _ = table.remove(&server);
                    }
                    Change::RequestAck(asked) => token = Some(asked),
                    _ => {}
                }
            }
            if answers(stream) {
                let Update { incarnation, stream: of, sequence, .. } = update;
                let ack = UpdateAck { incarnation, stream: of, sequence, token };
                self.controller.update_acknowledged(self.now, stream, &ack);
            }
        }
    }

    /// Sums of one server, with a report of its load unless that is no number.
    pub fn sums(&mut self, stream: StreamId, n: u32, tries: u32, dropped: u32, load: f32) {
        self.number += 1;
        let report = Some(grebespool_wire::ServerMetrics {
            incarnation: 1,
            sequence: self.number,
            values: vec![load],
        });
        let wait_us = if tries > dropped { 50_000 } else { 0 };
        let met =
            ServerLoad { server: id(n), attempts: tries, dropped, mean_latency_us: wait_us, metrics: report };
        let routes = vec![grebespool_wire::RouteLoad { route: 0, calls: tries }];
        self.controller.load_reported(stream, &ProxyReport { servers: vec![met], routes });
    }
}
