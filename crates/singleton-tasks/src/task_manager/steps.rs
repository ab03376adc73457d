//! The steps of the tasks that this member holds.

use super::TaskManager;
use crate::host::Host;
use crate::record::{MAX_STEP_BYTES, StepRecord};
use crate::token::{FencingToken, TaskId};
use std::time::Duration;

impl<H: Host> TaskManager<H> {
    /// Begins the next step. Every holder that executes the step uses this content. Returns false, and does nothing, if the
    /// previous step is not completed, this member does not hold the task, or the content exceeds [`MAX_STEP_BYTES`].
    pub fn begin_step(&mut self, now: Duration, task: TaskId, content: Vec<u8>) -> bool {
        self.context.now = now;
        let Some(token) = self.current_token(now, task).filter(|_| content.len() <= MAX_STEP_BYTES) else {
            return false;
        };
        let Some(journal) = self.journals.get_mut(&task) else { return false };
        if journal.last().is_some_and(|last| !last.completed) {
            return false;
        }
        let step = journal.last().map_or(0, |last| last.step) + 1;
        let record = StepRecord { token, step, completed: false, content };
        let is_written = journal.write(&mut self.context, record);
        if is_written {
            self.lease_holder.step_began(task);
        }
        self.run_to_completion();
        is_written
    }

    /// Completes the step that was begun; to be called once the effect of the step has taken place. Returns false, and does
    /// nothing, if no step was begun or this member does not hold the task.
    pub fn complete_step(&mut self, now: Duration, task: TaskId) -> bool {
        self.context.now = now;
        let Some(token) = self.current_token(now, task) else { return false };
        let Some(journal) = self.journals.get_mut(&task) else { return false };
        let Some(begun) = journal.last().filter(|last| !last.completed).cloned() else { return false };
        let record = StepRecord { token, completed: true, ..begun };
        let is_written = journal.write(&mut self.context, record);
        self.run_to_completion();
        is_written
    }

    /// Handles a rejection by the target of a task's effects, which has seen a higher token. This member stops its work on
    /// the task.
    pub fn fenced(&mut self, now: Duration, task: TaskId, token: FencingToken, highest_token: FencingToken) {
        self.context.now = now;
        self.lease_holder.fenced(&mut self.context, task, token, highest_token);
        self.run_to_completion();
    }
}
