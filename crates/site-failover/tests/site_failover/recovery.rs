//! The return of a failed site.

use crate::scene::{FAILED, HEALTHY, Scene, failed, play, state_of_first};
use grebespool_site_failover::*;
use rstest::rstest;

#[rstest]
fn returns_by_steps_that_answers_prove() {
    let (mut sites, mut host) = failed();
    play(&mut sites, &mut host, 10.0, 25.0, Scene { health_checks: Some(true), ..HEALTHY });
    let weights: Vec<f64> = host.weights.iter().map(|p| p.1).collect();
    assert_eq!(weights, [0.1, 0.25, 0.5, 0.75, 1.0, 1.0]);
    assert_eq!(state_of_first(&sites), SiteState::Healthy);
}

#[rstest]
#[case::without_calls(Scene { others: [None, None], itself: None, health_checks: Some(true), ..HEALTHY }, 0.1)]
#[case::with_waits_that_rise(Scene { wait_seconds: 1.0, health_checks: Some(true), ..HEALTHY }, 0.1)]
#[case::with_answers_missing(Scene { others: [Some(0.8), Some(0.8)], itself: Some(0.8), health_checks: Some(true), ..HEALTHY }, 0.1)]
fn holds_a_step_that_nothing_proves(#[case] scene: Scene, #[case] part: f64) {
    let (mut sites, mut host) = failed();
    play(&mut sites, &mut host, 10.0, 30.0, scene);
    assert!(host.weights.iter().all(|p| p.1 == part), "{:?}", host.weights);
    assert!(host.log.iter().any(|t| t.contains("is held")));
}

#[rstest]
fn steps_back_when_requests_fail_and_slows_down_with_flaps() {
    let (mut sites, mut host) = failed();
    let good = Scene { health_checks: Some(true), ..HEALTHY };
    play(&mut sites, &mut host, 10.0, 14.5, good);
    let before = host.weights.last().unwrap().1;
    play(
        &mut sites,
        &mut host,
        14.5,
        16.0,
        Scene { others: [Some(0.4), Some(0.4)], itself: Some(0.4), ..good },
    );
    assert!(host.weights.last().unwrap().1 < before, "{:?}", host.weights);
    // Lost again, twice: each return takes longer, up to a limit.
    let mut spans = vec![];
    let mut at = 16.0;
    for _ in 0..5 {
        play(&mut sites, &mut host, at, at + 4.0, Scene { health_checks: Some(false), ..FAILED });
        assert_eq!(state_of_first(&sites), SiteState::Failed);
        at += 4.0;
        let from = at;
        while !matches!(state_of_first(&sites), SiteState::Recovering(p) if p.weight_fraction() >= 0.25) {
            play(&mut sites, &mut host, at, at + 0.5, good);
            at += 0.5;
        }
        spans.push(at - from);
    }
    assert!(spans.is_sorted() && spans[4] > 1.5 * spans[0], "{spans:?}");
    assert!(spans[4] <= 8.0, "{spans:?}");
}
