//! Load samples of a server, and statistics over them.

use crate::host::ZoneId;
use std::collections::VecDeque;
use std::time::Duration;

/// What the proxies of a zone observed of a server over one report interval.
pub(crate) struct LoadSample {
    /// When the report came.
    pub(crate) at: Duration,
    /// The zone of the proxies.
    pub(crate) client_zone: ZoneId,
    /// The load as reported, whether or not it is believed, in the unit of the deployment's metrics.
    pub(crate) reported_load: Option<f64>,
    /// The same, where it is believed.
    pub(crate) load: Option<f64>,
    /// Utilization of the workers, 0 to 1, where it is reported and believed.
    pub(crate) utilization: Option<f64>,
    /// Attempts that ended.
    pub(crate) attempts: f64,
    /// Attempts that ended without an answer.
    pub(crate) failures: f64,
    /// Mean latency of the answered attempts, in seconds.
    pub(crate) latency_s: Option<f64>,
}

impl LoadSample {
    /// Attempts that were answered.
    pub(crate) fn answered(&self) -> f64 {
        (self.attempts - self.failures).max(0.0)
    }
}

/// The last few samples of a server, oldest first.
#[derive(Default)]
pub(crate) struct LoadHistory {
    /// The samples.
    pub(crate) samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// The samples from after a moment.
    pub(crate) fn since(&self, from: Duration) -> impl Iterator<Item = &LoadSample> {
        self.samples.iter().filter(move |sample| sample.at > from)
    }

    /// The mean of a figure over the samples from after a moment that have it.
    pub(crate) fn mean(&self, from: Duration, of: impl Fn(&LoadSample) -> Option<f64>) -> Option<f64> {
        mean(self.since(from).filter_map(of))
    }

    /// The sum of a figure over the samples from after a moment.
    pub(crate) fn sum(&self, from: Duration, of: impl Fn(&LoadSample) -> f64) -> f64 {
        self.since(from).map(of).sum()
    }
}

/// Removes elements older than `kept` from the front of a list that is ordered by time.
pub(crate) fn drop_old<T>(
    list: &mut VecDeque<T>,
    now: Duration,
    kept: Duration,
    at: impl Fn(&T) -> Duration,
) {
    while list.front().is_some_and(|oldest| now.saturating_sub(at(oldest)) > kept) {
        list.pop_front();
    }
}

/// The arithmetic mean; `None` of no values.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = values.fold((0.0, 0usize), |(sum, count), value| (sum + value, count + 1));
    (count > 0).then(|| sum / count as f64)
}

/// The median, the upper one of an even number of values; `None` of no values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
