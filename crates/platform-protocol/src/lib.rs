//! The platform's protocol between its bytes and the decisions ([`grebespool::policy`]). Free of I/O and clocks: time
//! comes in as spans since the planner's start, and the list's also with the machines' own time.
//!
//! Call one method of [`Station`] for each thing that happens; it acts by calling the [`Outlet`] that it was started
//! with. Call [`Station::woken`] at [`Station::due`]; later is no harm beyond the delay. [`Terms`] reads the file that
//! a planner is started with.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod frames;
mod lives;
mod log;
mod message;
mod orders;
mod roster;
mod station;
mod terms;
mod watch;
mod weight_log;

pub use frames::{Frames, NotFrames};
pub use lives::Conn;
pub use message::{Came, Message, Met, Spoilt, Unread, read};
pub use station::{Outlet, Station};
pub use terms::{BadTerms, Limits, Terms};
pub use watch::{Call, Watch};
