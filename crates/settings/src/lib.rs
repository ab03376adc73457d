//! Settings files and day files: typed records with defaults, constraints and units in Nickel, whose choice
//! `docs/design/controller.md` explains. Each concern has its own Rust type.
//!
//! [`Planned::read`] reads the settings of a planner, [`Day::read`] a day to rehearse. Errors name file, line and field.
//! Constraints that the records cannot express (a route without callers, an unknown zone) are checked in Rust and named
//! by field.

mod controller_terms;
mod day;
mod deployment;
mod experiment;
mod read;
mod text;

pub use day::*;
pub use deployment::*;
pub use experiment::*;
pub use read::{SettingsError, show};
pub use text::{deployment_text, member_text, settings_text};
