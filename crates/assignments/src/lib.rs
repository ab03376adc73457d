//! Between the decisions ([`grebespool::policy`]) and whatever carries their orders: what is ordered as it stands, one
//! message for each proxy and turn, and the small indices that stand for ids. Free of I/O and clocks, and of any
//! protocol.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod books;
mod door;

pub use books::{Desk, Level, Told};
pub use door::Servers;
