//! What a proxy reports of its calls in each cycle.

use crate::codec::{ListItem, struct_codec};
use crate::server::{ServerId, ServerMetrics};

/// What a proxy measured at one server since its last report.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerLoad {
    /// The server.
    pub server: ServerId,
    /// Attempts sent to it.
    pub attempts: u32,
    /// Attempts of these that were not answered.
    pub dropped: u32,
    /// Mean latency of the answered ones in microseconds; 0 if none was.
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

/// Calls of one route that came to a proxy since its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteLoad {
    /// The route's position in the settings.
    pub route: u8,
    /// Calls, whether admitted or not.
    pub calls: u32,
}

struct_codec!(RouteLoad { route: u8("a route"), calls: u32("calls") });

impl ListItem for RouteLoad {
    const MIN_BYTES: usize = 1 + 4;
}

/// What a proxy measured since its last report; sent every cycle, empty ones too.
#[derive(Debug, Clone, PartialEq)]
pub struct ProxyReport {
    /// By server.
    pub servers: Vec<ServerLoad>,
    /// By route.
    pub routes: Vec<RouteLoad>,
}

struct_codec!(ProxyReport { servers: list("sums"), routes: list("counts") });
