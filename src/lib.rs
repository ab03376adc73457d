//! grebespool: a table manager that assigns servers to proxies.
//!
//! [`policy`] holds every decision, [`host`] what a planner is told and what it may ask for;
//! `state` the plain data it keeps.

pub mod host;
pub mod policy;
mod state;
