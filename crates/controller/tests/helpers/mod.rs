//! Effects that record the controller's requests, and a controller with a few servers that tests drive through time.

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

/// What the controller requested from its host.
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

/// Returns the id of server `n`.
pub fn id(n: u32) -> ServerId {
    ServerId { addr: ([127, 0, 0, 1], 9000 + n as u16).into(), number: n }
}

/// Returns the list entry of server `n`. Even servers are in zone a, odd ones in zone b.
pub fn entry(n: u32, state: grebespool_wire::EndpointState, started_ms: u64) -> EndpointEntry {
    EndpointEntry {
        server: id(n),
        zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(),
        state,
        started_ms,
    }
}

/// Returns the entries of `count` ready servers.
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
    /// The sequence number of the last metrics report.
    pub metrics_sequence: u32,
    /// The weight table of each stream, as its proxy would hold it after all updates.
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
            timeouts: Timeouts {
                warm_up: Duration::from_secs(8),
                removal_is_final: true,
                drain_grace: None,
                max_unserved: None,
                cold_start: None,
            },
            channel: limits,
            observability,
        };
        let controller = Controller::new(effects, config)?;
        Ok(Fixture { controller, recorded, now: ms(10), metrics_sequence: 0, tables: BTreeMap::new() })
    }

    pub fn with_servers(count: u32) -> Fixture {
        Fixture::with_limits(CHANNEL_LIMITS, count)
    }

    /// Creates a fixture whose channel cannot queue even the shortest tables for a hundred proxies at once.
    pub fn with_narrow_channel(count: u32) -> Fixture {
        Fixture::with_limits(
            ControlChannelLimits { entries_per_s: 1000.0, max_queued_entries: 1000.0, ..CHANNEL_LIMITS },
            count,
        )
    }

    fn with_limits(limits: ControlChannelLimits, count: u32) -> Fixture {
        let mut fixture = Fixture::new(limits, 0).unwrap();
        fixture.receive_list((1, 0), 5000, ready(count));
        fixture
    }

    /// Passes an endpoint list to the controller. `versions`: the list's version, and the version that it changes.
    pub fn receive_list(&mut self, versions: (u64, u64), now_ms: u64, entries: Vec<EndpointEntry>) {
        let list = EndpointList { version: versions.0, base_version: versions.1, now_ms, entries };
        self.controller.endpoints_received(self.now, &list);
    }

    /// Has a proxy join. Even streams are of zone a, odd ones of zone b.
    pub fn join(&mut self, stream: StreamId, name: &str, initial_table_only: bool) {
        let zone = if stream.is_multiple_of(2) { "a" } else { "b" };
        let request = JoinRequest { name, zone, calls_per_s: 5.0, initial_table_only };
        self.controller.proxy_joined(self.now, stream, request);
    }

    /// Advances the time, firing each timer when due. Applies all updates, and acknowledges each at once on the streams
    /// for which `acknowledges` returns true.
    pub fn advance(&mut self, duration: Duration, acknowledges: impl Fn(StreamId) -> bool) {
        let end = self.now + duration;
        while self.controller.next_timer() <= end {
            self.now = self.controller.next_timer().max(self.now);
            self.controller.timer_fired(self.now);
            self.apply(&acknowledges);
        }
        self.now = end;
    }

    /// Applies the updates that were sent, and acknowledges them on the streams for which `acknowledges` returns true.
    pub fn apply(&mut self, acknowledges: impl Fn(StreamId) -> bool) {
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
                    Change::RequestAck(requested) => token = Some(requested),
                    _ => {}
                }
            }
            if acknowledges(stream) {
                let Update { incarnation, stream: update_stream, sequence, .. } = update;
                let ack = UpdateAck { incarnation, stream: update_stream, sequence, token };
                self.controller.update_acknowledged(self.now, stream, &ack);
            }
        }
    }

    /// Reports attempts at server `n`, with the server's metric `load`, from the proxy of a stream.
    pub fn report_load(&mut self, stream: StreamId, n: u32, attempts: u32, dropped: u32, load: f32) {
        self.metrics_sequence += 1;
        let metrics = Some(grebespool_wire::ServerMetrics {
            incarnation: 1,
            sequence: self.metrics_sequence,
            values: vec![load],
        });
        let mean_latency_us = if attempts > dropped { 50_000 } else { 0 };
        let server_load = ServerLoad { server: id(n), attempts, dropped, mean_latency_us, metrics };
        let routes = vec![grebespool_wire::RouteLoad { route: 0, calls: attempts }];
        self.controller.load_reported(stream, &ProxyReport { servers: vec![server_load], routes });
    }
}
