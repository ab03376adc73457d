//! A day replayed under other settings: every variant with every seed, on all cores, compared seed by seed.
//!
//! What comes out does not depend on how many cores there are: each run is the model's, alone, and runs are put
//! together by their places.

mod calls;
mod compare;
mod report;
mod run;

pub use calls::{Recorded, recorded};
pub use compare::{Gain, gain};
pub use report::write_report;
pub use run::{Outcome, Replayed, Variant, replay};
