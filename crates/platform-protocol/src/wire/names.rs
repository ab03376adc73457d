//! The platform's own names of messages and fields. On the wire: do not change the values.

/// Values of the field that holds a message's kind.
pub(crate) mod kind {
    /// A peer checks that the planner answers.
    pub(crate) const PING: &str = "PING";
    /// The planner answers [`PING`].
    pub(crate) const PONG: &str = "PONG";
    /// The planner refuses a connection and gives the reason.
    pub(crate) const NACK: &str = "NACK";
    /// A collector announces itself.
    pub(crate) const SOURCE: &str = "SOURCE";
    /// A proxy joins.
    pub(crate) const SUBSCRIBE: &str = "SUBSCRIBE";
    /// A proxy acknowledges an ack token.
    pub(crate) const ACK: &str = "ACK";
    /// A proxy or a collector reports requests that a proxy received.
    pub(crate) const RATE: &str = "RATE";
    /// A collector reports attempts that a zone's proxies made at a server.
    pub(crate) const LOAD: &str = "LOAD";
    /// The planner changes a proxy's table or admission.
    pub(crate) const CONFIG: &str = "CONFIG";
}

/// Fields of messages.
pub(crate) mod field {
    /// The kind of a message.
    pub(crate) const KIND: &str = "msg";
    /// The reason for a refusal.
    pub(crate) const REASON: &str = "why";
    /// The zone of a sender.
    pub(crate) const ZONE: &str = "locality";
    /// The number of a proxy.
    pub(crate) const PROXY: &str = "node";
    /// The approximate number of requests per second at a proxy.
    pub(crate) const REQUESTS_PER_SECOND: &str = "w";
    /// True if a joining proxy holds no table.
    pub(crate) const WITHOUT_TABLE: &str = "cold";
    /// The ack token that a proxy acknowledges.
    pub(crate) const ACKNOWLEDGED_TOKEN: &str = "nonce";
    /// The time that the proxy took to apply the messages up to the ack token, in milliseconds.
    pub(crate) const APPLY_TIME: &str = "latency";
    /// The route of requests.
    pub(crate) const ROUTE: &str = "route";
    /// The number of requests or attempts.
    pub(crate) const TOTAL: &str = "total";
    /// The number of failed requests or attempts.
    pub(crate) const FAILED: &str = "errors";
    /// The time that a report covers, in milliseconds.
    pub(crate) const INTERVAL: &str = "interval";
    /// The id of a server in a report.
    pub(crate) const SERVER: &str = "endpoint";
    /// The mean latency of successful attempts, in milliseconds.
    pub(crate) const MEAN_LATENCY: &str = "rtt";
    /// The metrics of the server's last load report.
    pub(crate) const METRICS: &str = "metrics";
    /// The routes to which a part of a message applies.
    pub(crate) const ROUTES: &str = "classes";
    /// The servers with their weights.
    pub(crate) const WEIGHTS: &str = "lines";
    /// True if the weights are the full table.
    pub(crate) const FULL_TABLE: &str = "whole";
    /// The admission level: the admitted share of requests, from 0 to 1.
    pub(crate) const ADMITTED: &str = "level";
    /// The retry policy, as a code.
    pub(crate) const RETRY: &str = "retry";
    /// True if another part of the same message follows.
    pub(crate) const MORE: &str = "more";
    /// The ack token that the proxy is to return.
    pub(crate) const ACK_TOKEN: &str = "ticket";
}

/// Fields of discovery's endpoint list, and values of an endpoint's state.
pub(crate) mod endpoint {
    /// The version of a list.
    pub(crate) const VERSION: &str = "version";
    /// True if a list is full; false if it holds changes.
    pub(crate) const FULL: &str = "full";
    /// The entries of a list.
    pub(crate) const ENTRIES: &str = "servers";
    /// The id of a server.
    pub(crate) const ID: &str = "id";
    /// The address that the server listens at.
    pub(crate) const ADDRESS: &str = "addr";
    /// The zone of the server.
    pub(crate) const ZONE: &str = "zone";
    /// The kind of the server. Servers of one kind are built alike and have the same capacity.
    pub(crate) const SERVER_KIND: &str = "kind";
    /// The state of the server.
    pub(crate) const STATE: &str = "state";
    /// The server's last start, in Unix milliseconds; 0 means long ago.
    pub(crate) const STARTED: &str = "started_ms";
    /// State: the server takes requests.
    pub(crate) const SERVING: &str = "SERVING";
    /// State: the server finishes its requests and takes no new ones.
    pub(crate) const DRAINING: &str = "DRAINING";
    /// State: the server is removed from the list.
    pub(crate) const DELETED: &str = "DELETED";
    /// The path of the list at discovery's address.
    pub(crate) const PATH: &str = "/v1/endpoints";
    /// Query parameter: the version since which changes are requested.
    pub(crate) const SINCE: &str = "since";
    /// Query parameter: the time that discovery waits for a change, in milliseconds.
    pub(crate) const TIMEOUT: &str = "timeout_ms";
}

/// Fields of the file that a planner is started with.
pub(crate) mod config {
    /// The name of the planner.
    pub(crate) const NAME: &str = "name";
    /// The address to listen at.
    pub(crate) const LISTEN: &str = "listen";
    /// The address of discovery.
    pub(crate) const DISCOVERY: &str = "discovery";
    /// The seed of the policy's random draws, in hexadecimal.
    pub(crate) const SEED: &str = "seed";
    /// The deployment's settings.
    pub(crate) const SETTINGS: &str = "settings";
    /// Limits of the process.
    pub(crate) const LIMITS: &str = "limits";
    /// Within [`LIMITS`]: the number of descriptors that the process may hold.
    pub(crate) const DESCRIPTORS: &str = "sockets";
    /// Within [`LIMITS`]: the memory that the process may take, in MB.
    pub(crate) const MEMORY_MB: &str = "memory_mb";
    /// The endpoint list that the planner last knew.
    pub(crate) const KNOWN_ENDPOINTS: &str = "known";
    /// Within the settings: the routes.
    pub(crate) const ROUTES: &str = "classes";
    /// Within a route: the name of the route.
    pub(crate) const ROUTE_NAME: &str = "name";
    /// Within the settings: the zones.
    pub(crate) const ZONES: &str = "zones";
    /// Within the settings: the format of load reports.
    pub(crate) const REPORT: &str = "report";
    /// Within [`REPORT`]: the names of the metrics.
    pub(crate) const METRICS: &str = "fields";
}
