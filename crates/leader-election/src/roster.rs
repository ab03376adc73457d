//! Who takes part.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member by its state folder: one that lost its disk is another.
pub type Id = u64;

/// Where a member is found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    pub name: String,
    pub address: String,
}

/// Who takes part, by the newest word of a leader. Two that follow each other differ in one seat, so that any
/// majority of the one meets any of the other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The leader's that stated it, and its place among those of that epoch.
    pub epoch: u64,
    pub number: u64,
    pub seats: BTreeMap<Id, Seat>,
}

impl Roster {
    pub fn version(&self) -> (u64, u64) {
        (self.epoch, self.number)
    }

    pub fn holds(&self, id: Id) -> bool {
        self.seats.contains_key(&id)
    }

    /// Whether more than half of the seats are among those that `has` names.
    pub fn majority(&self, has: impl Fn(Id) -> bool) -> bool {
        self.seats.keys().filter(|id| has(**id)).count() * 2 > self.seats.len()
    }

    pub fn others(&self, id: Id) -> Vec<Id> {
        self.seats.keys().copied().filter(|other| *other != id).collect()
    }
}
