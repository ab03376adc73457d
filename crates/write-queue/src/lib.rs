//! A bounded queue of bytes to be written to one connection, independent of the protocol.
//!
//! A slow reader does not delay other connections, and its queue takes no more memory than the limits allow. A reader
//! that exceeds the limits is disconnected: the queued bytes are lost, and the reader has to connect again. All callers
//! of a queue have to be on one thread; no borrow is held across an await.

mod backlog;
mod memory;
mod queue;

pub use backlog::{Backlog, BacklogStatus, WriteLimits};
pub use memory::QueuedMemory;
pub use queue::{WriteOutcome, WriteQueue};
