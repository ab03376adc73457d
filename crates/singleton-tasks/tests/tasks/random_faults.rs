//! Random schedules of faults: no guarantee is broken, and each guard is needed.

use crate::cluster::{Cluster, MS, MissingGuard, S, Target};
use rand::Rng;
use rstest::rstest;

/// Few where checks are slow; `cargo test --release` plays more.
const SEEDS: u64 = if cfg!(debug_assertions) { 30 } else { 3000 };

#[rstest]
fn random_faults_break_no_guarantee_and_progress_resumes() {
    for seed in 0..SEEDS {
        let members = if seed % 3 == 0 { 5 } else { 3 };
        let mut cluster = Cluster::new(members, 3, seed, MissingGuard::None);
        for _ in 0..30 {
            let span = MS(cluster.rng.random_range(50..900));
            cluster.run(span);
            cluster.inject_fault();
        }
        cluster.heal();
        cluster.run(S(25));
        let before = cluster.applied_steps();
        cluster.run(S(5));
        let after = cluster.applied_steps();
        let held = cluster.nodes.values().flat_map(|n| n.tasks.as_ref().unwrap().suspensions()).count();
        assert!(
            held > 0 || before.iter().zip(&after).all(|(b, a)| a > b),
            "{before:?} {after:?} (seed {seed})"
        );
    }
}

/// What the guards are for: without one, something is done twice, out of order, or by two at once.
#[rstest]
#[case::of_the_target(MissingGuard::Fence)]
#[case::of_the_disk(MissingGuard::Disk)]
#[case::of_the_clocks(MissingGuard::Clocks)]
fn finds_a_missing_guard(#[case] missing_guard: MissingGuard) {
    let wrong = |seed: u64| {
        let mut cluster = Cluster::new(3, 3, seed, missing_guard);
        for _ in 0..60 {
            let span = MS(cluster.rng.random_range(50..900));
            cluster.run(span);
            cluster.inject_fault();
        }
        let once = |t: &Target| t.applied_steps.iter().enumerate().all(|(i, d)| d.1 == i as u64 + 1);
        !cluster.violations.is_empty() || !cluster.targets.values().all(once)
    };
    assert!((0..120).any(wrong));
}

/// Clocks beyond what was agreed on: two may own at once for a moment, and the target takes each step once all the same.
#[rstest]
fn applies_each_step_once_with_clocks_beyond_the_drift() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(3, 3, seed, MissingGuard::Clocks);
        for _ in 0..40 {
            let span = MS(cluster.rng.random_range(50..900));
            cluster.run(span);
            cluster.inject_fault();
        }
        cluster.applied_steps();
        cluster.violations.retain(|b| !b.contains(" has [("));
        assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    }
}
