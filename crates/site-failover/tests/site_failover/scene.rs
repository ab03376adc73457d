//! A scene: what happens at site 0 of three while the others are healthy.

use crate::helpers::{PARAMETERS, demand, report};
use grebespool_site_failover::*;
use std::time::Duration;

pub(crate) fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[derive(Default)]
pub(crate) struct TestHost {
    pub(crate) weights: Vec<(SiteId, f64)>,
    pub(crate) admissions: Vec<Vec<f64>>,
    pub(crate) log: Vec<String>,
}

impl FailoverHost for TestHost {
    fn limit_site_weight(&mut self, site: SiteId, part: f64) {
        self.weights.push((site, part));
    }
    fn limit_admission(&mut self, fractions: &[f64]) {
        self.admissions.push(fractions.to_vec());
    }
    fn log(&mut self, event: FailoverEvent) {
        self.log.push(event.change.to_string());
    }
}

/// What happens at site 0 of three, once in half a second; the others are well and call it.
#[derive(Clone, Copy, Default)]
pub(crate) struct Scene {
    /// The fractions of the attempts of sites 1 and 2, and of its own clients, that are answered there; unset if none report.
    pub(crate) others: [Option<f64>; 2],
    pub(crate) itself: Option<f64>,
    pub(crate) health_checks: Option<bool>,
    pub(crate) streams_end: bool,
    pub(crate) unlisted: bool,
    pub(crate) wait_seconds: f64,
}

pub(crate) const HEALTHY: Scene = Scene {
    others: [Some(1.0), Some(1.0)],
    itself: Some(1.0),
    health_checks: None,
    streams_end: false,
    unlisted: false,
    wait_seconds: 0.05,
};

pub(crate) fn play(sites: &mut SiteFailover, host: &mut TestHost, from: f64, to: f64, scene: Scene) {
    let mut at = from;
    let mut ended = false;
    while at < to {
        let now = s(at);
        for (from, part) in [(1, scene.others[0]), (2, scene.others[1]), (0, scene.itself)] {
            if let Some(part) = part {
                sites.observations().attempts_reported(
                    now,
                    report(from, 0, 20.0, 20.0 * part, 20.0 * part * scene.wait_seconds),
                );
            }
        }
        for (from, to) in [(1, 1), (2, 2), (1, 2), (2, 1)] {
            sites.observations().attempts_reported(now, report(from, to, 20.0, 20.0, 1.0));
        }
        scene
            .health_checks
            .into_iter()
            .for_each(|good| sites.observations().health_check_finished(now, 0, good));
        if scene.streams_end && !ended {
            (0..4).for_each(|_| sites.observations().proxy_left(now, 0));
            ended = true;
        }
        sites.observations().endpoints_listed(now, 0, if scene.unlisted { 0 } else { 10 }, None);
        sites.evaluate(now, host);
        at += 0.5;
    }
}

pub(crate) fn healthy() -> (SiteFailover, TestHost) {
    let mut sites = SiteFailover::new(3, vec![demand(1.0), demand(4.0)], PARAMETERS);
    let mut host = TestHost::default();
    (0..4).for_each(|_| sites.observations().proxy_joined(s(0.0), 0));
    for site in 0..3 {
        sites.capacity_reported(site, 100.0, vec![40.0, 30.0]);
    }
    play(&mut sites, &mut host, 0.0, 5.0, HEALTHY);
    (sites, host)
}

pub(crate) fn state_of_first(sites: &SiteFailover) -> SiteState {
    sites.state(0).unwrap()
}

pub(crate) const FAILED: Scene = Scene {
    others: [Some(0.0), Some(0.0)],
    itself: None,
    health_checks: None,
    streams_end: true,
    unlisted: false,
    wait_seconds: 0.0,
};

pub(crate) fn failed() -> (SiteFailover, TestHost) {
    let (mut sites, mut host) = healthy();
    play(&mut sites, &mut host, 5.0, 10.0, Scene { health_checks: Some(false), ..FAILED });
    assert_eq!(state_of_first(&sites), SiteState::Failed);
    host.weights.clear();
    (sites, host)
}
