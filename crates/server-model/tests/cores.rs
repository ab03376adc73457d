//! What a proxy holds and how it picks, and a server's work, beside what the textbook gives.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_server_model::{Ability, Held, Machine, Stale};
use grebespool_settings::{Figure, Picks, ServerKind, Span};
use grebespool_wire::{
    AdmissionRule, Change, RetryPolicy, ServerId, ServerWeight, TableBinding, Update, UpdateCause,
    WeightChange,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

fn id(n: u32) -> ServerId {
    ServerId { addr: ([127, 0, 0, 1], 9000 + n as u16).into(), number: n }
}

fn orders(start: u64, stream: u32, seq: u64, parts: Vec<Change>) -> Update {
    Update {
        term: 0,
        incarnation: start,
        stream,
        sequence: seq,
        created_us: 0,
        endpoints_version: 0,
        cause: UpdateCause::ProxyJoined,
        changes: parts,
    }
}

fn bind(weights: &[f32]) -> Change {
    let weight = |(i, weight): (usize, &f32)| ServerWeight { server: id(i as u32), weight: *weight };
    let weights = weights.iter().enumerate().map(weight).collect();
    let levels = vec![AdmissionRule { routes: 1, admitted_fraction: 0.5, retry_policy: RetryPolicy::Never }];
    Change::BindTable(TableBinding { table: 0, version: 1, routes: 0, weights, admission: levels })
}

fn held(picks: Picks, weights: &[f32]) -> Held {
    let mut held = Held::new(picks, (3, Duration::from_secs(2)), &[id(7)]);
    held.welcomed(1, 1, 0).unwrap();
    held.obey(&orders(1, 1, 1, vec![bind(weights), Change::RequestAck(5)])).unwrap();
    held
}

#[rstest]
#[case::the_next(1, 1, 2, Ok(Some(9)))]
#[case::again(1, 1, 1, Err(Stale))]
#[case::of_a_former_stream(1, 0, 2, Err(Stale))]
#[case::of_another_start(2, 1, 2, Err(Stale))]
fn only_newer_orders_of_the_stream_are_obeyed(
    #[case] start: u64,
    #[case] stream: u32,
    #[case] seq: u64,
    #[case] obeyed: Result<Option<u16>, Stale>,
) {
    let mut held = held(Picks::Weighted, &[1.0, 1.0]);
    let line = Change::SetWeight(WeightChange { table: 0, version: 2, server: id(0), weight: 0.0 });
    assert_eq!(held.obey(&orders(start, stream, seq, vec![line, Change::RequestAck(9)])), obeyed);
    assert_eq!(held.names(id(0)), obeyed.is_err());
}

#[rstest]
fn a_bound_table_replaces_what_it_began_with() {
    let held = held(Picks::Weighted, &[1.0]);
    assert!(held.names(id(0)) && !held.names(id(7)) && !held.bare());
    assert_eq!(
        (held.level(0), held.level(1)),
        ((0.5, RetryPolicy::Never), (1.0, RetryPolicy::IfNotExecuted))
    );
}

#[rstest]
#[case::weighted(Picks::Weighted, 0.02)]
#[case::round(Picks::Round, 0.001)]
fn shares_follow_weights(#[case] picks: Picks, #[case] off: f64) {
    let weights = [3.0, 1.0, 0.5, 0.5];
    let (mut held, mut rng) = (held(picks, &weights), Pcg64Mcg::seed_from_u64(1));
    let mut picked = BTreeMap::<ServerId, f64>::new();
    for _ in 0..20_000 {
        let server = held.pick(Duration::ZERO, &mut rng, 0, &[], |_| 0).unwrap();
        *picked.entry(server).or_default() += 1.0 / 20_000.0;
    }
    for (i, w) in weights.iter().enumerate() {
        let share = picked[&id(i as u32)];
        assert!((share - f64::from(*w) / 5.0).abs() < off, "server {i}: {share}");
    }
}

#[rstest]
fn of_two_the_one_with_less_in_hand_is_picked() {
    let (mut held, mut rng) = (held(Picks::Two, &[1.0, 1.0]), Pcg64Mcg::seed_from_u64(1));
    let mut pick = || held.pick(Duration::ZERO, &mut rng, 0, &[], |s| s.number as usize * 9).unwrap();
    let idle = (0..1000).filter(|_| pick() == id(0)).count();
    assert!((700..800).contains(&idle), "{idle} of 1000");
}

#[rstest]
fn a_server_is_kept_away_from_after_a_run_of_failures_unless_it_is_the_last() {
    let (mut held, mut rng) = (held(Picks::Weighted, &[1.0, 1.0]), Pcg64Mcg::seed_from_u64(1));
    (0..3).for_each(|_| held.met(Duration::ZERO, id(0), false));
    let mut pick = |at, tried: &[ServerId]| held.pick(at, &mut rng, 0, tried, |_| 0);
    assert!((0..50).all(|_| pick(Duration::from_secs(1), &[]) == Some(id(1))));
    assert_eq!(pick(Duration::from_secs(1), &[id(1)]), Some(id(0)));
    assert!((0..50).any(|_| pick(Duration::from_secs(3), &[]) == Some(id(0))));
    assert_eq!(pick(Duration::ZERO, &[id(0), id(1)]), None);
}

fn machine(cores: usize, cold: bool) -> Machine {
    let kind = ServerKind {
        zone: "a".into(),
        count: 1,
        cores,
        speed: 1.0,
        room: 100_000,
        connections: 10,
        handshake: Span(Duration::ZERO),
        cold: 0.25,
        warm_keys: 0.0,
        refresh: Span(Duration::from_millis(100)),
    };
    let (warm_up, fall) = (Duration::from_secs(10), Duration::from_secs(1));
    Machine::new(Ability { kind, warm_up, fall_multiple: 4.0, fall }, 1, Duration::ZERO, cold)
}

/// The mean wait of calls in an M/M/c queue, by Erlang's formula.
fn erlang_wait(cores: usize, load: f64, service: f64) -> f64 {
    let a = load * cores as f64;
    let term = |k: usize| (1..=k).fold(1.0, |t, i| t * a / i as f64);
    let last = term(cores) / (1.0 - load);
    let waits = last / ((0..cores).map(term).sum::<f64>() + last);
    waits * service / (cores as f64 * (1.0 - load))
}

#[rstest]
#[case::one_core(1, 0.7)]
#[case::two_cores(2, 0.8)]
#[case::eight_cores(8, 0.85)]
fn waits_are_those_of_an_m_m_c_queue(#[case] cores: usize, #[case] load: f64) {
    let (mut machine, mut rng) = (machine(cores, false), Pcg64Mcg::seed_from_u64(5));
    let service = 0.02;
    let mut exp = |mean: f64| -mean * rng.random_range(f64::EPSILON..1.0f64).ln();
    let (mut now, mut took, mut arrived) = (0.0, 0.0, BTreeMap::new());
    let calls = 400_000;
    let mut done = |machine: &mut Machine, until: Option<Duration>, arrived: &mut BTreeMap<u64, f64>| {
        while let Some(due) = machine.due().filter(|d| until.is_none_or(|u| *d <= u)) {
            for ticket in machine.done(due) {
                took += due.as_secs_f64() - arrived.remove(&ticket).unwrap();
            }
        }
    };
    for ticket in 0..calls {
        now += exp(service / (load * cores as f64));
        let at = Duration::from_secs_f64(now);
        done(&mut machine, Some(at), &mut arrived);
        arrived.insert(ticket, now);
        assert!(machine.arrive(at, ticket, Duration::from_secs_f64(exp(service)), 0));
    }
    done(&mut machine, None, &mut arrived);
    let (wait, expected) = (took / calls as f64 - service, erlang_wait(cores, load, service));
    assert!(
        (wait / expected - 1.0).abs() < 0.06,
        "waits {wait:.5} s, Erlang's formula gives {expected:.5} s"
    );
}

#[rstest]
#[case::its_share(10, false)]
#[case::three_times(30, false)]
#[case::far_more(80, true)]
fn a_cold_server_falls_over_past_a_multiple_of_what_it_is_able_to(#[case] calls: u64, #[case] falls: bool) {
    // Able to a quarter of a core's second and rising: four times that is a second's work at the start.
    let mut machine = machine(1, true);
    for i in 0..calls {
        machine.arrive(Duration::from_millis(10 * i), i, Duration::from_millis(30), i);
    }
    assert_eq!(machine.fallen, falls);
}

#[rstest]
fn a_report_tells_how_busy_the_cores_were() {
    let mut machine = machine(2, false);
    let at = Duration::from_millis;
    machine.report(at(0), &[Figure::CpuShare], None);
    machine.arrive(at(0), 1, at(500), 0);
    machine.done(at(500));
    let report = machine.report(at(1000), &[Figure::CpuShare, Figure::Pending], None);
    assert_eq!(report.values, [0.25, 0.0]);
    assert_eq!(machine.report(at(1050), &[Figure::CpuShare], Some(0.0)).values, [0.0, 0.0]);
}

#[rstest]
#[case::the_same_epoch(4, true)]
#[case::a_newer(5, true)]
#[case::an_older(3, false)]
#[case::a_planner_that_shares_nothing(0, false)]
fn a_proxy_obeys_no_epoch_older_than_the_newest_that_it_has_seen(#[case] epoch: u64, #[case] obeyed: bool) {
    let mut held = Held::new(Picks::Weighted, (0, Duration::ZERO), &[]);
    held.welcomed(7, 1, 4).unwrap();
    let bind = |epoch, start| Update { term: epoch, ..orders(start, 1, 1, vec![Change::RequestAck(3)]) };
    assert_eq!(held.obey(&bind(3, 7)), Err(Stale), "orders that say another epoch than their stream's");
    assert_eq!(held.obey(&bind(4, 7)), Ok(Some(3)));
    // Kept over a broken stream.
    held.left();
    assert_eq!(held.welcomed(8, 1, epoch).is_ok(), obeyed);
    assert_eq!(held.obey(&bind(epoch, 8)).is_ok(), obeyed);
    assert_eq!(held.epoch(), epoch.max(4));
}
