//! Settings that all members of a fleet must state alike.

use grebespool_leader_election::drift_adjusted_wait;
use std::time::Duration;

/// Duration and renewal of the leases by which replicas apply versions.
#[derive(Debug, Clone, Copy)]
pub struct LeaseParameters {
    /// How long a replica may apply versions after it sent the last renewal that the coordinator answered.
    pub duration: Duration,
    /// Time between two renewals, and before an unanswered message is retransmitted.
    pub renew_interval: Duration,
    /// Maximum relative error of a clock's rate, as a fraction.
    pub clock_drift: f64,
}

impl LeaseParameters {
    /// Time from answering a renewal after which that lease has expired by any clock within the drift: the longest that the
    /// activation of a durable version waits for an unreachable member (shown to operators as `agree.within`).
    pub fn expiry_bound(&self) -> Duration {
        drift_adjusted_wait(self.duration, self.clock_drift)
    }
}

/// What a proposed configuration is validated against.
#[derive(Debug, Clone)]
pub struct ValidationRules<'a> {
    /// The share of the ready capacity that one version may withdraw, 0 to 1, unless it is forced.
    pub max_withdrawn_share: f64,
    /// Names of the limits that this program enforces.
    pub known_limits: Vec<&'a str>,
}

/// All settings of the agreement on configuration versions.
#[derive(Debug, Clone)]
pub struct ConsensusSettings {
    /// Lease of the replicas.
    pub lease: LeaseParameters,
    /// Validation of proposals.
    pub validation: ValidationRules<'static>,
}
