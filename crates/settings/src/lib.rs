//! Settings and day files: typed records with defaults, constraints and units, written in Nickel
//! (`docs/design/controller.md` weighs it). One Rust type for each concern.
//!
//! [`Planned::read`] reads what a planner is started with, [`Day::read`] a day to rehearse. What is wrong is
//! named by file, line and field; what cannot be said in the records' own words (a route that no caller may
//! have, a zone that is not stated) is checked here and named by field.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod day;
mod deployment;
mod experiment;
mod read;
mod text;

pub use day::*;
pub use deployment::*;
pub use experiment::*;
pub use read::{Bad, show};
pub use text::{deployment_text, member_text, settings_text};
