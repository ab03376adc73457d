//! The timing of task leases.

use grebespool_leader_election::drift_adjusted_wait;
use std::time::Duration;

/// The longest time for which a task may be suspended.
pub const MAX_SUSPENSION: Duration = Duration::from_secs(24 * 60 * 60);

/// The timing that all members of a fleet must be configured with alike.
#[derive(Debug, Clone, Copy)]
pub struct TaskLeaseParameters {
    /// How long a holder may act after sending the newest renewal that the leader answered.
    pub lease: Duration,
    /// The time between two renewals, and before an unanswered request is sent again.
    pub renew_interval: Duration,
    /// By what fraction a member's clock may be fast or slow.
    pub clock_drift: f64,
}

impl TaskLeaseParameters {
    /// How long the leader waits after the last renewal that it answered before it grants a task to another member.
    pub fn lease_wait(&self) -> Duration {
        drift_adjusted_wait(self.lease, self.clock_drift)
    }
}
