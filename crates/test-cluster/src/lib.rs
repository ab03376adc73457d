//! Scripted peers of the operators' platform for tests: a discovery service, proxies, collectors and idle connections on
//! loopback, around planners that run as separate processes; and a fleet of several planners, which checks the rules of
//! the service against the messages on the sockets.
//!
//! The crate implements only the platform's side of the protocol and shares no code with the planner under test.

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

/// Pause between two checks of a condition that a test waits for.
const CONDITION_INTERVAL: Duration = ms(5);

/// Returns a duration of `ms` milliseconds.
pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until the condition holds, and returns how long that took. `what` names the condition in the panic message.
///
/// # Panics
///
/// Panics if the condition does not hold within the limit.
pub fn wait_until(what: &str, limit: Duration, holds: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < limit, "condition not met within {limit:?}: {what}");
        thread::sleep(CONDITION_INTERVAL);
    }
    began.elapsed()
}
