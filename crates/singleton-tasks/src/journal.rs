//! The journal of a task, as its holder writes it. All members store the journal, and a record is in force once a quorum
//! has stored it. Any two quorums intersect, so the next holder finds the step that a lost holder had begun.

use crate::context::Context;
use crate::host::Host;
use crate::message::Message;
use crate::record::{StepRecord, is_newer};
use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::MemberId;
use std::collections::BTreeSet;
use std::time::Duration;

#[derive(Debug, Clone)]
enum Phase {
    /// The holder asks for the newest record and waits for the answers of a quorum.
    Opening { newest: Option<StepRecord> },
    /// No request is in flight.
    Idle,
    /// The holder writes a record and waits for the answers of a quorum.
    Writing { record: StepRecord },
}

/// The journal of one task under one lease.
#[derive(Debug, Clone)]
pub(crate) struct TaskJournal {
    task: TaskId,
    token: FencingToken,
    phase: Phase,
    /// The members that have answered the request of this phase.
    answered: BTreeSet<MemberId>,
    last: Option<StepRecord>,
    /// True once the host has been notified that work may continue.
    is_ready: bool,
    retry_at: Duration,
}

impl TaskJournal {
    /// Opens the journal by asking all members for the newest record.
    pub(crate) fn open(context: &mut Context<impl Host>, task: TaskId, token: FencingToken) -> TaskJournal {
        let mut journal = TaskJournal {
            task,
            token,
            phase: Phase::Opening { newest: None },
            answered: BTreeSet::new(),
            last: None,
            is_ready: false,
            retry_at: context.now,
        };
        journal.send_requests(context);
        journal
    }

    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the time at which unanswered requests must be sent again; `None` if no request is in flight.
    pub(crate) fn retry_at(&self) -> Option<Duration> {
        (!self.is_idle()).then_some(self.retry_at)
    }

    /// Sends the request of this phase to the members that have not answered yet.
    pub(crate) fn send_requests(&mut self, context: &mut Context<impl Host>) {
        let request = match &self.phase {
            Phase::Opening { .. } => Message::OpenRequest { task: self.task, token: self.token },
            Phase::Writing { record } => Message::WriteRequest { task: self.task, record: record.clone() },
            Phase::Idle => return,
        };
        self.retry_at = context.now + context.retry_interval;
        for id in context.members.clone() {
            if !self.answered.contains(&id) {
                context.send(id, request.clone());
            }
        }
    }

    /// Writes a record. Returns false, and does nothing, if another request is in flight.
    pub(crate) fn write(&mut self, context: &mut Context<impl Host>, record: StepRecord) -> bool {
        if !self.is_idle() {
            return false;
        }
        self.start_writing(context, record);
        true
    }

    fn start_writing(&mut self, context: &mut Context<impl Host>, record: StepRecord) {
        self.phase = Phase::Writing { record };
        self.answered.clear();
        self.send_requests(context);
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Idle)
    }

    /// Returns the newest record that is durable on a quorum.
    pub(crate) fn last(&self) -> Option<&StepRecord> {
        self.last.as_ref()
    }

    pub(crate) fn receive_open_response(
        &mut self,
        context: &mut Context<impl Host>,
        from: MemberId,
        record: Option<StepRecord>,
    ) {
        let Phase::Opening { newest } = &mut self.phase else { return };
        if is_newer(record.as_ref(), newest.as_ref()) {
            *newest = record;
        }
        self.answered.insert(from);
        if !context.has_quorum(|id| self.answered.contains(id)) {
            return;
        }
        match newest.take() {
            // Only a minority may have stored the record. It must be durable on a quorum before work continues with it.
            Some(record) => self.start_writing(context, StepRecord { token: self.token, ..record }),
            None => {
                self.phase = Phase::Idle;
                self.is_ready = true;
                context.host.ready(self.task, self.token, None);
            }
        }
    }

    pub(crate) fn receive_write_response(
        &mut self,
        context: &mut Context<impl Host>,
        from: MemberId,
        step: u64,
        completed: bool,
    ) {
        let Phase::Writing { record } = &self.phase else { return };
        if (record.step, record.completed) != (step, completed) {
            return;
        }
        self.answered.insert(from);
        if !context.has_quorum(|id| self.answered.contains(id)) {
            return;
        }
        let Phase::Writing { record } = std::mem::replace(&mut self.phase, Phase::Idle) else { return };
        if std::mem::replace(&mut self.is_ready, true) {
            context.host.step_durable(self.task, self.token, &record);
        } else {
            context.host.ready(self.task, self.token, Some(&record));
        }
        self.last = Some(record);
    }
}
