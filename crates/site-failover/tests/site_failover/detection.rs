//! What tells a failed site from one that only looks like it.

use crate::helpers::report;
use crate::scene::{FAILED, HEALTHY, Scene, healthy, play, s, state_of_first};
use grebespool_site_failover::*;
use rstest::rstest;

/// What tells a loss from what looks like one, and what each sign alone is worth.
#[rstest]
#[case::all_is_well(HEALTHY, "whole")]
#[case::lost_with_its_callers(FAILED, "lost")]
#[case::lost_and_its_callers_are_elsewhere(Scene { itself: Some(0.0), streams_end: false, ..FAILED }, "lost")]
#[case::lost_and_probes_say_so(Scene { health_checks: Some(false), streams_end: false, itself: None, ..FAILED }, "lost")]
#[case::lost_and_unlisted_and_nobody_tries_there(
    Scene { others: [None, None], health_checks: Some(false), unlisted: true, ..FAILED }, "lost")]
#[case::cut_off_from_all(Scene { others: [Some(0.0), Some(0.0)], ..HEALTHY }, "cut off")]
#[case::cut_off_one_way(Scene { others: [Some(0.0), Some(1.0)], ..HEALTHY }, "doubted")]
#[case::its_collectors_fell_silent(Scene { itself: None, ..HEALTHY }, "whole")]
#[case::its_collectors_and_streams_fell_silent(Scene { itself: None, streams_end: true, ..HEALTHY }, "whole")]
#[case::its_entries_vanished_from_the_list(Scene { unlisted: true, ..HEALTHY }, "whole")]
#[case::half_of_its_servers_are_gone(Scene { others: [Some(0.5), Some(0.5)], itself: Some(0.5), ..HEALTHY }, "whole")]
#[case::it_answers_slowly(Scene { wait_seconds: 3.0, ..HEALTHY }, "whole")]
#[case::calls_fail_and_probes_are_answered(Scene { health_checks: Some(true), ..FAILED }, "doubted")]
#[case::nobody_tries_and_it_is_silent(Scene { others: [None, None], ..FAILED }, "doubted")]
fn judges_a_site_by_its_evidence(#[case] scene: Scene, #[case] expected: &str) {
    let (mut sites, mut host) = healthy();
    play(&mut sites, &mut host, 5.0, 10.0, scene);
    assert_eq!(state_of_first(&sites).to_string(), expected, "{:?}", host.log);
}

/// A loss is acted on within the window's first reports and the confirmation, and a hiccup of one report is not.
#[rstest]
fn fails_over_soon_and_ignores_a_hiccup() {
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
    // 120 of 210 asked for fit into nine tenths of 200; the more important route is whole.
    let admissions = host.admissions.last().unwrap();
    assert!(admissions[1] == 1.0 && (admissions[0] - 0.75).abs() < 1e-9, "{admissions:?}");
}

/// The last one is not taken out, whatever is seen: then it is the planner that is cut off.
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
