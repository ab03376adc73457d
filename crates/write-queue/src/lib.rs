//! A bounded queue of bytes that wait to be written to one connection, whatever the protocol.
//!
//! One slow reader delays nobody else and holds no more memory than its limits allow. A reader that exceeds them is
//! disconnected: what it was to receive is lost, and it has to connect again. The queue assumes that all its callers
//! are on one thread, and never waits while it is borrowed.

mod backlog;
mod queue;

pub use backlog::{Backlog, BacklogStatus, WriteLimits};
pub use queue::{WriteOutcome, WriteQueue};
