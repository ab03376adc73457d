//! What is observed of each site within a window, and the evidence that follows from it.

use crate::SiteId;
use crate::failure_detection::{DEAD_BELOW, Evidence};
use std::collections::VecDeque;
use std::time::Duration;

/// The fewest attempts that tell anything.
const MIN_ATTEMPTS: f64 = 4.0;
/// Attempts that make older ones needless.
const ENOUGH_ATTEMPTS: f64 = 8.0;
/// The newest part of the window, one in so many, counts whole in any case.
const NEWEST_PART_OF_WINDOW: u32 = 4;
/// Reports are kept for this many windows.
const REPORTS_KEPT_WINDOWS: u32 = 2;
/// The most health checks of a site that are kept.
const MAX_HEALTH_CHECKS: usize = 16;
/// The fewest health checks without an answer that tell anything.
const MIN_FAILED_HEALTH_CHECKS: usize = 2;

/// What one site's clients observed at another's servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptReport {
    /// The clients' site.
    pub from: SiteId,
    /// The servers' site.
    pub site: SiteId,
    /// How many attempts there were.
    pub attempts: f64,
    /// How many were answered.
    pub answered: f64,
    /// The sum of the waits of the answered, in seconds.
    pub total_wait_seconds: f64,
}

/// What was observed at a site's servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitSample {
    /// The attempts.
    pub attempts: f64,
    /// How many were answered.
    pub answered: f64,
    /// The mean wait of the answered, in seconds.
    pub mean_wait: Option<f64>,
}

/// What is observed of one site.
#[derive(Debug, Default)]
struct SiteObservations {
    /// With the time of each.
    reports: VecDeque<(Duration, AttemptReport)>,
    /// The time of each health check, and whether it was answered.
    health_checks: VecDeque<(Duration, bool)>,
    /// The site's own proxies that are connected, and when the last of them left.
    connected_proxies: usize,
    proxy_left_at: Option<Duration>,
    /// The last report of the site's own clients.
    clients_heard_at: Option<Duration>,
    /// Servers that the endpoint list calls ready, and how many it did before it dropped them all.
    ready_servers: usize,
    ready_servers_before: usize,
    /// When the list last had servers there again after it had none.
    relisted_at: Option<Duration>,
    /// The latest start of a listed server.
    started_at: Option<Duration>,
}

impl SiteObservations {
    /// The fraction of the newest attempts of some sites that were answered; what was answered before these is past.
    fn answered_fraction(&self, range: &TimeRange, is_from: impl Fn(SiteId) -> bool) -> Option<f64> {
        let (mut attempts, mut answered) = (0.0, 0.0);
        let reports =
            self.reports.iter().rev().filter(|(at, report)| *at > range.from && is_from(report.from));
        for (at, report) in reports {
            if attempts >= ENOUGH_ATTEMPTS && *at < range.newest_from() {
                break;
            }
            attempts += report.attempts;
            answered += report.answered;
        }
        (attempts >= MIN_ATTEMPTS).then(|| answered / attempts)
    }

    fn health_checks_answered(&self, range: &TimeRange) -> Option<bool> {
        let recent: Vec<bool> = self
            .health_checks
            .iter()
            .filter(|(at, _)| *at > range.from)
            .map(|(_, answered)| *answered)
            .collect();
        if recent.contains(&true) {
            Some(true)
        } else {
            (recent.len() >= MIN_FAILED_HEALTH_CHECKS).then_some(false)
        }
    }

    /// Whether the site's own clients report nothing, or its proxies have all left.
    fn is_silent(&self, range: &TimeRange) -> bool {
        let is_quiet = self.clients_heard_at.is_some_and(|at| range.now.saturating_sub(at) >= range.window);
        let have_proxies_left = self.connected_proxies == 0 && self.proxy_left_at.is_some();
        is_quiet || (have_proxies_left && self.clients_heard_at.is_none_or(|at| at <= range.from))
    }

    fn has_started_servers(&self, since: Duration) -> bool {
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| at > since);
        self.ready_servers > 0 && (is_recent(self.started_at) || is_recent(self.relisted_at))
    }
}

/// The observations that count.
#[derive(Debug, Clone, Copy)]
struct TimeRange {
    from: Duration,
    now: Duration,
    window: Duration,
}

impl TimeRange {
    fn newest_from(&self) -> Duration {
        self.now.saturating_sub(self.window / NEWEST_PART_OF_WINDOW)
    }
}

/// What is observed of all sites.
#[derive(Debug)]
pub struct Observations {
    sites: Vec<SiteObservations>,
    window: Duration,
}

impl Observations {
    /// Without any observation. `window` is the age from which on observations tell nothing: a few report cycles.
    pub fn new(sites: usize, window: Duration) -> Observations {
        Observations { sites: (0..sites).map(|_| SiteObservations::default()).collect(), window }
    }

