//! What must hold whatever happens to control machines, relays and planners, and what comes back once things are well.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

mod promises;
mod size;
mod world;
