//! Stand-ins for the systems that a planner serves, written from their descriptions alone: servers, proxies,
//! the server list, callers, and links that fail. [`rehearse`] plays a day on them around a real planner on
//! loopback, and records what passed at both ends of the sockets.
//!
//! [`Machine`] (a server's work) and [`Held`] (what a proxy holds and how it picks) are free of I/O.

mod callers;
mod held;
mod host;
mod link;
mod list;
mod machine;
mod proxy;
mod rehearsal;
mod server;
mod service;
mod visitor;
mod world;

pub use held::{Held, Stale};
pub use host::{PlannerHost, ProcessHost, ThreadHost};
pub use machine::{Ability, Machine};
pub use rehearsal::{Played, Progress, facts, rehearse};
pub use service::{RouteService, Service};
