//! The messages between members.

use crate::counts::Rows;
use crate::record::{RegisterEntry, StepRecord};
use crate::token::{FencingToken, TaskId};
use serde::{Deserialize, Serialize};

/// The leases that a member holds and the suspensions that it knows of. A new leader starts from the claims of all members.
// On the wire by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseClaims {
    /// The tasks that the member holds, with their tokens.
    pub tasks: Vec<(TaskId, FencingToken)>,
    /// The suspended tasks, each with the remaining time in milliseconds.
    pub suspensions: Vec<(TaskId, u64)>,
}

/// The request of a member that the leader renew its leases.
// On the wire by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The leader's term.
    pub term: u64,
    /// The member's incarnation, which rises with each start and each time that the member loses a lease without the
    /// leader's order.
    pub incarnation: u64,
    /// The number of the request, which rises with each request.
    pub number: u64,
    /// The version of the grants that the member acts on; 0 if it has no grants of this term and incarnation.
    pub version: u64,
    /// The digest of the tasks that the member is configured with.
    pub task_set: u64,
    /// The revoked tasks whose last step is not completed.
    pub busy: Vec<TaskId>,
    /// The member's claims; sent until the member has grants of this term and incarnation.
    pub claims: Option<LeaseClaims>,
}

/// The renewal of the leases of one version of a member's grants. The leases run from the time at which the member sent the
/// request.
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

/// All tasks that the leader grants to a member.
// On the wire by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrants {
    /// The leader's term.
    pub term: u64,
    /// The member's incarnation.
    pub incarnation: u64,
    /// The version of the grants, which rises with each change of the member's grants.
    pub version: u64,
    /// The tasks, with their tokens.
    pub tasks: Vec<(TaskId, FencingToken)>,
    /// The suspended tasks of the fleet, each with the remaining time in milliseconds.
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
    /// Informs a member of its grants.
    Grants(LeaseGrants),
    /// Informs a member that it is configured with other tasks than the leader.
    ForeignTaskSet {
        /// The leader's term.
        term: u64,
    },
    /// Opens a task's journal for a holder. The receiver accepts no lower token from then on.
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
    /// Answers a write request once the record is durable.
    WriteResponse {
        /// The task.
        task: TaskId,
        /// The token of the record.
        token: FencingToken,
        /// The step of the record.
        step: u64,
        /// True if the record completes the step.
        completed: bool,
    },
    /// Rejects a request because the sender has seen a higher token.
    Fenced {
        /// The task.
        task: TaskId,
        /// The token of the request.
        token: FencingToken,
        /// The highest token that the sender has seen.
        highest_token: FencingToken,
    },
    /// Asks for the register entries of all tasks from `from` on; sent by a member that was added.
    CopyRequest {
        /// The first task.
        from: TaskId,
    },
    /// Answers a copy request.
    CopyResponse {
        /// The first task of the request.
        from: TaskId,
        /// The entries.
        entries: Vec<(TaskId, RegisterEntry)>,
        /// The first task of the next request; unset if all entries have been sent.
        next: Option<TaskId>,
    },
    /// Asks for the receiver's counts of these periods.
    CountRequest {
        /// The first period.
        from: u64,
        /// The last period.
        to: u64,
    },
    /// Answers a count request.
    CountResponse {
        /// The periods in which the sender counted anything, with the counts of each.
        periods: Vec<(u64, Rows)>,
    },
}

impl Message {
    /// Returns the task whose journal the message concerns; `None` if the message does not concern a journal.
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

    /// Removes everything about tasks from `task_count` on, which have no name here: a member with other settings may send
    /// messages about them. Returns `None` if the message concerns only such a task.
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
