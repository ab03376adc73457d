//! Turns what happens on connections and at discovery into calls of the policy, and what the policy orders into
//! [`Effects`]. No I/O and no clock: the host passes the time in.
//!
//! The host calls one method for each thing that happens, and [`SessionManager::timer_fired`] once the time of
//! [`SessionManager::next_deadline`] has come; later only delays what is due.

mod endpoints;
mod messages;
mod peers;
mod publishing;
mod reasons;

use crate::config::PlannerConfig;
use crate::connections::{ConnectionId, Connections};
use crate::event::{Event, WarningKind};
use crate::event_log::EventLog;
use crate::log_aggregator::LogAggregator;
use crate::server_registry::{ReceivedAt, ServerRegistry};
use crate::weight_log::WeightLog;
use crate::wire::EndpointList;
use grebespool::host::ProxyId;
use grebespool::policy::Policy;
use grebespool_assignments::{Assignments, ServerIndices};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// What the session manager asks of its host.
pub trait Effects {
    /// Write these bytes to the connection.
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]);
    /// Close the connection once everything that was written has gone out. No call of
    /// [`SessionManager::connection_closed`] need follow.
    fn close(&mut self, connection: ConnectionId);
    /// Start a health check of the server at this address.
    fn start_health_check(&mut self, server: &str, address: SocketAddr);
    /// Request the changes of the endpoint list and go on watching it.
    fn watch_endpoints(&mut self);
    /// The next answer of discovery has to be a full list.
    fn request_full_list(&mut self);
    /// Write an event to the log.
    fn log(&mut self, event: &Event);
}

/// How much a session manager holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Proxies that have joined.
    pub joined_proxies: usize,
    /// Connections whose peer has not said who it is.
    pub unknown_peers: usize,
    /// Servers in the endpoint list.
    pub listed_servers: usize,
    /// Servers in the list that are ready.
    pub ready_servers: usize,
    /// Server indices in use or reserved.
    pub server_indices: usize,
    /// The version of the endpoint list.
    pub list_version: Option<u64>,
}

/// Serves the proxies and collectors of one planner.
pub struct SessionManager<E> {
    effects: E,
    policy: Policy<Assignments>,
    /// What the policy orders, which it writes as its host.
    assignments: Assignments,
    server_indices: ServerIndices<String>,
    registry: ServerRegistry,
    connections: Connections,
    /// The stream of each joined proxy; of several, the newest.
    streams: BTreeMap<ProxyId, ConnectionId>,
    /// Proxies are numbered from 0 up to this.
    proxy_count: usize,
    route_names: Vec<String>,
    metric_names: Vec<String>,
    aggregator: LogAggregator,
    event_log: EventLog,
    weight_log: Option<WeightLog>,
    /// The policy asked for the endpoint list and was not answered.
    list_requested: bool,
    /// When connections are checked for time limits next.
    next_sweep_at: Duration,
}

impl<E: Effects> SessionManager<E> {
    /// How long the index of a removed server is reserved: what is still on its way from it has come by then.
    const INDEX_RESERVATION: Duration = Duration::from_secs(30);
    /// How often connections are checked for time limits and the log is written.
    const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
    /// At most one warning of a kind in this time.
    const WARNING_INTERVAL: Duration = Duration::from_secs(10);

    /// Starts the policy. `reserved_descriptors` are kept from peers that have not joined; `unix_ms` is the machines'
    /// clock at this moment, in Unix milliseconds.
    pub fn new(effects: E, config: PlannerConfig, reserved_descriptors: usize, unix_ms: f64) -> Self {
        let unknown_limit = config.unknown_peer_limit(reserved_descriptors);
        let assignments = Assignments::default();
        let mut manager = SessionManager {
            effects,
            policy: Policy::new(
                assignments.clone(),
                config.seed,
                config.routes,
                config.proxy_capabilities,
                config.timeouts,
                config.channel,
                config.observability,
            ),
            assignments,
            server_indices: ServerIndices::new(Self::INDEX_RESERVATION),
            registry: ServerRegistry::new(config.zones),
            connections: Connections::new(unknown_limit),
            streams: BTreeMap::new(),
            proxy_count: config.proxy_capabilities.proxies,
            route_names: config.route_names,
            metric_names: config.metric_names,
            aggregator: LogAggregator::new(Self::WARNING_INTERVAL),
            event_log: EventLog::default(),
            weight_log: None,
            list_requested: false,
            next_sweep_at: Duration::ZERO,
        };
        if let Some(list) = &config.known_endpoints {
            manager.apply_known_endpoints(unix_ms, list);
        }
        manager
    }

    fn apply_known_endpoints(&mut self, unix_ms: f64, list: &Value) {
        let received = ReceivedAt { now: Duration::ZERO, unix_ms };
        match EndpointList::from_json(list) {
            Ok(list) => self.apply_endpoint_list(received, None, &list),
            Err(error) => self.warn(received.now, WarningKind::KnownListRejected, &error),
        }
    }

    /// Reports the weights of all tables from now on. To be called before any proxy has joined.
    pub fn log_weights(&mut self) {
        self.weight_log = Some(WeightLog::default());
    }

    /// When [`SessionManager::timer_fired`] is to be called next.
    pub fn next_deadline(&self) -> Duration {
        self.assignments.next_timer().map_or(self.next_sweep_at, |timer| timer.min(self.next_sweep_at))
    }

    /// The version of the endpoint list that is known.
    pub fn endpoint_list_version(&self) -> Option<u64> {
        self.registry.version()
    }

    /// How much is held.
    pub fn status(&self) -> Status {
        Status {
            joined_proxies: self.streams.len(),
            unknown_peers: self.connections.unknown_count(),
            listed_servers: self.registry.listed_count(),
            ready_servers: self.registry.ready_count(),
            server_indices: self.server_indices.len(),
            list_version: self.registry.version(),
        }
    }

    /// Does what is due by now.
    pub fn timer_fired(&mut self, now: Duration) {
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + Self::SWEEP_INTERVAL;
            self.close_overdue(now);
            self.log_changes();
        }
        for timer in self.assignments.take_due_timers(now) {
            self.policy.timer_fired(now, timer);
            self.flush();
        }
    }

    fn log_changes(&mut self) {
        let id = |server| self.server_indices.id(server).as_str();
        let mut events = self.event_log.drain(id);
        if let Some(weight_log) = &mut self.weight_log {
            events.extend(weight_log.drain(id));
        }
        for event in &events {
            self.effects.log(event);
        }
    }

    fn warn(&mut self, now: Duration, kind: WarningKind, cause: &dyn Display) {
        if let Some(warning) = self.aggregator.add(now, kind, cause) {
            self.effects.log(&Event::Warning(warning));
        }
    }
}
