//! The process of a planner on the platform's protocol: connections, discovery over HTTP, health checks, signals and
//! the log. The session manager ([`grebespool_platform_protocol`]) makes all decisions.
//!
//! All tasks run on one thread, in a `LocalSet`; only the log is written by a separate thread.

mod config_file;
mod connection;
mod discovery;
mod health_check;
mod health_check_queue;
mod http;
mod log;
mod log_event;
mod reading;
mod shared;
mod startup;
mod tasks;

pub use log::BackgroundLog;
pub use startup::run;
