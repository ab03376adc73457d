//! Tests of the control channel.

use crate::helpers::*;
use grebespool::host::*;
use rstest::rstest;
use std::time::Duration;

// Invariant 3: drains are published within the grace period.
#[rstest]
#[case::draining(EndpointState::Draining)]
#[case::removed(EndpointState::Removed)]
fn publishes_drain_within_a_second_in_all_tables(#[case] state: EndpointState) {
    let mut harness = PolicyHarness::with_servers(6, 2);
    // Protective updates must not use up the messages that drains need.
    harness.run(Duration::from_secs(20), |server| {
        (server < 6).then_some(observed(8, server as u32, 0.1 + 0.15 * server as f32, 0.0))
    });
    harness.update_endpoints(false, &[endpoint(2, 0, state, None)]);
    harness.run(ms(1000), |server| HALF_LOADED.filter(|_| server < 6));
    assert_eq!((harness.weight(0, 2), harness.weight(1, 2)), (0.0, 0.0));
}

// Invariant 5: the queue stays short.
#[rstest]
fn sends_no_more_messages_than_allowed() {
    let mut harness = PolicyHarness::with_servers(12, 1);
    for round in 0..40 {
        let bad = (round % 5) as u32;
        harness.run(Duration::from_secs(1), |server| {
            (server < 12).then_some(observed(
                8,
                bad * (server as u32 % 2),
                (server + round) as f32 % 7.0 / 7.0,
                0.0,
            ))
        });
        let state = if round % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
        harness.update_endpoints(false, &[endpoint(round % 12, 0, state, None)]);
    }
    let update_times: Vec<Duration> = harness.commands.borrow().update_times.iter().copied().collect();
    for (i, from) in update_times.iter().enumerate() {
        // The binding of a proxy is a message as well.
        let within = update_times[i..].iter().filter(|time| **time <= *from + CHANNEL.window).count();
        assert!(within <= CHANNEL.max_messages - 2, "{within} messages from {from:?}");
    }
}

#[rstest]
fn keeps_messages_for_drains_after_many_lists() {
    // Servers that are removed by many small lists must not use up the messages.
    let mut harness = PolicyHarness::with_servers(60, 1);
    for server in 0..40 {
        harness.update_endpoints(false, &[endpoint(server, 0, EndpointState::Removed, None)]);
        harness.run(ms(500), |other| HALF_LOADED.filter(|_| other < 60 && other > server));
        assert_eq!(
            harness.servers_in(0).iter().filter(|other| **other + 3 < server).count(),
            0,
            "after {server} lists"
        );
    }
}

#[rstest]
fn simultaneous_joins_fit_into_the_channel() {
    let narrow = ControlChannelLimits { entries_per_s: 100.0, max_queued_entries: 100.0, ..CHANNEL };
    let mut harness = PolicyHarness::new(1, narrow, vec![route(1.0, Idempotency::Idempotent)], 1.0);
    let endpoints: Vec<Endpoint> =
        (0..10).map(|server| endpoint(server, 0, EndpointState::Ready, None)).collect();
    harness.update_endpoints(true, &endpoints);
    for proxy in 0..30 {
        harness.policy.proxy_joined(harness.now, proxy, 0, true, 1.0);
    }
    // Each binding costs ten table entries, two entries of its own and four of message overhead.
    assert!(harness.commands.borrow().tables_by_proxy.len() <= 6);
    harness.run(Duration::from_secs(10), |server| HALF_LOADED.filter(|_| server < 10));
    assert_eq!(harness.commands.borrow().tables_by_proxy.len(), 30);
}

#[rstest]
fn unacknowledged_entries_count_as_queued() {
    // The channel may be far slower than its settings state.
    let narrow = ControlChannelLimits {
        entries_per_s: 2000.0,
        max_queued_entries: 2000.0,
        max_messages: 0,
        ..CHANNEL
    };
    let mut harness = PolicyHarness::with_many_proxies(40, 80, narrow, true);
    harness.run(Duration::from_secs(10), |server| HALF_LOADED.filter(|_| server < 40));
    harness.acknowledging = false;
    let before = harness.commands.borrow().weights_set;
    for round in 0..10 {
        harness.run(Duration::from_secs(1), |server| {
            (server < 40).then_some(observed(8, 0, if (server + round) % 2 == 0 { 0.1 } else { 0.9 }, 0.0))
        });
    }
    // Each entry goes to about ten proxies; an eighth of the rate in the settings delivers 2,500 entries in ten seconds.
    let entries = (harness.commands.borrow().weights_set - before) * 80 / 12;
    assert!(entries <= 4500, "{entries} entries");
}
