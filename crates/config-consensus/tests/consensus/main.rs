//! Members under faults, and what configurations may contain.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod configuration;
mod faults;
mod test_cluster;
