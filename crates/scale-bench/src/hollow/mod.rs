//! Hollow planners: leader election, singleton tasks and configuration consensus of today's program, joined as the program
//! joins them, without sockets, disks and proxies.
//!
//! [`Fleet`] runs many of them under one simulated clock. What they say is encoded and decoded by the program's own
//! codec on the way, so bytes and processor time are those of the program, apart from the socket calls.

mod fleet;
mod links;
mod planner;
mod traffic;

pub use fleet::{Faults, Fleet, FleetCosts, FleetSettings};
pub use links::{Links, Region, Topology, TopologyError};
pub use planner::{Component, Host, Outbox, Planner, Timing, Written};
pub use traffic::{Packets, Traffic, TrafficClass};
