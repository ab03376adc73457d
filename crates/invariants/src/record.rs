//! What passed, and when.

use grebespool_wire::{Call, CallOutcome, EndpointEntry, Message, ServerId, Update};
use std::time::Duration;

/// One thing that was seen at one end of a socket.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A proxy started, with a table of its own.
    Began {
        proxy: u16,
        lines: Vec<(ServerId, f32)>,
    },
    /// A server list was handed to the planner.
    ListTold(List),
    /// The planner was killed, and with it what it had been told.
    PlannerKilled,
    /// The planner stood still, and could hear nothing; and it ran on.
    PlannerStalled,
    PlannerResumed,
    /// A proxy got its welcome.
    Joined {
        proxy: u16,
        start: u64,
    },
    /// Update left the planner's end of a stream.
    Ordered {
        proxy: u16,
        orders: Update,
    },
    /// Update came to the proxy's end of a stream.
    Delivered {
        proxy: u16,
        orders: Update,
    },
    /// A proxy's stream ended at its own end.
    Left {
        proxy: u16,
    },
    /// A proxy made a connection to a server.
    Connected {
        proxy: u16,
        server: ServerId,
    },
    /// A call left a proxy for a server.
    Sent {
        proxy: u16,
        server: ServerId,
        call: Call,
    },
    /// A call came to a server.
    Received {
        server: ServerId,
        call: Call,
    },
    /// A server answered a call.
    Answered {
        server: ServerId,
        call: Call,
        outcome: CallOutcome,
    },
    /// A server came up, able to do so much work a second once warm.
    Up {
        server: ServerId,
        capacity: f64,
        cold: f64,
    },
    Down {
        server: ServerId,
    },
    /// A cold server fell over.
    Fell {
        server: ServerId,
    },
    /// A caller's call became due, first at this proxy; and what became of it.
    Asked {
        id: u64,
        route: u8,
        zone: u16,
        key: u64,
        work_us: u32,
        proxy: u16,
    },
    Done {
        id: u64,
        route: u8,
        outcome: CallOutcome,
    },
}

/// A server list as it stands on the wire.
#[derive(Debug, Clone, PartialEq)]
pub struct List {
    pub version: u64,
    pub base: u64,
    pub now_ms: u64,
    pub entries: Vec<EndpointEntry>,
}

/// All that passed, in the order of time.
#[derive(Debug, Clone, Default)]
pub struct Record {
    pub passed: Vec<(Duration, Event)>,
}

impl Record {
    pub fn put(&mut self, at: Duration, what: Event) {
        self.passed.push((at, what));
    }

    /// What a tap on the planner's end of a proxy's stream saw go to the proxy.
    pub fn ordered(&mut self, at: Duration, proxy: u16, message: &Message) {
        if let Message::Update(orders) = message {
            self.put(at, Event::Ordered { proxy, orders: orders.clone() });
        }
    }

    /// What a tap on the proxy's end saw come.
    pub fn delivered(&mut self, at: Duration, proxy: u16, message: &Message) {
        if let Message::Update(orders) = message {
            self.put(at, Event::Delivered { proxy, orders: orders.clone() });
        }
    }
}
