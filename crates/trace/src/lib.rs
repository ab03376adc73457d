//! Recorded days (`docs/design/replay.md`): a versioned, compressed, checksummed stream of blocks that holds one
//! block in memory at a time, on either side, and is readable up to its last whole block wherever it is cut off.
//!
//! [`Writer`] and [`Reader`] are the two ends; [`cut`], [`merge`] and [`import`] make recordings of recordings.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod block;
mod cloak;
mod event;
mod import;
mod read;
mod recorder;
mod work;
mod write;

pub use block::{MOST_RAW, VERSION};
pub use cloak::Cloak;
pub use event::{Call, Event, Listed, Phase, Timed};
pub use import::{BadRow, Form, Imported, Mapping, import};
pub use read::{End, Flaw, Reader};
pub use recorder::Recorder;
pub use work::{Summary, cut, merge, summary};
pub use write::Writer;
