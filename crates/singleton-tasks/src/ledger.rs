//! The accounts of periods. An account sums up the counts of all members and is corrected when a member answers late.

use crate::counts::{Counts, Rows, TrafficKey};
use grebespool_leader_election::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of newest closed periods whose accounts are still corrected when a member answers late.
const CORRECTED_PERIODS: u64 = 4;

/// The answers of the members: by member, the counts of each period.
type Answers = BTreeMap<MemberId, BTreeMap<u64, Rows>>;

/// The account of one period, as it is written.
// Stored by field order and, in account files, by key: do not reorder, do not rename.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The number of the period.
    pub period: u64,
    /// The revision of the account: 0 for the first one. Each correction has the next number and replaces the one before.
    pub revision: u32,
    /// The sums over all members that answered.
    pub rows: Rows,
    /// The members that had not answered when the account was closed or corrected.
    pub missing: Vec<MemberId>,
}

// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ClosedPeriod {
    revision: u32,
    parts: BTreeMap<MemberId, BTreeMap<TrafficKey, Counts>>,
}

/// The next period to close, and the closed periods that may still be corrected. The ledger is the content of each step of
/// the accounts task, so that the next holder continues with it.
// Stored by field order: do not reorder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The next period to close.
    pub next: u64,
    recent: BTreeMap<u64, ClosedPeriod>,
    /// The account that this step writes.
    pub account: Option<Account>,
}

impl Ledger {
    /// Creates a ledger whose first period is `next`.
    pub fn starting_at(next: u64) -> Ledger {
        Ledger { next, ..Ledger::default() }
    }

    /// Returns the first and the last period whose counts members must be asked for.
    pub fn open_periods(&self) -> (u64, u64) {
        (self.next.saturating_sub(CORRECTED_PERIODS), self.next)
    }

    /// Returns the ledger of the next step, which either corrects a closed period or, if no correction is due, closes the
    /// next period if that is before `now`. Returns `None` if neither is due. `members` are all members that should have
    /// answered.
    pub fn next_step(&self, now: u64, members: &[MemberId], answers: &Answers) -> Option<Ledger> {
        let mut next = Ledger { account: None, ..self.clone() };
        next.account = next.correct_closed_period(members, answers);
        if next.account.is_none() && next.next < now {
            next.account = Some(next.close_next_period(members, answers));
        }
        next.account.is_some().then_some(next)
    }

    /// Merges late answers, and returns the account of the first period that they change.
    fn correct_closed_period(&mut self, members: &[MemberId], answers: &Answers) -> Option<Account> {
        for (period, closed) in &mut self.recent {
            if closed.merge_late_answers(*period, answers) {
                closed.revision += 1;
                return Some(closed.account(*period, members, answers));
            }
        }
        None
    }

    fn close_next_period(&mut self, members: &[MemberId], answers: &Answers) -> Account {
        let period = self.next;
        let closed = ClosedPeriod::from_answers(period, answers);
        let account = closed.account(period, members, answers);
        self.recent.insert(period, closed);
        self.next += 1;
        let next = self.next;
        self.recent.retain(|recent, _| recent + CORRECTED_PERIODS >= next);
        account
    }
}

impl ClosedPeriod {
    fn from_answers(period: u64, answers: &Answers) -> ClosedPeriod {
        let rows_of = |periods: &BTreeMap<u64, Rows>| periods.get(&period).cloned().unwrap_or_default();
        let parts =
            answers.iter().map(|(id, periods)| (*id, rows_of(periods).into_iter().collect())).collect();
        ClosedPeriod { revision: 0, parts }
    }

    /// Merges the answers into the period. Returns true if they change it. The greater counts win: a member that lost its
    /// disk answers less than before, and its earlier answer stays counted.
    fn merge_late_answers(&mut self, period: u64, answers: &Answers) -> bool {
        let mut changed = false;
        for (id, periods) in answers {
            let Some(rows) = periods.get(&period) else { continue };
            let part = self.parts.entry(*id).or_default();
            for (key, counts) in rows {
                let known = part.get(key).copied().unwrap_or_default();
                let newest = known.max_of_each(counts);
                changed |= part.insert(*key, newest).unwrap_or_default() != newest;
            }
        }
        changed
    }

    fn account(&self, period: u64, members: &[MemberId], answers: &Answers) -> Account {
        let mut sums: BTreeMap<TrafficKey, Counts> = BTreeMap::new();
        for (key, counts) in self.parts.values().flatten() {
            sums.entry(*key).or_default().add(counts);
        }
        Account {
            period,
            revision: self.revision,
            rows: sums.into_iter().collect(),
            missing: members.iter().copied().filter(|id| !answers.contains_key(id)).collect(),
        }
    }
}
