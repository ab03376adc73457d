//! What stands for an ownership, and how long one lasts.

use grebespool_leader_election::drift_adjusted_wait;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// A duty by its place among the names that all members of a fleet state alike.
pub type Duty = u32;

/// The longest that a hold lasts.
pub const LONGEST_HOLD: Duration = Duration::from_secs(24 * 60 * 60);

/// An ownership. The leader of an epoch counts within it, and an epoch has one leader, so no two ownerships of a duty
/// have the same, and a later one's is higher.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token {
    pub epoch: u64,
    pub number: u64,
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

/// Times that all members of a fleet have to state alike.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// An owner stops so long after sending the newest renewal that the leader answered.
    pub lease: Duration,
    /// Between two renewals, and before what was not answered is said again.
    pub renew: Duration,
    /// By how much of the time a clock may be fast or slow.
    pub drift: f64,
}

impl Terms {
    /// How long the leader waits after the last renewal that it answered.
    pub fn wait(&self) -> Duration {
        drift_adjusted_wait(self.lease, self.drift)
    }
}
