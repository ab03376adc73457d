//! Stand-ins for the systems that a planner serves, written from their descriptions alone: servers, proxies,
//! the server list, callers, and links that fail. [`rehearse`] plays a day on them around a real planner on
//! loopback, and records what passed at both ends of the sockets.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod callers;
mod fleet;
mod host;
mod link;
mod list;
mod proxy;
mod rehearsal;
mod server;
mod visitor;
mod world;

pub use fleet::{FleetHost, free_ports};
pub use host::{PlannerHost, ProcessHost, SeveralHost, ThreadHost};
pub use rehearsal::{Played, Progress, rehearse};
pub use world::listed;
