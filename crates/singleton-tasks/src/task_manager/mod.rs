//! One member's part of all singleton tasks: the leases that it holds, those that it grants while it leads, and its part
//! of the journals.

mod dispatch;
mod steps;

use crate::config::{StoredTasks, TaskManagerConfig};
use crate::context::Context;
use crate::counts::Tally;
use crate::election::{ElectionState, Leader};
use crate::error::TaskError;
use crate::host::Host;
use crate::journal::TaskJournal;
use crate::lease_holder::LeaseHolder;
use crate::lease_manager::LeaseManager;
use crate::ledger::Ledger;
use crate::message::Message;
use crate::register::Register;
use crate::status::{FencingStats, TaskStatus};
use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The singleton tasks of one member. All times are by its own clock.
#[derive(Debug)]
pub struct TaskManager<H> {
    context: Context<H>,
    config: TaskManagerConfig,
    lease_holder: LeaseHolder,
    /// Set while this member leads.
    lease_manager: Option<LeaseManager>,
    /// When this member's lease as leader expires: it must answer nothing as leader after it.
    leader_lease_expires_at: Duration,
    /// The newest term in which this member led: its tokens are numbered once.
    last_led_term: u64,
    register: Register,
    /// The journals of the tasks that this member holds.
    journals: BTreeMap<TaskId, TaskJournal>,
    tally: Tally,
}

impl<H: Host> TaskManager<H> {
    /// Starts with what was found on disk.
    pub fn new(host: H, config: TaskManagerConfig, stored: StoredTasks) -> TaskManager<H> {
        let parameters = config.parameters;
        TaskManager {
            context: Context::new(host, config.own_id, parameters.renew_interval),
            lease_holder: LeaseHolder::new(parameters, config.task_set.digest, config.restarts),
            config,
            lease_manager: None,
            leader_lease_expires_at: Duration::ZERO,
            last_led_term: 0,
            register: Register::new(stored.entries, stored.is_copied),
            journals: BTreeMap::new(),
            tally: stored.tally,
        }
    }

    /// The host.
    pub fn host(&mut self) -> &mut H {
        &mut self.context.host
    }

    /// What this member counted.
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    /// When [`TaskManager::timer_fired`] is to be called next.
    pub fn next_deadline(&self) -> Duration {
        let lease_manager = self.lease_manager.as_ref();
        let leader = lease_manager.map(|manager| manager.next_deadline().min(self.leader_lease_expires_at));
        let copies = self.register.copy_retry_at(self.context.is_member());
        let others = [leader, self.lease_holder.next_deadline(), copies];
        let journals = self.journals.values().filter_map(TaskJournal::retry_at);
        others.into_iter().flatten().chain(journals).min().unwrap_or(Duration::MAX)
    }

    /// The token by which this member may act on a task at this moment. `now` must have been read right before the
    /// effect.
    pub fn current_token(&self, now: Duration, task: TaskId) -> Option<FencingToken> {
        self.lease_holder.current_token(now, task)
    }

    /// The suspended tasks that this member knows of, and until when they are.
    pub fn suspensions(&self) -> impl Iterator<Item = (TaskId, Duration)> {
        self.lease_holder.suspensions()
    }

    /// The requests of stale holders that this member rejected.
    pub fn fencing_stats(&self) -> FencingStats {
        self.register.fencing_stats()
    }

    /// All tasks as the leader sees them; `None` if this member does not lead.
    pub fn task_statuses(&self) -> Option<Vec<TaskStatus>> {
        self.lease_manager.as_ref().map(|manager| manager.statuses().collect())
    }

    /// Handles a change of the voters, the leader, or this member's lease as leader.
    pub fn election_changed(&mut self, now: Duration, election: ElectionState) {
        self.context.now = now;
        self.context.members = election.members;
        self.leader_lease_expires_at = election.lease_expires_at;
        let own_id = self.context.own_id;
        let is_own = |leader: &Leader| leader.id == own_id && now < election.lease_expires_at;
        let led_term = election.leader.filter(is_own).map(|leader| leader.term);
        if led_term != self.lease_manager.as_ref().map(LeaseManager::term) {
            self.start_lease_manager(led_term.filter(|term| *term > self.last_led_term));
        }
        let leader = election.leader.filter(|_| self.context.is_member());
        self.lease_holder.follow(now, leader);
        self.run_to_completion();
    }

