//! How servers work and how proxies pick them, and the service level of a day. Free of I/O and clocks, so that the emulator on sockets
//! and the simulation under a simulated clock have the same.
//!
//! A stand-in for the users' servers and proxies: it decides nothing for the planner.

mod invariant_facts;
mod proxy_tables;
mod report_aggregator;
mod server;
mod service_level;
mod service_level_recorder;

pub use invariant_facts::invariant_facts;
pub use proxy_tables::{Admission, Avoidance, ProxyTables, StaleUpdateError, UpdateId};
pub use report_aggregator::ReportAggregator;
pub use server::{ServerModel, ServerSpec};
pub use service_level::{RouteServiceLevel, ServiceLevel, ZoneServiceLevel};
pub use service_level_recorder::ServiceLevelRecorder;
