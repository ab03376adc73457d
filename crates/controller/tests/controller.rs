//! What proxies hold after endpoint lists, joins, stalls and implausible reports, as the controller runs through time.

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
fn a_joined_proxy_gets_one_whole_table_and_then_only_changes() {
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
    fixture.receive_list((2, 1), 6000, vec![entry(0, EndpointState::Draining, 0)]);
    fixture.controller.timer_fired(fixture.now + ms(50));
    let second = fixture.recorded.borrow().sent[0].1.clone();
    let drained = Change::SetWeight(WeightChange { table: 0, version: 2, server: id(0), weight: 0.0 });
    assert_eq!((second.sequence, second.cause), (2, UpdateCause::EndpointsChanged));
    assert!(second.changes.contains(&drained) && second.changes.len() <= 5, "{second:?}");
}

#[rstest]
fn a_proxy_is_not_bound_before_the_first_endpoint_list() {
    let mut fixture = Fixture::new(CHANNEL_LIMITS, 0).unwrap();
    fixture.join(2, "p", true);
    fixture.advance(ms(3000), |_| true);
    assert_eq!((fixture.recorded.borrow().welcomed.len(), fixture.tables.len()), (1, 0));
    fixture.receive_list((1, 0), 0, ready(3));
    fixture.advance(ms(1500), |_| true);
    assert_eq!(fixture.tables[&2].len(), 3);
}

#[rstest]
#[case::with_slices(5, Err(UnsupportedDeploymentError::Slices(5)))]
#[case::without_slices(0, Ok(()))]
fn a_deployment_with_slices_is_rejected(
    #[case] slices: usize,
    #[case] expected: Result<(), UnsupportedDeploymentError>,
) {
    assert_eq!(Fixture::new(CHANNEL_LIMITS, slices).map(|_| ()), expected);
}

#[rstest]
#[case::same_version((2, 0), &[entry(0, EndpointState::Draining, 0)])]
#[case::older_version((1, 0), &[entry(0, EndpointState::Draining, 0)])]
#[case::unknown_base_version((9, 7), &[entry(0, EndpointState::Draining, 0)])]
#[case::server_listed_twice((3, 0), &[entry(0, EndpointState::Draining, 0), entry(0, EndpointState::Ready, 0)])]
#[case::two_servers_at_one_address((3, 0), &[entry(0, EndpointState::Draining, 0),
    grebespool_wire::EndpointEntry { server: ServerId { number: 99, ..id(0) }, ..entry(0, EndpointState::Ready, 0) }])]
#[case::unknown_zone((3, 0), &[grebespool_wire::EndpointEntry { zone: "c".into(), ..entry(0, EndpointState::Draining, 0) }])]
fn an_invalid_endpoint_list_is_rejected_as_a_whole(
    #[case] versions: (u64, u64),
    #[case] entries: &[grebespool_wire::EndpointEntry],
) {
    let mut fixture = Fixture::with_servers(4);
    fixture.receive_list((2, 1), 0, vec![]);
    fixture.join(2, "p", true);
    fixture.advance(ms(200), |_| true);
    fixture.receive_list(versions, 0, entries.to_vec());
    fixture.advance(ms(1500), |_| true);
    assert!(fixture.tables[&2].contains_key(&id(0)), "the rejected list was applied");
    assert_eq!((fixture.controller.endpoints_version(), fixture.recorded.borrow().events.len()), (2, 1));
}

#[rstest]
fn an_endpoint_list_over_the_server_limit_is_rejected_as_a_whole() {
    let mut fixture = Fixture::with_servers(4);
    fixture.receive_list((2, 0), 0, ready(51));
    assert!(fixture.recorded.borrow().events[0].to_string().contains("51 servers"));
}

#[rstest]
fn a_server_at_the_address_of_another_replaces_it_in_the_table() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    // The policy gives cold servers no weight until it knows the load of the pool.
    for i in 0..60 {
        (0..4).for_each(|n| fixture.report_load(2, n, 5, 0, 0.5 + 0.001 * (i % 7) as f32));
        fixture.advance(ms(250), |_| true);
    }
    let mut successor = entry(0, EndpointState::Ready, 100_000);
    successor.server.number = 55;
    fixture.receive_list((2, 1), 100_500, vec![successor.clone()]);
    fixture.advance(ms(1500), |_| true);
    let table = &fixture.tables[&2];
    assert!(!table.contains_key(&id(0)), "the replaced server is still in the table");
    // The successor has only just started, so its weight starts low.
    assert!(table[&successor.server] <= 0.5 * table[&id(2)], "{table:?}");
}

