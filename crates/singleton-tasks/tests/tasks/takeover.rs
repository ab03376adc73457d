//! Tasks are distributed evenly, and another member continues after a fault.

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
    let (tasks_by_holder, done) = (cluster.tasks_by_holder(), cluster.applied_steps());
    assert_eq!(tasks_by_holder.len(), members as usize, "{tasks_by_holder:?}");
    assert!(
        tasks_by_holder
            .values()
            .all(|n| *n >= 10 / members as usize && *n <= 10usize.div_ceil(members as usize))
    );
    assert!(done.iter().all(|n| *n > 50), "{done:?}");
}

type Fault = fn(&mut Cluster, MemberId);

#[rstest]
#[case::killed(|w: &mut Cluster, id: MemberId| w.crash(id))]
#[case::stopped(|w: &mut Cluster, id: MemberId| w.set_paused(id, true))]
#[case::partition(|w: &mut Cluster, id: MemberId| w.partition(id, (true, true)))]
#[case::cannot_send(|w: &mut Cluster, id: MemberId| w.partition(id, (true, false)))]
#[case::cannot_receive(|w: &mut Cluster, id: MemberId| w.partition(id, (false, true)))]
fn another_member_continues_after_a_fault_of_the_holder(#[case] fault: Fault) {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, 4, seed, MissingGuard::None);
        cluster.run(S(8));
        let first = cluster.holder(0).expect("somebody has it");
        let others: BTreeMap<TaskId, Option<MemberId>> =
            (0..4).map(|d| (d, cluster.holder(d).filter(|id| *id != first))).collect();
        fault(&mut cluster, first);
        let mut waited = Duration::ZERO;
        while cluster.holder(0).is_none_or(|id| id == first) {
            cluster.run(MS(20));
            waited += MS(20);
            assert!(waited < S(8), "nobody has it after {waited:?} (seed {seed})");
        }
        // A takeover costs nothing: whoever had one keeps it.
        for (task, holder) in others.into_iter().filter(|o| o.1.is_some()) {
            assert_eq!(cluster.holder(task), holder, "seed {seed}");
        }
        cluster.heal();
        cluster.run(S(15));
        cluster.applied_steps();
        assert_eq!(cluster.tasks_by_holder().len(), 3, "it takes part again (seed {seed})");
    }
}
