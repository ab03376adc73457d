//! Settings that must be equal on all members of a fleet.

use grebespool_leader_election::drift_adjusted_wait;
use std::time::Duration;

/// Duration and renewal of the leases under which replicas apply versions.
#[derive(Debug, Clone, Copy)]
pub struct LeaseParameters {
    /// Duration of a lease, from when the replica sent the last renewal that the coordinator answered.
    pub duration: Duration,
    /// Time between two renewals, and between retransmissions of an unanswered message.
    pub renew_interval: Duration,
    /// Maximum relative error of a clock's rate, as a fraction.
    pub clock_drift: f64,
}

impl LeaseParameters {
    /// Returns the time after the answer to a renewal at which that lease has expired by any clock within the drift. The
    /// activation of a durable version waits at most this long for an unreachable member (shown to operators as
    /// `agree.within`).
    pub fn expiry_bound(&self) -> Duration {
        drift_adjusted_wait(self.duration, self.clock_drift)
    }
}

/// Bounds that a proposed configuration is validated against.
#[derive(Debug, Clone)]
pub struct ValidationRules<'a> {
    /// Maximum share of the ready capacity that one version may withdraw unless it is forced, 0 to 1.
    pub max_withdrawn_share: f64,
    /// Names of the limits that this program enforces.
    pub known_limits: Vec<&'a str>,
}

/// Settings of the agreement on configuration versions.
#[derive(Debug, Clone)]
pub struct ConsensusSettings {
    /// Leases of the replicas.
    pub lease: LeaseParameters,
    /// Validation of proposals.
    pub validation: ValidationRules<'static>,
}
