//! Health checks of servers by a controller.

use crate::codec::{enum_codec, struct_codec};
use crate::server::ServerMetrics;

/// Asks a server how it is.
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheck {
    /// The number of the server that is meant; another one at its address gives its own.
    pub server_number: u32,
}

struct_codec!(HealthCheck { server_number: u32("a number") });

/// How a server says that it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthStatus {
    /// It takes calls.
    Ready,
    /// It takes no new calls.
    Draining,
    /// It has too many health checks in hand.
    Busy,
}

// On the wire: do not renumber.
enum_codec!(HealthStatus { 0 => Ready, 1 => Draining, 2 => Busy });

/// Answer to a [`HealthCheck`].
#[derive(Debug, Clone, PartialEq)]
pub struct HealthCheckResponse {
    /// The number of the server that answers.
    pub server_number: u32,
    /// Its status.
    pub status: HealthStatus,
    /// Its metrics, if it has any.
    pub metrics: Option<ServerMetrics>,
}

struct_codec!(HealthCheckResponse {
    server_number: u32("a number"),
    status: variant("a state"),
    metrics: optional("whether there is a report"),
});
