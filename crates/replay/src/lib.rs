//! A day replayed under other settings: every variant with every seed, on all cores, compared seed by seed.
//!
//! What comes out does not depend on how many cores there are: each run is the model's, alone, and runs are put
//! together by their places.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod chart;
mod compare;
mod experiment;
mod past;
mod report;
mod run;

pub use compare::{Gain, gain, gain_of};
pub use experiment::{Experiment, Kept, Swept, SweptDay, Unswept};
pub use past::{Found, Recorded};
pub use report::write_report;
pub use run::{Job, Outcome, Replayed, Replays, Variant, replay, run_all};
