//! Random schedules of faults: no term has two leaders, and no two members hold the lease at once.

use crate::cluster::{Cluster, S};
use rand::Rng;
use rstest::rstest;
use std::time::Duration;

/// Combines crashes, pauses, partitions, blocked links, message loss, duplication, reordering and slow disks at random.
#[rstest]
#[case::three(3, 150)]
#[case::five(5, 60)]
fn random_faults_never_give_a_term_two_leaders_or_two_lease_holders(
    #[case] members: u64,
    #[case] seeds: u64,
) {
    let (mut elections, mut steps_with_leader) = (0, 0);
    for seed in 0..seeds {
        let mut cluster = Cluster::new(members, 1000 + seed);
        for _ in 0..40 {
            let (id, other) = (cluster.rng.random_range(1..=members), cluster.rng.random_range(1..=members));
            // Half of the faults hit the leader.
            let id = cluster.leader().filter(|_| cluster.rng.random()).unwrap_or(id);
            match cluster.rng.random_range(0..16) {
                0 => cluster.crash(id),
                1 => cluster.set_paused(id, true),
                2 | 3 => {
                    cluster.set_paused(id, false);
                    if cluster.nodes[&id].member.is_none() {
                        cluster.boot(id);
                    }
                }
                4 => cluster.partition(id, (true, true)),
                5 => {
                    let directions = cluster.rng.random();
                    cluster.partition(id, directions);
                }
                6 => drop(cluster.blocked.insert((id, other))),
                7 => cluster.blocked.clear(),
                8 => (cluster.loss, cluster.duplication) = (cluster.rng.random_range(0.0..0.4), 0.2),
                9 => cluster.max_delay = Duration::from_millis(cluster.rng.random_range(5..1500)),
                10 => {
                    let slow = Duration::from_millis(cluster.rng.random_range(1..2000));
                    cluster.nodes.get_mut(&id).unwrap().disk_delay = slow;
                }
                11 => drop(cluster.call(id, |m, now| m.step_down(now))),
                _ => {
                    // Without frequent recovery, no member could lead most of the time.
                    cluster.heal();
                    cluster.run(S(2));
                }
            }
            let span = Duration::from_millis(cluster.rng.random_range(50..2500));
            cluster.run(span);
            steps_with_leader += usize::from(cluster.leader().is_some());
        }
        elections += cluster.elections;
        cluster.heal();
        cluster.run(S(12));
        assert_eq!(
            cluster.lease_holders().len(),
            1,
            "one member leads after all faults have ended (seed {seed})"
        );
    }
    // With fewer elections and leaders the schedules would test little.
    assert!(
        elections as u64 > 3 * seeds && steps_with_leader as u64 > 5 * seeds,
        "{elections} elections, {steps_with_leader} steps with a leader"
    );
}

/// Clocks jump ahead and run at 0.01 to 4 times the true rate. Two members may then hold the lease at once, but never in the
/// same term, so that the older leader is recognized by its term.
#[rstest]
fn clocks_beyond_the_drift_never_give_a_term_two_leaders() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(3, 5000 + seed);
        cluster.clocks_within_drift = false;
        for _ in 0..30 {
            let id = cluster.rng.random_range(1..=3);
            let (clock_rate, step) = (cluster.rng.random_range(0.01..4.0), cluster.rng.random_range(0..4000));
            let now = cluster.now;
            let node = cluster.nodes.get_mut(&id).unwrap();
            node.clock_base = (now, node.clock(now) + Duration::from_millis(step));
            node.clock_rate = clock_rate;
            cluster.run(Duration::from_millis(800));
        }
        for node in cluster.nodes.values_mut() {
            node.clock_base = (cluster.now, node.clock(cluster.now));
            node.clock_rate = 1.0;
        }
        cluster.run(S(20));
        assert_eq!(cluster.lease_holders().len(), 1);
    }
}
