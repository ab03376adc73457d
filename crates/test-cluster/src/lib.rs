//! Scripted parties of the operators' platform: a discovery, proxies, collectors and strangers on loopback, around
//! planners that are processes of their own; and a fleet of several planners, whose rules are checked from what passed
//! on the sockets.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod conn;
mod discovery;
mod fleet;
mod program;
mod proxy;

pub use conn::{Conn, frame};
pub use discovery::{Discovery, Mood, World, server, started};
pub use fleet::{Fleet, Limits, Machine, Rover, strangers};
pub use program::{Program, config, settings};
pub use proxy::{Holds, Proxy, join_all};

use std::thread;
use std::time::{Duration, Instant};

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until it holds; gives how long that took.
pub fn until(what: &str, limit: Duration, holds: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < limit, "not within {limit:?}: {what}");
        thread::sleep(ms(5));
    }
    began.elapsed()
}
