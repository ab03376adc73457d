//! Which planners of a zone are relays, and in which order a planner turns to them: by hashing, without an election.

use crate::digest::Digest;
use grebespool_leader_election::MemberId;

/// The planners of a zone in the order in which they serve as relays.
pub fn relay_order(zone: u32, planners: &[MemberId]) -> Vec<MemberId> {
    let mut order = planners.to_vec();
    order.sort_by_key(|planner| (Digest::of(&(zone, *planner)), *planner));
    order
}

/// How many relays a zone has: one for each so many planners, and two at least where there are two.
pub fn relays_wanted(planners: usize, fan_out: usize) -> usize {
    planners.div_ceil(fan_out.max(1)).max(2).min(planners)
}

/// The relays of a zone in the order in which this planner turns to them, and behind them the zone's other planners, which
/// stand in where relays are lost. The planner itself is not among them.
pub fn candidates(zone: u32, planners: &[MemberId], own: MemberId, fan_out: usize) -> Vec<MemberId> {
    let order = relay_order(zone, planners);
    let (relays, others) = order.split_at(relays_wanted(planners.len(), fan_out));
    let mut preferred = relays.to_vec();
    preferred.sort_by_key(|relay| Digest::of(&(own, *relay)));
    preferred.extend(others);
    preferred.retain(|planner| *planner != own);
    preferred
}

/// Whether a planner is one of its zone's relays while all of them live.
pub fn is_relay(zone: u32, planners: &[MemberId], own: MemberId, fan_out: usize) -> bool {
    relay_order(zone, planners).iter().take(relays_wanted(planners.len(), fan_out)).any(|relay| *relay == own)
}
