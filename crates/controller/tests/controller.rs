//! The controller through time: what proxies hold after lists, joins, stalls and implausible reports.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod helpers;

use grebespool_controller::*;
use grebespool_wire::{
    Change, CloseReason, EndpointList, EndpointState, ServerId, ServerMetrics, TableBinding, Update,
    UpdateAck, UpdateCause, WeightChange,
};
use helpers::*;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

#[rstest]
fn sends_one_whole_table_and_then_only_changes() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.controller.timer_fired(fixture.now + ms(50));
    let first = fixture.recorded.borrow().sent[0].1.clone();
    let Change::BindTable(TableBinding { weights, .. }) = &first.changes[0] else { panic!("{first:?}") };
    assert_eq!(
        (first.sequence, first.cause, first.endpoints_version, weights.len()),
        (1, UpdateCause::ProxyJoined, 1, 4)
    );
    fixture.apply(|_| true);
    fixture.now += ms(100);
    fixture.list((2, 1), 6000, vec![entry(0, EndpointState::Draining, 0)]);
    fixture.controller.timer_fired(fixture.now + ms(50));
    let second = fixture.recorded.borrow().sent[0].1.clone();
    let drained = Change::SetWeight(WeightChange { table: 0, version: 2, server: id(0), weight: 0.0 });
    assert_eq!((second.sequence, second.cause), (2, UpdateCause::EndpointsChanged));
    assert!(second.changes.contains(&drained) && second.changes.len() <= 5, "{second:?}");
}

#[rstest]
fn binds_no_proxy_before_an_endpoint_list_came() {
    let mut fixture = Fixture::new(CHANNEL_LIMITS, 0).unwrap();
    fixture.join(2, "p", true);
    fixture.run(ms(3000), |_| true);
    assert_eq!((fixture.recorded.borrow().welcomed.len(), fixture.tables.len()), (1, 0));
    fixture.list((1, 0), 0, ready(3));
    fixture.run(ms(1500), |_| true);
    assert_eq!(fixture.tables[&2].len(), 3);
}

#[rstest]
#[case::slices(5, Err(UnsupportedDeploymentError::Slices(5)))]
#[case::none(0, Ok(()))]
fn refuses_a_deployment_with_slices(
    #[case] slices: usize,
    #[case] expected: Result<(), UnsupportedDeploymentError>,
) {
    assert_eq!(Fixture::new(CHANNEL_LIMITS, slices).map(|_| ()), expected);
}

#[rstest]
#[case::the_same_again((2, 0), &[entry(0, EndpointState::Draining, 0)])]
#[case::older((1, 0), &[entry(0, EndpointState::Draining, 0)])]
#[case::a_gap((9, 7), &[entry(0, EndpointState::Draining, 0)])]
#[case::twice((3, 0), &[entry(0, EndpointState::Draining, 0), entry(0, EndpointState::Ready, 0)])]
#[case::one_address((3, 0), &[entry(0, EndpointState::Draining, 0),
    grebespool_wire::EndpointEntry { server: ServerId { number: 99, ..id(0) }, ..entry(0, EndpointState::Ready, 0) }])]
#[case::a_strange_zone((3, 0), &[grebespool_wire::EndpointEntry { zone: "c".into(), ..entry(0, EndpointState::Draining, 0) }])]
fn rejects_a_contradictory_endpoint_list_whole(
    #[case] of: (u64, u64),
    #[case] entries: &[grebespool_wire::EndpointEntry],
) {
    let mut fixture = Fixture::with_servers(4);
    fixture.list((2, 1), 0, vec![]);
    fixture.join(2, "p", true);
    fixture.run(ms(200), |_| true);
    fixture.list(of, 0, entries.to_vec());
    fixture.run(ms(1500), |_| true);
    assert!(fixture.tables[&2].contains_key(&id(0)), "the refused list was obeyed");
    assert_eq!((fixture.controller.endpoints_version(), fixture.recorded.borrow().events.len()), (2, 1));
}

#[rstest]
fn rejects_an_endpoint_list_over_the_limit_whole() {
    let mut fixture = Fixture::with_servers(4);
    fixture.list((2, 0), 0, ready(51));
    assert!(fixture.recorded.borrow().events[0].to_string().contains("51 servers"));
}

