//! The history limit: decides how many reports of one source are stored, and so how much memory reports take.
//!
//! The limit follows from the settings, the number of servers and the memory for their reports. A source that reports more often
//! has its reports merged, so that it takes no more memory and time than the others.

use crate::host::{Observability, PolicyHost};
use crate::state::{LoadHistory, Policy, ServerState};
use std::time::Duration;

/// The limit on the stored reports of one source.
#[derive(Clone, Copy)]
pub(crate) struct HistoryLimit {
    /// The largest number of stored reports, from which reports in quick succession are merged.
    max_reports: usize,
    /// The time that a stored report then covers.
    slot: Duration,
}

impl HistoryLimit {
    /// The number of reports that a source may send in a report interval: late reports arrive together.
    const REPORTS_PER_INTERVAL: f64 = 4.0;
    /// The number of reports that are stored for a report interval where the memory is short.
    const MIN_REPORTS_PER_INTERVAL: f64 = 1.0;
    /// The shortest interval of reports that is taken into account.
    const MIN_INTERVAL: Duration = Duration::from_millis(100);

    /// Returns the limit for reports that arrive at this interval, if there is memory for them.
    pub(super) fn new(report_interval: Duration) -> HistoryLimit {
        HistoryLimit::of(Self::reports(report_interval, Self::REPORTS_PER_INTERVAL))
    }

    /// Returns the least limit for reports that arrive at this interval.
    fn least(report_interval: Duration) -> HistoryLimit {
        HistoryLimit::of(Self::reports(report_interval, Self::MIN_REPORTS_PER_INTERVAL))
    }

    /// Returns the limit with which the reports of `zones` zones on each of `servers` servers fit into `bytes`, but at least
    /// the least one.
    fn fitting(report_interval: Duration, zones: usize, servers: usize, bytes: usize) -> HistoryLimit {
        let of_server = LoadHistory::samples_within(bytes / servers.max(1));
        let least = Self::least(report_interval).max_reports;
        let most = Self::new(report_interval).max_reports;
        HistoryLimit::of((of_server / zones.max(1)).clamp(least, most))
    }

    fn reports(report_interval: Duration, per_interval: f64) -> usize {
        let interval = report_interval.max(Self::MIN_INTERVAL);
        let intervals = ServerState::SAMPLE_RETENTION.div_duration_f64(interval).max(1.0);
        (per_interval * intervals).ceil() as usize
    }

    fn of(max_reports: usize) -> HistoryLimit {
        HistoryLimit { max_reports, slot: ServerState::SAMPLE_RETENTION.div_f64(max_reports as f64) }
    }

    /// Returns true if a report that arrives at `now` is to be merged into the newest of the source's `stored` reports.
    pub(crate) fn merges(&self, stored: usize, newest_at: Duration, now: Duration) -> bool {
        self.is_reached(stored) && now.saturating_sub(newest_at) < self.slot
    }

    /// Returns true if no report may be added to the source's `stored` reports.
    pub(crate) fn is_reached(&self, stored: usize) -> bool {
        stored >= self.max_reports
    }

    /// Returns true if the source has more than the permitted number of stored reports.
    pub(crate) fn is_exceeded(&self, stored: usize) -> bool {
        stored > self.max_reports
    }
}

/// Returns the least memory that the policy needs for the reports of `zones` zones on one server, in bytes.
pub fn min_report_bytes(observability: &Observability, zones: usize) -> usize {
    LoadHistory::max_bytes(zones * HistoryLimit::least(observability.report_interval).max_reports)
}

impl<H: PolicyHost> Policy<H> {
    /// Sets the memory that the load reports on all servers may take, in bytes. It should have room for
    /// [`min_report_bytes`] for each server.
    pub fn limit_report_memory(&mut self, bytes: usize) {
        self.report_memory = bytes;
        self.update_load_report_limit();
    }

    /// Computes the limit on the load reports of a zone on a server, and merges those that are stored beyond it.
    pub(super) fn update_load_report_limit(&mut self) {
        let (servers, zones) = (self.servers.len(), self.zone_spill.zones().into());
        let interval = self.observability.report_interval;
        let limit = HistoryLimit::fitting(interval, zones, servers, self.report_memory);
        let is_lower = limit.max_reports < self.load_report_limit.max_reports;
        self.load_report_limit = limit;
        if is_lower {
            self.servers.iter_mut().for_each(|server| server.load.reduce_to(limit));
        }
    }
}
