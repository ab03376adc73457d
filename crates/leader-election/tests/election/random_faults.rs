//! Random schedules of faults: no term has two leaders, and no two members hold the lease at once.

use crate::cluster::{Cluster, S};
use rand::Rng;
use rstest::rstest;
use std::time::Duration;

/// Everything at once, at random: crashes, stops, cuts of every kind, loss, repeats, reordering, slow disks.
#[rstest]
#[case::three(3, 150)]
#[case::five(5, 60)]
fn random_faults_never_give_two_leaders_a_term_or_two_lease_holders(
    #[case] members: u64,
    #[case] seeds: u64,
) {
    let (mut elections, mut became_leader) = (0, 0);
    for seed in 0..seeds {
        let mut cluster = Cluster::new(members, 1000 + seed);
        for _ in 0..40 {
            let (id, other) = (cluster.rng.random_range(1..=members), cluster.rng.random_range(1..=members));
            // Half of what happens happens to the leader.
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
                    // Else most of the time nobody could lead.
                    cluster.heal();
                    cluster.run(S(2));
                }
            }
            let span = Duration::from_millis(cluster.rng.random_range(50..2500));
            cluster.run(span);
            became_leader += usize::from(cluster.leader().is_some());
        }
        elections += cluster.elections;
        cluster.heal();
        cluster.run(S(12));
        assert_eq!(cluster.lease_holders().len(), 1, "one leads once all is well (seed {seed})");
    }
    // Else nothing was put to the test.
    assert!(
        elections as u64 > 3 * seeds && became_leader as u64 > 5 * seeds,
        "{elections} elections, {became_leader} times led"
    );
}

/// Clocks that step, stand still or run at any pace: two may hold a lease at once, but never in one term, and the one that was
/// passed over is known by its term.
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
