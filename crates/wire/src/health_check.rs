//! The health checks that a controller sends to servers.

use crate::codec::{enum_codec, struct_codec};
use crate::server::ServerMetrics;

/// A request for the status of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheck {
    /// The number of the server to check. Another server at the same address answers with its own number.
    pub server_number: u32,
}

struct_codec!(HealthCheck { server_number: u32("a number") });

/// The status that a server reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthStatus {
    /// The server accepts requests.
    Ready,
    /// The server accepts no new requests.
    Draining,
    /// The server has too many health checks in progress.
    Busy,
}

// On the wire: do not renumber.
enum_codec!(HealthStatus { 0 => Ready, 1 => Draining, 2 => Busy });

/// The response to a [`HealthCheck`].
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheckResponse {
    /// The number of the server that answers.
    pub server_number: u32,
    /// The server's status.
    pub status: HealthStatus,
    /// The server's metrics, if it has any.
    pub metrics: Option<ServerMetrics>,
}

struct_codec!(HealthCheckResponse {
    server_number: u32("a number"),
    status: variant("a state"),
    metrics: optional("whether there is a report"),
});
