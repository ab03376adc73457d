//! Aggregates warnings, so that a fault that goes on does not flood the log.

use crate::event::{Warning, WarningKind};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::time::Duration;

/// Characters of a cause that are kept.
const MAX_CAUSE_LENGTH: usize = 200;

#[derive(Default)]
struct Aggregate {
    reported_at: Option<Duration>,
    suppressed: u64,
}

/// Lets through one warning of each kind at once, and then one in each interval.
pub(crate) struct LogAggregator {
    interval: Duration,
    aggregates: BTreeMap<WarningKind, Aggregate>,
}

impl LogAggregator {
    /// One that lets a warning of each kind through in each interval.
    pub(crate) fn new(interval: Duration) -> Self {
        LogAggregator { interval, aggregates: BTreeMap::new() }
    }

    /// The warning to be reported now, if any.
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
