//! Load samples of a server, and statistics over them.

use crate::host::ZoneId;
use std::collections::VecDeque;
use std::time::Duration;

/// The observations of one server by the proxies of one zone over a report interval.
pub(crate) struct LoadSample {
    /// The time at which the report arrived.
    pub(crate) at: Duration,
    /// The zone of the proxies.
    pub(crate) client_zone: ZoneId,
    /// The reported load, valid or not, in the unit of the deployment's metrics.
    pub(crate) reported_load: Option<f64>,
    /// The reported load; `None` if it is invalid.
    pub(crate) load: Option<f64>,
    /// The utilization of the workers, 0 to 1; `None` if it is not reported or the reported load is invalid.
    pub(crate) utilization: Option<f64>,
    /// The number of attempts that ended.
    pub(crate) attempts: f64,
    /// The number of attempts that ended without an answer.
    pub(crate) failures: f64,
    /// The mean latency of the answered attempts, in seconds.
    pub(crate) latency_s: Option<f64>,
}

impl LoadSample {
    /// Returns the number of answered attempts.
    pub(crate) fn answered(&self) -> f64 {
        (self.attempts - self.failures).max(0.0)
    }

    /// Adds the attempts of a newer sample of the same zone, and takes its load.
    fn merge(&mut self, newer: &LoadSample) {
        self.latency_s = self.merged_latency_s(newer);
        self.attempts += newer.attempts;
        self.failures += newer.failures;
        self.reported_load = newer.reported_load;
        self.load = newer.load;
        self.utilization = newer.utilization;
    }

    /// Returns the mean latency of the answered attempts of both samples.
    fn merged_latency_s(&self, newer: &LoadSample) -> Option<f64> {
        let (Some(own), Some(other)) = (self.latency_s, newer.latency_s) else {
            return self.latency_s.or(newer.latency_s);
        };
        let answered = self.answered() + newer.answered();
        if answered == 0.0 {
            return Some(other);
        }
        Some((own * self.answered() + other * newer.answered()) / answered)
    }
}

/// A limit on the stored reports of one source, which follows from the settings alone. A source that reports more often has
/// its reports merged, so that it takes no more memory and time than the others.
#[derive(Clone, Copy)]
pub(crate) struct HistoryLimit {
    /// The number of stored reports from which reports in quick succession are merged.
    reports: usize,
    /// The time that a stored report then covers.
    slot: Duration,
}

impl HistoryLimit {
    /// The number of reports that a source may send in a report interval: late reports arrive together.
    const REPORTS_PER_INTERVAL: f64 = 4.0;
    /// The shortest interval of reports that is taken into account.
    const MIN_INTERVAL: Duration = Duration::from_millis(100);

    /// Returns the limit for reports that arrive at this interval and are stored for `retention`.
    pub(crate) fn new(report_interval: Duration, retention: Duration) -> HistoryLimit {
        let intervals = retention.div_duration_f64(report_interval.max(Self::MIN_INTERVAL)).max(1.0);
        let reports = (Self::REPORTS_PER_INTERVAL * intervals).ceil();
        HistoryLimit { reports: reports as usize, slot: retention.div_f64(reports) }
    }

    /// Returns true if a report that arrives at `now` is to be merged into the newest of the source's `stored` reports.
    pub(crate) fn merges(&self, stored: usize, newest_at: Duration, now: Duration) -> bool {
        stored >= self.reports && now.saturating_sub(newest_at) < self.slot
    }
}

/// The recent samples of a server.
#[derive(Default)]
pub(crate) struct LoadHistory {
    /// The samples, oldest first.
    pub(crate) samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// Adds a sample and removes those that are older than `retention`. A sample beyond the limit of its zone is merged into
    /// the newest one of the zone.
    pub(crate) fn add(&mut self, sample: LoadSample, retention: Duration, limit: HistoryLimit) {
        evict_expired(&mut self.samples, sample.at, retention, |sample| sample.at);
        let of_zone = |stored: &&mut LoadSample| stored.client_zone == sample.client_zone;
        let stored = self.samples.iter_mut().filter(of_zone).count();
        match self.samples.iter_mut().rev().find(of_zone) {
            Some(newest) if limit.merges(stored, newest.at, sample.at) => newest.merge(&sample),
            _ => self.samples.push_back(sample),
        }
    }

    /// Returns the samples from after `from`.
    pub(crate) fn since(&self, from: Duration) -> impl Iterator<Item = &LoadSample> {
        self.samples.iter().filter(move |sample| sample.at > from)
    }

    /// Returns the mean of `value` over the samples from after `from` for which it is known.
    pub(crate) fn mean(&self, from: Duration, value: impl Fn(&LoadSample) -> Option<f64>) -> Option<f64> {
        mean(self.since(from).filter_map(value))
    }

    /// Returns the sum of `value` over the samples from after `from`.
    pub(crate) fn sum(&self, from: Duration, value: impl Fn(&LoadSample) -> f64) -> f64 {
        self.since(from).map(value).sum()
    }
}

/// Removes elements older than `max_age` from the front of a list that is ordered by time.
pub(crate) fn evict_expired<T>(
    list: &mut VecDeque<T>,
    now: Duration,
    max_age: Duration,
    time_of: impl Fn(&T) -> Duration,
) {
    while list.front().is_some_and(|oldest| now.saturating_sub(time_of(oldest)) > max_age) {
        list.pop_front();
    }
}

/// Returns the arithmetic mean; `None` if there are no values.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0usize), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / count as f64)
}

/// Returns the median, which is the upper of the two middle values for an even number of values; `None` if there are no
/// values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
