//! Commands for singleton tasks.

use crate::core::Core;
use crate::request::{Response, TaskOrder};
use crate::task_host::{TaskHost, TaskRecorder};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{FencingStats, StaleHolder, TaskError, TaskId, TaskManager, TaskStatus};
use std::time::Duration;
use thiserror::Error;

/// Reasons why an order is not executed.
#[derive(Debug, Error)]
enum OrderError {
    #[error("no member {0:?}")]
    UnknownMember(String),
    #[error("no member {0:?} that renews its duties")]
    MemberWithoutLease(String),
    #[error(transparent)]
    Rejected(TaskError),
}

/// Returns the lease holder of each task, and the messages of stale holders that were rejected.
pub(super) fn show(core: &Core) -> Response {
    let Some(host) = &core.tasks else { return not_configured() };
    let (now, tasks) = (core.now(), host.tasks.borrow());
    let Some(all) = tasks.task_statuses() else {
        return Response::Rejected("this member does not lead".into());
    };
    let FencingStats { last, rejected } = tasks.fencing_stats();
    let count = format!("words of former owners refused here since the start: {rejected}");
    let mut lines: Vec<String> = all.iter().map(|task| task_line(core, host, now, task)).collect();
    lines.extend(last.map(|stale| stale_holder_line(core, host, now, &stale)));
    lines.push(count);
    Response::Lines(lines)
}

fn task_line(core: &Core, host: &TaskHost, now: Duration, task: &TaskStatus) -> String {
    let owner = task.holder.map_or("nobody".into(), |id| core.member_name(id));
    let span = now.saturating_sub(task.since).as_secs_f64();
    let mut line = format!("{}: {owner} for {span:.1} s, token {}", host.name(task.task), task.token);
    if let Some(from) = task.releasing {
        line += &format!(", being handed over by {}", core.member_name(from));
    }
    if let Some(until) = task.suspended_until {
        line += &format!(", rests for {:.0} s more", until.saturating_sub(now).as_secs_f64());
    }
    if let Some(preferred) = task.preferred {
        line += &format!(", wanted at {}", core.member_name(preferred));
    }
    line
}

fn stale_holder_line(core: &Core, host: &TaskHost, now: Duration, stale: &StaleHolder) -> String {
    let ago = now.saturating_sub(stale.at).as_secs_f64();
    let (task, from) = (host.name(stale.task), core.member_name(stale.from));
    format!(
        "last refused here: {from} for {task} by token {}, after {} ({ago:.1} s ago)",
        stale.token, stale.highest_token
    )
}

/// Executes an order on the task with this name.
pub(super) fn order(core: &Core, name: &str, order: &TaskOrder) -> Response {
    let Some(host) = &core.tasks else { return not_configured() };
    let Some(task) = host.find(name) else {
        let known = host.names().join(", ");
        return Response::Rejected(format!("no duty {name:?}; there are {known}"));
    };
    match core.call_tasks(|tasks, now| execute(core, tasks, now, task, order)) {
        Some(Ok(())) => Response::Done(done_text(name, order)),
        Some(Err(error)) => Response::Rejected(error.to_string()),
        None => Response::Rejected("no work is shared out".into()),
    }
}

fn execute(
    core: &Core,
    tasks: &mut TaskManager<TaskRecorder>,
    now: Duration,
    task: TaskId,
    order: &TaskOrder,
) -> Result<(), OrderError> {
    match order {
        TaskOrder::Move(to) => {
            let id = find_member(core, to).ok_or_else(|| OrderError::UnknownMember(to.clone()))?;
            tasks.move_task(now, task, id).map_err(|error| match error {
                TaskError::UnknownMember => OrderError::MemberWithoutLease(to.clone()),
                error => OrderError::Rejected(error),
            })
        }
        TaskOrder::Suspend(milliseconds) => {
            let span = Duration::from_millis(*milliseconds);
            tasks.suspend(now, task, span).map_err(OrderError::Rejected)
        }
        TaskOrder::Release => tasks.release(now, task).map_err(OrderError::Rejected),
    }
}

fn find_member(core: &Core, name: &str) -> Option<MemberId> {
    let election = core.election.borrow();
    let mut voters = election.hard_state().membership.voters.iter();
    voters.find(|(_, voter)| voter.name == name).map(|(id, _)| *id)
}

fn done_text(name: &str, order: &TaskOrder) -> String {
    match order {
        TaskOrder::Move(to) => format!("{name} goes to {to}"),
        TaskOrder::Suspend(milliseconds) => {
            format!("{name} rests for {:.0} s", *milliseconds as f64 / 1000.0)
        }
        TaskOrder::Release => format!("{name} is released"),
    }
}

fn not_configured() -> Response {
    Response::Rejected("no work is shared out: members.duties is not set".into())
}
