//! The state of the leader election, as passed to a task manager.

use grebespool_leader_election::MemberId;
use std::time::Duration;

/// A leader and its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leader {
    /// The term in which the member leads.
    pub term: u64,
    /// The member that leads.
    pub id: MemberId,
}

/// The state of the election as this member knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ElectionState {
    /// All voters.
    pub members: Vec<MemberId>,
    /// The present leader, if known.
    pub leader: Option<Leader>,
    /// The time at which this member's lease as leader expires; zero if it does not lead. After that time it must not
    /// answer renewals: a leader that wakes from a stall would renew leases that the next leader has granted to others.
    pub lease_expires_at: Duration,
}
