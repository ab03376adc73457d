//! grebespool: balances load by weighted tables that a controller shares out to proxies.
//!
//! [`policy`] holds every decision, [`host`] its boundary: the settings, events and commands; `state` the plain data that the
//! policy keeps. Nothing here does I/O or reads a clock.

pub mod host;
pub mod policy;
mod state;
