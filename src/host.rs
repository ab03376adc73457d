//! The boundary of the policy: the settings and events it is given, and the [`PolicyHost`] it commands.
//!
//! Plain data and one trait. Nothing here decides anything or does I/O.

use std::collections::BTreeMap;
use std::time::Duration;

/// A server, by the small index that the host assigned when the server was first listed.
pub type ServerIndex = usize;
/// A proxy, by the number that the host assigned when it joined.
pub type ProxyId = u16;
/// A weight table, shared by the proxies that are bound to it.
pub type TableId = u16;
/// A zone, by its position among the deployment's zones.
pub type ZoneId = u16;
/// A class of servers that are built alike and so have the same capacity.
pub type ServerKind = u16;
/// A set of routes as a bit mask: bit `k` stands for the route at position `k`.
pub type RouteSet = u16;

/// A timer that the policy asks its host for.
///
/// The order is part of the behaviour: of timers that are due together, the host fires [`Timer::Tick`] first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The regular evaluation of all rules.
    Tick,
    /// A retry of changes that the control channel had no capacity for.
    UrgentPublish,
}

/// What the policy commands. An adapter implements it for its protocol; the calls return before anything is sent.
pub trait PolicyHost {
    /// Asks for [`Policy::timer_fired`](crate::policy::Policy::timer_fired) at `at`, counted from the policy's start.
    fn set_timer(&mut self, at: Duration, timer: Timer);
    /// Sets a server's weight in a table; 0 takes the server out of it.
    fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32);
    /// Has a proxy use a table for `routes`; 0 stands for all routes.
    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet);
    /// Sets how much of the routes' requests all joined proxies admit, in the unit of [`AdmissionMode`], and how they retry.
    fn set_admission(&mut self, routes: RouteSet, level: f32, retries: RetryPolicy);
    /// Asks for an acknowledgement of everything commanded so far, under this number.
    fn request_ack(&mut self, number: u16);
    /// Starts a health check of a server, apart from the requests of clients.
    fn start_health_check(&mut self, server: ServerIndex);
    /// Asks for the current endpoint list.
    fn poll_endpoints(&mut self);
}

/// When proxies retry a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never: one attempt for each request.
    Never,
    /// Only where the failed attempt is known to have had no effect.
    IfNotExecuted,
    /// After any failure, time-outs included.
    AfterFailure,
}

/// A server's state on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes the requests it has and accepts no others.
    Draining,
    /// No longer part of the deployment.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The server.
    pub server: ServerIndex,
    /// The zone it is in.
    pub zone: ZoneId,
    /// Its kind; the same for all servers where nothing tells them apart.
    pub kind: ServerKind,
    /// Its state.
    pub state: EndpointState,
    /// The time since its last start; `None` where that is not known.
    pub age: Option<Duration>,
}

/// Whether a route's requests may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing a request again has no further effect.
    Idempotent,
    /// Requests bear an idempotency key; a repeat within the window is discarded.
    Keyed {
        /// Which servers recognise the repeat.
        scope: DeduplicationScope,
        /// How long a key is remembered.
        window: Duration,
    },
    /// Every execution has an effect of its own.
    NonIdempotent,
}

/// The servers that share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of a zone.
    Zone,
    /// The servers of a cell.
    Cell,
}

/// A class of requests, as the deployment's settings state it.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The value of one answered request; routes of a lower one are shed first.
    pub priority_weight: f64,
    /// The time within which an answer counts.
    pub latency_objective: Duration,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// Its requests may not leave the zone of their proxy.
    pub zone_local: bool,
}

/// Deadlines around the start and the removal of servers.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// How long a server may be cold after a start.
    pub warm_up: Duration,
    /// A removal from the endpoint list is final. Otherwise a server that still answers remains in use.
    pub removal_is_final: bool,
}

