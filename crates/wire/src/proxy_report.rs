//! The report that a proxy sends in each cycle.

use crate::codec::{ListItem, struct_codec};
use crate::server::{ServerId, ServerMetrics};

/// What a proxy measured at one server since its last report.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerId,
    /// Number of attempts sent to the server.
    pub attempts: u32,
    /// Number of these attempts that were not answered.
    pub dropped: u32,
    /// Mean latency of the answered attempts, in microseconds; 0 if none was answered.
    pub mean_latency_us: u32,
    /// The newest metrics that the server reported.
    pub metrics: Option<ServerMetrics>,
}

struct_codec!(ServerLoad {
    server: nested(),
    attempts: u32("tries"),
    dropped: u32("dropped tries"),
    mean_latency_us: u32("a wait"),
    metrics: optional("whether there is a report"),
});

impl ListItem for ServerLoad {
    // The server, three numbers and a flag.
    const MIN_BYTES: usize = ServerId::MIN_BYTES + 3 * 4 + 1;
}

/// The requests of one route that a proxy received since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteLoad {
    /// The position of the route in the settings.
    pub route: u8,
    /// Number of requests, whether admitted or not.
    pub calls: u32,
}

struct_codec!(RouteLoad { route: u8("a route"), calls: u32("calls") });

impl ListItem for RouteLoad {
    const MIN_BYTES: usize = 1 + 4;
}

/// What a proxy measured since its last report. It is sent in every cycle, even if empty.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyReport {
    /// The measurements at each server.
    pub servers: Vec<ServerLoad>,
    /// The requests of each route.
    pub routes: Vec<RouteLoad>,
}

struct_codec!(ProxyReport { servers: list("sums"), routes: list("counts") });
