//! What the policy ([`grebespool::policy`]) has assigned to which proxy, and the indices that stand for servers.
//!
//! [`Assignments`] is the policy's host: it takes weights, bindings, admission rules, timers and requests, and gives
//! whoever carries them one update for each proxy and turn. [`ServerIndices`] maps the ids of servers to the small
//! indices that the policy uses. Free of I/O and clocks, and of any protocol; nothing is decided here.

mod assignments;
mod server_indices;
mod tables;

pub use assignments::Assignments;
pub use server_indices::ServerIndices;
pub use tables::{AdmissionRule, ProxyUpdate, ServerWeight};
