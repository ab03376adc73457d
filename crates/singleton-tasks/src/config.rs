//! What a task manager starts from.

use crate::counts::Tally;
use crate::lease_parameters::TaskLeaseParameters;
use crate::record::RegisterEntry;
use crate::token::TaskId;
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;

/// The tasks that a member is configured with, which must be the same on all members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSet {
    /// Identifies the names of all tasks.
    pub digest: u64,
    /// How many tasks there are.
    pub count: usize,
}

/// The configuration of a task manager.
#[derive(Debug, Clone, Copy)]
pub struct TaskManagerConfig {
    /// This member.
    pub own_id: MemberId,
    /// The timing of leases.
    pub parameters: TaskLeaseParameters,
    /// The tasks.
    pub task_set: TaskSet,
    /// Rises with each start of the process, whatever else is lost.
    pub restarts: u32,
}

/// What a task manager finds on disk.
#[derive(Debug, Clone, Default)]
pub struct StoredTasks {
    /// The register entries.
    pub entries: BTreeMap<TaskId, RegisterEntry>,
    /// Whether the entries are complete: false on a member that was added and has not copied the others' yet.
    pub is_copied: bool,
    /// What this member counted.
    pub tally: Tally,
}
