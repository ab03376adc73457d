//! What the session manager reports for the log, as typed events.

use grebespool::host::{EndpointState, TableId};
use std::fmt;

/// A bounded list of names: log lines do not grow with the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameList {
    /// The first names.
    pub shown: Vec<String>,
    /// How many more there are.
    pub omitted: usize,
}

impl NameList {
    /// Names shown in one list.
    const MAX_SHOWN: usize = 96;

    /// The first of these names, and a count of the rest.
    pub fn of<T: fmt::Display>(names: impl ExactSizeIterator<Item = T>) -> Self {
        let omitted = names.len().saturating_sub(Self::MAX_SHOWN);
        NameList { shown: names.take(Self::MAX_SHOWN).map(|name| name.to_string()).collect(), omitted }
    }

    /// How many names there are, shown or not.
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

/// What a warning is about. Warnings of one kind are aggregated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WarningKind {
    /// The endpoint list of the start file cannot be used.
    KnownListRejected,
    /// A connection could not be accepted.
    AcceptFailed,
    /// The connection of a peer that has not joined is closed here.
    UnknownPeerClosed,
    /// A collector's connection is closed here.
    CollectorClosed,
    /// A proxy's stream is closed here.
    StreamClosed,
    /// A message on a good connection is dropped.
    MessageDropped,
    /// A request for the endpoint list failed.
    ListRequestFailed,
    /// Part of an endpoint list is not used.
    ListPartlyRejected,
}

/// Something is wrong outside of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// What it is about.
    pub kind: WarningKind,
    /// The latest cause of this kind.
    pub cause: String,
    /// Warnings of this kind that were left out since the last one.
    pub suppressed: u64,
}

/// What happened to the streams of proxies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamChange {
    /// A proxy joined.
    Joined,
    /// A full table was written to it.
    Bound,
    /// Its stream ended from the other side.
    Left,
    /// Its stream was closed here.
    Closed,
    /// Its stream gave way to a newer one of the same proxy.
    Replaced,
}

/// What happened to servers in tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableChange {
    /// A server was removed from some table.
    Removed,
    /// A server that was removed is back in every table that changed.
    Restored,
}

/// Servers of an endpoint list that changed to one state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointGroup {
    /// The state that they have now.
    pub state: EndpointState,
    /// Their ids.
    pub servers: NameList,
}

/// The weight of one server in a table, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LoggedWeight {
    /// The id of the server.
    pub server: String,
    /// Its weight; 0 where it was removed.
    pub weight: f32,
}

impl fmt::Display for LoggedWeight {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {:.3}", self.server, self.weight)
    }
}

/// The weights of a table that changed since they were last reported.
///
/// The load that a server is sent follows from the reports of all planners: the sum over tables of
/// proxies x weight / sum of weights.
#[derive(Debug, Clone, PartialEq)]
pub struct TableWeights {
    /// The number of the table.
    pub table: TableId,
    /// Proxies that hold it.
    pub proxies: usize,
    /// The sum of all its weights.
    pub sum: f32,
    /// Weights that changed.
    pub changed: Vec<LoggedWeight>,
}

/// Something to be logged.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A warning.
    Warning(Warning),
    /// An answer of discovery changed something.
    EndpointListChanged {
        /// The version that is known now.
        version: Option<u64>,
        /// The version whose changes were requested; unset for a full list.
        since: Option<u64>,
        /// What changed, by state.
        groups: Vec<EndpointGroup>,
    },
    /// Streams of proxies changed.
    Streams {
        /// What happened to them.
        change: StreamChange,
        /// The numbers of the proxies.
        proxies: NameList,
    },
    /// Servers left tables or came back.
    Servers {
        /// What happened to them.
        change: TableChange,
        /// Their ids.
        servers: NameList,
    },
    /// Weights that were written; only where they are to be logged.
    TableWeights(TableWeights),
}
