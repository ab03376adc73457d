//! Everything between the wire's messages and the decisions ([`grebespool::policy`]): indices for ids,
//! timers, one message a turn for each proxy, the channel's queue and its pace, and what is believed of
//! lists, sums and reports. Free of I/O and clocks: time comes in as spans since the planner's start.
//!
//! Call one method of [`Engine`] for each thing that happens; it acts by calling the [`Outlet`] that it was
//! started with. Call [`Engine::woken`] at [`Engine::due`]; later is no harm beyond the delay.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod admission;
mod channel;
mod confirm;
mod door;
mod engine;
mod gather;
mod trust;
mod watch;

pub use admission::Admission;
pub use channel::{Channel, Overrun};
pub use confirm::Confirm;
pub use engine::{Arrival, Bounds, Dealt, Engine, Outlet, Start, StreamId, Unsupported};
pub use grebespool_site_failover::{
    CapacityPlan, FailoverParameters, OrderError, RampParameters, SiteOrder, SiteState, SiteStatus,
};
pub use trust::{ListSense, ReportSense, Untrusted};
