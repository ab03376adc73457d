//! Tests of the limit on messages to one proxy, and of the time for which it delays urgent changes.

use crate::helpers::*;
use crate::limited_policy::*;
use grebespool::host::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::time::Duration;

/// Settings whose grace leaves less time beside the transit than the mean interval of the messages.
const SLOW_TRANSIT: LimitSettings = LimitSettings {
    max_messages: 12,
    window: Duration::from_secs(10),
    max_transit: ms(1100),
    drain_grace: Some(ms(1500)),
    max_unserved: None,
};

/// In a rolling deploy, early drains went out in a burst and the next ones at the mean interval of the limit, which used it
/// up before the end of the window: drains after that waited 2.4 s, longer than the grace.
#[rstest]
#[case::after_a_burst(
    &[2000, 2100, 2200, 3250, 4500, 5510, 6520, 7530, 8540, 9550, 9560, 10_040, 12_000, 13_000, 14_000]
)]
#[case::evenly_spaced(
    &[2000, 3010, 4020, 5030, 6040, 7050, 8060, 9070, 10_080, 11_090, 12_100, 13_110, 14_120]
)]
fn drains_spread_over_a_window_are_published_within_the_grace(#[case] drains_ms: &[u128]) {
    let settings = LimitSettings {
        max_messages: 12,
        window: Duration::from_secs(10),
        max_transit: ms(250),
        drain_grace: Some(ms(1500)),
        max_unserved: None,
    };
    let mut limited = LimitedPolicy::new(settings, 3, 24, 12);
    for step in 0..2000 {
        if let Some(server) = drains_ms.iter().position(|at| *at == step * STEP.as_millis()) {
            limited.list(server, EndpointState::Draining, None);
        }
        limited.step();
    }
    limited.check_limit();
}

/// In a rolling deploy, drains waited for the even spacing of messages although most of the limit was free: right after a
/// message of ordinary changes they left up to a second later, which with a slow transit is after the grace.
#[rstest]
#[case::right_after_an_ordinary_message(ms(20))]
#[case::just_before_the_next_evaluation(ms(980))]
fn drain_soon_after_an_ordinary_message_takes_effect_within_the_grace(#[case] gap: Duration) {
    let settings = SLOW_TRANSIT;
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let mut limited = LimitedPolicy::new(settings, 1, 18, 12);
    for server in 0..6 {
        limited.run(ms(4000), &mut rng);
        let messages = limited.messages_to(0);
        while limited.messages_to(0) == messages {
            limited.run(STEP, &mut rng);
        }
        limited.run(gap, &mut rng);
        limited.list(server, EndpointState::Draining, None);
        limited.run(ms(1000), &mut rng);
    }
    limited.check_limit();
    assert_eq!(limited.excused, 0);
}

/// A server that restarted kept the weight of a warm one for as long as only urgent changes could be sent, if the weight to
/// send had risen since the last message: its reduction was too small to count as urgent.
#[rstest]
#[case::weight_has_risen(0.1)]
#[case::weight_is_unchanged(0.5)]
fn start_of_a_server_takes_effect_within_the_grace(#[case] utilization: f32) {
    let settings = LimitSettings {
        max_messages: 3,
        window: Duration::from_secs(10),
        max_transit: ms(500),
        drain_grace: Some(ms(2000)),
        max_unserved: None,
    };
    let mut limited = LimitedPolicy::new(settings, 1, 6, 1);
    let loads = |server| observed(10, 0, if server == 0 { utilization } else { 0.5 }, 0.0);
    limited.harness.run(Duration::from_secs(6), |server| (server < 6).then_some(loads(server)));
    let before = limited.harness.weight(0, 0);
    limited.list(0, EndpointState::Ready, Some(ms(100)));
    limited.harness.run(settings.longest_wait(), |server| (server < 6).then_some(loads(server)));
    let after = limited.harness.weight(0, 0);
    assert!(after < 0.6 * before, "weight {before}, then {after}");
}

/// Ordinary changes leave room for urgent ones, and no more room than that.
#[rstest]
fn ordinary_changes_use_the_messages_that_are_not_reserved() {
    let settings = SLOW_TRANSIT;
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let mut limited = LimitedPolicy::new(settings, 1, 18, 12);
    limited.run(Duration::from_secs(10), &mut rng);
    let before = limited.messages_to(0);
    limited.run(settings.window * 3, &mut rng);
    let reserved = settings.reserved().unwrap();
    // Weights are updated at each second evaluation, so a window may have one message less.
    assert!(limited.messages_to(0) - before >= 3 * (settings.available() - reserved - 1));
}

/// Whatever was sent before, a drain and the start of a server show in time, unless urgent changes alone have used up the
/// limit; and no proxy gets more messages than the limit.
#[rstest]
fn delay_of_an_urgent_change_is_bounded_by_the_settings_alone() {
    for seed in 0..150 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let settings = LimitSettings::random(&mut rng);
        let (zones, proxies) = (rng.random_range(1..4), rng.random_range(1..8));
        let servers = rng.random_range(2..16);
        let mut limited = LimitedPolicy::new(settings, zones, servers, proxies);
        let events_per_s = [0.2, 1.0, 4.0][rng.random_range(0..3)];
        for step in 0..4000 {
            if rng.random_bool(events_per_s * STEP.as_secs_f64()) {
                random_event(&mut limited, &mut rng, proxies);
            }
            if step % REPORT_STEPS == 0 {
                report_random_loads(&mut limited, &mut rng);
            }
            limited.step();
        }
        limited.check_limit();
    }
}

/// The cost of a decision grows with the messages that were sent, not with the limit.
#[rstest]
fn large_limit_is_checked_quickly() {
    let settings = LimitSettings {
        max_messages: 100_000_000,
        window: Duration::from_secs(10),
        max_transit: ms(250),
        drain_grace: None,
        max_unserved: None,
    };
    let mut limited = LimitedPolicy::new(settings, 2, 8, 4);
    for step in 0..300 {
        if step % 20 == 0 {
            limited.list(step / 20 % 8, EndpointState::Draining, None);
        }
        limited.step();
    }
    limited.check_limit();
}
