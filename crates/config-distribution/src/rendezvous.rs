//! Rendezvous hashing, which chooses the relays of a zone and the order in which a planner attaches to them, without an
//! election.

use crate::digest::Digest;
use grebespool_leader_election::MemberId;

/// Returns the planners of a zone in the order in which they serve as relays.
// All nodes must compute the same order, so the hashed value must not change; this also applies to `candidates`.
pub fn relay_order(zone: u32, planners: &[MemberId]) -> Vec<MemberId> {
    let mut order = planners.to_vec();
    order.sort_by_key(|planner| (Digest::of(&(zone, *planner)), *planner));
    order
}

/// Returns the number of relays of a zone: one per `fan_out` planners, but at least two if the zone has two planners.
pub fn relays_wanted(planners: usize, fan_out: usize) -> usize {
    planners.div_ceil(fan_out.max(1)).max(2).min(planners)
}

/// Returns the nodes that a planner attaches to, the most preferred first: the relays of its zone, then the zone's other
/// planners, which stand in for lost relays. The planner itself is excluded.
pub fn candidates(zone: u32, planners: &[MemberId], own: MemberId, fan_out: usize) -> Vec<MemberId> {
    let order = relay_order(zone, planners);
    let (relays, others) = order.split_at(relays_wanted(planners.len(), fan_out));
    let mut preferred = relays.to_vec();
    preferred.sort_by_key(|relay| Digest::of(&(own, *relay)));
    preferred.extend(others);
    preferred.retain(|planner| *planner != own);
    preferred
}

/// Returns true if a planner is a regular relay of its zone, and not only a stand-in for a lost one.
pub fn is_relay(zone: u32, planners: &[MemberId], own: MemberId, fan_out: usize) -> bool {
    relay_order(zone, planners).iter().take(relays_wanted(planners.len(), fan_out)).any(|relay| *relay == own)
}
