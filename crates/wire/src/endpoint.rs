//! The endpoint list: the servers of a deployment, as a discovery service sends them to a controller.

use crate::codec::{ListItem, enum_codec, struct_codec};
use crate::server::ServerId;

/// The state of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    /// The server is no longer part of the deployment.
    Removed,
    /// The server accepts requests.
    Ready,
    /// The server finishes the requests in flight and accepts no new ones.
    Draining,
}

// On the wire: do not renumber.
enum_codec!(EndpointState { 0 => Removed, 1 => Ready, 2 => Draining });

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The server.
    pub server: ServerId,
    /// The name of the server's zone.
    pub zone: String,
    /// The server's state.
    pub state: EndpointState,
    /// The server's start, in milliseconds since the Unix epoch by the list's clock; 0 if long past.
    pub started_ms: u64,
}

struct_codec!(EndpointEntry {
    server: nested(),
    zone: text("an entry's zone"),
    state: variant("an entry's phase"),
    started_ms: u64("an entry's start"),
});

impl ListItem for EndpointEntry {
    // The server, an empty zone name, the state and the start.
    const MIN_BYTES: usize = ServerId::MIN_BYTES + 1 + 1 + 8;
}

/// A request for the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointPoll {
    /// The version of the list that the sender knows; 0 if it knows none.
    pub known_version: u64,
    /// True if later changes have to be sent as well.
    pub watch: bool,
}

struct_codec!(EndpointPoll { known_version: u64("a version"), watch: flag("whether to watch") });

/// The endpoint list, either complete or as the changes to an older version.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// The version that the entries change; 0 if the entries are the complete list.
    pub base_version: u64,
    /// The current time by the list's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// The changed entries, or all entries of a complete list.
    pub entries: Vec<EndpointEntry>,
}

struct_codec!(EndpointList {
    version: u64("a version"),
    base_version: u64("a base version"),
    now_ms: u64("a time"),
    entries: list("entries"),
});

/// The answer to an [`EndpointPoll`] that failed.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointPollFailed {
    /// The reason, for logs.
    pub text: String,
}

struct_codec!(EndpointPollFailed { text: text("a reason") });
