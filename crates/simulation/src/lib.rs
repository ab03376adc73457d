//! A model of the deployments that a planner serves: callers, links, proxies, servers and the list as discrete
//! events on one clock, around the very engine and module that serve on sockets. One seed, integer time, no
//! sockets: the same day gives the same record, byte for byte, whatever else the machine does.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod agenda;
mod best;
mod calls;
mod past;
mod play;
mod proxies;
mod servers;
mod troubles;

pub use calls::FirstRequest;
pub use past::{Input, RecordedEntry, Recording};
pub use play::{PlannedBy, SimulatedDay, SimulationError, simulate};
