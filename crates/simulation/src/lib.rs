//! A discrete-event simulation of a deployment: clients, links, proxies, servers and the server list on one simulated
//! clock, around the same controller that serves on sockets. It uses one seed, integer time and no sockets, so the
//! same day gives the same record, byte for byte, whatever else the machine does.

mod baselines;
mod event_queue;
mod faults;
mod model;
mod proxies;
mod recorded_day;
mod requests;
mod servers;

pub use model::{PlannedBy, SimulatedDay, SimulationError, simulate};
pub use recorded_day::{Input, RecordedEntry, Recording};
pub use requests::FirstRequest;
