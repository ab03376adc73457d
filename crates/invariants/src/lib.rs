//! Checks the five rules from a record of what passed on the sockets, at both ends of each, and from nothing
//! that any planner remembers.
//!
//! A [`Record`] is written by taps on the streams and by the stand-ins' own ends of theirs; [`check`] gives a
//! [`Verdict`] for each rule, with the first breach in its context. [`Checker`] does the same as things pass,
//! without holding them.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod check;
mod cold;
mod drained;
mod once;
mod queue;
mod record;
mod served;
mod told;

pub use check::{Checker, Facts, Limits, RouteFacts, Rule, Verdict, Violation, check};
pub use record::{Event, List, Record};