#[rstest]
fn a_start_listed_again_by_a_deviating_clock_does_not_count_as_a_restart() {
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
fn the_older_stream_of_a_proxy_that_joins_again_is_closed() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.advance(ms(200), |_| true);
    fixture.join(4, "p", false);
    fixture.advance(ms(200), |_| true);
    assert_eq!(fixture.recorded.borrow().closed, [(2, CloseReason::Superseded)]);
    fixture.tables.clear();
    fixture.receive_list((2, 1), 0, vec![entry(0, EndpointState::Draining, 0)]);
    fixture.advance(ms(1500), |_| true);
    assert_eq!(fixture.tables.keys().copied().collect::<Vec<_>>(), [4]);
}

#[rstest]
fn a_proxy_that_joins_in_a_loop_is_rejected_and_others_are_not() {
    let mut fixture = Fixture::with_servers(4);
    for n in 0..50 {
        fixture.join(10 + 2 * n, "loop", true);
        fixture.controller.stream_closed(10 + 2 * n);
        fixture.advance(ms(20), |_| true);
    }
    assert_eq!(fixture.recorded.borrow().welcomed.len(), 4);
    fixture.join(500, "calm", true);
    fixture.advance(ms(200), |_| true);
    assert_eq!(fixture.tables[&500].len(), 4);
}

#[rstest]
fn a_hundred_joins_at_once_stay_within_the_queue_limit_and_all_are_bound() {
    let mut fixture = Fixture::with_narrow_channel(40);
    for n in 0..100 {
        fixture.join(n, &format!("p{n}"), false);
    }
    fixture.advance(ms(50), |_| true);
    assert!(fixture.tables.len() < 100, "all tables fit into the channel at once");
    for _ in 0..200 {
        fixture.advance(ms(50), |_| true);
        assert!(fixture.controller.queued_entries() <= 1000.0, "{}", fixture.controller.queued_entries());
    }
    // Five servers of the own zone and two of the other.
    assert_eq!(fixture.tables.values().filter(|t| t.len() == 7).count(), 100);
    let bound_servers: BTreeSet<ServerId> = fixture.tables.values().flat_map(|t| t.keys().copied()).collect();
    assert_eq!(bound_servers.len(), 40);
    assert!(fixture.recorded.borrow().closed.is_empty());
}

#[rstest]
#[case::not_a_number(f32::NAN)]
#[case::infinite(f32::INFINITY)]
#[case::huge(1e30)]
#[case::negative(-4.0)]
fn implausible_metrics_do_not_change_weights(#[case] load: f32) {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    for i in 0..60 {
        for n in 0..4 {
            let load = if n == 0 { load } else { 0.5 + 0.001 * (i % 7) as f32 };
            fixture.report_load(2, n, 5, 0, load);
        }
        fixture.advance(ms(250), |_| true);
    }
    let table = &fixture.tables[&2];
    assert!((table[&id(0)] / table[&id(2)] - 1.0).abs() < 0.2, "{table:?}");
}

#[rstest]
#[case::newer_sequence(1, 5, true)]
#[case::older_sequence(1, 3, false)]
#[case::older_incarnation(0, 9, false)]
#[case::newer_incarnation(2, 1, true)]
fn only_metrics_that_are_not_outdated_are_accepted(
    #[case] incarnation: u64,
    #[case] sequence: u32,
    #[case] accepted: bool,
) {
    let mut validator = MetricsValidator::default();
    let fields = [grebespool::host::LoadMetric::Utilization];
    validator.validate(0, &ServerMetrics { incarnation: 1, sequence: 4, values: vec![0.5] }, &fields);
    let values = validator.validate(0, &ServerMetrics { incarnation, sequence, values: vec![0.7] }, &fields);
    assert_eq!(values.is_some(), accepted);
}

