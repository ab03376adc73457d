//! Load samples of a server, and statistics over them.

use crate::host::ZoneId;
use crate::policy::history_limit::HistoryLimit;
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

/// The observations of one server by the proxies of one zone over a report interval.
pub(crate) struct LoadSample {
    /// The time at which the report arrived.
    pub(crate) at: Duration,
    /// The zone of the proxies.
    pub(crate) client_zone: ZoneId,
    /// False if the reported load is invalid.
    pub(crate) is_valid: bool,
    /// The reported load, valid or not, in the unit of the deployment's metrics.
    pub(crate) reported_load: Option<f64>,
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
    /// Returns the reported load; `None` if it is invalid.
    pub(crate) fn load(&self) -> Option<f64> {
        self.reported_load.filter(|_| self.is_valid)
    }

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
        self.is_valid = newer.is_valid;
        self.utilization = newer.utilization;
    }

    /// Adds the attempts of an older sample of the same zone, and keeps its own load.
    fn absorb(&mut self, older: &LoadSample) {
        self.latency_s = self.merged_latency_s(older);
        self.attempts += older.attempts;
        self.failures += older.failures;
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

/// The recent samples of a server.
#[derive(Default)]
pub(crate) struct LoadHistory {
    /// The samples, oldest first.
    pub(crate) samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// The number of samples by which the memory grows.
    const GROWTH: usize = 16;

    /// Returns the memory that this number of samples may take, in bytes.
    pub(crate) fn max_bytes(samples: usize) -> usize {
        samples.next_multiple_of(Self::GROWTH) * size_of::<LoadSample>()
    }

    /// Returns the number of samples that always fit into `bytes`.
    pub(crate) fn samples_within(bytes: usize) -> usize {
        let samples = bytes / size_of::<LoadSample>();
        samples - samples % Self::GROWTH
    }

    /// Adds a sample and removes those that are older than `retention`. A sample in quick succession is merged into the newest
    /// one of its zone, and beyond the limit of the zone the two oldest ones are merged.
    pub(crate) fn add(&mut self, sample: LoadSample, retention: Duration, limit: HistoryLimit) {
        evict_expired(&mut self.samples, sample.at, retention, |sample| sample.at);
        let zone = sample.client_zone;
        let stored = self.count(zone);
        match self.samples.iter_mut().rev().find(|stored| stored.client_zone == zone) {
            Some(newest) if limit.merges(stored, newest.at, sample.at) => newest.merge(&sample),
            _ => {
                if limit.is_reached(stored) {
                    self.merge_oldest(zone);
                }
                if self.samples.len() == self.samples.capacity() {
                    self.samples.reserve_exact(Self::GROWTH);
                }
                self.samples.push_back(sample);
            }
        }
    }

    /// Merges the oldest samples of each zone until the limit is kept, and releases the memory of the others.
    pub(crate) fn reduce_to(&mut self, limit: HistoryLimit) {
        let zones: BTreeSet<ZoneId> = self.samples.iter().map(|sample| sample.client_zone).collect();
        for zone in zones {
            while limit.is_exceeded(self.count(zone)) {
                self.merge_oldest(zone);
            }
        }
        self.samples.shrink_to(self.samples.len().next_multiple_of(Self::GROWTH));
    }

    /// Returns the number of a zone's samples.
    fn count(&self, zone: ZoneId) -> usize {
        self.samples.iter().filter(|sample| sample.client_zone == zone).count()
    }

    /// Merges the two oldest samples of a zone.
    fn merge_oldest(&mut self, zone: ZoneId) {
        let Some(position) = self.samples.iter().position(|sample| sample.client_zone == zone) else {
            return;
        };
        let Some(oldest) = self.samples.remove(position) else { return };
        let next = self.samples.iter_mut().skip(position).find(|sample| sample.client_zone == zone);
        if let Some(next) = next {
            next.absorb(&oldest);
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
