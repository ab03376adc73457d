//! The planner on the platform's protocol, as a process: connections, discovery over HTTP, health checks, signals and
//! the log, around the session manager ([`grebespool_platform_protocol`]). It makes no decision.
//!
//! Everything runs on one thread, as tasks of a `LocalSet`; only the log is written by a thread of its own.

mod config_file;
mod connection;
mod discovery;
mod health_check;
mod health_check_queue;
mod http;
mod log;
mod log_event;
mod shared;
mod startup;
mod tasks;

pub use log::BackgroundLog;
pub use startup::run;
