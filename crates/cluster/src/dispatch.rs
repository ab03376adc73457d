//! Calls of the three state machines, and execution of the requests that each call makes. A call of one state machine may
//! lead to calls of the others.
//!
//! The election determines the members for the tasks and the configuration. The owner of the task `editions` coordinates the
//! configuration, and the journal of that task is the journal of the configuration.

use crate::configuration_host::{
    ConfigurationHost, ConfigurationRecorder, ConfigurationRequests, JournalWrite,
};
use crate::core::Core;
use crate::election_host::{ElectionHost, Role};
use crate::task_host::{
    CountReport, DurableStep, EntryRequest, OwnershipChange, TaskHost, TaskRecorder, TaskRequests, write_step,
};
use crate::transport::Packet;
use crate::writer::EntryWrite;
use grebespool_config_consensus::ConsensusNode;
use grebespool_leader_election::{Member as Election, MemberId};
use grebespool_singleton_tasks::{ElectionState, FencingToken, Leader, TaskId, TaskManager};
use std::time::Duration;
use tracing::info;

impl Core {
    /// Calls the election at the current time, and executes its requests.
    pub(crate) fn call_election<T>(
        &self,
        call: impl FnOnce(&mut Election<ElectionHost>, Duration) -> T,
    ) -> T {
        let (returned, outbox, elected) = {
            let mut election = self.election.borrow_mut();
            let returned = call(&mut election, self.now());
            self.endpoint.set_stamp(election.hard_state().revision);
            let host = election.host();
            (returned, std::mem::take(&mut host.outbox), host.elected.take())
        };
        self.update_links();
        for (to, message) in outbox {
            if let Some(link) = self.links.borrow().get(&to) {
                link.election.push(Packet::Election(message));
            }
        }
        if let Some(term) = elected {
            self.start_leading(term);
        }
        self.election_timer.notify_one();
        self.update_voters();
        returned
    }

    fn start_leading(&self, term: u64) {
        let snapshot = self.aged_snapshot();
        let order = snapshot.as_ref().map(|snapshot| snapshot.order());
        info!(term, snapshot = ?order, "starting to lead");
        self.election.borrow_mut().host().role.send_replace(Role::Leader { term, snapshot });
    }

    /// Notifies the tasks of the members and the leader, and the configuration of the members.
    pub(crate) fn update_voters(&self) {
        let election = {
            let member = self.election.borrow();
            ElectionState {
                members: member.hard_state().membership.voters.keys().copied().collect(),
                leader: member.leader().map(|id| Leader { term: member.term(), id }),
                lease_expires_at: member.lease_expires_at(),
            }
        };
        let configuration_voters = election.members.clone();
        self.call_tasks(|tasks, now| tasks.election_changed(now, election));
        self.call_configuration(|node, now| node.set_voters(now, configuration_voters));
    }

    /// Calls the tasks at the current time, and executes their requests. Returns `None` if there are no tasks.
    pub(crate) fn call_tasks<T>(
        &self,
        call: impl FnOnce(&mut TaskManager<TaskRecorder>, Duration) -> T,
    ) -> Option<T> {
        let host = self.tasks.as_ref()?;
        let (returned, requests) = {
            let mut tasks = host.tasks.borrow_mut();
            let returned = call(&mut tasks, self.now());
            (returned, std::mem::take(&mut tasks.host().requests))
        };
        self.execute_task_requests(host, requests);
        Some(returned)
    }

    /// Writes a step of a task's journal. Returns true if the step was started, and `None` if there are no tasks.
    pub(crate) fn write_task_step(
        &self,
        task: TaskId,
        write: impl FnOnce(&mut TaskManager<TaskRecorder>, Duration) -> bool,
    ) -> Option<bool> {
        self.call_tasks(|tasks, now| write_step(tasks, task, |tasks| write(tasks, now)))
    }

