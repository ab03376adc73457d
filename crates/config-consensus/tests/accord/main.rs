//! Members under faults, and what editions may say.

mod content;
mod helpers;
mod world;
