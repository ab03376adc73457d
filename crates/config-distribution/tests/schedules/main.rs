//! What must hold whatever happens to control machines, relays and planners, and that they continue once faults end.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod faults;
mod fleet;
mod size;
