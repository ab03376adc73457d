//! Several controllers, a process each, and faults of these processes and their connections.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod editions;
mod helpers;
mod takeovers;
