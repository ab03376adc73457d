//! Which metrics of servers are believed.

use grebespool::host::{LoadMetric, ServerIndex};
use grebespool_wire::{ServerLoad, ServerMetrics};
use std::collections::BTreeMap;

/// Most that a server's utilization may be.
const MAX_UTILIZATION: f32 = 2.0;

/// Most that any other metric may be, in its own unit.
const MAX_METRIC: f32 = 1e7;

/// Most attempts or calls that one line of a report may tell of.
pub(crate) const MAX_CALLS_PER_LINE: u32 = 1 << 20;

/// Whether a line of a report can be true.
pub(crate) fn is_plausible(load: &ServerLoad) -> bool {
    load.dropped <= load.attempts && load.attempts <= MAX_CALLS_PER_LINE
}

/// The place of a report among those of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportOrder {
    incarnation: u64,
    sequence: u32,
}

/// Tells new metrics from old ones. Responses overtake each other, so an older report comes after a newer one; and
/// what comes late from a server that was restarted tells of its former incarnation.
#[derive(Default)]
pub struct MetricsValidator {
    newest: BTreeMap<ServerIndex, ReportOrder>,
}

impl MetricsValidator {
    /// The values of a report that is no older than what is known, with those that cannot be true as NaN.
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

    /// The server was removed from the endpoint list.
    pub fn forget(&mut self, server: ServerIndex) {
        self.newest.remove(&server);
    }
}

fn valid_or_nan(field: LoadMetric, value: f32) -> f32 {
    let max = if field == LoadMetric::Utilization { MAX_UTILIZATION } else { MAX_METRIC };
    if (0.0..=max).contains(&value) { value } else { f32::NAN }
}
