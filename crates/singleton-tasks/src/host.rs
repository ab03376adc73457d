//! What a task manager needs from the process that runs it.

use crate::counts::Rows;
use crate::message::Message;
use crate::record::{RegisterEntry, StepRecord};
use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;
use std::fmt;

/// Why a member lost the lease of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseLossReason {
    /// The leader answered no renewal within the lease.
    Expired,
    /// The leader granted the task to another member, or suspended it.
    Revoked,
    /// Somebody has seen this higher token.
    Fenced(FencingToken),
}

impl fmt::Display for LeaseLossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LeaseLossReason::Expired => f.write_str("the leader has not renewed the lease in time"),
            LeaseLossReason::Revoked => f.write_str("the leader has revoked the lease"),
            LeaseLossReason::Fenced(token) => {
                write!(f, "a holder with the higher token {token} has been seen")
            }
        }
    }
}

/// Something that an operator may want to read in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEvent {
    /// This leader grants nothing to a member that is configured with other tasks.
    ForeignTaskSet {
        /// The member.
        member: MemberId,
    },
    /// This member is granted nothing, as it is configured with other tasks than the leader.
    RejectedByLeader,
    /// A member renews its leases no more.
    HolderLost {
        /// The member.
        member: MemberId,
        /// How many tasks it held.
        tasks: usize,
    },
}

impl fmt::Display for TaskEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TaskEvent::ForeignTaskSet { member } => {
                write!(f, "grants no tasks to member {member:016x}, which is configured with other tasks")
            }
            TaskEvent::RejectedByLeader => {
                f.write_str("is granted no tasks: the leader is configured with other tasks")
            }
            TaskEvent::HolderLost { member, tasks } => {
                write!(f, "receives no renewals from member {member:016x}; {tasks} tasks are free")
            }
        }
    }
}

/// The effects that a [`TaskManager`](crate::TaskManager) asks for.
pub trait Host {
    /// Sends a message to another member. It may get lost: requests are sent again.
    fn send(&mut self, to: MemberId, message: Message);
    /// Writes a register entry to disk; [`TaskManager::persisted`](crate::TaskManager::persisted) is to be called with
    /// the revision once it is durable.
    fn persist(&mut self, task: TaskId, entry: &RegisterEntry, revision: u64);
    /// All entries of the other members have been copied and handed over to [`Host::persist`]. This has to be found
    /// again after a crash.
    fn copy_completed(&mut self);
    /// This member holds the task; work waits for [`Host::ready`].
    fn lease_acquired(&mut self, task: TaskId, token: FencingToken);
    /// Work on the task must have no further effect.
    fn lease_lost(&mut self, task: TaskId, token: FencingToken, reason: LeaseLossReason);
    /// Work may continue after this step. A step that is not completed is to be executed again, since nobody knows
    /// whether its effect took place.
    fn ready(&mut self, task: TaskId, token: FencingToken, last: Option<&StepRecord>);
    /// The record is durable on a quorum: the effect of a step that was begun may take place; after a step that was
    /// completed, the next may begin.
    fn step_durable(&mut self, task: TaskId, token: FencingToken, record: &StepRecord);
    /// Another member answered what it counted, by period.
    fn counts_received(&mut self, from: MemberId, periods: Vec<(u64, Rows)>);
    /// Logs an event.
    fn log(&mut self, event: TaskEvent);
}