    fn execute_task_requests(&self, host: &TaskHost, requests: TaskRequests) {
        let TaskRequests { outbox, writes, complete, reports, changes, durable } = requests;
        changes.iter().for_each(|change| log_ownership(host, change));
        self.write_entries(host, writes, complete);
        for (to, message) in outbox {
            self.send_task_packet(to, Packet::Task(message));
        }
        // Notified only on progress: the waiting work calls the tasks too, and would otherwise wake itself without end.
        if !durable.is_empty() || !reports.is_empty() {
            host.progress.notify_one();
        }
        for CountReport { member, periods } in reports {
            host.counts.borrow_mut().insert(member, periods.into_iter().collect());
        }
        host.timer.notify_one();
        let Some(task) = host.configuration_task() else { return };
        if changes.iter().any(|change| change.task == task && change.loss_reason.is_some()) {
            self.call_configuration(|node, now| node.stop_coordinating(now));
        }
        for step in durable.into_iter().filter(|step| step.task == task) {
            self.continue_configuration(step);
        }
    }

    /// Notifies the configuration of a durable step of its journal.
    fn continue_configuration(&self, step: DurableStep) {
        let DurableStep { token, record, first, .. } = step;
        self.call_configuration(|node, now| match record {
            last if first => node.start_coordinating(now, token, last.as_ref()),
            Some(record) if record.completed => node.journal_step_finished(now, token),
            _ => node.journal_durable(now, token),
        });
    }

    fn write_entries(&self, host: &TaskHost, writes: Vec<EntryRequest>, complete: bool) {
        if writes.is_empty() && !complete {
            return;
        }
        let named =
            |EntryRequest { task, entry, stamp }| EntryWrite { name: host.name(task).into(), entry, stamp };
        let writes = writes.into_iter().map(named).collect();
        self.election.borrow_mut().host().disk.write_entries(writes, complete);
    }

    fn send_task_packet(&self, to: MemberId, packet: Packet) {
        if let Some(link) = self.links.borrow().get(&to) {
            link.tasks.push(packet);
        }
    }

    /// Calls the configuration at the current time, and executes its requests. Returns `None` if there is no shared
    /// configuration.
    pub(crate) fn call_configuration<T>(
        &self,
        call: impl FnOnce(&mut ConsensusNode<ConfigurationRecorder>, Duration) -> T,
    ) -> Option<T> {
        let (host, tasks) = (self.configuration.as_ref()?, self.tasks.as_ref()?);
        let task = tasks.configuration_task()?;
        let (returned, requests) = {
            let mut node = host.node.borrow_mut();
            let now = self.now();
            node.set_journal_token(tasks.token(now, task));
            let returned = call(&mut node, now);
            (returned, std::mem::take(&mut node.host().0))
        };
        self.execute_configuration_requests(host, task, requests);
        Some(returned)
    }

    fn execute_configuration_requests(
        &self,
        host: &ConfigurationHost,
        task: TaskId,
        requests: ConfigurationRequests,
    ) {
        if let Some((state, stamp)) = requests.persist {
            self.election.borrow_mut().host().disk.write_versions(state, stamp);
        }
        for (to, message) in requests.outbox {
            self.send_task_packet(to, Packet::Configuration(message));
        }
        for (id, outcome) in requests.decided {
            if let Some(sender) = host.outcome_senders.borrow_mut().remove(&id) {
                // The operator may no longer wait for the outcome.
                let _ = sender.send(outcome);
            }
        }
        if let Some(JournalWrite { token, content }) = requests.journal_write {
            self.write_configuration_step(task, token, content);
        }
        if requests.finish_journal_step {
            self.write_task_step(task, |tasks, now| tasks.complete_step(now, task));
        }
        host.timer.notify_one();
    }

    fn write_configuration_step(&self, task: TaskId, token: FencingToken, content: Vec<u8>) {
        let written = self.write_task_step(task, |tasks, now| tasks.begin_step(now, task, content));
        if written != Some(true) {
            self.call_configuration(|node, now| node.journal_write_rejected(now, token));
        }
    }
}

fn log_ownership(host: &TaskHost, change: &OwnershipChange) {
    let OwnershipChange { task, token, loss_reason } = change;
    let task = host.name(*task);
    match loss_reason {
        None => info!(task, %token, "acquiring the lease of a singleton task"),
        Some(why) => info!(task, %token, %why, "losing the lease of a singleton task"),
    }
}