#[rstest]
fn another_server_at_an_address_takes_the_lines_of_the_one_before() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    // Cold servers get nothing while it is not known how full the pool is.
    for i in 0..60 {
        (0..4).for_each(|n| fixture.sums(2, n, 5, 0, 0.5 + 0.001 * (i % 7) as f32));
        fixture.run(ms(250), |_| true);
    }
    let mut other = entry(0, EndpointState::Ready, 100_000);
    other.server.number = 55;
    fixture.list((2, 1), 100_500, vec![other.clone()]);
    fixture.run(ms(1500), |_| true);
    let table = &fixture.tables[&2];
    assert!(!table.contains_key(&id(0)), "the former server stays in the table");
    // It has only just started, so it enters low.
    assert!(table[&other.server] <= 0.5 * table[&id(2)], "{table:?}");
}

#[rstest]
fn takes_no_restart_from_a_start_told_again_a_little_later() {
    let mut registry = EndpointRegistry::new(vec!["a".into()], 9);
    let mut ages = vec![];
    for (version, now, now_ms) in [(1, ms(0), 10_000), (2, ms(1000), 11_300), (3, ms(2000), 12_100)] {
        let entries = vec![entry(0, EndpointState::Ready, 8_000)];
        let list = EndpointList { version, base_version: 0, now_ms, entries };
        registry.accept(now, &list, |_, endpoint| ages.push(endpoint.age.unwrap())).unwrap();
    }
    assert_eq!(ages, [ms(2000), ms(3000), ms(4000)]);
}

#[rstest]
fn closes_the_older_stream_of_a_proxy_that_joins_again() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.run(ms(200), |_| true);
    fixture.join(4, "p", false);
    fixture.run(ms(200), |_| true);
    assert_eq!(fixture.recorded.borrow().closed, [(2, CloseReason::Superseded)]);
    fixture.tables.clear();
    fixture.list((2, 1), 0, vec![entry(0, EndpointState::Draining, 0)]);
    fixture.run(ms(1500), |_| true);
    assert_eq!(fixture.tables.keys().copied().collect::<Vec<_>>(), [4]);
}

#[rstest]
fn rejects_a_proxy_that_joins_in_a_loop_and_no_others() {
    let mut fixture = Fixture::with_servers(4);
    for n in 0..50 {
        fixture.join(10 + 2 * n, "loop", true);
        fixture.controller.stream_closed(10 + 2 * n);
        fixture.run(ms(20), |_| true);
    }
    assert_eq!(fixture.recorded.borrow().welcomed.len(), 4);
    fixture.join(500, "calm", true);
    fixture.run(ms(200), |_| true);
    assert_eq!(fixture.tables[&500].len(), 4);
}

#[rstest]
fn a_hundred_joins_at_once_stay_inside_the_queue_and_all_are_bound() {
    let mut fixture = Fixture::narrow(40);
    for n in 0..100 {
        fixture.join(n, &format!("p{n}"), false);
    }
    fixture.run(ms(50), |_| true);
    assert!(fixture.tables.len() < 100, "not all fit at once");
    for _ in 0..200 {
        fixture.run(ms(50), |_| true);
        assert!(fixture.controller.queued_entries() <= 1000.0, "{}", fixture.controller.queued_entries());
    }
    // Five near servers and two far ones.
    assert_eq!(fixture.tables.values().filter(|t| t.len() == 7).count(), 100);
    let held: BTreeSet<ServerId> = fixture.tables.values().flat_map(|t| t.keys().copied()).collect();
    assert_eq!(held.len(), 40);
    assert!(fixture.recorded.borrow().closed.is_empty());
}

#[rstest]
#[case::not_a_number(f32::NAN)]
#[case::infinite(f32::INFINITY)]
#[case::huge(1e30)]
#[case::below_nought(-4.0)]
fn implausible_metrics_move_no_weight(#[case] load: f32) {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    for i in 0..60 {
        for n in 0..4 {
            let load = if n == 0 { load } else { 0.5 + 0.001 * (i % 7) as f32 };
            fixture.sums(2, n, 5, 0, load);
        }
        fixture.run(ms(250), |_| true);
    }
    let table = &fixture.tables[&2];
    assert!((table[&id(0)] / table[&id(2)] - 1.0).abs() < 0.2, "{table:?}");
}

#[rstest]
#[case::newer(1, 5, true)]
#[case::older(1, 3, false)]
#[case::of_a_former_start(0, 9, false)]
#[case::of_a_later_start(2, 1, true)]
fn takes_only_metrics_that_are_no_older(#[case] start: u64, #[case] number: u32, #[case] news: bool) {
    let mut validator = MetricsValidator::default();
    let fields = [grebespool::host::LoadMetric::Utilization];
    validator.validate(0, &ServerMetrics { incarnation: 1, sequence: 4, values: vec![0.5] }, &fields);
    let told = validator.validate(
        0,
        &ServerMetrics { incarnation: start, sequence: number, values: vec![0.7] },
        &fields,
    );
    assert_eq!(told.is_some(), news);
}

