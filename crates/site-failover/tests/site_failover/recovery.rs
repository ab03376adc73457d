//! The return of a failed site.

use crate::scene::{FAILED, HEALTHY, Scene, failed, play, state_of_first};
use grebespool_site_failover::*;
use rstest::rstest;

#[rstest]
fn returns_step_by_step_as_requests_are_answered() {
    let (mut sites, mut host) = failed();
    play(&mut sites, &mut host, 10.0, 25.0, Scene { health_checks: Some(true), ..HEALTHY });
    let weights: Vec<f64> = host.weights.iter().map(|(_, fraction)| *fraction).collect();
    assert_eq!(weights, [0.1, 0.25, 0.5, 0.75, 1.0, 1.0]);
    assert_eq!(state_of_first(&sites), SiteState::Healthy);
}

#[rstest]
#[case::without_attempts(Scene { others: [None, None], itself: None, health_checks: Some(true), ..HEALTHY }, 0.1)]
#[case::with_long_waits(Scene { wait_seconds: 1.0, health_checks: Some(true), ..HEALTHY }, 0.1)]
#[case::with_unanswered_attempts(Scene { others: [Some(0.8), Some(0.8)], itself: Some(0.8), health_checks: Some(true), ..HEALTHY }, 0.1)]
fn holds_a_step_that_is_not_proven(#[case] scene: Scene, #[case] expected: f64) {
    let (mut sites, mut host) = failed();
    play(&mut sites, &mut host, 10.0, 30.0, scene);
    assert!(host.weights.iter().all(|(_, fraction)| *fraction == expected), "{:?}", host.weights);
    assert!(host.log.iter().any(|text| text.contains("holding step")));
}

#[rstest]
fn steps_back_when_requests_fail_and_slows_down_with_flaps() {
    let (mut sites, mut host) = failed();
    let answering = Scene { health_checks: Some(true), ..HEALTHY };
    play(&mut sites, &mut host, 10.0, 14.5, answering);
    let before = host.weights.last().unwrap().1;
    play(
        &mut sites,
        &mut host,
        14.5,
        16.0,
        Scene { others: [Some(0.4), Some(0.4)], itself: Some(0.4), ..answering },
    );
    assert!(host.weights.last().unwrap().1 < before, "{:?}", host.weights);
    // The site fails again five times. Each return takes at least as long as the one before, up to a limit.
    let mut durations = vec![];
    let mut at = 16.0;
    for _ in 0..5 {
        play(&mut sites, &mut host, at, at + 4.0, Scene { health_checks: Some(false), ..FAILED });
        assert_eq!(state_of_first(&sites), SiteState::Failed);
        at += 4.0;
        let began_at = at;
        while !matches!(state_of_first(&sites), SiteState::Recovering(ramp) if ramp.weight_fraction() >= 0.25)
        {
            play(&mut sites, &mut host, at, at + 0.5, answering);
            at += 0.5;
        }
        durations.push(at - began_at);
    }
    assert!(durations.is_sorted() && durations[4] > 1.5 * durations[0], "{durations:?}");
    assert!(durations[4] <= 8.0, "{durations:?}");
}
