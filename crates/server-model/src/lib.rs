//! Models of servers and of how proxies pick them, and the service level of a day. The crate does no I/O and reads no clock, so that
//! the emulator on sockets and the simulation under a simulated clock share the same models.
//!
//! The models replace the users' servers and proxies; the planner doesn't use them.

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
