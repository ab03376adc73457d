//! How servers are named, and the metrics that they report.

use crate::codec::{ListItem, struct_codec};
use std::net::SocketAddr;

/// A server: where it listens, and the number that the endpoint list gave it. Another server that comes to listen at
/// the same address has another number.
///
/// The order of servers decides the order in which maps of them are walked: keep the order of the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its number in the endpoint list.
    pub number: u32,
}

struct_codec!(ServerId { addr: address("a server's address"), number: u32("a server's number") });

impl ListItem for ServerId {
    // The kind of address, an IPv4 address, a port and the number.
    const MIN_BYTES: usize = 1 + 4 + 2 + 4;
}

/// Metrics that a server reported with an answer. `incarnation` and `sequence` tell older reports from newer ones.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerMetrics {
    /// Rises with each start of the server.
    pub incarnation: u64,
    /// Rises with each report of one start.
    pub sequence: u32,
    /// In the order of the settings' metric fields.
    pub values: Vec<f32>,
}

struct_codec!(ServerMetrics {
    incarnation: u64("a report's start"),
    sequence: u32("a report's number"),
    values: f32_list("figures", "a figure"),
});
