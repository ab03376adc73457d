//! The messages between members.

use crate::counts::Rows;
use crate::record::{RegisterEntry, StepRecord};
use crate::token::{FencingToken, TaskId};
use serde::{Deserialize, Serialize};

/// The leases that a member holds and the suspensions that it knows: what a new leader starts from.
// On the wire by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClaims {
    /// The tasks that it holds, with their tokens.
    pub tasks: Vec<(TaskId, FencingToken)>,
    /// The suspended tasks, each with the milliseconds that are left.
    pub suspensions: Vec<(TaskId, u64)>,
}

/// Asks the leader to renew the leases of a member.
// On the wire by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The leader's term.
    pub term: u64,
    /// Rises with each start of the member, and each time that it lost a lease without the leader's order.
    pub incarnation: u64,
    /// Rises with each request.
    pub number: u64,
    /// The version of the grants that the member acts on; 0 if it has none of this term and incarnation.
    pub version: u64,
    /// The digest of the tasks that the member is configured with.
    pub task_set: u64,
    /// The tasks that were revoked and whose last step is not completed.
    pub busy: Vec<TaskId>,
    /// Sent until the member has grants of this term and incarnation.
    pub claims: Option<LeaseClaims>,
}

/// Renews the leases of one version of a member's grants, from when the request was sent.
// On the wire by field order: do not reorder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewResponse {
    /// The leader's term.
    pub term: u64,
    /// The number of the request.
    pub number: u64,
    /// The version of the grants.
    pub version: u64,
}

/// All tasks that a member is granted.
// On the wire by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrants {
    /// The leader's term.
    pub term: u64,
    /// The member's incarnation.
    pub incarnation: u64,
    /// Rises with each change of the member's grants.
    pub version: u64,
    /// The tasks, with their tokens.
    pub tasks: Vec<(TaskId, FencingToken)>,
    /// The suspended tasks of the fleet, each with the milliseconds that are left.
    pub suspensions: Vec<(TaskId, u64)>,
}

/// A message from one member to another.
// On the wire by the order of variants and fields: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the leader to renew leases.
    RenewRequest(RenewRequest),
    /// Answers a renewal.
    RenewResponse(RenewResponse),
    /// Tells a member what it is granted.
    Grants(LeaseGrants),
    /// Tells a member that it is configured with other tasks than the leader.
    ForeignTaskSet {
        /// The leader's term.
        term: u64,
    },
    /// Opens a task's journal for a holder: the receiver accepts no lower token from here on.
    OpenRequest {
        /// The task.
        task: TaskId,
        /// The holder's token.
        token: FencingToken,
    },
    /// Answers an open request with the newest record.
    OpenResponse {
        /// The task.
        task: TaskId,
        /// The token of the request.
        token: FencingToken,
        /// The newest record that the sender has.
        record: Option<StepRecord>,
    },
    /// Writes a record.
    WriteRequest {
        /// The task.
        task: TaskId,
        /// The record.
        record: StepRecord,
    },
    /// Answers a write request, once the record is durable.
    WriteResponse {
        /// The task.
        task: TaskId,
        /// The token of the record.
        token: FencingToken,
        /// The step of the record.
        step: u64,
        /// Whether the record says that the step is completed.
        completed: bool,
    },
    /// Rejects a request: a higher token was seen.
    Fenced {
        /// The task.
        task: TaskId,
        /// The token of the request.
        token: FencingToken,
        /// The highest token that the sender has seen.
        highest_token: FencingToken,
    },
    /// Asks for all register entries from this task on; sent by a member that was added.
    CopyRequest {
        /// The first task.
        from: TaskId,
    },
    /// Answers a copy request.
    CopyResponse {
        /// The first task that was asked for.
        from: TaskId,
        /// The entries.
        entries: Vec<(TaskId, RegisterEntry)>,
        /// The task to go on with, if there are more.
        next: Option<TaskId>,
    },
    /// Asks what the receiver counted in these periods.
    CountRequest {
        /// The first period.
        from: u64,
        /// The last period.
        to: u64,
    },
    /// Answers a count request.
    CountResponse {
        /// The periods in which something was counted.
        periods: Vec<(u64, Rows)>,
    },
}

impl Message {
    /// The task whose journal the message is about.
    pub(crate) fn journal_task(&self) -> Option<TaskId> {
        match self {
            Message::OpenRequest { task, .. }
            | Message::OpenResponse { task, .. }
            | Message::WriteRequest { task, .. }
            | Message::WriteResponse { task, .. }
            | Message::Fenced { task, .. } => Some(*task),
            _ => None,
        }
    }

    /// Leaves out everything about tasks from `task_count` on. A member with other settings may send messages about
    /// tasks that have no name here. `None` if nothing is left.
    pub(crate) fn restricted_to(mut self, task_count: usize) -> Option<Message> {
        let exists = |task: TaskId| (task as usize) < task_count;
        match &mut self {
            Message::CopyResponse { entries, .. } => entries.retain(|(task, _)| exists(*task)),
            Message::Grants(grants) => {
                grants.tasks.retain(|(task, _)| exists(*task));
                grants.suspensions.retain(|(task, _)| exists(*task));
            }
            _ => {}
        }
        self.journal_task().is_none_or(exists).then_some(self)
    }
}
