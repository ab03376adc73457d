//! The simulator's wire: frames, settings and ids. No decision is made here.

pub mod frame;
pub mod hosted;