#[rstest]
fn implausible_lines_are_reported_and_unlisted_servers_and_streams_ignored() {
    let mut fixture = Fixture::with_servers(2);
    fixture.join(2, "p", true);
    fixture.report_load(2, 1, 3, 9, 0.1);
    fixture.report_load(2, 30, 3, 0, 0.1);
    fixture.report_load(99, 1, 3, 0, 0.1);
    assert_eq!(fixture.recorded.borrow().events.len(), 1);
}

#[rstest]
#[case::acknowledging(true, 1)]
#[case::not_acknowledging(false, 0)]
fn a_proxy_that_does_not_acknowledge_is_disconnected(#[case] acknowledges: bool, #[case] joined: usize) {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.advance(ms(3900), |_| acknowledges);
    assert_eq!(fixture.controller.joined_proxies(), 1);
    fixture.advance(ms(300), |_| acknowledges);
    assert_eq!(fixture.controller.joined_proxies(), joined);
}

#[rstest]
fn a_stall_of_the_controller_postpones_the_acknowledgement_deadlines() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.advance(ms(100), |_| false);
    fixture.now += Duration::from_secs(9);
    fixture.controller.timer_fired(fixture.now);
    assert_eq!(fixture.controller.joined_proxies(), 1);
    fixture.advance(ms(4500), |_| false);
    assert_eq!(fixture.controller.joined_proxies(), 0);
}

#[rstest]
fn each_timer_fires_once_after_a_stall() {
    let mut fixture = Fixture::with_servers(4);
    fixture.join(2, "p", true);
    fixture.advance(ms(5000), |_| true);
    fixture.now += Duration::from_secs(30);
    fixture.controller.timer_fired(fixture.now);
    let due = fixture.controller.next_timer();
    assert!(due > fixture.now && due <= fixture.now + ms(1000), "{due:?} at {:?}", fixture.now);
}

#[rstest]
#[case::own_incarnation_and_stream(77, 2, true)]
#[case::another_incarnation(76, 2, false)]
#[case::another_stream(77, 4, false)]
fn only_acknowledgements_of_the_own_incarnation_and_stream_are_accepted(
    #[case] incarnation: u64,
    #[case] stream: StreamId,
    #[case] accepted: bool,
) {
    let bound_proxies = |acknowledge: bool| {
        let mut fixture = Fixture::with_narrow_channel(40);
        for n in 0..100 {
            fixture.join(n, &format!("p{n}"), false);
        }
        for _ in 0..20 {
            fixture.advance(ms(100), |_| false);
            for token in (0..500u16).filter(|_| acknowledge) {
                let ack = UpdateAck { incarnation, stream, sequence: 0, token: Some(token) };
                fixture.controller.update_acknowledged(fixture.now, 2, &ack);
            }
        }
        fixture.tables.len()
    };
    assert_eq!(bound_proxies(true) > bound_proxies(false), accepted);
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
fn the_channel_paces_updates_and_enforces_its_limits() {
    let mut channel =
        UpdateChannel::new(grebespool::host::ControlChannelLimits { max_messages: 3, ..CHANNEL_LIMITS });
    // 16 table entries and a message overhead of 4, at 2,000 entries a second, take 10 ms for each update.
    assert_eq!(channel.enqueue(ms(100), 1, update(), 16), Ok(()));
    assert_eq!(channel.enqueue(ms(100), 2, update(), 16), Ok(()));
    assert_eq!((channel.next_departure(), channel.queued_entries()), (Some(ms(110)), 40.0));
    assert!(channel.dequeue(ms(109)).is_none());
    assert_eq!(channel.dequeue(ms(500)).map(|(stream, _)| stream), Some(1));
    assert_eq!(channel.dequeue(ms(500)).map(|(stream, _)| stream), Some(2));
    assert_eq!(channel.enqueue(ms(500), 1, update(), 2997), Err(ChannelFull::QueuedEntries));
    assert_eq!(channel.enqueue(ms(500), 1, update(), 1), Ok(()));
    assert_eq!(channel.enqueue(ms(500), 1, update(), 1), Ok(()));
    assert_eq!(channel.enqueue(ms(500), 1, update(), 1), Err(ChannelFull::UpdatesInWindow));
    assert_eq!(channel.enqueue(ms(10_101), 1, update(), 1), Ok(()));
    channel.drop_stream(1);
    assert_eq!((channel.next_departure(), channel.queued_entries()), (None, 0.0));
}
