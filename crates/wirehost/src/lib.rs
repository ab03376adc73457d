//! Runs policies on the simulator's wire protocol: applies batches of events and returns replies with commands.
//!
//! This library implements the frames, the record layouts and the ids. It makes no decisions, reads no clock and does no
//! I/O; the program in `main.rs` reads and writes the bytes. A malformed batch ends the program.

mod codes;
mod command_writer;
mod error;
mod frame;
mod instance;
mod instances;
mod server_ids;

pub use error::{FrameError, RecordError, WireError};
pub use frame::{BATCH_HEADER_BYTES, LENGTH_BYTES};
pub use instances::Instances;
