//! The observations of each site within a time window, and the evidence that follows from them.

use crate::SiteId;
use crate::failure_detection::{DEAD_BELOW, Evidence};
use std::collections::VecDeque;
use std::time::Duration;

/// The minimum number of attempts from which the answered fraction is computed.
const MIN_ATTEMPTS: f64 = 4.0;
/// The number of newer attempts from which older ones no longer count.
const ENOUGH_ATTEMPTS: f64 = 8.0;
/// The newest part of the window is the window divided by this number. All attempts in that part count.
const NEWEST_PART_OF_WINDOW: u32 = 4;
/// The time for which reports are kept, in windows.
const REPORT_RETENTION_WINDOWS: u32 = 2;
/// The maximum number of health checks that are kept of a site.
const MAX_HEALTH_CHECKS: usize = 16;
/// The minimum number of unanswered health checks that count as evidence.
const MIN_FAILED_HEALTH_CHECKS: usize = 2;

/// A report of the attempts that one site's clients made at the servers of a site.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptReport {
    /// The clients' site.
    pub from: SiteId,
    /// The servers' site.
    pub site: SiteId,
    /// The number of attempts.
    pub attempts: f64,
    /// The number of answered attempts.
    pub answered: f64,
    /// The sum of the waits of the answered attempts, in seconds.
    pub total_wait_seconds: f64,
}

/// The attempts at a site's servers and their mean wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitSample {
    /// The number of attempts.
    pub attempts: f64,
    /// The number of answered attempts.
    pub answered: f64,
    /// The mean wait of the answered attempts, in seconds.
    pub mean_wait: Option<f64>,
}

/// The observations of one site.
#[derive(Debug, Default)]
struct SiteObservations {
    /// The reports on the site's servers, each with its time of arrival.
    reports: VecDeque<(Duration, AttemptReport)>,
    /// The time of each health check, and true if it was answered.
    health_checks: VecDeque<(Duration, bool)>,
    /// The number of the site's own proxies that are connected.
    connected_proxies: usize,
    /// The time at which one of the site's own proxies last left.
    proxy_left_at: Option<Duration>,
    /// The time of the last report of the site's own clients, or of the last connection of one of its proxies.
    clients_reported_at: Option<Duration>,
    /// The number of the site's servers that the endpoint list calls ready.
    ready_servers: usize,
    /// The number of ready servers before the endpoint list last dropped them all; 0 if that never happened.
    ready_servers_before: usize,
    /// The time at which the endpoint list last had ready servers of the site again after it had none.
    relisted_at: Option<Duration>,
    /// The latest start of a listed server.
    started_at: Option<Duration>,
}

impl SiteObservations {
    /// Returns the answered fraction of the newest attempts from some sites; `None` if there were too few. Older attempts do
    /// not count, as the site may have changed since.
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

    /// Returns true if the site's own clients have stopped reporting, or its proxies have all left and no newer report has
    /// arrived.
    fn is_silent(&self, range: &TimeRange) -> bool {
        let have_clients_stopped =
            self.clients_reported_at.is_some_and(|at| range.now.saturating_sub(at) >= range.window);
        let have_proxies_left = self.connected_proxies == 0 && self.proxy_left_at.is_some();
        have_clients_stopped
            || (have_proxies_left && self.clients_reported_at.is_none_or(|at| at <= range.from))
    }

    fn has_started_servers(&self, since: Duration) -> bool {
        let is_recent = |at: Option<Duration>| at.is_some_and(|at| at > since);
        self.ready_servers > 0 && (is_recent(self.started_at) || is_recent(self.relisted_at))
    }
}

/// The time range of the observations that count as evidence.
#[derive(Debug, Clone, Copy)]
struct TimeRange {
    from: Duration,
    now: Duration,
    window: Duration,
}

impl TimeRange {
    /// Returns the beginning of the newest part of the window, in which all attempts count.
    fn newest_from(&self) -> Duration {
        self.now.saturating_sub(self.window / NEWEST_PART_OF_WINDOW)
    }
}

