//! The parameters of failover and recovery.

use crate::recovery_ramp::RampParameters;
use std::time::Duration;

/// The timing and the limits of failover and recovery.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverParameters {
    /// The age from which observations no longer count as evidence.
    pub evidence_window: Duration,
    /// The time for which a verdict must hold before the site's state follows it.
    pub confirmation: Duration,
    /// The time for which a site must stay healthy after a return until its flaps no longer count.
    pub stability_period: Duration,
    /// The fraction of a failed site's weight that stays in use, so that requests reveal its return; 0 if health checks do
    /// that.
    pub failed_weight: f64,
    /// The maximum utilization of the remaining sites, as a fraction of their capacity: beyond it queues grow and every
    /// answer is late.
    pub max_utilization: f64,
    /// The parameters of a site's return.
    pub ramp: RampParameters,
}
