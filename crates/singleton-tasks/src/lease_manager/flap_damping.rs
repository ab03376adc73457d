//! Flap damping: a member that comes and goes is granted nothing for a while, the longer the more often it does.

use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;
use std::time::Duration;

/// The damping is doubled with each flap, up to this many.
const MAX_FLAPS: u32 = 6;
/// A member that stayed for so many lease waits beyond its damping is steady again.
const STEADY_LEASE_WAITS: u32 = 20;

#[derive(Debug, Clone, Copy, Default)]
struct Flaps {
    count: u32,
    damped_until: Duration,
}

/// The members that came and went.
#[derive(Debug, Clone)]
pub(super) struct FlapDamping {
    /// How long it takes until a lost member's leases have expired.
    lease_wait: Duration,
    members: BTreeMap<MemberId, Flaps>,
}

impl FlapDamping {
    pub(super) fn new(lease_wait: Duration) -> FlapDamping {
        FlapDamping { lease_wait, members: BTreeMap::new() }
    }

    /// Records that a member left, or came back.
    pub(super) fn record(&mut self, now: Duration, id: MemberId) {
        let flaps = self.members.entry(id).or_default();
        flaps.count = (flaps.count + 1).min(MAX_FLAPS);
        flaps.damped_until = now + self.lease_wait * (1 << flaps.count) / 2;
    }

    pub(super) fn is_damped(&self, now: Duration, id: MemberId) -> bool {
        self.members.get(&id).is_some_and(|flaps| now < flaps.damped_until)
    }

    /// When the damping of each member ends.
    pub(super) fn ends(&self) -> impl Iterator<Item = Duration> {
        self.members.values().map(|flaps| flaps.damped_until)
    }

    /// Forgets the flaps of members that have been steady for long enough.
    pub(super) fn forget_steady(&mut self, now: Duration) {
        let steady_after = self.lease_wait * STEADY_LEASE_WAITS;
        self.members.retain(|_, flaps| now < flaps.damped_until + steady_after);
    }
}
