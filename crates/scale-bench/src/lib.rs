//! How the cost of a fleet grows with its size.
//!
//! Planners are started in two ways, which every table tells apart. A *real* planner is the program as a process of its
//! own on loopback. A *hollow* planner is the state machines and codecs of that program without proxies: thousands of
//! them share one process, a simulated clock and in-memory links.
//!
//! [`fit`] turns measured [`sample::Sample`]s into slopes and exponents; [`capacity`] works out from these what a planned
//! size needs. Nothing here decides anything for a planner in service.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through
#![warn(missing_docs)]

pub mod capacity;
pub mod chart;
pub mod fit;
pub mod hollow;
pub mod process;
pub mod resources;
pub mod sample;
pub mod station;
