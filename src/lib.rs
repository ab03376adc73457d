//! grebespool: a load-balancing policy. A controller runs the policy and distributes its weight tables to proxies.
//!
//! [`policy`] makes every decision. [`host`] is the policy's boundary: its settings, events and commands. `state` holds the
//! policy's data. No module does I/O or reads a clock.

pub mod host;
pub mod policy;
mod state;
