//! Failure detection, capacity plans, the recovery ramp and operators' orders.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod capacity_plan;
mod detection;
mod helpers;
mod orders;
mod random_days;
mod recovery;
mod scene;
