//! Parameters and reports that the tests share.

use grebespool_site_failover::{AttemptReport, FailoverParameters, RampParameters, RouteDemand, SiteId};
use std::time::Duration;

pub(crate) const PARAMETERS: FailoverParameters = FailoverParameters {
    evidence_window: Duration::from_secs(2),
    confirmation: Duration::from_millis(500),
    stability_period: Duration::from_secs(60),
    failed_weight: 0.0,
    max_utilization: 0.9,
    ramp: RampParameters {
        warm_up: Duration::from_secs(5),
        propagation: Duration::from_millis(800),
        late_wait_seconds: 0.3,
    },
};

pub(crate) fn report(
    from: SiteId,
    site: SiteId,
    attempts: f64,
    answered: f64,
    total_wait_seconds: f64,
) -> AttemptReport {
    AttemptReport { from, site, attempts, answered, total_wait_seconds }
}

pub(crate) fn demand(priority_weight: f64) -> RouteDemand {
    RouteDemand { priority_weight, is_site_local: false }
}
