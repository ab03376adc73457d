//! Checks the five rules that a planner must keep, using only what was observed at both ends of the sockets and
//! nothing that a planner reports about itself.
//!
//! A [`Record`] collects the events of a day. The simulated and emulated servers, proxies and clients write it, and
//! so do taps on the streams between proxies and planners. [`check`] returns one [`Verdict`] for each rule, with the
//! first violation in its context. A [`Checker`] does the same event by event, without holding the record.

mod at_most_once;
mod availability;
mod check;
mod drain;
mod planner_view;
mod queue_length;
mod record;
mod slow_start;

pub use check::{Checker, Facts, Limits, RouteFacts, Rule, Verdict, Violation, check};
pub use record::{Event, List, Record};
