//! The platform's own names of messages and fields, once. On the wire: do not rename.

/// Values of the field that tells a message's kind.
pub(crate) mod kind {
    /// Asks for a sign of life.
    pub(crate) const PING: &str = "PING";
    /// Answers [`PING`].
    pub(crate) const PONG: &str = "PONG";
    /// Refuses a connection, with a reason.
    pub(crate) const NACK: &str = "NACK";
    /// A collector announces itself.
    pub(crate) const SOURCE: &str = "SOURCE";
    /// A proxy joins.
    pub(crate) const SUBSCRIBE: &str = "SUBSCRIBE";
    /// A proxy acknowledges an ack token.
    pub(crate) const ACK: &str = "ACK";
    /// Requests that came to a proxy.
    pub(crate) const RATE: &str = "RATE";
    /// Attempts that a zone's proxies made at a server.
    pub(crate) const LOAD: &str = "LOAD";
    /// Changes a proxy's table.
    pub(crate) const CONFIG: &str = "CONFIG";
}

/// Fields of messages.
pub(crate) mod field {
    /// The kind of a message.
    pub(crate) const KIND: &str = "msg";
    /// The reason of a refusal.
    pub(crate) const REASON: &str = "why";
    /// The zone of a sender.
    pub(crate) const ZONE: &str = "locality";
    /// The number of a proxy.
    pub(crate) const PROXY: &str = "node";
    /// A rough figure of a proxy's requests a second.
    pub(crate) const REQUESTS_PER_SECOND: &str = "w";
    /// Whether a joining proxy holds no table.
    pub(crate) const WITHOUT_TABLE: &str = "cold";
    /// The ack token that is acknowledged.
    pub(crate) const ACKNOWLEDGED_TOKEN: &str = "nonce";
    /// How long the proxy took to apply what came before the ack token, in milliseconds.
    pub(crate) const APPLY_TIME: &str = "latency";
    /// The route of requests.
    pub(crate) const ROUTE: &str = "route";
    /// How many requests or attempts there were.
    pub(crate) const TOTAL: &str = "total";
    /// How many of them failed.
    pub(crate) const FAILED: &str = "errors";
    /// The time that a report covers, in milliseconds.
    pub(crate) const INTERVAL: &str = "interval";
    /// The id of a server in a report.
    pub(crate) const SERVER: &str = "endpoint";
    /// Mean latency of successful attempts, in milliseconds.
    pub(crate) const MEAN_LATENCY: &str = "rtt";
    /// The server's last load report.
    pub(crate) const METRICS: &str = "metrics";
    /// The routes that part of a table's change is for.
    pub(crate) const ROUTES: &str = "classes";
    /// Servers with weights.
    pub(crate) const WEIGHTS: &str = "lines";
    /// The weights are the whole table.
    pub(crate) const FULL_TABLE: &str = "whole";
    /// The part of requests that is admitted.
    pub(crate) const ADMITTED: &str = "level";
    /// When failed requests are tried again, as a code.
    pub(crate) const RETRY: &str = "retry";
    /// A further part of the same message follows.
    pub(crate) const MORE: &str = "more";
    /// The ack token that the proxy is to return.
    pub(crate) const ACK_TOKEN: &str = "ticket";
}

/// Fields of discovery's endpoint list, and values of an endpoint's state.
pub(crate) mod endpoint {
    /// The version of a list.
    pub(crate) const VERSION: &str = "version";
    /// Whether a list is full or holds changes.
    pub(crate) const FULL: &str = "full";
    /// The entries of a list.
    pub(crate) const ENTRIES: &str = "servers";
    /// The id of a server.
    pub(crate) const ID: &str = "id";
    /// Where the server listens.
    pub(crate) const ADDRESS: &str = "addr";
    /// The zone of the server.
    pub(crate) const ZONE: &str = "zone";
    /// Servers of one kind are built alike.
    pub(crate) const SERVER_KIND: &str = "kind";
    /// The state of the server.
    pub(crate) const STATE: &str = "state";
    /// The server's last start, in Unix milliseconds; 0 means long ago.
    pub(crate) const STARTED: &str = "started_ms";
    /// State: takes requests.
    pub(crate) const SERVING: &str = "SERVING";
    /// State: finishes what it has and takes nothing new.
    pub(crate) const DRAINING: &str = "DRAINING";
    /// State: removed from the list.
    pub(crate) const DELETED: &str = "DELETED";
    /// The path of the list at discovery's address.
    pub(crate) const PATH: &str = "/v1/endpoints";
    /// Query parameter: the version whose successors are asked for.
    pub(crate) const SINCE: &str = "since";
    /// Query parameter: how long a watch waits, in milliseconds.
    pub(crate) const TIMEOUT: &str = "timeout_ms";
}

/// Fields of the file that a planner is started with.
pub(crate) mod config {
    /// The planner's name.
    pub(crate) const NAME: &str = "name";
    /// The address to listen at.
    pub(crate) const LISTEN: &str = "listen";
    /// Discovery's address.
    pub(crate) const DISCOVERY: &str = "discovery";
    /// The seed of the policy's random draws, in hexadecimal.
    pub(crate) const SEED: &str = "seed";
    /// The deployment's settings.
    pub(crate) const SETTINGS: &str = "settings";
    /// Limits of the process.
    pub(crate) const LIMITS: &str = "limits";
    /// Within [`LIMITS`]: how many descriptors the process may hold.
    pub(crate) const DESCRIPTORS: &str = "sockets";
    /// The endpoint list as the planner last had it.
    pub(crate) const KNOWN_ENDPOINTS: &str = "known";
    /// Within the settings: the routes.
    pub(crate) const ROUTES: &str = "classes";
    /// Within a route: its name.
    pub(crate) const ROUTE_NAME: &str = "name";
    /// Within the settings: the zones.
    pub(crate) const ZONES: &str = "zones";
    /// Within the settings: what load reports hold.
    pub(crate) const REPORT: &str = "report";
    /// Within [`REPORT`]: names of the metrics.
    pub(crate) const METRICS: &str = "fields";
}
