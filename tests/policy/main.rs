//! Tests of the policy against a host that records its commands. There is one module for each concern.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test may panic")]

mod admission;
mod channel;
mod channel_delay;
mod endpoints;
mod flooding;
mod helpers;
mod limited_policy;
mod message_limit;
mod outlier_detection;
mod route_tables;
mod slow_start;
mod subsetting;
mod takeover;
mod weights;
mod zone_admission;
mod zone_spill;