    /// Records what a site's clients observed.
    pub fn attempts_reported(&mut self, now: Duration, report: AttemptReport) {
        let oldest = now.saturating_sub(self.window * REPORTS_KEPT_WINDOWS);
        if let Some(site) = self.sites.get_mut(report.site) {
            while site.reports.front().is_some_and(|(at, _)| *at < oldest) {
                site.reports.pop_front();
            }
            site.reports.push_back((now, report));
        }
        self.clients_heard(now, report.from);
    }

    /// Records that a site's own clients report.
    pub fn clients_heard(&mut self, now: Duration, site: SiteId) {
        if let Some(site) = self.sites.get_mut(site) {
            site.clients_heard_at = Some(now);
        }
    }

    /// Records a health check of one of a site's servers.
    pub fn health_check_finished(&mut self, now: Duration, site: SiteId, answered: bool) {
        if let Some(site) = self.sites.get_mut(site) {
            site.health_checks.push_back((now, answered));
            if site.health_checks.len() > MAX_HEALTH_CHECKS {
                site.health_checks.pop_front();
            }
        }
    }

    /// Records that a proxy of the site connected.
    pub fn proxy_joined(&mut self, now: Duration, site: SiteId) {
        if let Some(site) = self.sites.get_mut(site) {
            site.connected_proxies += 1;
            site.clients_heard_at = Some(now);
        }
    }

    /// Records that the stream of a proxy of the site ended.
    pub fn proxy_left(&mut self, now: Duration, site: SiteId) {
        if let Some(site) = self.sites.get_mut(site) {
            site.connected_proxies = site.connected_proxies.saturating_sub(1);
            site.proxy_left_at = Some(now);
        }
    }

    /// Records the endpoint list of a site: its ready servers, and the latest start among them, if known.
    pub fn endpoints_listed(
        &mut self,
        now: Duration,
        site: SiteId,
        ready_servers: usize,
        started_at: Option<Duration>,
    ) {
        if let Some(site) = self.sites.get_mut(site) {
            if ready_servers == 0 && site.ready_servers > 0 {
                site.ready_servers_before = site.ready_servers;
            } else if ready_servers > 0 && site.ready_servers == 0 && site.ready_servers_before > 0 {
                site.relisted_at = Some(now);
            }
            site.ready_servers = ready_servers;
            site.started_at = started_at;
        }
    }

    /// The evidence on a site. Only what was observed after `since` counts: older observations are of another state.
    ///
    /// # Panics
    ///
    /// If there is no such site.
    pub fn evidence(&self, now: Duration, site: SiteId, since: Duration) -> Evidence {
        let from = now.saturating_sub(self.window).max(since);
        let range = TimeRange { from, now, window: self.window };
        let observed = &self.sites[site];
        Evidence {
            answered_to_others: observed.answered_fraction(&range, |from| from != site),
            answered_to_itself: observed.answered_fraction(&range, |from| from == site),
            observers_failing: self.observers_failing(&range, site),
            health_checks_answered: observed.health_checks_answered(&range),
            // A controller that hears from no other site is itself the one that is partitioned.
            is_silent: self.hears_others(now, site) && observed.is_silent(&range),
            is_unlisted: observed.ready_servers == 0 && observed.ready_servers_before > 0,
            has_started_servers: observed.has_started_servers(since),
        }
    }

    fn observers_failing(&self, range: &TimeRange, site: SiteId) -> Option<f64> {
        let observed = &self.sites[site];
        let others = (0..self.sites.len()).filter(|other| *other != site);
        let answered: Vec<f64> =
            others.filter_map(|other| observed.answered_fraction(range, |from| from == other)).collect();
        let failing = answered.iter().filter(|fraction| **fraction < DEAD_BELOW).count();
        (!answered.is_empty()).then(|| failing as f64 / answered.len() as f64)
    }

    fn hears_others(&self, now: Duration, site: SiteId) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < self.window;
        let mut others = self.sites.iter().enumerate().filter(|(other, _)| *other != site);
        others.any(|(_, other)| other.clients_heard_at.is_some_and(is_recent))
    }

    /// What was observed at a site's servers after `since`.
    ///
    /// # Panics
    ///
    /// If there is no such site.
    pub fn wait_sample(&self, site: SiteId, since: Duration) -> WaitSample {
        let (mut attempts, mut answered, mut total_wait) = (0.0, 0.0, 0.0);
        for (_, report) in self.sites[site].reports.iter().filter(|(at, _)| *at > since) {
            attempts += report.attempts;
            answered += report.answered;
            total_wait += report.total_wait_seconds;
        }
        WaitSample { attempts, answered, mean_wait: (answered > 0.0).then(|| total_wait / answered) }
    }
}
