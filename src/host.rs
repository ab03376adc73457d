//! The boundary of the policy: the settings and events that it receives, and the [`PolicyHost`] that it commands.
//!
//! This module holds plain data and one trait. It makes no decisions and does no I/O.

use std::collections::BTreeMap;
use std::time::Duration;

/// The index of a server, which the host assigned when the server was first listed.
pub type ServerIndex = usize;
/// The number of a proxy, which the host assigned when the proxy joined.
pub type ProxyId = u16;
/// The number of a weight table. All proxies that are bound to a table share it.
pub type TableId = u16;
/// The position of a zone in the deployment's list of zones.
pub type ZoneId = u16;
/// A class of servers with the same hardware and therefore the same capacity.
pub type ServerKind = u16;
/// A set of routes as a bit mask: bit `k` is set if the route at position `k` is in the set.
pub type RouteSet = u16;
/// The route set that means all routes.
pub const ALL_ROUTES: RouteSet = 0;

/// A timer that the policy requests from its host.
///
/// The order of the variants is part of the behaviour: of timers that are due together, the host fires [`Timer::Tick`]
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Timer {
    /// The periodic evaluation of all rules.
    Tick,
    /// A retry of urgent changes that did not fit into the control channel.
    UrgentPublish,
}

/// The commands of the policy. An adapter implements the trait for its protocol; the calls return before anything is sent.
pub trait PolicyHost {
    /// Requests a call of [`Policy::timer_fired`](crate::policy::Policy::timer_fired) at `at`, counted from the policy's
    /// start.
    fn set_timer(&mut self, at: Duration, timer: Timer);
    /// Sets a server's weight in a table; a weight of 0 removes the server from the table.
    fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32);
    /// Binds a proxy to a table for `routes`; 0 means all routes.
    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet);
    /// Sets the admission level of `routes`, in the unit of [`AdmissionMode`], and their retry policy at all joined proxies.
    fn set_admission(&mut self, routes: RouteSet, level: f32, retries: RetryPolicy);
    /// Sets the admission level and the retry policy of `routes` at the proxies that are bound to a table. Where a level for
    /// all joined proxies is set as well, the lower one applies; the retry policy of the table applies.
    fn set_table_admission(&mut self, table: TableId, routes: RouteSet, level: f32, retries: RetryPolicy);
    /// Requests an acknowledgement, with this number, of all commands sent until now.
    fn request_ack(&mut self, number: u16);
    /// Starts a health check of a server, independent of client requests.
    fn start_health_check(&mut self, server: ServerIndex);
    /// Requests the current endpoint list.
    fn poll_endpoints(&mut self);
}

/// The conditions under which proxies retry a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never: each request gets one attempt.
    Never,
    /// Only if the failed attempt is known to have had no effect.
    IfNotExecuted,
    /// After any failure, including a time-out.
    AfterFailure,
}

/// A server's state on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Finishes its current requests and accepts no others.
    Draining,
    /// No longer part of the deployment.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The server.
    pub server: ServerIndex,
    /// The server's zone.
    pub zone: ZoneId,
    /// The server's kind; the same for all servers if their kinds are not known.
    pub kind: ServerKind,
    /// The server's state.
    pub state: EndpointState,
    /// The time since the server's last start; `None` if it is not known.
    pub age: Option<Duration>,
}

/// The effect of executing a route's request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing a request again has no further effect.
    Idempotent,
    /// Requests carry an idempotency key; servers discard a repeat within the window.
    Keyed {
        /// The servers that recognise the repeat.
        scope: DeduplicationScope,
        /// The time for which servers store a key.
        window: Duration,
    },
    /// Every execution has an additional effect.
    NonIdempotent,
}

/// The servers that share their store of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of a zone.
    Zone,
    /// The servers of a cell.
    Cell,
}

/// A class of requests, as defined by the deployment's settings.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    /// The value of one answered request; routes with lower values are shed first.
    pub priority_weight: f64,
    /// The time within which a response has to arrive.
    pub latency_objective: Duration,
    /// The effect of repeating one of the route's requests.
    pub idempotency: Idempotency,
    /// True if the route's requests may not leave the zone of their proxy.
    pub zone_local: bool,
}

/// The load that a server can bear after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// The capacity of a server at its start, as a fraction of its capacity when warm.
    pub capacity: f64,
    /// The multiple of its present capacity above which a server falls over.
    pub overload_multiple: f64,
}

/// Rules for the start and the removal of servers.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// The longest time that a server takes to warm up after a start.
    pub warm_up: Duration,
    /// True if a removal from the endpoint list is final. Otherwise a removed server that still answers remains in use.
    pub removal_is_final: bool,
    /// The time within which proxies have to stop sending to a server that drains; `None` if it is not known.
    pub drain_grace: Option<Duration>,
    /// The longest time for which a proxy may have no server for a route while a warm one is listed; `None` if it is not known.
    pub max_unserved: Option<Duration>,
    /// The load that a server can bear after its start; `None` if it is not known.
    pub cold_start: Option<ColdStart>,
}

