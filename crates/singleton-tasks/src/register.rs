//! One member's register: the part of every task's journal that the member stores, and the copying of entries to a member
//! that was added.

use crate::context::Context;
use crate::host::Host;
use crate::message::Message;
use crate::record::{MAX_STEP_BYTES, RegisterEntry, StepRecord, is_newer};
use crate::status::{FencingStats, StaleHolder};
use crate::token::{FencingToken, TaskId};
use grebespool_leader_election::{DurableOutbox, MemberId};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum size of the entries in one copy response, in bytes: well below the size of a frame between members.
const MAX_COPY_BYTES: usize = 128 << 10;
/// The size of an entry apart from its content, in bytes, as counted for [`MAX_COPY_BYTES`].
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// The progress of copying another member's entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyProgress {
    /// The entries from this task on are missing.
    From(TaskId),
    Complete,
}

/// A member's register entries.
#[derive(Debug, Clone)]
pub(crate) struct Register {
    entries: BTreeMap<TaskId, RegisterEntry>,
    /// False on a member that was added until it has copied the entries of most other members. Until then it answers no
    /// request: without entries it could form a quorum with members that lack a record which a quorum of the former members
    /// had.
    has_initial_copy: bool,
    copies: BTreeMap<MemberId, CopyProgress>,
    copy_retry_at: Duration,
    revision: u64,
    outbox: DurableOutbox<Message>,
    fencing: FencingStats,
}

impl Register {
    pub(crate) fn new(entries: BTreeMap<TaskId, RegisterEntry>, has_initial_copy: bool) -> Register {
        Register {
            entries,
            has_initial_copy,
            copies: BTreeMap::new(),
            copy_retry_at: Duration::ZERO,
            revision: 0,
            outbox: DurableOutbox::new(0),
            fencing: FencingStats::default(),
        }
    }

    pub(crate) fn fencing_stats(&self) -> FencingStats {
        self.fencing
    }

    fn persist(&mut self, context: &mut Context<impl Host>, task: TaskId) {
        self.revision += 1;
        context.host.persist(task, &self.entries[&task], self.revision);
    }

    /// Sends the message once all writes requested before this call are durable, so that a crash cannot undo what the
    /// message promises.
    fn send_when_durable(&mut self, context: &mut Context<impl Host>, to: MemberId, message: Message) {
        if let Some(message) = self.outbox.push(self.revision, to, message) {
            context.send(to, message);
        }
    }

    pub(crate) fn persisted(&mut self, context: &mut Context<impl Host>, revision: u64) {
        for (to, message) in self.outbox.persisted(revision) {
            context.send(to, message);
        }
    }

    /// Rejects the request if its token is lower than the highest one seen. Returns true if the request was rejected.
    fn reject_stale(
        &mut self,
        context: &mut Context<impl Host>,
        from: MemberId,
        task: TaskId,
        token: FencingToken,
    ) -> bool {
        let highest_token = self.entries.get(&task).map_or(FencingToken::default(), |e| e.highest_token);
        if token >= highest_token {
            return false;
        }
        self.fencing.rejected += 1;
        self.fencing.last = Some(StaleHolder { task, from, token, highest_token, at: context.now });
        context.send(from, Message::Fenced { task, token, highest_token });
        true
    }

    pub(crate) fn receive_open_request(
        &mut self,
        context: &mut Context<impl Host>,
        from: MemberId,
        task: TaskId,
        token: FencingToken,
    ) {
        if !self.has_initial_copy || self.reject_stale(context, from, task, token) {
            return;
        }
        let entry = self.entries.entry(task).or_default();
        let record = entry.record.clone();
        if entry.highest_token < token {
            entry.highest_token = token;
            self.persist(context, task);
        }
        self.send_when_durable(context, from, Message::OpenResponse { task, token, record });
    }

    pub(crate) fn receive_write_request(
        &mut self,
        context: &mut Context<impl Host>,
        from: MemberId,
        task: TaskId,
        record: StepRecord,
    ) {
        let (token, step, completed) = record.order();
        let is_too_large = record.content.len() > MAX_STEP_BYTES;
        if !self.has_initial_copy || self.reject_stale(context, from, task, token) || is_too_large {
            return;
        }
        let entry = self.entries.entry(task).or_default();
        entry.highest_token = token;
        if is_newer(Some(&record), entry.record.as_ref()) {
            entry.record = Some(record);
            self.persist(context, task);
        }
        self.send_when_durable(context, from, Message::WriteResponse { task, token, step, completed });
    }

    /// Returns the time at which copies must be requested again; `None` if no copies are needed.
    pub(crate) fn copy_retry_at(&self, is_member: bool) -> Option<Duration> {
        (!self.has_initial_copy && is_member).then_some(self.copy_retry_at)
    }

    fn copy_progress(&self, from: MemberId) -> CopyProgress {
        self.copies.get(&from).copied().unwrap_or(CopyProgress::From(0))
    }

    pub(crate) fn request_copies(&mut self, context: &mut Context<impl Host>) {
        if self.has_initial_copy || context.now < self.copy_retry_at {
            return;
        }
        self.copy_retry_at = context.now + context.retry_interval;
        for id in context.peers() {
            if let CopyProgress::From(from) = self.copy_progress(id) {
                context.send(id, Message::CopyRequest { from });
            }
        }
        self.check_copied(context);
    }

    pub(crate) fn receive_copy_request(&self, context: &mut Context<impl Host>, to: MemberId, from: TaskId) {
        // A member that has not copied the others' entries itself may lack records.
        if !self.has_initial_copy {
            return;
        }
        let (mut entries, mut bytes, mut next) = (vec![], 0, None);
        for (task, entry) in self.entries.range(from..) {
            bytes += ENTRY_OVERHEAD_BYTES + entry.record.as_ref().map_or(0, |record| record.content.len());
            if bytes > MAX_COPY_BYTES && !entries.is_empty() {
                next = Some(*task);
                break;
            }
            entries.push((*task, entry.clone()));
        }
        context.send(to, Message::CopyResponse { from, entries, next });
    }

    pub(crate) fn receive_copy_response(
        &mut self,
        context: &mut Context<impl Host>,
        sender: MemberId,
        from: TaskId,
        entries: Vec<(TaskId, RegisterEntry)>,
        next: Option<TaskId>,
    ) {
        if self.has_initial_copy || self.copy_progress(sender) != CopyProgress::From(from) {
            return;
        }
        for (task, entry) in entries {
            self.entries.entry(task).or_default().merge(entry);
            self.persist(context, task);
        }
        self.copies.insert(sender, next.map_or(CopyProgress::Complete, CopyProgress::From));
        if let Some(from) = next {
            context.send(sender, Message::CopyRequest { from });
        }
        self.check_copied(context);
    }

    /// Ends the copying once the entries of more than half of the other members are complete.
    fn check_copied(&mut self, context: &mut Context<impl Host>) {
        let peers = context.peers();
        let is_complete = |id: &&MemberId| self.copies.get(id) == Some(&CopyProgress::Complete);
        if peers.iter().filter(is_complete).count() * 2 > peers.len() {
            self.has_initial_copy = true;
            self.copies.clear();
            context.host.copy_completed();
        }
    }
}
