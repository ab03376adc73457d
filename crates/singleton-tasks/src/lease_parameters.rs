//! The timing of task leases.

use grebespool_leader_election::drift_adjusted_wait;
use std::time::Duration;

/// The maximum length of a suspension.
pub const MAX_SUSPENSION: Duration = Duration::from_secs(24 * 60 * 60);

/// The timing of task leases; it must be the same on all members of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct TaskLeaseParameters {
    /// The time for which a holder may act after sending the newest renewal that the leader answered.
    pub lease: Duration,
    /// The time between two renewals, and the time after which an unanswered request is sent again.
    pub renew_interval: Duration,
    /// The fraction by which a member's clock may be fast or slow.
    pub clock_drift: f64,
}

impl TaskLeaseParameters {
    /// Returns the time that the leader waits, after the last renewal that it answered, before it grants a task to another
    /// member.
    pub fn lease_wait(&self) -> Duration {
        drift_adjusted_wait(self.lease, self.clock_drift)
    }
}
