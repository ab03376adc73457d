//! Several controllers, each a process of its own, and faults between them.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

mod editions;
mod helpers;
mod takeovers;
