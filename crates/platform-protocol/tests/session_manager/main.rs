//! The session manager over time: joins, closed connections, the parts of lists and messages that are applied, and the
//! resulting tables of the proxies.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test fails by a panic")]
#![allow(clippy::wildcard_imports, reason = "all helpers are for these tests")]

mod connections;
mod ended_streams;
mod endpoint_lists;
#[path = "../helpers/mod.rs"]
mod helpers;
mod logs;
#[path = "../parity/mod.rs"]
mod parity;
mod read_limits;
mod tables;
