//! Accounts of periods: what each member counted, summed over all and corrected where one is heard late.

use grebespool_leader_election::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What came and what became of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    pub calls: u64,
    pub tries: u64,
    /// Tries that were not answered.
    pub dropped: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.calls += other.calls;
        self.tries += other.tries;
        self.dropped += other.dropped;
    }

    /// The most that was told of each.
    fn most(&mut self, other: &Counts) {
        self.calls = self.calls.max(other.calls);
        self.tries = self.tries.max(other.tries);
        self.dropped = self.dropped.max(other.dropped);
    }
}

/// By zone and route, as small indices. Tries know no route and stand under [`NO_ROUTE`].
pub type Rows = Vec<((u16, u8), Counts)>;

/// Stands for tries, which proxies sum up by server over all routes.
pub const NO_ROUTE: u8 = u8::MAX;

/// What one member counted, by period.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    periods: BTreeMap<u64, BTreeMap<(u16, u8), Counts>>,
}

impl Tally {
    /// Periods that are remembered: an account that is not closed by then lacks this member's part.
    const KEPT: usize = 64;

    /// A clock that was set back counts on in the newest period: what was told of an older one may be closed.
    pub fn add(&mut self, period: u64, at: (u16, u8), counts: Counts) {
        let newest = self.periods.keys().next_back().copied().unwrap_or(0);
        self.periods.entry(period.max(newest)).or_default().entry(at).or_default().add(&counts);
        while self.periods.len() > Self::KEPT {
            self.periods.pop_first();
        }
    }

    pub(crate) fn told(&self, from: u64, to: u64) -> Vec<(u64, Rows)> {
        let some = self.periods.range(from..=to.max(from));
        some.map(|(p, rows)| (*p, rows.iter().map(|(at, c)| (*at, *c)).collect())).collect()
    }
}

/// One period's account as it is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    pub period: u64,
    /// 0 for the first; a correction has the next, and takes the place of the one before.
    pub revision: u32,
    pub rows: Rows,
    /// Members that had not told when it was closed.
    pub missing: Vec<MemberId>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Closed {
    revision: u32,
    parts: BTreeMap<MemberId, BTreeMap<(u16, u8), Counts>>,
}

/// What has been written and may still have to be corrected. It is the content of each step, so that the next owner
/// goes on with it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// The next period to be closed.
    pub next: u64,
    recent: BTreeMap<u64, Closed>,
    /// What this step writes.
    pub account: Option<Account>,
}

impl Ledger {
    /// Periods that are corrected when a member is heard late.
    const RECENT: u64 = 4;

    pub fn beginning(next: u64) -> Ledger {
        Ledger { next, ..Ledger::default() }
    }

    /// The periods that members are to be asked for.
    pub fn open(&self) -> (u64, u64) {
        (self.next.saturating_sub(Self::RECENT), self.next)
    }

    /// The next step: the period that is over, or else a correction of one that was closed without what has been told
    /// since. `told`: by member. Nothing where there is neither.
    pub fn step(
        &self,
        over: u64,
        seats: &[MemberId],
        told: &BTreeMap<MemberId, BTreeMap<u64, Rows>>,
    ) -> Option<Ledger> {
        let mut next = Ledger { account: None, ..self.clone() };
        let part = |id: &MemberId, period: u64| told.get(id)?.get(&period).cloned();
        for (period, closed) in &mut next.recent {
            let mut changed = false;
            for id in told.keys() {
                let Some(rows) = part(id, *period) else { continue };
                let known = closed.parts.entry(*id).or_default();
                for (at, counts) in rows {
                    // One that lost its disk tells less than before: what it told then was counted.
                    let mut most = known.get(&at).copied().unwrap_or_default();
                    most.most(&counts);
                    changed |= known.insert(at, most).unwrap_or_default() != most;
                }
            }
            if changed {
                closed.revision += 1;
                let account = closed.account(*period, seats, told);
                next.account = Some(account);
                return Some(next);
            }
        }
        if self.next >= over {
            return None;
        }
        let of = |id: &MemberId| (*id, part(id, self.next).unwrap_or_default().into_iter().collect());
        let closed = Closed { revision: 0, parts: told.keys().map(of).collect() };
        next.account = Some(closed.account(self.next, seats, told));
        next.recent.insert(self.next, closed);
        next.next += 1;
        next.recent.retain(|p, _| p + Self::RECENT >= next.next);
        Some(next)
    }
}

impl Closed {
    fn account(
        &self,
        period: u64,
        seats: &[MemberId],
        told: &BTreeMap<MemberId, BTreeMap<u64, Rows>>,
    ) -> Account {
        let mut sum: BTreeMap<(u16, u8), Counts> = BTreeMap::new();
        for (at, counts) in self.parts.values().flatten() {
            sum.entry(*at).or_default().add(counts);
        }
        Account {
            period,
            revision: self.revision,
            rows: sum.into_iter().collect(),
            missing: seats.iter().copied().filter(|id| !told.contains_key(id)).collect(),
        }
    }
}
