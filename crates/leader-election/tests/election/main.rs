//! Elections, leader leases and changes of the set of voters, with a simulated network, disks and clocks that fail.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod cluster;
mod failover;
mod membership;
mod random_faults;
mod voting;
