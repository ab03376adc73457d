//! Tests of the proxies' tables and picks, and of a server's work compared with queueing theory.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_server_model::{Admission, Avoidance, ProxyTables, ServerModel, ServerSpec, StaleUpdateError};
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

const NEVER_AVOIDS: Avoidance = Avoidance { after_failures: 0, duration: Duration::ZERO };

fn id(n: u32) -> ServerId {
    ServerId { addr: ([127, 0, 0, 1], 9000 + n as u16).into(), number: n }
}

fn update(incarnation: u64, stream: u32, sequence: u64, changes: Vec<Change>) -> Update {
    Update {
        term: 0,
        incarnation,
        stream,
        sequence,
        created_us: 0,
        endpoints_version: 0,
        cause: UpdateCause::ProxyJoined,
        changes,
    }
}

fn bind(weights: &[f32]) -> Change {
    let weight = |(i, weight): (usize, &f32)| ServerWeight { server: id(i as u32), weight: *weight };
    let weights = weights.iter().enumerate().map(weight).collect();
    let admission =
        vec![AdmissionRule { routes: 1, admitted_fraction: 0.5, retry_policy: RetryPolicy::Never }];
    Change::BindTable(TableBinding { table: 0, version: 1, routes: 0, weights, admission })
}

fn bound_tables(picks: Picks, weights: &[f32]) -> ProxyTables {
    let mut tables =
        ProxyTables::new(picks, Avoidance { after_failures: 3, duration: Duration::from_secs(2) }, &[id(7)]);
    tables.stream_accepted(1, 1, 0).unwrap();
    tables.apply(&update(1, 1, 1, vec![bind(weights), Change::RequestAck(5)])).unwrap();
    tables
}

#[rstest]
#[case::next_sequence(1, 1, 2, Ok(Some(9)))]
#[case::repeated_sequence(1, 1, 1, Err(StaleUpdateError))]
#[case::older_stream(1, 0, 2, Err(StaleUpdateError))]
#[case::other_incarnation(2, 1, 2, Err(StaleUpdateError))]
fn applies_only_newer_updates_of_the_stream(
    #[case] incarnation: u64,
    #[case] stream: u32,
    #[case] sequence: u64,
    #[case] applied: Result<Option<u16>, StaleUpdateError>,
) {
    let mut tables = bound_tables(Picks::Weighted, &[1.0, 1.0]);
    let removal = Change::SetWeight(WeightChange { table: 0, version: 2, server: id(0), weight: 0.0 });
    assert_eq!(
        tables.apply(&update(incarnation, stream, sequence, vec![removal, Change::RequestAck(9)])),
        applied
    );
    assert_eq!(tables.contains(id(0)), applied.is_err());
}

#[rstest]
fn bound_table_replaces_the_initial_table() {
    let tables = bound_tables(Picks::Weighted, &[1.0]);
    assert!(tables.contains(id(0)) && !tables.contains(id(7)) && !tables.is_unconfigured());
    assert_eq!(tables.admission(0), Admission { share: 0.5, retries: RetryPolicy::Never });
    assert_eq!(tables.admission(1), Admission { share: 1.0, retries: RetryPolicy::IfNotExecuted });
}

#[rstest]
#[case::weighted(Picks::Weighted, 0.02)]
#[case::in_turn(Picks::Round, 0.001)]
fn picks_follow_weights(#[case] picks: Picks, #[case] tolerance: f64) {
    let weights = [3.0, 1.0, 0.5, 0.5];
    let (mut tables, mut rng) = (bound_tables(picks, &weights), Pcg64Mcg::seed_from_u64(1));
    let mut picked = BTreeMap::<ServerId, f64>::new();
    for _ in 0..20_000 {
        let server = tables.pick(Duration::ZERO, &mut rng, 0, &[], |_| 0).unwrap();
        *picked.entry(server).or_default() += 1.0 / 20_000.0;
    }
    for (i, w) in weights.iter().enumerate() {
        let share = picked[&id(i as u32)];
        assert!(
            (share - f64::from(*w) / 5.0).abs() < tolerance,
            "server {i} was picked for {share} of the requests"
        );
    }
}

#[rstest]
fn picks_the_server_with_fewer_requests_in_flight_of_two_draws() {
    let (mut tables, mut rng) = (bound_tables(Picks::Two, &[1.0, 1.0]), Pcg64Mcg::seed_from_u64(1));
    let mut pick = || tables.pick(Duration::ZERO, &mut rng, 0, &[], |s| s.number as usize * 9).unwrap();
    let idle = (0..1000).filter(|_| pick() == id(0)).count();
    assert!((700..800).contains(&idle), "the idle server was picked for {idle} of 1000 requests");
}

#[rstest]
fn avoids_server_after_consecutive_failures_unless_no_other_is_left() {
    let (mut tables, mut rng) = (bound_tables(Picks::Weighted, &[1.0, 1.0]), Pcg64Mcg::seed_from_u64(1));
    (0..3).for_each(|_| tables.attempt_finished(Duration::ZERO, id(0), false));
    let mut pick = |at, tried: &[ServerId]| tables.pick(at, &mut rng, 0, tried, |_| 0);
    assert!((0..50).all(|_| pick(Duration::from_secs(1), &[]) == Some(id(1))));
    assert_eq!(pick(Duration::from_secs(1), &[id(1)]), Some(id(0)));
    assert!((0..50).any(|_| pick(Duration::from_secs(3), &[]) == Some(id(0))));
    assert_eq!(pick(Duration::ZERO, &[id(0), id(1)]), None);
}

