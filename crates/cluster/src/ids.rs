//! Ids that are derived from names.

use grebespool_leader_election::{MemberId, Membership, MembershipVersion, Voter};

// Ids are stored and on the wire, and derived from these contexts: do not change them.
const FLEET_CONTEXT: &str = "grebespool 2026 fleet";
const SEAT_CONTEXT: &str = "grebespool 2026 seat";
const TASK_NAMES_CONTEXT: &str = "grebespool 2026 duties";

/// Returns the id of a fleet; members of other fleets are rejected.
pub fn fleet_id(name: &str) -> u64 {
    derive_id(FLEET_CONTEXT, name.as_bytes())
}

/// Returns the id of a member that the fleet was formed with.
pub fn voter_id(fleet: u64, name: &str) -> MemberId {
    let mut bytes = fleet.to_be_bytes().to_vec();
    bytes.extend_from_slice(name.as_bytes());
    derive_id(SEAT_CONTEXT, &bytes)
}

/// Returns the id of a list of task names; members compare these ids to detect that their settings differ.
pub(crate) fn task_names_id(names: &[String]) -> u64 {
    derive_id(TASK_NAMES_CONTEXT, names.join("\n").as_bytes())
}

/// Returns the membership of a new fleet; `members` are names and addresses.
pub fn initial_membership(fleet: u64, members: impl IntoIterator<Item = (String, String)>) -> Membership {
    let voter = |(name, address): (String, String)| (voter_id(fleet, &name), Voter { name, address });
    let voters = members.into_iter().map(voter).collect();
    Membership { version: MembershipVersion::default(), voters }
}

fn derive_id(context: &str, bytes: &[u8]) -> u64 {
    let hash = blake3::derive_key(context, bytes);
    // 0 is the id of operators and never the id of a member.
    hash.first_chunk::<8>().map_or(1, |first| u64::from_be_bytes(*first)).max(1)
}
