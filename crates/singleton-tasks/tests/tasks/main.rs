//! Singleton tasks of several members, with a simulated network, disks and clocks that fail.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod cluster;
mod random_faults;
mod replacement;
mod takeover;
mod unknown_tasks;
