//! Tasks are distributed evenly, and after a fault of the holder another member continues.

use crate::cluster::{Cluster, MS, MissingGuard, S};
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::TaskId;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

#[rstest]
#[case::alone(1)]
#[case::three(3)]
#[case::five(5)]
fn distributes_tasks_evenly_and_makes_progress(#[case] members: u64) {
    let mut cluster = Cluster::new(members, 10, 3, MissingGuard::None);
    cluster.run(S(20));
    let (tasks_by_holder, steps) = (cluster.tasks_by_holder(), cluster.applied_steps());
    assert_eq!(tasks_by_holder.len(), members as usize, "{tasks_by_holder:?}");
    assert!(
        tasks_by_holder
            .values()
            .all(|n| *n >= 10 / members as usize && *n <= 10usize.div_ceil(members as usize))
    );
    assert!(steps.iter().all(|n| *n > 50), "{steps:?}");
}

type Fault = fn(&mut Cluster, MemberId);

#[rstest]
#[case::crashed(|cluster: &mut Cluster, id: MemberId| cluster.crash(id))]
#[case::paused(|cluster: &mut Cluster, id: MemberId| cluster.set_paused(id, true))]
#[case::partitioned(|cluster: &mut Cluster, id: MemberId| cluster.partition(id, (true, true)))]
#[case::cannot_send(|cluster: &mut Cluster, id: MemberId| cluster.partition(id, (true, false)))]
#[case::cannot_receive(|cluster: &mut Cluster, id: MemberId| cluster.partition(id, (false, true)))]
fn another_member_continues_after_a_fault_of_the_holder(#[case] fault: Fault) {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, 4, seed, MissingGuard::None);
        cluster.run(S(8));
        let first = cluster.holder(0).expect("task 0 has a holder");
        let others: BTreeMap<TaskId, Option<MemberId>> =
            (0..4).map(|task| (task, cluster.holder(task).filter(|id| *id != first))).collect();
        fault(&mut cluster, first);
        let mut waited = Duration::ZERO;
        while cluster.holder(0).is_none_or(|id| id == first) {
            cluster.run(MS(20));
            waited += MS(20);
            assert!(waited < S(8), "task 0 has no new holder after {waited:?} (seed {seed})");
        }
        // The other members keep their tasks through the takeover.
        for (task, holder) in others.into_iter().filter(|(_, holder)| holder.is_some()) {
            assert_eq!(cluster.holder(task), holder, "seed {seed}");
        }
        cluster.heal();
        cluster.run(S(15));
        cluster.applied_steps();
        assert_eq!(cluster.tasks_by_holder().len(), 3, "the former holder gets tasks again (seed {seed})");
    }
}
