//! Messages of members that are configured with other tasks.

use crate::cluster::{S, TestHost, config};
use grebespool_singleton_tasks::*;
use rstest::rstest;

const FOREIGN_TASK_SET: u64 = 8;

/// A member whose settings name other tasks sends messages. This member stores nothing about tasks that have no name here,
/// and grants that member no tasks.
#[rstest]
fn ignores_messages_about_unknown_tasks() {
    let host = TestHost::default();
    let stored = StoredTasks { is_copied: true, ..StoredTasks::default() };
    let mut tasks = TaskManager::new(host.clone(), config(1, 2, 1), stored);
    let leader = Some(Leader { term: 3, id: 1 });
    tasks.election_changed(S(1), ElectionState { members: vec![1, 2], leader, lease_expires_at: S(60) });
    let token = FencingToken { term: 3, number: 1 };
    let record = StepRecord { token, step: 1, completed: false, content: vec![] };
    for message in [
        Message::OpenRequest { task: 2, token },
        Message::WriteRequest { task: 9, record },
        Message::Fenced { task: 2, token, highest_token: token },
        Message::RenewRequest(RenewRequest {
            term: 3,
            incarnation: 1,
            number: 1,
            version: 0,
            task_set: FOREIGN_TASK_SET,
            busy: vec![],
            claims: None,
        }),
    ] {
        tasks.receive(S(2), 2, message);
    }
    assert!(host.0.borrow().writes.is_empty());
    let sent = &host.0.borrow().messages;
    assert!(
        sent.iter().all(|(_, message)| matches!(message, Message::ForeignTaskSet { term: 3 })),
        "{sent:?}"
    );
    assert_eq!(sent.len(), 1);
}
