//! The endpoint list: which servers there are, as a discovery service tells a controller.

use crate::codec::{ListItem, enum_codec, struct_codec};
use crate::server::ServerId;

/// What the endpoint list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointState {
    /// It is no longer there.
    Removed,
    /// It takes calls.
    Ready,
    /// It finishes the calls in flight and takes no new ones.
    Draining,
}

// On the wire: do not renumber.
enum_codec!(EndpointState { 0 => Removed, 1 => Ready, 2 => Draining });

/// A server in the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The server.
    pub server: ServerId,
    /// Its zone, by name.
    pub zone: String,
    /// Its state.
    pub state: EndpointState,
    /// When it started, in milliseconds since the Unix epoch by the list's clock; 0 if long past.
    pub started_ms: u64,
}

struct_codec!(EndpointEntry {
    server: nested(),
    zone: text("an entry's zone"),
    state: variant("an entry's phase"),
    started_ms: u64("an entry's start"),
});

impl ListItem for EndpointEntry {
    // The server, an empty text, the state and the start.
    const MIN_BYTES: usize = ServerId::MIN_BYTES + 1 + 1 + 8;
}

/// Asks for the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointPoll {
    /// The version that is known; 0 for none.
    pub known_version: u64,
    /// Whether later changes are to be sent too.
    pub watch: bool,
}

struct_codec!(EndpointPoll { known_version: u64("a version"), watch: flag("whether to watch") });

/// The endpoint list, whole or its changes.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointList {
    /// The version of the list.
    pub version: u64,
    /// The version that the entries change; 0 where they are the whole list.
    pub base_version: u64,
    /// The time by the list's clock, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Servers that changed, or all.
    pub entries: Vec<EndpointEntry>,
}

struct_codec!(EndpointList {
    version: u64("a version"),
    base_version: u64("a base version"),
    now_ms: u64("a time"),
    entries: list("entries"),
});

/// Answers an [`EndpointPoll`] that failed.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointPollFailed {
    /// Why, for logs.
    pub text: String,
}

struct_codec!(EndpointPollFailed { text: text("a reason") });
