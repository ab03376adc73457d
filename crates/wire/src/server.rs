//! The ids of servers, and the metrics that servers report.

use crate::codec::{ListItem, struct_codec};
use std::net::SocketAddr;

/// The id of a server: its address, and its number in the endpoint list. Another server that later listens at the same
/// address has another number.
///
/// The derived order determines the iteration order of maps and so decisions: do not reorder the fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId {
    /// The address at which the server listens.
    pub addr: SocketAddr,
    /// The server's number in the endpoint list.
    pub number: u32,
}

struct_codec!(ServerId { addr: address("a server's address"), number: u32("a server's number") });

impl ListItem for ServerId {
    // The byte for the kind of address, an IPv4 address, a port and the number.
    const MIN_BYTES: usize = 1 + 4 + 2 + 4;
}

/// The metrics that a server reported with a response. `incarnation` and `sequence` distinguish older reports from newer
/// ones.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerMetrics {
    /// The server's incarnation, which increases with each start.
    pub incarnation: u64,
    /// The report's sequence number, which increases with each report within an incarnation.
    pub sequence: u32,
    /// The values, in the order of the metric fields in the settings.
    pub values: Vec<f32>,
}

struct_codec!(ServerMetrics {
    incarnation: u64("a report's start"),
    sequence: u32("a report's number"),
    values: f32_list("figures", "a figure"),
});
