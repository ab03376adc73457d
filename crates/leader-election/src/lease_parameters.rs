//! The timing of heartbeats and leases.

use std::time::Duration;

/// The timing that all members of a fleet must be configured with alike.
#[derive(Debug, Clone, Copy)]
pub struct LeaseParameters {
    /// The time between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// How long a leader may issue orders after sending the last heartbeat that a quorum acknowledged.
    pub lease: Duration,
    /// By what fraction a member's clock may be fast or slow.
    pub clock_drift: f64,
}

impl LeaseParameters {
    /// How long a member that heard the leader votes for no other.
    pub fn lease_wait(&self) -> Duration {
        drift_adjusted_wait(self.lease, self.clock_drift)
    }
}

/// How long to wait, by one's own clock, until another member's lease has surely expired: the waiting clock may be the
/// fastest allowed and the holder's the slowest. `clock_drift` is the fraction by which a clock may be fast or slow.
pub fn drift_adjusted_wait(lease: Duration, clock_drift: f64) -> Duration {
    lease.mul_f64((1.0 + clock_drift) / (1.0 - clock_drift))
}
