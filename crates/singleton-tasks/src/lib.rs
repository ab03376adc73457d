//! Singleton tasks: work on behalf of a fleet that one member at a time does (`docs/design/singleton-tasks.md`).
//!
//! The crate does no I/O and reads no clock. The caller passes each event to a [`TaskManager`], with the time by this
//! member's clock; the task manager acts through its [`Host`].
//!
//! Regardless of the clocks, a fencing token has at most one holder, the tokens of a task only rise, and the next holder
//! continues with the step whose beginning a quorum has stored. While the clocks stay within the configured drift, a task
//! has at most one holder at a time. If a clock exceeds the drift, the [`Fence`] at the target of the effects rejects the
//! holder with the lower token.

mod balance;
mod config;
mod context;
mod counts;
mod election;
mod error;
mod fence;
mod host;
mod journal;
mod lease_holder;
mod lease_manager;
mod lease_parameters;
mod ledger;
mod message;
mod record;
mod register;
mod status;
mod task_manager;
mod token;

pub use balance::balance_tasks;
pub use config::{StoredTasks, TaskManagerConfig, TaskSet};
pub use counts::{CountRow, Counts, NO_ROUTE, Rows, Tally, TrafficKey};
pub use election::{ElectionState, Leader};
pub use error::TaskError;
pub use fence::{Fence, FenceDecision};
pub use host::{Host, LeaseLossReason, TaskEvent};
pub use lease_parameters::{MAX_SUSPENSION, TaskLeaseParameters};
pub use ledger::{Account, Ledger};
pub use message::{LeaseClaims, LeaseGrants, Message, RenewRequest, RenewResponse};
pub use record::{MAX_STEP_BYTES, RegisterEntry, StepRecord};
pub use status::{FencingStats, StaleHolder, TaskStatus};
pub use task_manager::TaskManager;
pub use token::{FencingToken, TaskId};
