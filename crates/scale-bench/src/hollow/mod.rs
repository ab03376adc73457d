//! Hollow planners: leader election, singleton tasks and configuration consensus of the program, connected as the program
//! connects them, without sockets, disks and proxies.
//!
//! [`Fleet`] runs many hollow planners under one simulated clock. The program's codec encodes and decodes their messages, so
//! that bytes and processor time are those of the program without its socket calls.

mod fleet;
mod links;
mod planner;
mod traffic;

pub use fleet::{Faults, Fleet, FleetCosts, FleetSettings};
pub use links::{Links, Region, Topology, TopologyError};
pub use planner::{Component, DiskWrite, Host, Outbox, Planner, Timing};
pub use traffic::{Packets, Traffic, TrafficClass};
