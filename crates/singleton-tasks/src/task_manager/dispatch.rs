//! The dispatch of messages to the parts of the task manager.

use super::TaskManager;
use crate::election::Leader;
use crate::host::{Host, TaskEvent};
use crate::journal::TaskJournal;
use crate::message::Message;
use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;

impl<H: Host> TaskManager<H> {
    pub(super) fn dispatch(&mut self, from: MemberId, message: Message) {
        match message.restricted_to(self.config.task_set.count) {
            Some(
                message @ (Message::RenewRequest(_)
                | Message::RenewResponse(_)
                | Message::Grants(_)
                | Message::ForeignTaskSet { .. }),
            ) => self.dispatch_lease_message(from, message),
            Some(message @ (Message::CountRequest { .. } | Message::CountResponse { .. })) => {
                self.dispatch_count_message(from, message);
            }
            Some(message) => self.dispatch_journal_message(from, message),
            None => {}
        }
    }

    fn dispatch_lease_message(&mut self, from: MemberId, message: Message) {
        let context = &mut self.context;
        match message {
            Message::RenewRequest(request) => {
                let may_answer = context.now < self.leader_lease_expires_at;
                if let Some(manager) = self.lease_manager.as_mut().filter(|_| may_answer) {
                    manager.receive_renewal(context, from, request);
                }
            }
            Message::RenewResponse(response) => {
                let leader = Leader { term: response.term, id: from };
                self.lease_holder.receive_renewal(context, leader, response);
            }
            Message::Grants(grants) => {
                let leader = Leader { term: grants.term, id: from };
                self.lease_holder.receive_grants(context, leader, grants);
            }
            Message::ForeignTaskSet { .. } => context.host.log(TaskEvent::RejectedByLeader),
            _ => {}
        }
    }

    fn dispatch_journal_message(&mut self, from: MemberId, message: Message) {
        let context = &mut self.context;
        match message {
            Message::OpenRequest { task, token } => {
                self.register.receive_open_request(context, from, task, token);
            }
            Message::WriteRequest { task, record } => {
                self.register.receive_write_request(context, from, task, record);
            }
            Message::OpenResponse { task, token, record } => {
                if let Some(journal) = self.journals.get_mut(&task).filter(|j| j.token() == token) {
                    journal.receive_open_response(context, from, record);
                }
            }
            Message::WriteResponse { task, token, step, completed } => {
                self.receive_write_response(from, task, token, (step, completed));
            }
            Message::Fenced { task, token, highest_token } => {
                self.lease_holder.fenced(context, task, token, highest_token);
            }
            Message::CopyRequest { from: first } => {
                self.register.receive_copy_request(context, from, first);
            }
            Message::CopyResponse { from: first, entries, next } => {
                self.register.receive_copy_response(context, from, first, entries, next);
            }
            _ => {}
        }
    }

    fn receive_write_response(
        &mut self,
        from: MemberId,
        task: TaskId,
        token: FencingToken,
        (step, completed): (u64, bool),
    ) {
        let context = &mut self.context;
        let Some(journal) = self.journals.get_mut(&task).filter(|j| j.token() == token) else { return };
        journal.receive_write_response(context, from, step, completed);
        if !journal.is_idle() {
            return;
        }
        // A revoked task must not be released before its last step is completed.
        if journal.last().is_some_and(|last| !last.completed) {
            self.lease_holder.step_began(task);
        } else {
            self.lease_holder.step_completed(context, task);
        }
    }

    fn dispatch_count_message(&mut self, from: MemberId, message: Message) {
        match message {
            Message::CountRequest { from: first, to } => {
                let periods = self.tally.between(first, to);
                self.context.send(from, Message::CountResponse { periods });
            }
            Message::CountResponse { periods } => self.context.host.counts_received(from, periods),
            _ => {}
        }
    }

    /// Handles this member's messages to itself, and opens and closes journals as leases are acquired and lost.
    pub(super) fn run_to_completion(&mut self) {
        loop {
            while let Some(message) = self.context.next_own_message() {
                self.dispatch(self.context.own_id, message);
            }
            let active = self.lease_holder.active();
            self.journals.retain(|task, journal| active.get(task) == Some(&journal.token()));
            let unopened = active.iter().find(|(task, _)| !self.journals.contains_key(*task));
            if let Some((task, token)) = unopened.map(|(task, token)| (*task, *token)) {
                self.journals.insert(task, TaskJournal::open(&mut self.context, task, token));
            } else if !self.context.has_own_messages() {
                return;
            }
        }
    }
}
