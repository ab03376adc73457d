//! Agreement of members under faults, and validation of configurations.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod configuration;
mod faults;
mod test_cluster;
