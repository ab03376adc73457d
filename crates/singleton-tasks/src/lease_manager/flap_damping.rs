//! Flap damping: a member that repeatedly leaves and returns is granted no tasks for a while, which grows with each flap.

use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of flaps that count: each doubles the damping.
const MAX_FLAPS: u32 = 6;
/// The number of lease waits after the end of its damping at which a member counts as steady, and its flaps are removed.
const STEADY_LEASE_WAITS: u32 = 20;

#[derive(Debug, Clone, Copy, Default)]
struct Flaps {
    count: u32,
    damped_until: Duration,
}

/// The damping of the members that left and returned.
#[derive(Debug, Clone)]
pub(super) struct FlapDamping {
    /// The time after which the leases of a lost member have expired.
    lease_wait: Duration,
    members: BTreeMap<MemberId, Flaps>,
}

impl FlapDamping {
    pub(super) fn new(lease_wait: Duration) -> FlapDamping {
        FlapDamping { lease_wait, members: BTreeMap::new() }
    }

    /// Records that a member left or returned.
    pub(super) fn record(&mut self, now: Duration, id: MemberId) {
        let flaps = self.members.entry(id).or_default();
        flaps.count = (flaps.count + 1).min(MAX_FLAPS);
        flaps.damped_until = now + self.lease_wait * (1 << flaps.count) / 2;
    }

    pub(super) fn is_damped(&self, now: Duration, id: MemberId) -> bool {
        self.members.get(&id).is_some_and(|flaps| now < flaps.damped_until)
    }

    /// Returns the time at which the damping of each member ends.
    pub(super) fn ends(&self) -> impl Iterator<Item = Duration> {
        self.members.values().map(|flaps| flaps.damped_until)
    }

    /// Removes the flaps of the members that have been steady for [`STEADY_LEASE_WAITS`].
    pub(super) fn remove_steady(&mut self, now: Duration) {
        let steady_after = self.lease_wait * STEADY_LEASE_WAITS;
        self.members.retain(|_, flaps| now < flaps.damped_until + steady_after);
    }
}
