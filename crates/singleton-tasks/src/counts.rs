//! What a member counts of the fleet's traffic, by period.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Requests and their attempts.
// Stored by field order and, in account files, by key: do not reorder, do not rename keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests.
    #[serde(rename = "calls")]
    pub requests: u64,
    /// Attempts, retries included.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Attempts that were not answered.
    #[serde(rename = "dropped")]
    pub unanswered: u64,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Counts) {
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.unanswered += other.unanswered;
    }

    /// The greater of each.
    pub(crate) fn greater_of_each(&self, other: &Counts) -> Counts {
        Counts {
            requests: self.requests.max(other.requests),
            attempts: self.attempts.max(other.attempts),
            unanswered: self.unanswered.max(other.unanswered),
        }
    }
}

/// The index of a zone and of a route. Attempts are counted under [`NO_ROUTE`].
pub type TrafficKey = (u16, u8);

/// What was counted of one zone and route.
pub type CountRow = (TrafficKey, Counts);

/// What was counted, by zone and route. Stored as a list of pairs.
pub type Rows = Vec<CountRow>;

/// The route of attempts, which proxies sum up by server over all routes.
pub const NO_ROUTE: u8 = u8::MAX;

/// How many periods a member remembers: an account that is closed later lacks this member's part.
const MAX_PERIODS: usize = 64;

/// What one member counted, by period.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    periods: BTreeMap<u64, BTreeMap<TrafficKey, Counts>>,
}

impl Tally {
    /// Adds counts to a period. A clock that was set back counts on in the newest period, since older ones may be
    /// closed.
    pub fn add(&mut self, period: u64, key: TrafficKey, counts: Counts) {
        let newest = self.periods.keys().next_back().copied().unwrap_or(0);
        let rows = self.periods.entry(period.max(newest)).or_default();
        rows.entry(key).or_default().add(&counts);
        while self.periods.len() > MAX_PERIODS {
            self.periods.pop_first();
        }
    }

    /// The counts of the periods from `from` to `to`, both included.
    pub(crate) fn between(&self, from: u64, to: u64) -> Vec<(u64, Rows)> {
        let rows_of =
            |rows: &BTreeMap<TrafficKey, Counts>| rows.iter().map(|(key, counts)| (*key, *counts)).collect();
        let periods = self.periods.range(from..=to.max(from));
        periods.map(|(period, rows)| (*period, rows_of(rows))).collect()
    }
}