fn server(cores: usize, cold: bool) -> ServerModel {
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
    let (warm_up, overload_window) = (Duration::from_secs(10), Duration::from_secs(1));
    ServerModel::new(
        ServerSpec { kind, warm_up, overload_multiple: 4.0, overload_window },
        1,
        Duration::ZERO,
        cold,
    )
}

/// Returns the mean wait of requests in an M/M/c queue in seconds, by Erlang's C formula.
fn erlang_wait(cores: usize, load: f64, service: f64) -> f64 {
    let a = load * cores as f64;
    let term = |k: usize| (1..=k).fold(1.0, |t, i| t * a / i as f64);
    let last = term(cores) / (1.0 - load);
    let wait_probability = last / ((0..cores).map(term).sum::<f64>() + last);
    wait_probability * service / (cores as f64 * (1.0 - load))
}

#[rstest]
#[case::one_core(1, 0.7)]
#[case::two_cores(2, 0.8)]
#[case::eight_cores(8, 0.85)]
fn waits_match_an_m_m_c_queue(#[case] cores: usize, #[case] load: f64) {
    let (mut server, mut rng) = (server(cores, false), Pcg64Mcg::seed_from_u64(5));
    let service = 0.02;
    let mut exp = |mean: f64| -mean * rng.random_range(f64::EPSILON..1.0f64).ln();
    let (mut now, mut total_latency, mut arrivals) = (0.0, 0.0, BTreeMap::new());
    let requests = 400_000;
    let mut complete_jobs =
        |server: &mut ServerModel, until: Option<Duration>, arrivals: &mut BTreeMap<u64, f64>| {
            while let Some(due) = server.next_completion().filter(|d| until.is_none_or(|u| *d <= u)) {
                for ticket in server.take_completed(due) {
                    total_latency += due.as_secs_f64() - arrivals.remove(&ticket).unwrap();
                }
            }
        };
    for ticket in 0..requests {
        now += exp(service / (load * cores as f64));
        let at = Duration::from_secs_f64(now);
        complete_jobs(&mut server, Some(at), &mut arrivals);
        arrivals.insert(ticket, now);
        assert!(server.accept(at, ticket, Duration::from_secs_f64(exp(service)), 0));
    }
    complete_jobs(&mut server, None, &mut arrivals);
    let (wait, expected) = (total_latency / requests as f64 - service, erlang_wait(cores, load, service));
    assert!(
        (wait / expected - 1.0).abs() < 0.06,
        "the mean wait is {wait:.5} s, Erlang's formula gives {expected:.5} s"
    );
}

#[rstest]
#[case::at_its_capacity(10, false)]
#[case::at_three_times_its_capacity(30, false)]
#[case::far_above_the_multiple(80, true)]
fn warming_server_crashes_above_a_multiple_of_its_capacity(#[case] requests: u64, #[case] crashes: bool) {
    // The server starts at a quarter of a core, so four times its capacity is one second of work per second.
    let mut server = server(1, true);
    for i in 0..requests {
        server.accept(Duration::from_millis(10 * i), i, Duration::from_millis(30), i);
    }
    assert_eq!(server.crashed, crashes);
}

#[rstest]
fn reports_utilization_of_the_cores() {
    let mut server = server(2, false);
    let at = Duration::from_millis;
    server.report(at(0), &[Figure::CpuShare], None);
    server.accept(at(0), 1, at(500), 0);
    server.take_completed(at(500));
    let report = server.report(at(1000), &[Figure::CpuShare, Figure::Pending], None);
    assert_eq!(report.values, [0.25, 0.0]);
    assert_eq!(server.report(at(1050), &[Figure::CpuShare], Some(0.0)).values, [0.0, 0.0]);
}

#[rstest]
#[case::same_term(4, true)]
#[case::newer_term(5, true)]
#[case::older_term(3, false)]
#[case::planner_without_terms(0, false)]
fn rejects_terms_older_than_the_newest_accepted(#[case] term: u64, #[case] applied: bool) {
    let mut tables = ProxyTables::new(Picks::Weighted, NEVER_AVOIDS, &[]);
    tables.stream_accepted(7, 1, 4).unwrap();
    let ack_request =
        |term, incarnation| Update { term, ..update(incarnation, 1, 1, vec![Change::RequestAck(3)]) };
    assert_eq!(
        tables.apply(&ack_request(3, 7)),
        Err(StaleUpdateError),
        "an update whose term differs from that of its stream is rejected"
    );
    assert_eq!(tables.apply(&ack_request(4, 7)), Ok(Some(3)));
    // The newest term outlasts a closed stream.
    tables.stream_closed();
    assert_eq!(tables.stream_accepted(8, 1, term).is_ok(), applied);
    assert_eq!(tables.apply(&ack_request(term, 8)).is_ok(), applied);
    assert_eq!(tables.term(), term.max(4));
}
