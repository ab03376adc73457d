//! The parties of the operators' platform, written for tests: a discovery service, proxies, collectors and idle
//! connections on loopback, around planners that are processes of their own; and a fleet of several planners whose rules
//! are checked from what passed on the sockets.
//!
//! It plays the platform's side only, and by its protocol alone: it shares no code with the planner that it tests.

mod connection;
mod discovery;
mod fleet;
mod planner_process;
mod process_info;
mod proxy;
mod start_file;
mod table_update;

pub use connection::{Connection, encode_frame, open_idle_connections};
pub use discovery::{Discovery, DiscoveryBehavior, PublishedList, endpoint, endpoint_started_at};
pub use fleet::{Fleet, FleetConfig, RoamingProxy, RuleLimits, SimulatedServer};
pub use planner_process::PlannerProcess;
pub use proxy::{ProxyState, TestProxy, join_all};
pub use start_file::{default_settings, start_file};

use std::thread;
use std::time::{Duration, Instant};

/// The pause between two looks at a condition that is waited for.
const CONDITION_INTERVAL: Duration = ms(5);

/// A span of milliseconds.
pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until the condition holds. Gives how long that took.
///
/// # Panics
///
/// It does not hold within the limit.
pub fn wait_until(what: &str, limit: Duration, holds: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < limit, "not within {limit:?}: {what}");
        thread::sleep(CONDITION_INTERVAL);
    }
    began.elapsed()
}
