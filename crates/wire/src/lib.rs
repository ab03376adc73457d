//! The planner's own protocol (`docs/protocol.md`): frames and messages, free of I/O.
//!
//! [`Inbox`] turns bytes, split anywhere, into messages; [`Message::write`] appends one as a frame. Every
//! count and length is checked against what the frame still holds before anything is allocated for it.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod bytes;
mod inbox;
mod message;
mod proof;

pub use bytes::Malformed;
pub use inbox::Inbox;
pub use message::*;
pub use proof::{Key, Proof};

/// The version that this crate speaks. A peer of another version is told so and closed.
pub const VERSION: u16 = 2;

/// The most bytes that a frame's body may have, and what is taken from a peer that has not joined yet.
pub const MOST_BODY: usize = 4 << 20;
pub const MOST_BODY_UNJOINED: usize = 4 << 10;
