//! The engine through time: what proxies hold after lists, joins, stalls and what cannot be believed.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

mod helpers;

use grebespool_controller::*;
use grebespool_wire::{Cause, Order, Orders, Phase, Reason, Report, ServerId};
use helpers::*;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

#[rstest]
fn a_proxy_gets_one_whole_table_and_then_only_changes() {
    let mut rig = Rig::with_servers(4);
    rig.join(2, "p", true);
    rig.engine.woken(rig.now + ms(50));
    let first = rig.kept.borrow().sent[0].1.clone();
    let Order::Bind { lines, .. } = &first.parts[0] else { panic!("{first:?}") };
    assert_eq!((first.seq, first.cause, first.list, lines.len()), (1, Cause::Join, 1, 4));
    rig.obey(|_| true);
    rig.now += ms(100);
    rig.engine.list(rig.now, 2, 1, 6000, &[entry(0, Phase::Draining, 0)]);
    rig.engine.woken(rig.now + ms(50));
    let second = rig.kept.borrow().sent[0].1.clone();
    let drained = Order::Line { table: 0, version: 2, server: id(0), weight: 0.0 };
    assert_eq!((second.seq, second.cause), (2, Cause::List));
    assert!(second.parts.contains(&drained) && second.parts.len() <= 5, "{second:?}");
}

#[rstest]
fn none_is_bound_before_a_list_came() {
    let mut rig = Rig::new(PACE, 0).unwrap();
    rig.join(2, "p", true);
    rig.run(ms(3000), |_| true);
    assert_eq!((rig.kept.borrow().welcome.len(), rig.tables.len()), (1, 0));
    rig.engine.list(rig.now, 1, 0, 0, &ready(3));
    rig.run(ms(1500), |_| true);
    assert_eq!(rig.tables[&2].len(), 3);
}

#[rstest]
#[case::slices(5, Err(Unsupported::Slices(5)))]
#[case::none(0, Ok(()))]
fn sites_with_slices_are_refused_at_start(#[case] slices: usize, #[case] expected: Result<(), Unsupported>) {
    assert_eq!(Rig::new(PACE, slices).map(|_| ()), expected);
}

#[rstest]
#[case::the_same_again((2, 0), &[entry(0, Phase::Draining, 0)])]
#[case::older((1, 0), &[entry(0, Phase::Draining, 0)])]
#[case::a_gap((9, 7), &[entry(0, Phase::Draining, 0)])]
#[case::twice((3, 0), &[entry(0, Phase::Draining, 0), entry(0, Phase::Ready, 0)])]
#[case::one_address((3, 0), &[entry(0, Phase::Draining, 0),
    grebespool_wire::Entry { server: ServerId { number: 99, ..id(0) }, ..entry(0, Phase::Ready, 0) }])]
#[case::a_strange_zone((3, 0), &[grebespool_wire::Entry { zone: "c".into(), ..entry(0, Phase::Draining, 0) }])]
fn a_list_that_cannot_be_is_refused_whole(
    #[case] of: (u64, u64),
    #[case] entries: &[grebespool_wire::Entry],
) {
    let mut rig = Rig::with_servers(4);
    rig.engine.list(rig.now, 2, 1, 0, &[]);
    rig.join(2, "p", true);
    rig.run(ms(200), |_| true);
    rig.engine.list(rig.now, of.0, of.1, 0, entries);
    rig.run(ms(1500), |_| true);
    assert!(rig.tables[&2].contains_key(&id(0)), "the refused list was obeyed");
    assert_eq!((rig.engine.list_version(), rig.kept.borrow().refused.len()), (2, 1));
}

#[rstest]
fn a_list_over_the_bound_is_refused_whole() {
    let mut rig = Rig::with_servers(4);
    rig.engine.list(rig.now, 2, 0, 0, &ready(51));
    assert!(rig.kept.borrow().refused[0].contains("51 servers"));
}

#[rstest]
fn another_server_at_an_address_takes_the_lines_of_the_one_before() {
    let mut rig = Rig::with_servers(4);
    rig.join(2, "p", true);
    // Cold servers get nothing while it is not known how full the pool is.
    for i in 0..60 {
        (0..4).for_each(|n| rig.sums(2, n, 5, 0, 0.5 + 0.001 * (i % 7) as f32));
        rig.run(ms(250), |_| true);
    }
    let mut other = entry(0, Phase::Ready, 100_000);
    other.server.number = 55;
    rig.engine.list(rig.now, 2, 1, 100_500, std::slice::from_ref(&other));
    rig.run(ms(1500), |_| true);
    let table = &rig.tables[&2];
    assert!(!table.contains_key(&id(0)), "the former server stays in the table");
    // It has only just started, so it enters low.
    assert!(table[&other.server] <= 0.5 * table[&id(2)], "{table:?}");
}

