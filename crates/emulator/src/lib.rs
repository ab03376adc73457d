//! Emulates the systems around a planner on loopback sockets, written from their descriptions alone: servers,
//! proxies, the server list, clients, and links that fail. [`rehearse`] runs a day with faults on them around a real
//! planner, and records the events at both ends of the sockets.

mod clients;
mod fault_day;
mod fleet;
mod host;
mod idle_proxy;
mod link;
mod list;
mod proxy;
mod server;
mod world;

pub use fault_day::{Progress, RehearsedDay, rehearse};
pub use fleet::{FleetHost, free_ports};
pub use host::{PlannerHost, ProcessHost, SeveralHost, StartingPlanners, ThreadHost};
pub use world::listed;
