//! The even distribution of tasks over members.

use grebespool_leader_election::MemberId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Distributes tasks evenly over `members` (in any order, without repetition) with the fewest moves, and returns the
/// holder of each task.
///
/// `holders` is the present holder of each task. A holder keeps its tasks up to its even share. `preferred` is the member
/// that an operator wants for a task. That preference takes precedence if the member is one of `members`.
///
/// # Panics
///
/// Panics if `preferred` is shorter than `holders`.
pub fn balance_tasks(
    holders: &[Option<MemberId>],
    preferred: &[Option<MemberId>],
    members: &[MemberId],
) -> Vec<Option<MemberId>> {
    if members.is_empty() {
        return vec![None; holders.len()];
    }
    let mut distribution = Distribution::of_preferred(holders.len(), preferred, members);
    distribution.keep_holders(holders, members);
    distribution.assign_remaining();
    distribution.assigned
}

/// A distribution in progress.
struct Distribution {
    assigned: Vec<Option<MemberId>>,
    /// The number of tasks that each member has.
    counts: BTreeMap<MemberId, usize>,
}

impl Distribution {
    fn of_preferred(tasks: usize, preferred: &[Option<MemberId>], members: &[MemberId]) -> Distribution {
        let mut counts: BTreeMap<MemberId, usize> = members.iter().map(|id| (*id, 0)).collect();
        let assigned: Vec<Option<MemberId>> =
            (0..tasks).map(|task| preferred[task].filter(|id| members.contains(id))).collect();
        for id in assigned.iter().flatten() {
            *counts.entry(*id).or_default() += 1;
        }
        Distribution { assigned, counts }
    }

    /// Assigns unassigned tasks to their present holders, up to the share of each holder.
    fn keep_holders(&mut self, holders: &[Option<MemberId>], members: &[MemberId]) {
        let mut held: Vec<(usize, MemberId)> = vec![];
        for (task, holder) in holders.iter().enumerate() {
            if let Some(id) =
                holder.filter(|id| self.counts.contains_key(id) && self.assigned[task].is_none())
            {
                held.push((task, id));
            }
        }
        let shares = self.shares(&held, holders.len(), members.len());
        for (task, id) in held {
            if self.counts[&id] < shares[&id] {
                self.assign(task, id);
            }
        }
    }

    /// Returns the maximum number of tasks that each member may keep. If the tasks do not divide evenly, the members with
    /// the most tasks get one more, which needs the fewest moves.
    fn shares(&self, held: &[(usize, MemberId)], tasks: usize, members: usize) -> BTreeMap<MemberId, usize> {
        let mut wanted = self.counts.clone();
        for (_, id) in held {
            *wanted.entry(*id).or_default() += 1;
        }
        let mut by_count: Vec<MemberId> = wanted.keys().copied().collect();
        by_count.sort_by_key(|id| (Reverse(wanted[id]), *id));
        let (base, mut remainder) = (tasks / members, tasks % members);
        let mut shares = BTreeMap::new();
        for id in by_count {
            let extra = usize::from(wanted[&id] > base && remainder > 0);
            remainder -= extra;
            shares.insert(id, base + extra);
        }
        shares
    }

    /// Assigns each unassigned task to the member with the fewest tasks.
    fn assign_remaining(&mut self) {
        for task in 0..self.assigned.len() {
            if self.assigned[task].is_none() {
                let fewest = self.counts.iter().min_by_key(|(id, count)| (**count, **id));
                if let Some(id) = fewest.map(|(id, _)| *id) {
                    self.assign(task, id);
                }
            }
        }
    }

    fn assign(&mut self, task: usize, id: MemberId) {
        self.assigned[task] = Some(id);
        *self.counts.entry(id).or_default() += 1;
    }
}