/// The capacity of the control channel, through which all commands to the proxies pass.
#[derive(Clone, Copy, Debug)]
pub struct ControlChannelLimits {
    /// Table entries a second that the channel delivers.
    pub entries_per_s: f64,
    /// Table entries that may be queued in it.
    pub max_queued_entries: f64,
    /// Table entries that each message costs beyond its own.
    pub message_overhead: f64,
    /// Messages to one proxy within `window`; 0 for no limit.
    pub max_messages: usize,
    /// The sliding window of `max_messages`.
    pub window: Duration,
    /// The longest time from a command to its effect on an uncongested channel.
    pub max_transit: Duration,
}

/// What the policy can observe of servers and endpoints.
#[derive(Clone, Debug)]
pub struct Observability {
    /// What each position of [`LoadReport::metrics`] measures.
    pub metrics: Vec<LoadMetric>,
    /// The time between two reports of the same server.
    pub report_interval: Duration,
    /// Health checks are available.
    pub health_checks: bool,
    /// How long the endpoint list may go without a poll; `None` where changes are pushed.
    pub endpoint_poll_interval: Option<Duration>,
}

/// The unit in which proxies are told how much to admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// The share of a route's requests that is admitted, 0 to 1.
    Share,
    /// Requests a second of each route at each proxy.
    Rate,
    /// None: proxies only follow the retry policy.
    Off,
}

/// What the proxies are able to do, and how many there are.
#[derive(Clone, Copy, Debug)]
pub struct ProxyCapabilities {
    /// Zones of the deployment.
    pub zones: usize,
    /// Slices: parts of the deployment that share no servers. The policy creates no pools where there are any.
    pub slices: usize,
    /// The unit of admission levels.
    pub admission_mode: AdmissionMode,
    /// An attempt that may be followed by another waits this multiple of the latency objective.
    pub attempt_timeout_factor: f64,
    /// All proxies, whichever planner they have joined.
    pub proxies: usize,
    /// Connections that the smallest servers accept.
    pub min_server_connections: f64,
}

/// What a position of a load report measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Requests in flight.
    InFlight,
    /// Requests that wait for a worker.
    Pending,
    /// The utilization of the workers, 0 to 1.
    Utilization,
    /// The mean time to serve a request, in milliseconds.
    ServiceTimeMs,
    /// Answered requests a second.
    ResponsesPerSecond,
    /// Failed requests a second.
    ErrorsPerSecond,
    /// Anything the policy does not use.
    Other,
}

/// What the proxies of one zone observed of one server over a report interval.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport<'a> {
    /// The zone of the proxies.
    pub client_zone: ZoneId,
    /// Attempts that ended in the interval.
    pub attempts: u32,
    /// Attempts that ended without an answer.
    pub failures: u32,
    /// The mean latency of the answered attempts; `None` without any.
    pub latency: Option<Duration>,
    /// The server's own figures, in the order of [`Observability::metrics`]; empty where none came.
    pub metrics: &'a [f32],
}

/// How a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The server answered.
    Healthy,
    /// The server refused the check: it drains, or has too many checks in progress.
    Rejected,
    /// No answer came, or an error.
    Failed,
}

/// What the servers of a zone can do, and what its proxies received.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneCapacity {
    /// Requests a second that its ready servers can answer.
    pub capacity_per_s: f64,
    /// By route: requests a second that its proxies received.
    pub received_per_s: Vec<f64>,
}

/// The servers of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSubset {
    /// The zone of its proxies.
    pub zone: ZoneId,
    /// The servers it holds, in the order of its table.
    pub servers: Vec<ServerIndex>,
}

/// What a policy has assigned, for the one that takes over from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolAssignments {
    /// The pools, in the order of their tables.
    pub pools: Vec<PoolSubset>,
    /// The position of each bound proxy's pool.
    pub pool_by_proxy: BTreeMap<ProxyId, usize>,
}

/// The pool that a proxy had under a former policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormerBinding {
    /// The zone of the proxy.
    pub zone: ZoneId,
    /// The position of its pool in the restored assignments.
    pub pool: usize,
}
