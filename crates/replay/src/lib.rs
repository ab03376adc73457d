//! Replays of a day under several settings in the model: each variant runs with each seed, on all cores, and variants are
//! compared seed by seed.
//!
//! Results do not depend on the number of cores: each run is a single-threaded simulation, and results are ordered by job.

mod chart;
mod compare;
mod experiment;
mod recorded;
mod report;
mod run;

pub use compare::{Gain, gain, paired_gain};
pub use experiment::{Experiment, ExperimentDay, ExperimentError, ExperimentResult, RunStore};
pub use recorded::{RecordedDay, RecordingStats};
pub use report::write_report;
pub use run::{Job, Outcome, Replayed, Replays, Variant, replay, run_all};
