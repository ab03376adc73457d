//! Tests that control machines, relays and planners keep their invariants under any fault, and make progress again once
//! the faults end.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a panic fails the test")]

mod faults;
mod fleet;
mod size;
