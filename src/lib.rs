//! grebespool: a table manager that assigns servers to proxies.
//!
//! [`policy`] holds every decision, [`host`] what a planner is told and what it may ask for;
//! `state` the plain data it keeps.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

pub mod host;
pub mod policy;
mod state;