/// The observations of all sites.
#[derive(Debug)]
pub struct Observations {
    sites: Vec<SiteObservations>,
    window: Duration,
}

impl Observations {
    /// Creates an empty set of observations. `window` is the age from which observations no longer count as evidence; it
    /// should span a few report cycles.
    pub fn new(sites: usize, window: Duration) -> Observations {
        Observations { sites: (0..sites).map(|_| SiteObservations::default()).collect(), window }
    }

    /// Records a report of a site's clients.
    pub fn attempts_reported(&mut self, now: Duration, report: AttemptReport) {
        let oldest = now.saturating_sub(self.window * REPORT_RETENTION_WINDOWS);
        if let Some(site) = self.sites.get_mut(report.site) {
            while site.reports.front().is_some_and(|(at, _)| *at < oldest) {
                site.reports.pop_front();
            }
            site.reports.push_back((now, report));
        }
        self.clients_reported(now, report.from);
    }

    /// Records that a site's own clients reported, whatever they reported on.
    pub fn clients_reported(&mut self, now: Duration, site: SiteId) {
        if let Some(site) = self.sites.get_mut(site) {
            site.clients_reported_at = Some(now);
        }
    }

    /// Records the result of a health check of one of a site's servers.
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
            site.clients_reported_at = Some(now);
        }
    }

    /// Records that the stream of a proxy of the site ended.
    pub fn proxy_left(&mut self, now: Duration, site: SiteId) {
        if let Some(site) = self.sites.get_mut(site) {
            site.connected_proxies = site.connected_proxies.saturating_sub(1);
            site.proxy_left_at = Some(now);
        }
    }

    /// Records the part of the endpoint list that concerns a site: the number of ready servers, and the latest start among
    /// them, if known.
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

    /// Returns the evidence on a site. Only observations after `since` count: older ones concern an earlier state of the
    /// site.
    ///
    /// # Panics
    ///
    /// Panics if the site does not exist.
    pub fn evidence(&self, now: Duration, site: SiteId, since: Duration) -> Evidence {
        let from = now.saturating_sub(self.window).max(since);
        let range = TimeRange { from, now, window: self.window };
        let observed = &self.sites[site];
        Evidence {
            answered_to_others: observed.answered_fraction(&range, |from| from != site),
            answered_to_itself: observed.answered_fraction(&range, |from| from == site),
            observers_failing: self.observers_failing(&range, site),
            health_checks_answered: observed.health_checks_answered(&range),
            // A controller that receives no reports from other sites either is probably partitioned itself.
            is_silent: self.receives_reports_from_others(now, site) && observed.is_silent(&range),
            is_unlisted: observed.ready_servers == 0 && observed.ready_servers_before > 0,
            has_started_servers: observed.has_started_servers(since),
        }
    }

    /// Returns the fraction of the other sites that see the site as dead, among those that made enough attempts there.
    fn observers_failing(&self, range: &TimeRange, site: SiteId) -> Option<f64> {
        let observed = &self.sites[site];
        let others = (0..self.sites.len()).filter(|other| *other != site);
        let answered: Vec<f64> =
            others.filter_map(|other| observed.answered_fraction(range, |from| from == other)).collect();
        let failing = answered.iter().filter(|fraction| **fraction < DEAD_BELOW).count();
        (!answered.is_empty()).then(|| failing as f64 / answered.len() as f64)
    }

    /// Returns true if the clients of any other site have reported within the window.
    fn receives_reports_from_others(&self, now: Duration, site: SiteId) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) < self.window;
        let mut others = self.sites.iter().enumerate().filter(|(other, _)| *other != site);
        others.any(|(_, other)| other.clients_reported_at.is_some_and(is_recent))
    }

    /// Returns the attempts at a site's servers that were reported after `since`.
    ///
    /// # Panics
    ///
    /// Panics if the site does not exist.
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
