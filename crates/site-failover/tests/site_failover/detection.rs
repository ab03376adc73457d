//! Failure detection: failed sites are distinguished from sites that only appear to have failed.

use crate::helpers::report;
use crate::scene::{FAILED, HEALTHY, Scene, healthy, play, s, state_of_first};
use grebespool_site_failover::*;
use rstest::rstest;

/// Several kinds of evidence together show a failure or a partition; one kind alone does not.
#[rstest]
#[case::healthy(HEALTHY, "whole")]
#[case::failed_with_its_clients(FAILED, "lost")]
#[case::failed_while_its_clients_report_failures(Scene { itself: Some(0.0), streams_end: false, ..FAILED }, "lost")]
#[case::failed_with_failing_health_checks(Scene { health_checks: Some(false), streams_end: false, itself: None, ..FAILED }, "lost")]
#[case::failed_and_unlisted_without_attempts(
    Scene { others: [None, None], health_checks: Some(false), unlisted: true, ..FAILED }, "lost")]
#[case::partitioned_from_all_other_sites(Scene { others: [Some(0.0), Some(0.0)], ..HEALTHY }, "cut off")]
#[case::partitioned_from_one_other_site(Scene { others: [Some(0.0), Some(1.0)], ..HEALTHY }, "doubted")]
#[case::collectors_stopped_reporting(Scene { itself: None, ..HEALTHY }, "whole")]
#[case::collectors_stopped_reporting_and_streams_ended(Scene { itself: None, streams_end: true, ..HEALTHY }, "whole")]
#[case::unlisted_but_answering(Scene { unlisted: true, ..HEALTHY }, "whole")]
#[case::half_of_its_servers_failed(Scene { others: [Some(0.5), Some(0.5)], itself: Some(0.5), ..HEALTHY }, "whole")]
#[case::answers_slowly(Scene { wait_seconds: 3.0, ..HEALTHY }, "whole")]
#[case::attempts_fail_but_health_checks_are_answered(Scene { health_checks: Some(true), ..FAILED }, "doubted")]
#[case::silent_without_attempts(Scene { others: [None, None], ..FAILED }, "doubted")]
fn derives_the_state_of_a_site_from_its_evidence(#[case] scene: Scene, #[case] expected: &str) {
    let (mut sites, mut host) = healthy();
    play(&mut sites, &mut host, 5.0, 10.0, scene);
    assert_eq!(state_of_first(&sites).to_string(), expected, "{:?}", host.log);
}

/// A failure leads to a failover within 3 s. Failing attempts in a single round of reports do not.
#[rstest]
fn fails_over_soon_and_ignores_a_short_disturbance() {
    let (mut sites, mut host) = healthy();
    play(
        &mut sites,
        &mut host,
        5.0,
        5.5,
        Scene { others: [Some(0.0), Some(0.0)], itself: Some(0.0), ..HEALTHY },
    );
    play(&mut sites, &mut host, 5.5, 9.0, HEALTHY);
    assert_eq!(state_of_first(&sites), SiteState::Healthy);
    let mut at = 9.0;
    while state_of_first(&sites) != SiteState::Failed {
        assert!(at < 13.0, "{:?}", host.log);
        play(&mut sites, &mut host, at, at + 0.5, Scene { streams_end: at == 9.0, ..FAILED });
        at += 0.5;
    }
    assert!(at <= 12.0, "{at}");
    assert_eq!(host.weights.last(), Some(&(0, 0.0)));
    // Of the demand of 210, 180 fits into nine tenths of the capacity of 200: all 90 of the route with the higher weight, and
    // 90 of the 120 of the other route.
    let admissions = host.admissions.last().unwrap();
    assert!(admissions[1] == 1.0 && (admissions[0] - 0.75).abs() < 1e-9, "{admissions:?}");
}

/// The last site stays in service even if all attempts fail, since the planner itself is then probably partitioned.
#[rstest]
fn never_takes_the_last_site_out() {
    let (mut sites, mut host) = healthy();
    for tick in 10..30 {
        let now = s(f64::from(tick) / 2.0);
        for (from, site) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1), (0, 0), (1, 1), (2, 2)] {
            sites.observations().attempts_reported(now, report(from, site, 20.0, 0.0, 0.0));
        }
        sites.evaluate(now, &mut host);
    }
    assert!(sites.unavailable_sites().len() < 3, "{:?}", sites.unavailable_sites());
}
