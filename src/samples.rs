//! What is measured, as it came: the last few samples of each server, and means of them. No decisions.

use crate::host::Zone;
use std::collections::VecDeque;
use std::time::Duration;

/// What a zone's proxies met at a server over one cycle.
pub struct Sample {
    pub at: Duration,
    pub from: Zone,
    /// As told, whether or not it is believed.
    pub told: Option<f64>,
    pub load: Option<f64>,
    pub cpu: Option<f64>,
    pub tries: f64,
    pub dropped: f64,
    pub wait: Option<f64>,
}

impl Sample {
    pub fn answered(&self) -> f64 {
        (self.tries - self.dropped).max(0.0)
    }
}

/// The last few samples of a server.
#[derive(Default)]
pub struct Samples(pub VecDeque<Sample>);

impl Samples {
    pub fn since(&self, from: Duration) -> impl Iterator<Item = &Sample> {
        self.0.iter().filter(move |x| x.at > from)
    }

    pub fn mean(&self, from: Duration, of: impl Fn(&Sample) -> Option<f64>) -> Option<f64> {
        mean(self.since(from).filter_map(of))
    }

    pub fn sum(&self, from: Duration, of: impl Fn(&Sample) -> f64) -> f64 {
        self.since(from).map(of).sum()
    }
}

pub fn drop_old<T>(list: &mut VecDeque<T>, now: Duration, kept: Duration, at: impl Fn(&T) -> Duration) {
    while list.front().is_some_and(|x| now.saturating_sub(at(x)) > kept) {
        list.pop_front();
    }
}

pub fn mean(values: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = values.fold((0.0, 0usize), |(sum, n), v| (sum + v, n + 1));
    (n > 0).then(|| sum / n as f64)
}

pub fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
