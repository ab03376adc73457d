//! The events of a day, and when they happened.

use grebespool_wire::{Call, CallOutcome, EndpointEntry, Message, ServerId, Update};
use std::time::Duration;

/// One event that was observed at one end of a socket, or in the process behind that end.
// Violations show events in their Debug form, so the names of variants and fields are printed.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A proxy started with an initial table.
    Began {
        /// Number of the proxy.
        proxy: u16,
        /// Entries of the initial table.
        lines: Vec<(ServerId, f32)>,
    },
    /// A server list was delivered to the planner.
    ListTold(List),
    /// The planner was killed and lost everything that it knew.
    PlannerKilled,
    /// The planner was suspended. It processes nothing until it is resumed.
    PlannerStalled,
    /// The suspended planner runs again.
    PlannerResumed,
    /// A proxy received the planner's welcome.
    Joined {
        /// Number of the proxy.
        proxy: u16,
        /// Incarnation of the planner.
        start: u64,
    },
    /// An update left the planner's end of a stream.
    Ordered {
        /// Number of the proxy.
        proxy: u16,
        /// The update.
        orders: Update,
    },
    /// An update arrived at the proxy's end of a stream.
    Delivered {
        /// Number of the proxy.
        proxy: u16,
        /// The update.
        orders: Update,
    },
    /// A proxy's stream ended at the proxy's end.
    Left {
        /// Number of the proxy.
        proxy: u16,
    },
    /// A proxy connected to a server.
    Connected {
        /// Number of the proxy.
        proxy: u16,
        /// The server.
        server: ServerId,
    },
    /// An attempt left a proxy for a server.
    Sent {
        /// Number of the proxy.
        proxy: u16,
        /// The server.
        server: ServerId,
        /// The attempt.
        call: Call,
    },
    /// An attempt arrived at a server.
    Received {
        /// The server.
        server: ServerId,
        /// The attempt.
        call: Call,
    },
    /// A server responded to an attempt.
    Answered {
        /// The server.
        server: ServerId,
        /// The attempt.
        call: Call,
        /// The response's outcome.
        outcome: CallOutcome,
    },
    /// A server started.
    Up {
        /// The server.
        server: ServerId,
        /// Work per second of the warm server, in seconds of a core of speed 1.
        capacity: f64,
        /// Fraction of `capacity` that the server has while it is cold.
        cold: f64,
    },
    /// A server stopped.
    Down {
        /// The server.
        server: ServerId,
    },
    /// A cold server crashed because it was sent too much work.
    Fell {
        /// The server.
        server: ServerId,
    },
    /// A client's request became due.
    Asked {
        /// Number of the request, unique within the day.
        id: u64,
        /// Index of the route.
        route: u8,
        /// Index of the client's zone.
        zone: u16,
        /// Key of the request.
        key: u64,
        /// Work of the request, in microseconds.
        work_us: u32,
        /// Number of the proxy that the client tries first.
        proxy: u16,
    },
    /// A client's request ended.
    Done {
        /// Number of the request.
        id: u64,
        /// Index of the route.
        route: u8,
        /// Outcome for the client.
        outcome: CallOutcome,
    },
}

/// A server list, with the fields that it has on the wire.
#[derive(Debug, Clone, PartialEq)]
pub struct List {
    /// Version of the list.
    pub version: u64,
    /// Version that the entries change, or 0 if the entries are the whole list.
    pub base: u64,
    /// Time at the list's service, in milliseconds of its own clock.
    pub now_ms: u64,
    /// The whole list, or its changed entries.
    pub entries: Vec<EndpointEntry>,
}

/// All events of a day, in the order of time.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Each event with the time since the day began.
    pub passed: Vec<(Duration, Event)>,
}

impl Record {
    /// Appends an event.
    pub fn put(&mut self, at: Duration, event: Event) {
        self.passed.push((at, event));
    }

    /// Records `message`, which left the planner's end of a proxy's stream, if it is an update.
    pub fn ordered(&mut self, at: Duration, proxy: u16, message: &Message) {
        if let Message::Update(orders) = message {
            self.put(at, Event::Ordered { proxy, orders: orders.clone() });
        }
    }

    /// Records `message`, which arrived at the proxy's end of a stream, if it is an update.
    pub fn delivered(&mut self, at: Duration, proxy: u16, message: &Message) {
        if let Message::Update(orders) = message {
            self.put(at, Event::Delivered { proxy, orders: orders.clone() });
        }
    }
}
