//! Rejects outdated and implausible metrics of servers.

use grebespool::host::{LoadMetric, ServerIndex};
use grebespool_wire::{ServerLoad, ServerMetrics};
use std::collections::BTreeMap;

/// Maximum plausible utilization of a server, as a fraction.
const MAX_UTILIZATION: f32 = 2.0;

/// Maximum plausible value of any other metric, in the metric's own unit.
const MAX_METRIC: f32 = 1e7;

/// Maximum plausible number of attempts or requests in one line of a report.
pub(crate) const MAX_REQUESTS_PER_LINE: u32 = 1 << 20;

/// Returns true if the counts in a line of a report are plausible.
pub(crate) fn is_plausible(load: &ServerLoad) -> bool {
    load.dropped <= load.attempts && load.attempts <= MAX_REQUESTS_PER_LINE
}

/// The position of a report among the reports of its server; the derived order is by incarnation, then by sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportOrder {
    incarnation: u64,
    sequence: u32,
}

/// A filter for outdated metrics. Responses overtake each other, so an older report can arrive after a newer one, and a
/// late report of a restarted server can belong to the server's former incarnation.
#[derive(Default)]
pub struct MetricsValidator {
    newest: BTreeMap<ServerIndex, ReportOrder>,
}

impl MetricsValidator {
    /// Returns the values of a report, with implausible ones replaced by NaN; `None` if a newer report of the server was
    /// received before.
    pub fn validate(
        &mut self,
        server: ServerIndex,
        metrics: &ServerMetrics,
        fields: &[LoadMetric],
    ) -> Option<Vec<f32>> {
        let order = ReportOrder { incarnation: metrics.incarnation, sequence: metrics.sequence };
        let newest = self.newest.entry(server).or_insert(order);
        if order < *newest {
            return None;
        }
        *newest = order;
        let values = fields.iter().zip(&metrics.values);
        Some(values.map(|(field, value)| valid_or_nan(*field, *value)).collect())
    }

    /// Drops the state of a server that was removed from the endpoint list.
    pub fn remove_server(&mut self, server: ServerIndex) {
        self.newest.remove(&server);
    }
}

fn valid_or_nan(field: LoadMetric, value: f32) -> f32 {
    let max = if field == LoadMetric::Utilization { MAX_UTILIZATION } else { MAX_METRIC };
    if (0.0..=max).contains(&value) { value } else { f32::NAN }
}