#[rstest]
fn a_start_told_again_a_little_later_is_no_restart() {
    let mut sense = ListSense::new(vec!["a".into()], 9);
    let mut ages = vec![];
    for (version, now, now_ms) in [(1, ms(0), 10_000), (2, ms(1000), 11_300), (3, ms(2000), 12_100)] {
        let entries = [entry(0, Phase::Ready, 8_000)];
        sense.take(now, (version, 0, now_ms), &entries, |_, l| ages.push(l.age.unwrap())).unwrap();
    }
    assert_eq!(ages, [ms(2000), ms(3000), ms(4000)]);
}

#[rstest]
fn joining_again_closes_the_stream_before() {
    let mut rig = Rig::with_servers(4);
    rig.join(2, "p", true);
    rig.run(ms(200), |_| true);
    rig.join(4, "p", false);
    rig.run(ms(200), |_| true);
    assert_eq!(rig.kept.borrow().closed, [(2, Reason::Superseded)]);
    rig.tables.clear();
    rig.engine.list(rig.now, 2, 1, 0, &[entry(0, Phase::Draining, 0)]);
    rig.run(ms(1500), |_| true);
    assert_eq!(rig.tables.keys().copied().collect::<Vec<_>>(), [4]);
}

#[rstest]
fn a_proxy_that_joins_in_a_loop_is_held_off_and_others_are_not() {
    let mut rig = Rig::with_servers(4);
    for n in 0..50 {
        rig.join(10 + 2 * n, "loop", true);
        rig.engine.left(10 + 2 * n);
        rig.run(ms(20), |_| true);
    }
    assert_eq!(rig.kept.borrow().welcome.len(), 4);
    rig.join(500, "calm", true);
    rig.run(ms(200), |_| true);
    assert_eq!(rig.tables[&500].len(), 4);
}

#[rstest]
fn a_hundred_joins_at_once_stay_inside_the_queue_and_all_are_bound() {
    let mut rig = Rig::narrow(40);
    for n in 0..100 {
        rig.join(n, &format!("p{n}"), false);
    }
    rig.run(ms(50), |_| true);
    assert!(rig.tables.len() < 100, "not all fit at once");
    for _ in 0..200 {
        rig.run(ms(50), |_| true);
        assert!(rig.engine.waiting() <= 1000.0, "{}", rig.engine.waiting());
    }
    // Five near servers and two far ones.
    assert_eq!(rig.tables.values().filter(|t| t.len() == 7).count(), 100);
    let held: BTreeSet<ServerId> = rig.tables.values().flat_map(|t| t.keys().copied()).collect();
    assert_eq!(held.len(), 40);
    assert!(rig.kept.borrow().closed.is_empty());
}

#[rstest]
#[case::not_a_number(f32::NAN)]
#[case::infinite(f32::INFINITY)]
#[case::huge(1e30)]
#[case::below_nought(-4.0)]
fn figures_that_cannot_be_move_no_weight(#[case] load: f32) {
    let mut rig = Rig::with_servers(4);
    rig.join(2, "p", true);
    for i in 0..60 {
        for n in 0..4 {
            let load = if n == 0 { load } else { 0.5 + 0.001 * (i % 7) as f32 };
            rig.sums(2, n, 5, 0, load);
        }
        rig.run(ms(250), |_| true);
    }
    let table = &rig.tables[&2];
    assert!((table[&id(0)] / table[&id(2)] - 1.0).abs() < 0.2, "{table:?}");
}

#[rstest]
#[case::newer(1, 5, true)]
#[case::older(1, 3, false)]
#[case::of_a_former_start(0, 9, false)]
#[case::of_a_later_start(2, 1, true)]
fn only_a_report_that_is_no_older_is_news(#[case] start: u64, #[case] number: u32, #[case] news: bool) {
    let mut sense = ReportSense::default();
    let fields = [grebespool::host::LoadMetric::Utilization];
    sense.figures(0, &Report { start: 1, number: 4, figures: vec![0.5] }, &fields);
    let told = sense.figures(0, &Report { start, number, figures: vec![0.7] }, &fields);
    assert_eq!(told.is_some(), news);
}

