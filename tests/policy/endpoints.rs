//! Tests of the endpoint list and of proxies that join.

use crate::helpers::*;
use grebespool::host::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::time::Duration;

// Invariant 1: each joined proxy has a usable entry.
#[rstest]
#[case::all_attempts_fail(|_| Some(observed(10, 10, 0.0, 0.0)))]
#[case::no_reports(|_| None)]
fn joined_proxy_always_has_a_usable_entry(#[case] report: fn(ServerIndex) -> Option<Observed>) {
    let mut harness = PolicyHarness::with_servers(6, 2);
    harness.healthy = false;
    for _ in 0..30 {
        harness.run(Duration::from_secs(1), |server| report(server).filter(|_| server < 6));
        for table in 0..2 {
            assert!(
                (0..6).any(|server| harness.weight(table, server) > 0.0),
                "table {table} at {:?}",
                harness.now
            );
        }
    }
}

#[rstest]
fn binds_returning_proxy_at_once() {
    let mut harness = PolicyHarness::with_servers(3, 1);
    harness.policy.proxy_left(0);
    harness.commands.borrow_mut().tables_by_proxy.clear();
    harness.policy.proxy_joined(harness.now, 0, 0, false, 1.0);
    assert!(harness.commands.borrow().tables_by_proxy[&0].contains(&0));
}

#[rstest]
fn removes_server_missing_from_complete_list() {
    let mut harness = PolicyHarness::with_servers(3, 1);
    harness.update_endpoints(
        true,
        &[endpoint(0, 0, EndpointState::Ready, None), endpoint(2, 0, EndpointState::Ready, None)],
    );
    assert_eq!(harness.weight(0, 1), 0.0);
}

#[rstest]
#[case::removal_is_final(true, false, 0.0)]
#[case::removal_is_not_final(false, false, 1.0)]
#[case::draining_before_removal(false, true, 0.0)]
fn keeps_removed_server_in_use_if_removal_is_not_final(
    #[case] removal_is_final: bool,
    #[case] draining: bool,
    #[case] weight: f32,
) {
    let mut harness = PolicyHarness::with_many_proxies(6, 2, CHANNEL, removal_is_final);
    if draining {
        harness.update_endpoints(false, &[endpoint(0, 0, EndpointState::Draining, None)]);
    }
    harness.update_endpoints(false, &[endpoint(0, 0, EndpointState::Removed, None)]);
    harness.run(Duration::from_secs(4), |server| HALF_LOADED.filter(|_| server < 6));
    assert_eq!(harness.weight(0, 0), weight);
    harness.run(Duration::from_secs(8), |server| {
        if server == 0 { Some(observed(9, 9, 0.0, 0.0)) } else { HALF_LOADED.filter(|_| server < 6) }
    });
    assert_eq!(harness.weight(0, 0), 0.0, "a removed server that fails is no longer in use");
}

#[rstest]
fn ignores_unknown_ids_and_invalid_figures() {
    let mut harness = PolicyHarness::with_servers(3, 1);
    harness.update_endpoints(false, &[]);
    harness.policy.proxy_left(99);
    harness.policy.acknowledged(harness.now, 12);
    harness.policy.health_check_finished(77, HealthCheckResult::Failed);
    harness.policy.requests_received(harness.now, 0, 9, 4);
    harness.policy.load_reported(
        harness.now,
        50,
        &LoadReport { client_zone: 0, attempts: 0, failures: 9, latency: None, metrics: &[f32::INFINITY] },
    );
    harness.policy.timer_fired(harness.now, Timer::UrgentPublish);
    let polls_before = harness.commands.borrow().polls;
    harness.policy.endpoint_poll_failed();
    harness.run(Duration::from_secs(6), |server| (server < 3).then_some(observed(0, 0, f32::INFINITY, 0.0)));
    assert!(harness.commands.borrow().polls > polls_before, "a failed poll is repeated");
    harness.update_endpoints(true, &[]);
    assert!((0..3).all(|server| harness.weight(0, server) == 0.0));
}

/// Returns the number of polls that the policy has sent.
fn polls(harness: &PolicyHarness) -> usize {
    harness.commands.borrow().polls
}

/// Guards against a watch that never begins again: a list that is not the answer to a poll, such as the last one of a
/// former address, arrives between the failure of a poll and the next tick.
#[rstest]
#[case::list_after_the_failure(true)]
#[case::list_before_the_failure(false)]
fn list_that_answers_no_poll_leaves_the_due_poll_due(#[case] list_last: bool) {
    let mut harness = PolicyHarness::with_servers(3, 1);
    harness.advance(Duration::from_secs(2));
    harness.update_endpoints(false, &[]);
    let polls_before = polls(&harness);
    if !list_last {
        harness.update_endpoints(false, &[endpoint(1, 0, EndpointState::Draining, None)]);
    }
    harness.policy.endpoint_poll_failed();
    if list_last {
        harness.update_endpoints(false, &[endpoint(1, 0, EndpointState::Draining, None)]);
    }
    harness.advance(Duration::from_secs(2));
    assert_eq!(polls(&harness), polls_before + 1);
}

/// Guards against a policy that no longer learns of changes: whatever the order of polls, lists and failures, a poll follows
/// the latest failure within a tick, and is repeated until a list arrives.
#[rstest]
fn poll_follows_each_failure_in_any_order_of_lists_and_failures() {
    const TICK: Duration = Duration::from_secs(1);
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..100 {
        let mut harness = PolicyHarness::with_servers(3, 1);
        // The time and the number of polls at the latest failure that no poll has followed.
        let mut failure: Option<(Duration, usize)> = None;
        for _ in 0..200 {
            harness.advance(ms(rng.random_range(1..700)));
            match rng.random_range(0..4) {
                0 => {
                    harness.policy.endpoint_poll_failed();
                    failure = Some((harness.now, polls(&harness)));
                }
                1 => harness.update_endpoints(rng.random_bool(0.1), &warm_endpoints(0..3, 1)),
                2 => harness.update_endpoints(false, &[]),
                _ => {}
            }
            failure = failure.filter(|(_, polls_before)| polls(&harness) == *polls_before);
            assert!(failure.is_none_or(|(failed_at, _)| harness.now - failed_at <= TICK + ms(700)));
        }
    }
}