    fn start_lease_manager(&mut self, term: Option<u64>) {
        let TaskManagerConfig { parameters, task_set, .. } = self.config;
        let now = self.context.now;
        self.lease_manager =
            term.map(|term| LeaseManager::new(now, term, parameters, task_set.digest, task_set.count));
        self.last_led_term = term.unwrap_or(self.last_led_term);
    }

    /// Handles the passing of [`TaskManager::next_deadline`].
    pub fn timer_fired(&mut self, now: Duration) {
        self.context.now = now;
        self.lease_holder.timer_fired(&mut self.context);
        // An expired lease is not renewed: this member never answers as leader of that term again.
        self.lease_manager = self.lease_manager.take().filter(|_| now < self.leader_lease_expires_at);
        if let Some(manager) = self.lease_manager.as_mut().filter(|manager| now >= manager.next_deadline()) {
            manager.timer_fired(&mut self.context);
        }
        self.run_to_completion();
        if self.context.is_member() {
            self.register.request_copies(&mut self.context);
        }
        for journal in self.journals.values_mut() {
            if journal.retry_at().is_some_and(|at| at <= now) {
                journal.send_requests(&mut self.context);
            }
        }
        self.run_to_completion();
    }

    /// Handles that all register entries up to this revision are durable.
    pub fn persisted(&mut self, now: Duration, revision: u64) {
        self.context.now = now;
        self.register.persisted(&mut self.context, revision);
        self.run_to_completion();
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now: Duration, from: MemberId, message: Message) {
        self.context.now = now;
        self.dispatch(from, message);
        self.run_to_completion();
    }

    /// Asks all members what they counted in the ledger's open periods; the host is told the answers.
    pub fn request_counts(&mut self, now: Duration, ledger: &Ledger) {
        self.context.now = now;
        let (from, to) = ledger.open_periods();
        for id in self.context.members.clone() {
            self.context.send(id, Message::CountRequest { from, to });
        }
        self.run_to_completion();
    }

    /// Moves a task to another member.
    ///
    /// # Errors
    ///
    /// [`TaskError::NotLeader`], [`TaskError::UnknownMember`] or [`TaskError::Suspended`].
    ///
    /// # Panics
    ///
    /// If there is no such task.
    pub fn move_task(&mut self, now: Duration, task: TaskId, to: MemberId) -> Result<(), TaskError> {
        self.request(now, |manager, context| manager.move_task(context, task, to))
    }

    /// Suspends a task for a while: nobody holds it.
    ///
    /// # Errors
    ///
    /// [`TaskError::NotLeader`] or [`TaskError::SuspensionTooLong`].
    ///
    /// # Panics
    ///
    /// If there is no such task.
    pub fn suspend(&mut self, now: Duration, task: TaskId, span: Duration) -> Result<(), TaskError> {
        self.request(now, |manager, context| manager.suspend(context, task, span))
    }

    /// Ends the suspension of a task, and the preference for a certain member.
    ///
    /// # Errors
    ///
    /// [`TaskError::NotLeader`] or [`TaskError::NothingToRelease`].
    ///
    /// # Panics
    ///
    /// If there is no such task.
    pub fn release(&mut self, now: Duration, task: TaskId) -> Result<(), TaskError> {
        self.request(now, |manager, context| manager.release(context, task))
    }

    fn request(
        &mut self,
        now: Duration,
        change: impl FnOnce(&mut LeaseManager, &mut Context<H>) -> Result<(), TaskError>,
    ) -> Result<(), TaskError> {
        self.context.now = now;
        let manager = self.lease_manager.as_mut().filter(|_| now < self.leader_lease_expires_at);
        let done = change(manager.ok_or(TaskError::NotLeader)?, &mut self.context);
        self.run_to_completion();
        done
    }
}
