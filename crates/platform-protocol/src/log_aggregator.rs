//! Aggregates warnings, so that a persistent fault does not flood the log.

use crate::event::{Warning, WarningKind};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;

/// The number of characters after which a cause is cut.
const MAX_CAUSE_LENGTH: usize = 200;

#[derive(Default)]
struct Aggregate {
    reported_at: Option<Duration>,
    suppressed: u64,
}

/// Limits warnings: the first warning of each kind is reported at once, and further ones at most once in each interval.
pub(crate) struct LogAggregator {
    interval: Duration,
    aggregates: BTreeMap<WarningKind, Aggregate>,
}

impl LogAggregator {
    /// Creates an aggregator that reports at most one warning of each kind in each interval.
    pub(crate) fn new(interval: Duration) -> Self {
        LogAggregator { interval, aggregates: BTreeMap::new() }
    }

    /// Returns the warning if it is to be reported now; otherwise counts it as suppressed.
    pub(crate) fn add(&mut self, now: Duration, kind: WarningKind, cause: &dyn Display) -> Option<Warning> {
        let aggregate = self.aggregates.entry(kind).or_default();
        if aggregate.reported_at.is_some_and(|at| now.saturating_sub(at) < self.interval) {
            aggregate.suppressed += 1;
            return None;
        }
        aggregate.reported_at = Some(now);
        let suppressed = std::mem::take(&mut aggregate.suppressed);
        let cause = cause.to_string().chars().take(MAX_CAUSE_LENGTH).collect();
        Some(Warning { kind, cause, suppressed })
    }
}