/// The capacity of the control channel, which carries all commands to the proxies.
#[derive(Clone, Copy, Debug)]
pub struct ControlChannelLimits {
    /// The rate at which the channel delivers, in table entries per second.
    pub entries_per_s: f64,
    /// The largest number of table entries that may be queued in the channel.
    pub max_queued_entries: f64,
    /// The cost of a message in addition to its table entries, in table entries.
    pub message_overhead: f64,
    /// The largest number of messages to one proxy within `window`; 0 means no limit.
    pub max_messages: usize,
    /// The sliding window of `max_messages`.
    pub window: Duration,
    /// The longest time from a command to its effect while the channel is not congested.
    pub max_transit: Duration,
}

/// The sources of information about servers and endpoints.
#[derive(Clone, Debug)]
pub struct Observability {
    /// The metric at each position of [`LoadReport::metrics`].
    pub metrics: Vec<LoadMetric>,
    /// The time between two reports on the same server.
    pub report_interval: Duration,
    /// True if health checks are available.
    pub health_checks: bool,
    /// The longest time between two polls of the endpoint list; `None` if changes of the list are pushed.
    pub endpoint_poll_interval: Option<Duration>,
}

/// The unit of admission levels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionMode {
    /// The share of a route's requests that is admitted, 0 to 1.
    Share,
    /// Requests per second of each route at each proxy.
    Rate,
    /// No admission control: proxies ignore the levels and follow only the retry policy.
    Off,
}

/// The capabilities and the number of the proxies.
#[derive(Clone, Copy, Debug)]
pub struct ProxyCapabilities {
    /// The number of zones in the deployment.
    pub zones: usize,
    /// The number of slices: parts of the deployment that share no servers. If it is not 0, the policy creates no pools.
    pub slices: usize,
    /// The unit of admission levels.
    pub admission_mode: AdmissionMode,
    /// The time-out of an attempt that may be retried, as a multiple of the latency objective.
    pub attempt_timeout_factor: f64,
    /// The number of all proxies, including those that have joined other planners.
    pub proxies: usize,
    /// The number of connections that the smallest servers accept.
    pub min_server_connections: f64,
}

/// The quantity that a position of a load report measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Requests in flight.
    InFlight,
    /// Requests waiting for a worker.
    Pending,
    /// The utilization of the workers, 0 to 1.
    Utilization,
    /// The mean time to serve a request, in milliseconds.
    ServiceTimeMs,
    /// Answered requests per second.
    ResponsesPerSecond,
    /// Failed requests per second.
    ErrorsPerSecond,
    /// A quantity that the policy does not use.
    Other,
}

/// The observations of one server by the proxies of one zone over a report interval.
#[derive(Clone, Copy, Debug)]
pub struct LoadReport<'a> {
    /// The zone of the proxies.
    pub client_zone: ZoneId,
    /// Attempts that ended in the interval.
    pub attempts: u32,
    /// Attempts that ended without an answer.
    pub failures: u32,
    /// The mean latency of the answered attempts; `None` if no attempt was answered.
    pub latency: Option<Duration>,
    /// The metrics reported by the server, in the order of [`Observability::metrics`]; empty if the server reported no
    /// metrics.
    pub metrics: &'a [f32],
}

/// The result of a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckResult {
    /// The server answered.
    Healthy,
    /// The server refused the check because it drains or has too many checks in progress.
    Rejected,
    /// The check timed out or returned an error.
    Failed,
}

/// The capacity of a zone's servers, and the request rate at the zone's proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneCapacity {
    /// Requests per second that the zone's ready servers can answer.
    pub capacity_per_s: f64,
    /// By route: requests per second that the zone's proxies received.
    pub received_per_s: Vec<f64>,
}

/// The urgent changes that could not be sent at once since the policy's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UrgentDelays {
    /// The number of urgent changes that had to wait for the message limit.
    pub by_message_limit: u64,
    /// The number of urgent changes that had to wait for room in the queue of the control channel.
    pub by_queue: u64,
    /// The longest time from the first attempt to send an urgent change until a message to its pool was sent.
    pub longest: Duration,
}

/// The servers of one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSubset {
    /// The zone of the pool's proxies.
    pub zone: ZoneId,
    /// The servers of the pool, in the order of its table.
    pub servers: Vec<ServerIndex>,
}

/// The pool assignments of a policy, from which its successor starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolAssignments {
    /// The pools, in the order of their tables.
    pub pools: Vec<PoolSubset>,
    /// By proxy: the position of its pool in `pools`. Only bound proxies are included.
    pub pool_by_proxy: BTreeMap<ProxyId, usize>,
}

/// The pool to which a former policy had bound a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormerBinding {
    /// The zone of the proxy.
    pub zone: ZoneId,
    /// The position of the proxy's pool in the restored assignments.
    pub pool: usize,
}
