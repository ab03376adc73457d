//! The timing of heartbeats and leases.

use std::time::Duration;

/// The timing of heartbeats and leases; it must be the same on all members of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct LeaseParameters {
    /// The time between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// The time for which a leader may issue orders after sending the last heartbeat that a quorum acknowledged.
    pub lease: Duration,
    /// The fraction by which a member's clock may be fast or slow.
    pub clock_drift: f64,
}

impl LeaseParameters {
    /// Returns the time for which a member votes for no other member after a heartbeat of the leader.
    pub fn lease_wait(&self) -> Duration {
        drift_adjusted_wait(self.lease, self.clock_drift)
    }
}

/// Returns the time to wait, by the waiting member's clock, until another member's lease has certainly expired: the
/// waiting clock may be the fastest allowed and the holder's the slowest. `clock_drift` is the fraction by which a clock
/// may be fast or slow.
pub fn drift_adjusted_wait(lease: Duration, clock_drift: f64) -> Duration {
    lease.mul_f64((1.0 + clock_drift) / (1.0 - clock_drift))
}
