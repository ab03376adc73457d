//! The singleton task that closes periods and writes an account of each period as a file.
//!
//! An account is written to the journal before its file is written, so that a delayed lease holder writes the same file as
//! the next holder, or no file.

mod audit;
mod files;

pub use audit::{AccountAudit, audit_accounts};

use crate::core::Core;
use crate::task_host::{AccountSettings, Continuation, TaskHost};
use files::{WrittenAccount, write_account};
use grebespool_singleton_tasks::{Account, FencingToken, Ledger, MAX_STEP_BYTES, StepRecord, TaskId};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use tracing::{info, warn};

/// Number of checks in a period for one that can be closed; the interval between checks is within the bounds below.
const CHECKS_PER_PERIOD: u32 = 8;
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a failed write of an account's file is retried.
const FILE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// A request to all members for the counts of a period.
struct CountRequest {
    token: FencingToken,
    period: u64,
    sent: Instant,
}

/// Closes periods while this member holds the task's lease.
pub(crate) struct PeriodCloser {
    core: Rc<Core>,
    settings: AccountSettings,
    task: TaskId,
    request: Option<CountRequest>,
    /// True if the last write failed and the failure was logged.
    failure_logged: bool,
}

impl PeriodCloser {
    pub(crate) fn new(core: Rc<Core>, settings: AccountSettings, task: TaskId) -> PeriodCloser {
        PeriodCloser { core, settings, task, request: None, failure_logged: false }
    }

    /// Closes periods until the future is dropped.
    pub(crate) async fn run(mut self) {
        let core = self.core.clone();
        let Some(host) = &core.tasks else { return };
        let interval =
            (self.settings.period / CHECKS_PER_PERIOD).clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL);
        loop {
            tokio::select! {
                () = host.progress.notified() => {}
                () = sleep(interval) => {}
            }
            self.proceed(host).await;
        }
    }

    /// Takes the next step, if this member holds the lease and the journal accepts a step.
    async fn proceed(&mut self, host: &TaskHost) {
        let Some(Continuation { token, last }) = host.continuation(self.task) else { return };
        if host.token(self.core.now(), self.task) != Some(token) {
            return;
        }
        match last {
            Some(record) if !record.completed => self.finish_step(token, &record).await,
            last => self.close_next_period(host, token, last.as_ref()).await,
        }
    }

    /// Writes the file of the account in the journal's last step, and completes the step.
    async fn finish_step(&mut self, token: FencingToken, record: &StepRecord) {
        let Some(account) = ledger_of(record).and_then(|ledger| ledger.account) else {
            warn!(step = record.step, "cannot read a step of the accounts; leaving the step unfinished");
            return sleep(self.settings.slack).await;
        };
        match self.write_file(token, record.step, account).await {
            Ok(WrittenAccount::Fenced(seen)) => {
                warn!(%token, %seen, "no longer writing accounts: a newer lease holder has written");
                let task = self.task;
                self.core.call_tasks(|tasks, now| tasks.fenced(now, task, token, seen));
            }
            Ok(written) => {
                if matches!(written, WrittenAccount::Existing) {
                    info!(step = record.step, "skipping an account's file that was written before");
                }
                self.failure_logged = false;
                let task = self.task;
                self.core.write_task_step(task, |tasks, now| tasks.complete_step(now, task));
            }
            Err(error) => {
                if !std::mem::replace(&mut self.failure_logged, true) {
                    let folder = self.settings.folder.display();
                    warn!(%folder, %error, "cannot write an account; retrying");
                }
                sleep(FILE_RETRY_DELAY).await;
            }
        }
    }

    async fn write_file(
        &self,
        token: FencingToken,
        step: u64,
        account: Account,
    ) -> io::Result<WrittenAccount> {
        let folder = self.settings.folder.clone();
        let written = tokio::task::spawn_blocking(move || write_account(&folder, token, step, account)).await;
        written.unwrap_or_else(|panicked| Err(io::Error::other(panicked)))
    }

    /// Closes the next ended period, once all members have reported their counts or the slack has passed.
    async fn close_next_period(&mut self, host: &TaskHost, token: FencingToken, last: Option<&StepRecord>) {
        let current = host.period(self.settings.slack).unwrap_or(0);
        let ledger = match last {
            Some(record) => ledger_of(record),
            // The first account of a fleet is of the last ended period.
            None => Some(Ledger::starting_at(current.saturating_sub(1))),
        };
        let Some(ledger) = ledger.filter(|ledger| ledger.next < current) else { return };
        let voters = self.core.voters();
        let known = self.request.as_ref();
        let Some(request) = known.filter(|request| (request.token, request.period) == (token, ledger.next))
        else {
            return self.request_counts(host, token, &ledger);
        };
        let complete = voters.iter().all(|id| host.counts.borrow().contains_key(id));
        if !complete && request.sent.elapsed() < self.settings.slack {
            return;
        }
        let step = ledger.next_step(current, &voters, &host.counts.borrow());
        let Some(content) = step.and_then(|ledger| postcard::to_stdvec(&ledger).ok()) else { return };
        if content.len() > MAX_STEP_BYTES {
            let (bytes, max_bytes) = (content.len(), MAX_STEP_BYTES);
            warn!(bytes, max_bytes, "cannot write an account that is too large; leaving the period open");
            return sleep(self.settings.slack).await;
        }
        let task = self.task;
        self.core.write_task_step(task, |tasks, now| tasks.begin_step(now, task, content));
    }

    /// Requests the counts of all members. Only counts that are reported after the period's end are complete.
    fn request_counts(&mut self, host: &TaskHost, token: FencingToken, ledger: &Ledger) {
        host.counts.borrow_mut().clear();
        self.request = Some(CountRequest { token, period: ledger.next, sent: Instant::now() });
        self.core.call_tasks(|tasks, now| tasks.request_counts(now, ledger));
    }
}

fn ledger_of(record: &StepRecord) -> Option<Ledger> {
    postcard::from_bytes(&record.content).ok()
}
