//! Members under faults, and what editions may say.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

mod content;
mod helpers;
mod world;
