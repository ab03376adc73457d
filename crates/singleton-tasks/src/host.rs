//! The interface between a task manager and the process that runs it.

use crate::counts::Rows;
use crate::message::Message;
use crate::record::{RegisterEntry, StepRecord};
use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;
use std::fmt;

/// The reason for which a member lost the lease of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseLossReason {
    /// The leader answered no renewal within the lease.
    Expired,
    /// The leader moved the task to another member or suspended it.
    Revoked,
    /// Another member or the target of the effects has seen this higher token.
    Fenced(FencingToken),
}

impl fmt::Display for LeaseLossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseLossReason::Expired => f.write_str("the leader did not renew the lease in time"),
            LeaseLossReason::Revoked => f.write_str("the leader revoked the lease"),
            LeaseLossReason::Fenced(token) => write!(f, "another holder has the higher token {token}"),
        }
    }
}

/// An event that is written to the log for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEvent {
    /// This leader grants no tasks to a member that is configured with other tasks.
    ForeignTaskSet {
        /// The member.
        member: MemberId,
    },
    /// The leader grants no tasks to this member, which is configured with other tasks than the leader.
    RejectedByLeader,
    /// A member no longer renews its leases.
    HolderLost {
        /// The member.
        member: MemberId,
        /// The number of tasks that the member held.
        tasks: usize,
    },
}

// Logged as a whole: a participle phrase whose subject is this process.
impl fmt::Display for TaskEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TaskEvent::ForeignTaskSet { member } => {
                write!(f, "granting no tasks to member {member:016x}, which is configured with other tasks")
            }
            TaskEvent::RejectedByLeader => {
                f.write_str("receiving no tasks: the leader is configured with other tasks")
            }
            TaskEvent::HolderLost { member, tasks } => {
                write!(f, "receiving no renewals from member {member:016x}; freeing its {tasks} tasks")
            }
        }
    }
}

/// The effects that a [`TaskManager`](crate::TaskManager) asks for.
pub trait Host {
    /// Sends a message to another member. The message may be lost: unanswered requests are sent again.
    fn send(&mut self, to: MemberId, message: Message);
    /// Writes a register entry to disk. [`TaskManager::persisted`](crate::TaskManager::persisted) must be called with the
    /// revision once the entry is durable.
    fn persist(&mut self, task: TaskId, entry: &RegisterEntry, revision: u64);
    /// Records that the entries of most other members have been copied and passed to [`Host::persist`]. The record must
    /// survive a crash: it is [`StoredTasks::is_copied`](crate::StoredTasks::is_copied) at the next start.
    fn copy_completed(&mut self);
    /// Handles that this member now holds the task. Work must wait for [`Host::ready`].
    fn lease_acquired(&mut self, task: TaskId, token: FencingToken);
    /// Handles that this member no longer holds the task. Work on it must have no further effect.
    fn lease_lost(&mut self, task: TaskId, token: FencingToken, reason: LeaseLossReason);
    /// Handles that work may continue after the step `last`. A step that is not completed must be executed again, since it
    /// is unknown whether its effect took place.
    fn ready(&mut self, task: TaskId, token: FencingToken, last: Option<&StepRecord>);
    /// Handles that the record is durable on a quorum. If the record begins a step, the effect of the step may now take
    /// place; if the record completes a step, the next step may begin.
    fn step_durable(&mut self, task: TaskId, token: FencingToken, record: &StepRecord);
    /// Handles the answer of a member to a request for its counts, by period.
    fn counts_received(&mut self, from: MemberId, periods: Vec<(u64, Rows)>);
    /// Logs an event.
    fn log(&mut self, event: TaskEvent);
}
