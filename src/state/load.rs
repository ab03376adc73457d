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
}

/// The recent samples of a server.
#[derive(Default)]
pub(crate) struct LoadHistory {
    /// The samples, oldest first.
    pub(crate) samples: VecDeque<LoadSample>,
}

impl LoadHistory {
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
