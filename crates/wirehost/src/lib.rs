//! Hosts policies on the simulator's wire: batches of events in, replies of commands out.
//!
//! Responsible for frames, record layouts and ids. It decides nothing, reads no clock and does no I/O; the program `main.rs`
//! moves the bytes. A malformed batch ends the program.

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
