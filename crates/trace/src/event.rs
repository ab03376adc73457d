//! The events of a recording. Postcard encodes variants and fields by position: their order is part of the format.

use serde::{Deserialize, Serialize};

/// A request as it reached a proxy: a client's first attempt, or a repeat of one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Index of the route in the settings.
    pub route: u8,
    /// The key that the request is for.
    pub key: u64,
    /// Priority weight of the route.
    pub importance: f32,
    /// The client's id; `None` where the source of the recording has none, so that repeats are indistinguishable from
    /// first attempts.
    pub client: Option<u64>,
    /// Number of the proxy within the recording.
    pub proxy: u32,
    /// Work of the request in microseconds on a core of speed 1, if known.
    pub work_us: Option<u32>,
    /// True if the client repeats an earlier request. Repeats are counted and never replayed.
    pub repeat: bool,
}

/// The state of a listed server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The server is removed from the list.
    Gone,
    /// The server takes requests.
    Ready,
    /// The server is to get no new requests.
    Draining,
}

/// An entry of a server list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The server's address, or its hash in an anonymized recording.
    pub server: String,
    /// The server's number.
    pub number: u32,
    /// Name of the server's zone.
    pub zone: String,
    /// The server's state.
    pub phase: Phase,
    /// Start time of the server in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}

/// An event that a planner observed, or that a log states.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The recorder of a planner started.
    Began {
        /// The planner's number.
        planner: u64,
        /// Wall-clock time of the start, in Unix milliseconds.
        unix_ms: u64,
        /// The settings in force, as JSON; empty in an anonymized recording.
        settings: String,
    },
    /// A request reached a proxy.
    Call(Call),
    /// A server list, or changes to one, arrived.
    List {
        /// Version of the list.
        version: u64,
        /// The version that the entries change; 0 if the entries are the whole list.
        base: u64,
        /// Time of sending in Unix milliseconds, by the same clock as `started_ms` of the entries.
        now_ms: u64,
        /// The entries that are new or changed.
        entries: Vec<Listed>,
    },
    /// A proxy reported the number of requests of a route, clients' repeats included, in the report cycle that ends
    /// here. Planners learn nothing else of requests.
    Came {
        /// Number of the proxy within the recording.
        proxy: u32,
        /// Index of the route in the settings.
        route: u8,
        /// Number of requests.
        calls: u32,
    },
    /// A proxy joined.
    Joined {
        /// Number of the proxy within the recording.
        proxy: u32,
        /// Name of the proxy's zone.
        zone: String,
        /// True if the proxy had no table but its initial one.
        bare: bool,
    },
    /// A proxy left and has no planner until it joins again.
    Left {
        /// Number of the proxy within the recording.
        proxy: u32,
    },
    /// A planner ended.
    PlannerLost {
        /// The planner's number.
        planner: u64,
    },
    /// Events are missing here, because the disk did not keep up or a part of the recording was damaged.
    Gap {
        /// Number of missing events; 0 if unknown.
        lost: u64,
    },
}

/// An event and its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Timed {
    /// Microseconds since the start of the recording.
    pub at_us: u64,
    /// The event.
    pub event: Event,
}
