//! Singleton tasks of a member: their settings, and what they ask for during a call.

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

// Names of tasks are stored: do not rename.
const CONFIGURATION_TASK: &str = "editions";
const ACCOUNTS_TASK: &str = "accounts";

/// Settings of the accounts of periods.
#[derive(Debug, Clone)]
pub struct AccountSettings {
    /// Where accounts are written; the same for all members.
    pub folder: PathBuf,
    /// Length of a period.
    pub period: Duration,
    /// How long after its end a period is closed, and how long a member that does not answer is waited for.
    pub slack: Duration,
}

/// The singleton tasks that the members share out.
#[derive(Debug, Clone)]
pub struct TaskSettings {
    /// Leases of tasks.
    pub lease: TaskLeaseParameters,
    /// The task of accounts.
    pub accounts: Option<AccountSettings>,
    /// The task of coordinating configuration versions.
    pub configuration: Option<ConsensusSettings>,
}

impl TaskSettings {
    /// The names of all tasks, in an order that is the same on all members.
    fn names(&self) -> Vec<String> {
        let accounts = self.accounts.iter().map(|_| ACCOUNTS_TASK.to_string());
        accounts.chain(self.configuration.iter().map(|_| CONFIGURATION_TASK.to_string())).collect()
    }
}

/// A change of an ownership: gained, or lost for this reason.
pub(crate) struct OwnershipChange {
    pub task: TaskId,
    pub token: FencingToken,
    pub lost: Option<LeaseLossReason>,
}

/// A step of a journal that is durable.
pub(crate) struct DurableStep {
    pub task: TaskId,
    pub token: FencingToken,
    pub record: Option<StepRecord>,
    /// Whether it is the first of an ownership.
    pub first: bool,
}

/// A journal entry to be written.
pub(crate) struct EntryRequest {
    pub task: TaskId,
    pub entry: RegisterEntry,
    pub stamp: u64,
}

/// Counts that a member reported, by period.
pub(crate) struct CountReport {
    pub member: MemberId,
    pub periods: Vec<(u64, Rows)>,
}

/// What tasks ask for during a call.
#[derive(Default)]
pub(crate) struct TaskRequests {
    pub outbox: Vec<(MemberId, Message)>,
    pub writes: Vec<EntryRequest>,
    /// The journal is complete now.
    pub complete: bool,
    pub reports: Vec<CountReport>,
    pub changes: Vec<OwnershipChange>,
    pub durable: Vec<DurableStep>,
}

/// The last durable step of a task that may be continued.
#[derive(Clone)]
pub(crate) struct Continuation {
    pub token: FencingToken,
    pub last: Option<StepRecord>,
}

/// Collects what tasks ask for.
#[derive(Default)]
pub(crate) struct TaskRecorder {
    pub requests: TaskRequests,
    /// Tasks whose journal takes a new step.
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
        self.requests.changes.push(OwnershipChange { task, token, lost: None });
    }
    fn lease_lost(&mut self, task: TaskId, token: FencingToken, reason: LeaseLossReason) {
        self.ready.remove(&task);
        self.requests.changes.push(OwnershipChange { task, token, lost: Some(reason) });
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
    /// Its timer may have changed.
    pub timer: Notify,
    /// A task may be continued, or counts were reported.
    pub progress: Notify,
    /// The counts of each member, by period, as it reported them last.
    pub counts: RefCell<BTreeMap<MemberId, BTreeMap<u64, Rows>>>,
    /// Requests were counted since the counts were written.
    pub counted: Flag<bool>,
}

impl TaskHost {
    /// Starts with what the state folder has.
    ///
    /// # Errors
    ///
    /// The database cannot be read or written.
    pub(crate) fn open(
        store: &Store,
        own: MemberId,
        start_count: u32,
        settings: TaskSettings,
    ) -> io::Result<TaskHost> {
        let names = settings.names();
        let stored = store.read_entries(&names, |task, error| {
            warn!(task, %error, "sets a damaged journal record aside; copying the others' before answering");
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

    /// The names of all tasks.
    pub(crate) fn names(&self) -> &[String] {
        &self.names
    }

    /// A task's name.
    pub(crate) fn name(&self, task: TaskId) -> &str {
        &self.names[task as usize]
    }

    /// The task of this name.
    pub(crate) fn find(&self, name: &str) -> Option<TaskId> {
        self.names.iter().position(|known| known == name).map(|index| index as TaskId)
    }

    /// The task of coordinating configuration versions.
    pub(crate) fn configuration_task(&self) -> Option<TaskId> {
        self.find(CONFIGURATION_TASK)
    }

    /// The task of accounts.
    pub(crate) fn accounts_task(&self) -> Option<TaskId> {
        self.find(ACCOUNTS_TASK)
    }

    /// The last durable step of a task, if its journal takes a new one.
    pub(crate) fn continuation(&self, task: TaskId) -> Option<Continuation> {
        self.tasks.borrow_mut().host().ready.get(&task).cloned()
    }

    /// The token by which this member may work on a task at this time.
    pub(crate) fn token(&self, now: Duration, task: TaskId) -> Option<FencingToken> {
        self.tasks.borrow().current_token(now, task)
    }

    /// The number of the period before this time by the wall clock, which all members have to agree on. None without
    /// accounts.
    pub(crate) fn period(&self, before: Duration) -> Option<u64> {
        let period = self.settings.accounts.as_ref()?.period;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().saturating_sub(before);
        Some((now.as_millis() / period.as_millis().max(1)) as u64)
    }
}

/// Writes a step of a task's journal, if it takes one. The task is not continued until the step is durable. Returns whether
/// the step was written.
pub(crate) fn write_step(
    tasks: &mut TaskManager<TaskRecorder>,
    task: TaskId,
    write: impl FnOnce(&mut TaskManager<TaskRecorder>) -> bool,
) -> bool {
    let Some(before) = tasks.host().ready.remove(&task) else { return false };
    let written = write(tasks);
    if !written {
        tasks.host().ready.entry(task).or_insert(before);
    }
    written
}
