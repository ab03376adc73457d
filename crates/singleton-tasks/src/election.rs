//! What a task manager is told about the election.

use grebespool_leader_election::MemberId;
use std::time::Duration;

/// A leader and its term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leader {
    /// The term.
    pub term: u64,
    /// The member that leads in it.
    pub id: MemberId,
}

/// The state of the election as this member knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ElectionState {
    /// All voters.
    pub members: Vec<MemberId>,
    /// Who leads.
    pub leader: Option<Leader>,
    /// When this member's lease as leader expires; zero if it does not lead. A leader that wakes from a stall would
    /// otherwise renew what the next leader has granted to others.
    pub lease_expires_at: Duration,
}
