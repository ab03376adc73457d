//! The state that the policy ([`grebespool::policy`]) assigns to proxies, and the indices of servers.
//!
//! [`Assignments`] is the policy's host: it collects weights, bindings, admission rules, timers and requests, and
//! publishes the changes of each turn as one update for each proxy. A turn is the handling of one event; the crate that
//! serves the proxies ends it with [`Assignments::publish`]. [`ServerIndices`] maps the ids of servers to the small
//! indices that the policy uses. This crate is free of I/O, clocks and protocols, and makes no decisions.

mod admission_rules;
mod assignments;
mod server_indices;
mod tables;

pub use admission_rules::AdmissionRule;
pub use assignments::Assignments;
pub use server_indices::ServerIndices;
pub use tables::{Binding, ProxyUpdate, ServerWeight, TableUpdate};
