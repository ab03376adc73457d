//! Checks the five rules from a record of what passed on the sockets, at both ends of each, and from nothing
//! that any planner remembers.
//!
//! A [`Record`] is written by taps on the streams and by the stand-ins' own ends of theirs; [`check`] reads it
//! whole and gives a [`Verdict`] for each rule, with the first breach in its context.

mod check;
mod record;

pub use check::{Breach, Facts, Limits, RouteFacts, Rule, Verdict, check};
pub use record::{List, Passed, Record};
