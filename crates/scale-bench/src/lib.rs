//! Measures how the cost of a fleet grows with its size, and estimates what a planned size needs.
//!
//! Planners run in two ways, and each sample names the way. A *real* planner is the program as a separate process on
//! loopback. A *hollow* planner consists of the state machines and codecs of that program, without proxies: thousands of
//! hollow planners share one process, a simulated clock and in-memory links.
//!
//! [`fit`] turns measured [`sample::Sample`]s into slopes and exponents; [`capacity`] derives the needs of a planned size
//! from them. Planners in service use nothing of this crate.

pub mod capacity;
pub mod chart;
pub mod fit;
pub mod hollow;
pub mod process;
pub mod resources;
pub mod sample;
pub mod station;
