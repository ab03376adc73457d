//! grebespool: a table manager that assigns servers to proxies.
//!
//! [`decide`] holds every decision, [`host`] what a planner is told and what it may ask for;
//! `kept` the plain data it keeps.

pub mod decide;
pub mod host;
mod kept;
