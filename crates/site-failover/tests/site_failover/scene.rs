//! Scenes: conditions at site 0 of three, while the other sites are healthy.

use crate::helpers::{PARAMETERS, demand, report};
use grebespool_site_failover::*;
use std::time::Duration;

pub(crate) fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Records the limits and the texts of the events.
#[derive(Default)]
pub(crate) struct TestHost {
    pub(crate) weights: Vec<(SiteId, f64)>,
    pub(crate) admissions: Vec<Vec<f64>>,
    pub(crate) log: Vec<String>,
}

impl FailoverHost for TestHost {
    fn limit_site_weight(&mut self, site: SiteId, fraction: f64) {
        self.weights.push((site, fraction));
    }
    fn limit_admission(&mut self, fractions: &[f64]) {
        self.admissions.push(fractions.to_vec());
    }
    fn log(&mut self, event: FailoverEvent) {
        self.log.push(event.change.to_string());
    }
}

/// The observations at site 0 of three, repeated every half second. The other sites are healthy and make attempts there.
#[derive(Clone, Copy, Default)]
pub(crate) struct Scene {
    /// The answered fractions of the attempts of sites 1 and 2 at site 0; unset if the site does not report any.
    pub(crate) others: [Option<f64>; 2],
    /// The answered fraction of the attempts of site 0's own clients; unset if these do not report.
    pub(crate) itself: Option<f64>,
    /// True if health checks are answered, false if they fail; unset if there are no health checks.
    pub(crate) health_checks: Option<bool>,
    /// True if the streams of site 0's proxies end at the beginning of the scene.
    pub(crate) streams_end: bool,
    /// True if the endpoint list has dropped all servers of site 0.
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

/// Plays a scene from one time to another, in seconds.
pub(crate) fn play(sites: &mut SiteFailover, host: &mut TestHost, from: f64, to: f64, scene: Scene) {
    let mut at = from;
    let mut have_streams_ended = false;
    while at < to {
        let now = s(at);
        for (from, answered) in [(1, scene.others[0]), (2, scene.others[1]), (0, scene.itself)] {
            if let Some(answered) = answered {
                sites.observations().attempts_reported(
                    now,
                    report(from, 0, 20.0, 20.0 * answered, 20.0 * answered * scene.wait_seconds),
                );
            }
        }
        for (from, to) in [(1, 1), (2, 2), (1, 2), (2, 1)] {
            sites.observations().attempts_reported(now, report(from, to, 20.0, 20.0, 1.0));
        }
        scene
            .health_checks
            .into_iter()
            .for_each(|answered| sites.observations().health_check_finished(now, 0, answered));
        if scene.streams_end && !have_streams_ended {
            (0..4).for_each(|_| sites.observations().proxy_left(now, 0));
            have_streams_ended = true;
        }
        sites.observations().endpoints_listed(now, 0, if scene.unlisted { 0 } else { 10 }, None);
        sites.evaluate(now, host);
        at += 0.5;
    }
}

/// Returns three healthy sites after 5 s.
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

/// Returns three sites after 10 s, of which site 0 has failed.
pub(crate) fn failed() -> (SiteFailover, TestHost) {
    let (mut sites, mut host) = healthy();
    play(&mut sites, &mut host, 5.0, 10.0, Scene { health_checks: Some(false), ..FAILED });
    assert_eq!(state_of_first(&sites), SiteState::Failed);
    host.weights.clear();
    (sites, host)
}
