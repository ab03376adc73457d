//! The even distribution of tasks over members.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::balance_tasks;
use rstest::rstest;

#[rstest]
#[case::ten(10)]
#[case::ten_thousand(10_000)]
fn loss_and_return_of_one_of_five_members_move_only_its_tasks(#[case] tasks: usize) {
    let holders: Vec<Option<MemberId>> =
        balance_tasks(&vec![None; tasks], &vec![None; tasks], &[1, 2, 3, 4, 5]);
    let after_loss = balance_tasks(&holders, &vec![None; tasks], &[1, 2, 4, 5]);
    let moved = holders.iter().zip(&after_loss).filter(|(a, b)| a != b).count();
    assert_eq!(moved, tasks / 5);
    let after_return = balance_tasks(&after_loss, &vec![None; tasks], &[1, 2, 3, 4, 5]);
    assert_eq!(after_loss.iter().zip(&after_return).filter(|(a, b)| a != b).count(), tasks / 5);
}

#[rstest]
fn follows_preferences_for_members_and_distributes_the_rest_evenly() {
    let mut preferred = vec![None; 9];
    (preferred[0], preferred[1]) = (Some(3), Some(9));
    let holders: Vec<Option<MemberId>> = (0..9).map(|task| Some(1 + task % 3)).collect();
    let next = balance_tasks(&holders, &preferred, &[1, 2, 3]);
    assert_eq!((next[0], next[1]), (Some(3), Some(2)), "a preference for a member that is absent is ignored");
    let count = |id| next.iter().filter(|n| **n == Some(id)).count();
    assert_eq!((count(1), count(2), count(3)), (3, 3, 3));
}
