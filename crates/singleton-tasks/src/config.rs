//! The configuration and the stored state that a task manager starts from.

use crate::counts::Tally;
use crate::lease_parameters::TaskLeaseParameters;
use crate::record::RegisterEntry;
use crate::token::TaskId;
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;

/// The tasks that a member is configured with, which must be the same on all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSet {
    /// A digest of the names of all tasks.
    pub digest: u64,
    /// The number of tasks.
    pub count: usize,
}

/// The configuration of a task manager.
#[derive(Debug, Clone, Copy)]
pub struct TaskManagerConfig {
    /// The id of this member.
    pub own_id: MemberId,
    /// The timing of leases.
    pub parameters: TaskLeaseParameters,
    /// The tasks.
    pub task_set: TaskSet,
    /// The number of starts of the process. It must rise with each start, even if all other state is lost.
    pub restarts: u32,
}

/// The state that a task manager finds on disk.
#[derive(Debug, Clone, Default)]
pub struct StoredTasks {
    /// The register entries.
    pub entries: BTreeMap<TaskId, RegisterEntry>,
    /// True if the entries are complete; false on a member that was added and has not copied the others' entries yet.
    pub is_copied: bool,
    /// The traffic counts of this member.
    pub tally: Tally,
}