#[rstest]
fn sums_that_cannot_be_or_of_unlisted_servers_are_left_out() {
    let mut rig = Rig::with_servers(2);
    rig.join(2, "p", true);
    rig.sums(2, 1, 3, 9, 0.1);
    rig.sums(2, 30, 3, 0, 0.1);
    rig.sums(99, 1, 3, 0, 0.1);
    assert_eq!(rig.kept.borrow().refused.len(), 1);
}

#[rstest]
#[case::answers(true, 1)]
#[case::answers_nothing(false, 0)]
fn a_proxy_that_confirms_nothing_is_cut_off(#[case] answers: bool, #[case] joined: usize) {
    let mut rig = Rig::with_servers(4);
    rig.join(2, "p", true);
    rig.run(ms(3900), |_| answers);
    assert_eq!(rig.engine.joined_proxies(), 1);
    rig.run(ms(300), |_| answers);
    assert_eq!(rig.engine.joined_proxies(), joined);
}

#[rstest]
fn a_planner_that_stood_still_cuts_nobody_off_for_that() {
    let mut rig = Rig::with_servers(4);
    rig.join(2, "p", true);
    rig.run(ms(100), |_| false);
    rig.now += Duration::from_secs(9);
    rig.engine.woken(rig.now);
    assert_eq!(rig.engine.joined_proxies(), 1);
    rig.run(ms(4500), |_| false);
    assert_eq!(rig.engine.joined_proxies(), 0);
}

#[rstest]
fn after_a_stall_each_timer_fires_once() {
    let mut rig = Rig::with_servers(4);
    rig.join(2, "p", true);
    rig.run(ms(5000), |_| true);
    rig.now += Duration::from_secs(30);
    rig.engine.woken(rig.now);
    let due = rig.engine.due();
    assert!(due > rig.now && due <= rig.now + ms(1000), "{due:?} at {:?}", rig.now);
}

#[rstest]
#[case::of_this_start_and_stream(77, 2, true)]
#[case::of_another_start(76, 2, false)]
#[case::of_another_stream(77, 4, false)]
fn only_marks_of_this_start_and_stream_tell_that_the_channel_is_free(
    #[case] start: u64,
    #[case] stream: StreamId,
    #[case] heard: bool,
) {
    let bound_after = |answer: bool| {
        let mut rig = Rig::narrow(40);
        for n in 0..100 {
            rig.join(n, &format!("p{n}"), false);
        }
        for _ in 0..20 {
            rig.run(ms(100), |_| false);
            for mark in (0..500u16).filter(|_| answer) {
                rig.engine.applied(rig.now, 2, (start, stream), 0, Some(mark));
            }
        }
        rig.tables.len()
    };
    assert_eq!(bound_after(true) > bound_after(false), heard);
}

fn orders() -> Orders {
    Orders {
        epoch: 0,
        start: 1,
        stream: 1,
        seq: 1,
        ordered_us: 0,
        list: 0,
        cause: Cause::Join,
        parts: vec![],
    }
}

#[rstest]
fn the_channel_paces_and_keeps_its_limits() {
    let mut channel = Channel::new(grebespool::host::ControlChannelLimits { max_messages: 3, ..PACE });
    // 16 lines and a head of 4 at 2,000 a second take 10 ms each.
    assert_eq!(channel.put(ms(100), 1, orders(), 16), Ok(()));
    assert_eq!(channel.put(ms(100), 2, orders(), 16), Ok(()));
    assert_eq!((channel.due(), channel.waiting()), (Some(ms(110)), 40.0));
    assert!(channel.leave(ms(109)).is_none());
    assert_eq!(channel.leave(ms(500)).map(|l| l.0), Some(1));
    assert_eq!(channel.leave(ms(500)).map(|l| l.0), Some(2));
    assert_eq!(channel.put(ms(500), 1, orders(), 2997), Err(Overrun::Lines));
    assert_eq!(channel.put(ms(500), 1, orders(), 1), Ok(()));
    assert_eq!(channel.put(ms(500), 1, orders(), 1), Ok(()));
    assert_eq!(channel.put(ms(500), 1, orders(), 1), Err(Overrun::Messages));
    assert_eq!(channel.put(ms(10_101), 1, orders(), 1), Ok(()));
    channel.drop_stream(1);
    assert_eq!((channel.due(), channel.waiting()), (None, 0.0));
}
