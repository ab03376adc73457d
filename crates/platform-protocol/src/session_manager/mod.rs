//! Translates events of connections and of discovery into calls of the policy, and the policy's decisions into
//! [`Effects`]. This module does no I/O and reads no clock: the host passes the time in.
//!
//! The host calls one method for each event, and [`SessionManager::timer_fired`] when the time of
//! [`SessionManager::next_deadline`] has come. A later call only delays what is due.

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
use grebespool::host::{ProxyId, UrgentDelays};
use grebespool::policy::Policy;
use grebespool_assignments::{Assignments, ServerIndices};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

/// The actions that the session manager requests from its host.
pub trait Effects {
    /// Writes these bytes to the connection.
    fn write(&mut self, connection: ConnectionId, bytes: &[u8]);
    /// Closes the connection after all written bytes were sent. The host may omit the call of
    /// [`SessionManager::connection_closed`] afterwards.
    fn close(&mut self, connection: ConnectionId);
    /// Continues to read from the connections whose [`SessionManager::read_allowance`] was 0.
    fn resume_reading(&mut self);
    /// Starts a health check of the server at this address.
    fn start_health_check(&mut self, server: &str, address: SocketAddr);
    /// Requests the changes of the endpoint list and continues to watch the list.
    fn watch_endpoints(&mut self);
    /// Makes the next request to discovery ask for the full list.
    fn request_full_list(&mut self);
    /// Writes an event to the log.
    fn log(&mut self, event: &Event);
}

/// The numbers of objects that a session manager holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The number of proxies that have joined.
    pub joined_proxies: usize,
    /// The number of connections whose peer has neither joined nor announced itself.
    pub unknown_peers: usize,
    /// The number of servers in the endpoint list.
    pub listed_servers: usize,
    /// The number of servers in the list that are ready.
    pub ready_servers: usize,
    /// The number of server indices in use or reserved.
    pub server_indices: usize,
    /// The number of bytes that are held for received messages, complete or not.
    pub unread_bytes: usize,
    /// The number of stored reports.
    pub stored_reports: usize,
    /// The version of the endpoint list.
    pub list_version: Option<u64>,
    /// The urgent changes of tables that could not be sent at once.
    pub urgent_delays: UrgentDelays,
}

/// The protocol logic of one planner: serves its proxies and collectors, and follows discovery.
pub struct SessionManager<E> {
    effects: E,
    policy: Policy<Assignments>,
    /// The decisions of the policy. The policy shares this value as its host and writes to it.
    assignments: Assignments,
    server_indices: ServerIndices<String>,
    registry: ServerRegistry,
    connections: Connections,
    /// The newest stream of each joined proxy.
    streams: BTreeMap<ProxyId, ConnectionId>,
    /// The number of proxies. Their numbers are below this count.
    proxy_count: usize,
    route_names: Vec<String>,
    metric_names: Vec<String>,
    aggregator: LogAggregator,
    event_log: EventLog,
    weight_log: Option<WeightLog>,
    /// True if the policy has requested the endpoint list and has received no answer.
    list_requested: bool,
    /// The time of the next sweep, which closes overdue connections and logs changes.
    next_sweep_at: Duration,
}

impl<E: Effects> SessionManager<E> {
    /// The time for which the index of a removed server is reserved, so that late messages about this server are not
    /// attributed to another one.
    const INDEX_RESERVATION: Duration = Duration::from_secs(30);
    /// The time between two sweeps, which close overdue connections and log changes.
    const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
    /// The time in which at most one warning of each kind is reported.
    const WARNING_INTERVAL: Duration = Duration::from_secs(10);

    /// Creates a session manager and starts the policy.
    ///
    /// `reserved_descriptors` is the number of descriptors that peers without a join cannot take, besides those for
    /// proxies and collectors. `unix_ms` is the wall clock of the machine at this moment, in Unix milliseconds.
    pub fn new(effects: E, config: PlannerConfig, reserved_descriptors: usize, unix_ms: f64) -> Self {
        let unknown_limit = config.unknown_peer_limit(reserved_descriptors);
        let read_limits = config.read_limits();
        let (max_servers, report_memory) = (config.max_servers(), config.report_memory());
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
            registry: ServerRegistry::new(config.zones, max_servers),
            connections: Connections::new(unknown_limit, read_limits),
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
        manager.policy.limit_report_memory(report_memory);
        if let Some(list) = &config.known_endpoints {
            manager.apply_known_endpoints(unix_ms, list);
        }
        manager
    }

    fn apply_known_endpoints(&mut self, unix_ms: f64, list: &Value) {
        let received = ReceivedAt { now: Duration::ZERO, unix_ms };
        match EndpointList::from_json(list, self.registry.max_servers()) {
            Ok(list) => self.apply_endpoint_list(received, None, &list),
            Err(error) => self.warn(received.now, WarningKind::KnownListRejected, &error),
        }
    }

    /// Enables [`Event::TableWeights`] for all tables. To be called before any proxy has joined.
    pub fn enable_weight_log(&mut self) {
        self.weight_log = Some(WeightLog::default());
    }

    /// Returns the time at which [`SessionManager::timer_fired`] is to be called next.
    pub fn next_deadline(&self) -> Duration {
        self.assignments.next_timer().map_or(self.next_sweep_at, |timer| timer.min(self.next_sweep_at))
    }

    /// Returns the known version of the endpoint list.
    pub fn endpoint_list_version(&self) -> Option<u64> {
        self.registry.version()
    }

    /// Returns the numbers of proxies, peers and servers that the session manager holds.
    pub fn status(&self) -> Status {
        Status {
            joined_proxies: self.streams.len(),
            unknown_peers: self.connections.unknown_count(),
            listed_servers: self.registry.listed_count(),
            ready_servers: self.registry.ready_count(),
            server_indices: self.server_indices.len(),
            unread_bytes: self.connections.held_bytes(),
            stored_reports: self.policy.stored_reports(),
            list_version: self.registry.version(),
            urgent_delays: self.policy.urgent_delays(),
        }
    }

    /// Runs the sweep and the policy's timers that are due.
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
