//! The singleton tasks of one member: the leases that the member holds, the leases that it grants while it leads, and its
//! part of the journals.

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

/// The singleton tasks of one member. All times are by the member's own clock.
#[derive(Debug)]
pub struct TaskManager<H> {
    context: Context<H>,
    config: TaskManagerConfig,
    lease_holder: LeaseHolder,
    /// Set while this member leads.
    lease_manager: Option<LeaseManager>,
    /// The time at which this member's lease as leader expires; it must answer no renewal after that time.
    leader_lease_expires_at: Duration,
    /// The newest term in which this member led. It does not lead in that term again, so that the term's tokens are
    /// numbered only once.
    last_led_term: u64,
    register: Register,
    /// The journals of the tasks that this member holds.
    journals: BTreeMap<TaskId, TaskJournal>,
    tally: Tally,
}

impl<H: Host> TaskManager<H> {
    /// Creates a task manager from the state that was found on disk.
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

    /// Returns the host.
    pub fn host(&mut self) -> &mut H {
        &mut self.context.host
    }

    /// Returns the traffic counts of this member.
    pub fn tally(&mut self) -> &mut Tally {
        &mut self.tally
    }

    /// Returns the time at which [`TaskManager::timer_fired`] must be called next.
    pub fn next_deadline(&self) -> Duration {
        let lease_manager = self.lease_manager.as_ref();
        let leader = lease_manager.map(|manager| manager.next_deadline().min(self.leader_lease_expires_at));
        let copies = self.register.copy_retry_at(self.context.is_member());
        let others = [leader, self.lease_holder.next_deadline(), copies];
        let journals = self.journals.values().filter_map(TaskJournal::retry_at);
        others.into_iter().flatten().chain(journals).min().unwrap_or(Duration::MAX)
    }

    /// Returns the token by which this member may act on a task at this moment; `None` if it may not. `now` must be read
    /// right before the effect.
    pub fn current_token(&self, now: Duration, task: TaskId) -> Option<FencingToken> {
        self.lease_holder.current_token(now, task)
    }

    /// Returns the suspended tasks that this member knows of, and the time at which each suspension ends.
    pub fn suspensions(&self) -> impl Iterator<Item = (TaskId, Duration)> {
        self.lease_holder.suspensions()
    }

    /// Returns statistics on the requests of stale holders that this member rejected.
    pub fn fencing_stats(&self) -> FencingStats {
        self.register.fencing_stats()
    }

    /// Returns the state of all tasks; `None` if this member does not lead.
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

    /// Handles the expiry of [`TaskManager::next_deadline`].
    pub fn timer_fired(&mut self, now: Duration) {
        self.context.now = now;
        self.lease_holder.timer_fired(&mut self.context);
        // The lease as leader is not renewed after its expiry, so this member never answers as leader of that term again.
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

    /// Handles the completion of the writes of register entries up to this revision, which are now durable.
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

    /// Requests the counts of all members for the ledger's open periods. Each answer is passed to
    /// [`Host::counts_received`].
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
    /// Returns [`TaskError::NotLeader`] if this member does not lead, [`TaskError::UnknownMember`] if the target member does
    /// not renew leases, and [`TaskError::Suspended`] if the task is suspended.
    ///
    /// # Panics
    ///
    /// Panics if the task does not exist.
    pub fn move_task(&mut self, now: Duration, task: TaskId, to: MemberId) -> Result<(), TaskError> {
        self.request(now, |manager, context| manager.move_task(context, task, to))
    }

    /// Suspends a task for `span`, during which no member holds the task.
    ///
    /// # Errors
    ///
    /// Returns [`TaskError::NotLeader`] if this member does not lead, and [`TaskError::SuspensionTooLong`] if `span` exceeds
    /// [`MAX_SUSPENSION`](crate::MAX_SUSPENSION).
    ///
    /// # Panics
    ///
    /// Panics if the task does not exist.
    pub fn suspend(&mut self, now: Duration, task: TaskId, span: Duration) -> Result<(), TaskError> {
        self.request(now, |manager, context| manager.suspend(context, task, span))
    }

    /// Ends the suspension of a task and the preference for the member to which the task was moved.
    ///
    /// # Errors
    ///
    /// Returns [`TaskError::NotLeader`] if this member does not lead, and [`TaskError::NothingToRelease`] if the task is
    /// neither suspended nor moved.
    ///
    /// # Panics
    ///
    /// Panics if the task does not exist.
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
        let result = change(manager.ok_or(TaskError::NotLeader)?, &mut self.context);
        self.run_to_completion();
        result
    }
}
