//! The set of voters.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The identifier of a member, stored in its state folder: a member that lost its disk returns under another id.
pub type MemberId = u64;

/// A member that may vote.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    /// The member's name in the settings.
    pub name: String,
    /// The address that the member listens at, as host and port.
    pub address: String,
}

/// The version of a membership, which orders the memberships of a fleet: first by term, then by the number of the change
/// within the term.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MembershipVersion {
    /// The term of the leader that published the membership.
    pub term: u64,
    /// The number of changes within that term.
    pub number: u64,
}

/// The set of voters as last published by a leader. Two successive memberships differ in one voter, so that any quorum
/// of one intersects any quorum of the other.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The version of this membership.
    pub version: MembershipVersion,
    /// The voters.
    pub voters: BTreeMap<MemberId, Voter>,
}

impl Membership {
    /// Returns true if the member may vote.
    pub fn contains(&self, id: MemberId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Returns true if more than half of the voters satisfy the predicate.
    pub fn has_quorum(&self, predicate: impl Fn(MemberId) -> bool) -> bool {
        self.voters.keys().filter(|id| predicate(**id)).count() * 2 > self.voters.len()
    }

    /// Returns all voters except this one.
    pub fn peers_of(&self, id: MemberId) -> Vec<MemberId> {
        self.voters.keys().copied().filter(|other| *other != id).collect()
    }
}
