//! The singleton tasks of a member: their settings, and the requests that they make during a call.

use crate::ids::task_names_id;
use crate::store::Store;
use grebespool_config_consensus::ConsensusSettings;
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{
    FencingToken, Host, LeaseLossReason, Message, RegisterEntry, Rows, StepRecord, StoredTasks, TaskEvent,
    TaskId, TaskLeaseParameters, TaskManager, TaskManagerConfig, TaskSet,
};
use std::cell::{Cell as Flag, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tracing::{info, warn};

// Names of tasks are stored and hashed into the id of the task list: do not rename.
const CONFIGURATION_TASK: &str = "editions";
const ACCOUNTS_TASK: &str = "accounts";

/// Settings of the task that writes an account of the requests in each period.
#[derive(Debug, Clone)]
pub struct AccountSettings {
    /// Folder to which accounts are written; all members share this folder.
    pub folder: PathBuf,
    /// Duration of a period.
    pub period: Duration,
    /// Time between the end of a period and its closing, and maximum time to wait for the counts of a member.
    pub slack: Duration,
}

/// Settings of the singleton tasks, which are distributed among the members.
#[derive(Debug, Clone)]
pub struct TaskSettings {
    /// Parameters of the tasks' leases.
    pub lease: TaskLeaseParameters,
    /// Settings of the task that writes accounts.
    pub accounts: Option<AccountSettings>,
    /// Settings of the task that coordinates configuration versions.
    pub configuration: Option<ConsensusSettings>,
}

impl TaskSettings {
    /// Returns the names of all tasks, in an order that is the same on all members.
    fn names(&self) -> Vec<String> {
        let accounts = self.accounts.iter().map(|_| ACCOUNTS_TASK.to_string());
        accounts.chain(self.configuration.iter().map(|_| CONFIGURATION_TASK.to_string())).collect()
    }
}

/// A change of a task's ownership.
pub(crate) struct OwnershipChange {
    pub task: TaskId,
    pub token: FencingToken,
    /// Reason for the loss of the ownership; `None` if the ownership was acquired.
    pub loss_reason: Option<LeaseLossReason>,
}

/// A durable step of a task's journal.
pub(crate) struct DurableStep {
    pub task: TaskId,
    pub token: FencingToken,
    pub record: Option<StepRecord>,
    /// True if the step is the first that is reported in an ownership.
    pub first: bool,
}

/// A journal entry to be written.
pub(crate) struct EntryRequest {
    pub task: TaskId,
    pub entry: RegisterEntry,
    pub stamp: u64,
}

/// The counts that a member reported, by period.
pub(crate) struct CountReport {
    pub member: MemberId,
    pub periods: Vec<(u64, Rows)>,
}

/// The requests that tasks make during a call.
#[derive(Default)]
pub(crate) struct TaskRequests {
    pub outbox: Vec<(MemberId, Message)>,
    pub writes: Vec<EntryRequest>,
    /// True if this member now has all journal entries that it should have.
    pub complete: bool,
    pub reports: Vec<CountReport>,
    pub changes: Vec<OwnershipChange>,
    pub durable: Vec<DurableStep>,
}

/// The state of a task whose journal accepts a new step.
#[derive(Clone)]
pub(crate) struct Continuation {
    pub token: FencingToken,
    pub last: Option<StepRecord>,
}

/// Collects the requests of tasks.
#[derive(Default)]
pub(crate) struct TaskRecorder {
    pub requests: TaskRequests,
    /// Tasks whose journal accepts a new step.
    pub ready: BTreeMap<TaskId, Continuation>,
}

impl TaskRecorder {
    fn record_step(&mut self, task: TaskId, token: FencingToken, record: Option<StepRecord>, first: bool) {
        self.requests.durable.push(DurableStep { task, token, record: record.clone(), first });
        self.ready.insert(task, Continuation { token, last: record });
    }
}

impl Host for TaskRecorder {
    fn send(&mut self, to: MemberId, message: Message) {
        self.requests.outbox.push((to, message));
    }
    fn persist(&mut self, task: TaskId, entry: &RegisterEntry, stamp: u64) {
        self.requests.writes.push(EntryRequest { task, entry: entry.clone(), stamp });
    }
    fn copy_completed(&mut self) {
        self.requests.complete = true;
    }
    fn lease_acquired(&mut self, task: TaskId, token: FencingToken) {
        self.requests.changes.push(OwnershipChange { task, token, loss_reason: None });
    }
    fn lease_lost(&mut self, task: TaskId, token: FencingToken, reason: LeaseLossReason) {
        self.ready.remove(&task);
        self.requests.changes.push(OwnershipChange { task, token, loss_reason: Some(reason) });
    }
    fn ready(&mut self, task: TaskId, token: FencingToken, last: Option<&StepRecord>) {
        self.record_step(task, token, last.cloned(), true);
    }
    fn step_durable(&mut self, task: TaskId, token: FencingToken, record: &StepRecord) {
        self.record_step(task, token, Some(record.clone()), false);
    }
    fn counts_received(&mut self, from: MemberId, periods: Vec<(u64, Rows)>) {
        self.requests.reports.push(CountReport { member: from, periods });
    }
    fn log(&mut self, event: TaskEvent) {
        info!("{event}");
    }
}

/// The singleton tasks of one member.
pub(crate) struct TaskHost {
    pub settings: TaskSettings,
    names: Vec<String>,
    pub tasks: RefCell<TaskManager<TaskRecorder>>,
    /// Notified when the tasks' timer may have changed.
    pub timer: Notify,
    /// Notified when a task may be continued or counts were reported.
    pub progress: Notify,
    /// The counts that each member reported last, by period.
    pub counts: RefCell<BTreeMap<MemberId, BTreeMap<u64, Rows>>>,
    /// True if requests were counted since the last write of the counts.
    pub counted: Flag<bool>,
}

impl TaskHost {
    /// Creates the tasks with the journals and counts in the state folder.
    ///
    /// # Errors
    ///
    /// Returns an error if the database cannot be read or written.
    pub(crate) fn open(
        store: &Store,
        own: MemberId,
        start_count: u32,
        settings: TaskSettings,
    ) -> io::Result<TaskHost> {
        let names = settings.names();
        let stored = store.read_entries(&names, |task, error| {
            warn!(task, %error, "setting a damaged journal record aside; copying those of other members before answering");
        })?;
        let config = TaskManagerConfig {
            own_id: own,
            parameters: settings.lease,
            task_set: TaskSet { digest: task_names_id(&names), count: names.len() },
            restarts: start_count,
        };
        let stored =
            StoredTasks { entries: stored.entries, is_copied: stored.complete, tally: store.read_tally()? };
        let tasks = TaskManager::new(TaskRecorder::default(), config, stored);
        Ok(TaskHost {
            settings,
            names,
            tasks: RefCell::new(tasks),
            timer: Notify::new(),
            progress: Notify::new(),
            counts: RefCell::default(),
            counted: Flag::new(false),
        })
    }

    /// Returns the names of all tasks.
    pub(crate) fn names(&self) -> &[String] {
        &self.names
    }

    /// Returns the name of a task.
    pub(crate) fn name(&self, task: TaskId) -> &str {
        &self.names[task as usize]
    }

    /// Returns the task with this name.
    pub(crate) fn find(&self, name: &str) -> Option<TaskId> {
        self.names.iter().position(|known| known == name).map(|index| index as TaskId)
    }

    /// Returns the task that coordinates configuration versions.
    pub(crate) fn configuration_task(&self) -> Option<TaskId> {
        self.find(CONFIGURATION_TASK)
    }

    /// Returns the task that writes accounts.
    pub(crate) fn accounts_task(&self) -> Option<TaskId> {
        self.find(ACCOUNTS_TASK)
    }

    /// Returns the last durable step of a task, if its journal accepts a new step.
    pub(crate) fn continuation(&self, task: TaskId) -> Option<Continuation> {
        self.tasks.borrow_mut().host().ready.get(&task).cloned()
    }

    /// Returns the token under which this member may work on a task at this time.
    pub(crate) fn token(&self, now: Duration, task: TaskId) -> Option<FencingToken> {
        self.tasks.borrow().current_token(now, task)
    }

    /// Returns the number of the period that contained the time `before` ago, by the wall clock, on which all members must
    /// agree. Returns `None` if there is no task of accounts.
    pub(crate) fn period(&self, before: Duration) -> Option<u64> {
        let period = self.settings.accounts.as_ref()?.period;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().saturating_sub(before);
        Some((now.as_millis() / period.as_millis().max(1)) as u64)
    }
}

/// Writes a step of a task's journal, if the journal accepts one. The task is not continued until the step is durable.
/// Returns true if the step was started.
pub(crate) fn write_step(
    tasks: &mut TaskManager<TaskRecorder>,
    task: TaskId,
    write: impl FnOnce(&mut TaskManager<TaskRecorder>) -> bool,
) -> bool {
    let Some(continuation) = tasks.host().ready.remove(&task) else { return false };
    let written = write(tasks);
    if !written {
        tasks.host().ready.entry(task).or_insert(continuation);
    }
    written
}