#[rstest]
fn leaves_out_implausible_lines_and_unlisted_servers() {
    let mut fixture = Fixture::with_servers(2);
    fixture.join(2, "p", true);
    fixture.sums(2, 1, 3, 9, 0.1);
    fixture.sums(2, 30, 3, 0, 0.1);
    fixture.sums(99, 1, 3, 0, 0.1);
    assert_eq!(fixture.recorded.borrow().events.len(), 1);
}

#[rstest]
#[case::answers(true, 1)]
#[case::answers_nothing(false, 0)]
fn disconnects_a_proxy_that_acknowledges_nothing(#[case] answers: bool, #[case] joined: usize) {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.run(ms(3900), |_| answers);
    assert_eq!(fixture.controller.joined_proxies(), 1);
    fixture.run(ms(300), |_| answers);
    assert_eq!(fixture.controller.joined_proxies(), joined);
}

#[rstest]
fn waives_acknowledgements_after_a_stall_of_its_own() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.run(ms(100), |_| false);
    fixture.now += Duration::from_secs(9);
    fixture.controller.timer_fired(fixture.now);
    assert_eq!(fixture.controller.joined_proxies(), 1);
    fixture.run(ms(4500), |_| false);
    assert_eq!(fixture.controller.joined_proxies(), 0);
}

#[rstest]
fn fires_each_timer_once_after_a_stall() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.run(ms(5000), |_| true);
    fixture.now += Duration::from_secs(30);
    fixture.controller.timer_fired(fixture.now);
    let due = fixture.controller.next_timer();
    assert!(due > fixture.now && due <= fixture.now + ms(1000), "{due:?} at {:?}", fixture.now);
}

#[rstest]
#[case::of_this_start_and_stream(77, 2, true)]
#[case::of_another_start(76, 2, false)]
#[case::of_another_stream(77, 4, false)]
fn takes_only_acknowledgements_of_its_incarnation_and_stream(
    #[case] start: u64,
    #[case] stream: StreamId,
    #[case] heard: bool,
) {
    let bound_after = |answer: bool| {
        let mut fixture = Fixture::narrow(40);
        for n in 0..100 {
            fixture.join(n, &format!("p{n}"), false);
        }
        for _ in 0..20 {
            fixture.run(ms(100), |_| false);
            for token in (0..500u16).filter(|_| answer) {
                let ack = UpdateAck { incarnation: start, stream, sequence: 0, token: Some(token) };
                fixture.controller.update_acknowledged(fixture.now, 2, &ack);
            }
        }
        fixture.tables.len()
    };
    assert_eq!(bound_after(true) > bound_after(false), heard);
}

fn update() -> Update {
    Update {
        term: 0,
        incarnation: 1,
        stream: 1,
        sequence: 1,
        created_us: 0,
        endpoints_version: 0,
        cause: UpdateCause::ProxyJoined,
        changes: vec![],
    }
}

#[rstest]
fn channel_paces_updates_and_keeps_its_limits() {
    let mut channel =
        UpdateChannel::new(grebespool::host::ControlChannelLimits { max_messages: 3, ..CHANNEL_LIMITS });
    // 16 lines and a head of 4 at 2,000 a second take 10 ms each.
    assert_eq!(channel.enqueue(ms(100), 1, update(), 16), Ok(()));
    assert_eq!(channel.enqueue(ms(100), 2, update(), 16), Ok(()));
    assert_eq!((channel.next_departure(), channel.queued_entries()), (Some(ms(110)), 40.0));
    assert!(channel.dequeue(ms(109)).is_none());
    assert_eq!(channel.dequeue(ms(500)).map(|l| l.0), Some(1));
    assert_eq!(channel.dequeue(ms(500)).map(|l| l.0), Some(2));
    assert_eq!(channel.enqueue(ms(500), 1, update(), 2997), Err(ChannelFull::QueuedEntries));
    assert_eq!(channel.enqueue(ms(500), 1, update(), 1), Ok(()));
    assert_eq!(channel.enqueue(ms(500), 1, update(), 1), Ok(()));
    assert_eq!(channel.enqueue(ms(500), 1, update(), 1), Err(ChannelFull::UpdatesInWindow));
    assert_eq!(channel.enqueue(ms(10_101), 1, update(), 1), Ok(()));
    channel.drop_stream(1);
    assert_eq!((channel.next_departure(), channel.queued_entries()), (None, 0.0));
}
