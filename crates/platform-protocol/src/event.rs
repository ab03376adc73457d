//! The typed events that the session manager reports for the log.

use grebespool::host::{EndpointState, TableId};
use std::fmt;

/// A list of names of bounded length, so that log lines do not grow with the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameList {
    /// The first names, up to the limit of one list.
    pub shown: Vec<String>,
    /// The number of further names.
    pub omitted: usize,
}

impl NameList {
    /// The number of names shown in one list.
    const MAX_SHOWN: usize = 96;

    /// Creates a list of the first of these names and the number of the others.
    pub fn of<T: fmt::Display>(names: impl ExactSizeIterator<Item = T>) -> Self {
        let omitted = names.len().saturating_sub(Self::MAX_SHOWN);
        NameList { shown: names.take(Self::MAX_SHOWN).map(|name| name.to_string()).collect(), omitted }
    }

    /// Returns the number of names, both shown and omitted.
    pub fn total(&self) -> usize {
        self.shown.len() + self.omitted
    }
}

impl fmt::Display for NameList {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.shown.join(" "))?;
        match self.omitted {
            0 => Ok(()),
            omitted => write!(f, " and {omitted} more"),
        }
    }
}

/// The subject of a warning. Warnings of one kind are aggregated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WarningKind {
    /// The endpoint list of the start file cannot be used.
    KnownListRejected,
    /// A connection could not be accepted.
    AcceptFailed,
    /// The planner closed the connection of a peer that has not joined.
    UnknownPeerClosed,
    /// The planner closed a collector's connection.
    CollectorClosed,
    /// The planner closed a proxy's stream.
    StreamClosed,
    /// A message was dropped; its connection stays open.
    MessageDropped,
    /// A request for the endpoint list failed.
    ListRequestFailed,
    /// Part of an endpoint list was ignored.
    ListPartlyRejected,
}

/// A report of a fault outside of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// The subject of the warning.
    pub kind: WarningKind,
    /// The latest cause of this kind.
    pub cause: String,
    /// The number of warnings of this kind that were suppressed since the last reported one.
    pub suppressed: u64,
}

/// A change of the streams of proxies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamChange {
    /// A proxy joined.
    Joined,
    /// A full table was written to the proxy.
    Bound,
    /// The proxy ended its stream, or the stream broke.
    Left,
    /// The planner closed the stream.
    Closed,
    /// A newer stream of the same proxy replaced the stream.
    Replaced,
}

/// A change of servers in tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableChange {
    /// A server was removed from at least one table.
    Removed,
    /// A removed server is back in every table that changed.
    Restored,
}

/// The servers of an endpoint list that changed to one state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointGroup {
    /// The present state of the servers.
    pub state: EndpointState,
    /// The ids of the servers.
    pub servers: NameList,
}

/// The weight of one server in a table, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedWeight {
    /// The id of the server.
    pub server: String,
    /// The weight of the server; 0 if the server was removed.
    pub weight: f32,
}

impl fmt::Display for LoggedWeight {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {:.3}", self.server, self.weight)
    }
}

/// The weights of a table that changed since they were last reported.
///
/// The load that a server receives can be computed from the reports of all planners: the sum over tables of
/// proxies x weight / sum of weights.
#[derive(Debug, Clone, PartialEq)]
pub struct TableWeights {
    /// The number of the table.
    pub table: TableId,
    /// The number of proxies that hold the table.
    pub proxies: usize,
    /// The sum of all weights of the table.
    pub sum: f32,
    /// The weights that changed.
    pub changed: Vec<LoggedWeight>,
}

/// An entry for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A warning.
    Warning(Warning),
    /// An answer of discovery changed endpoints.
    EndpointListChanged {
        /// The version of the list after the change.
        version: Option<u64>,
        /// The version since which changes were requested; unset for a full list.
        since: Option<u64>,
        /// The changed endpoints by state.
        groups: Vec<EndpointGroup>,
    },
    /// Streams of proxies changed.
    Streams {
        /// The change of the streams.
        change: StreamChange,
        /// The numbers of the proxies.
        proxies: NameList,
    },
    /// Servers were removed from tables or restored.
    Servers {
        /// The change of the servers.
        change: TableChange,
        /// The ids of the servers.
        servers: NameList,
    },
    /// Weights that were written to proxies; reported only if the log of weights is enabled.
    TableWeights(TableWeights),
}
