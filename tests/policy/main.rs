//! Tests of the policy, by concern, against a host that records its commands.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod admission;
mod channel;
mod endpoints;
mod helpers;
mod outlier_detection;
mod slow_start;
mod subsetting;
mod takeover;
mod weights;
mod zone_spill;
