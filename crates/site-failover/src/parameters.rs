//! The parameters of failover and recovery.

use crate::recovery_ramp::RampParameters;
use std::time::Duration;

/// How fast sites fail over and return.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FailoverParameters {
    /// Observations older than this tell nothing any more.
    pub evidence_window: Duration,
    /// For how long evidence of a failure or a partition has to persist before anything is done.
    pub confirmation: Duration,
    /// A site that has been healthy for so long after a return counts as stable again.
    pub stability_period: Duration,
    /// The fraction of a failed site's weight that stays in use, to notice its return; 0 where health checks do that.
    pub failed_weight: f64,
    /// The utilization up to which the remaining sites are filled: beyond it queues grow and every answer is late.
    pub max_utilization: f64,
    /// How a site returns.
    pub ramp: RampParameters,
}
