//! What a recording holds.

use serde::{Deserialize, Serialize};

/// A call as a client first made it, or a repeat of one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Call {
    pub route: u8,
    pub key: u64,
    pub importance: f32,
    /// Unknown where the recording's source has no ids of clients: then repeats cannot be told from first calls.
    pub client: Option<u64>,
    pub proxy: u32,
    /// Microseconds of a core of speed 1, where known.
    pub work_us: Option<u32>,
    /// A client's repeat: kept to be counted, never to be replayed.
    pub repeat: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    Gone,
    Ready,
    Draining,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Address, or what stands for it.
    pub server: String,
    pub number: u32,
    pub zone: String,
    pub phase: Phase,
    pub started_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A recorder began: which planner's, when by the wall clock, and the settings in force.
    Began {
        planner: u64,
        unix_ms: u64,
        settings: String,
    },
    Call(Call),
    /// `base` 0: the whole list. `now_ms`: when it was sent, by the clock that its servers' starts are told in.
    List {
        version: u64,
        base: u64,
        now_ms: u64,
        entries: Vec<Listed>,
    },
    /// So many calls of a route, clients' repeats among them, came to the proxy within the cycle that ends here:
    /// all that a planner is told of calls.
    Came {
        proxy: u32,
        route: u8,
        calls: u32,
    },
    Joined {
        proxy: u32,
        zone: String,
        bare: bool,
    },
    /// The proxy has no planner from here until it joins again.
    Left {
        proxy: u32,
    },
    /// The planner ended.
    PlannerLost {
        planner: u64,
    },
    /// So many events are missing here: the disk did not keep up, or a part was damaged.
    Gap {
        lost: u64,
    },
}

/// An event and its time, in microseconds since the recording's zero.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Timed {
    pub at_us: u64,
    pub event: Event,
}
