//! The simulator's wire: frames, settings and ids. No decision is made here.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

pub mod frame;
pub mod hosted;
