//! The counts that a member keeps of the fleet's traffic, by period.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The numbers of requests and of their attempts.
// Stored by field order and, in account files, by key: do not reorder, do not rename keys.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of requests.
    #[serde(rename = "calls")]
    pub requests: u64,
    /// The number of attempts, including retries.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// The number of attempts that were not answered.
    #[serde(rename = "dropped")]
    pub unanswered: u64,
}

impl Counts {
    pub(crate) fn add(&mut self, other: &Counts) {
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.unanswered += other.unanswered;
    }

    /// Returns the greater of the two values of each count.
    pub(crate) fn max_of_each(&self, other: &Counts) -> Counts {
        Counts {
            requests: self.requests.max(other.requests),
            attempts: self.attempts.max(other.attempts),
            unanswered: self.unanswered.max(other.unanswered),
        }
    }
}

/// The index of a zone and the index of a route. Attempts are counted under [`NO_ROUTE`].
pub type TrafficKey = (u16, u8);

/// The counts of one zone and route.
pub type CountRow = (TrafficKey, Counts);

/// The counts of all zones and routes. Stored as a list of pairs.
pub type Rows = Vec<CountRow>;

/// The route index under which attempts are counted: proxies sum up attempts by server, over all routes.
pub const NO_ROUTE: u8 = u8::MAX;

/// The maximum number of periods whose counts a member keeps. An account that is closed later lacks this member's part.
const MAX_PERIODS: usize = 64;

/// The traffic counts of one member, by period.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    periods: BTreeMap<u64, BTreeMap<TrafficKey, Counts>>,
}

impl Tally {
    /// Adds counts to a period. If the period is older than the newest one, because a clock was set back, the counts are
    /// added to the newest one, since older periods may be closed.
    pub fn add(&mut self, period: u64, key: TrafficKey, counts: Counts) {
        let newest = self.periods.keys().next_back().copied().unwrap_or(0);
        let rows = self.periods.entry(period.max(newest)).or_default();
        rows.entry(key).or_default().add(&counts);
        while self.periods.len() > MAX_PERIODS {
            self.periods.pop_first();
        }
    }

    /// Returns the counts of the periods from `from` to `to`, both included.
    pub(crate) fn between(&self, from: u64, to: u64) -> Vec<(u64, Rows)> {
        let rows_of =
            |rows: &BTreeMap<TrafficKey, Counts>| rows.iter().map(|(key, counts)| (*key, *counts)).collect();
        let periods = self.periods.range(from..=to.max(from));
        periods.map(|(period, rows)| (*period, rows_of(rows))).collect()
    }
}
