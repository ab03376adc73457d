//! Which member gets which duty.

use grebespool_leader_election::MemberId;
use std::collections::BTreeMap;

/// Shares duties out evenly, with as few moves as that takes: who has one keeps it up to an even share. `wanted`: where
/// an operator wants it, as far as that one takes part. Members in any order, each once.
pub fn share(
    owners: &[Option<MemberId>],
    wanted: &[Option<MemberId>],
    members: &[MemberId],
) -> Vec<Option<MemberId>> {
    if members.is_empty() {
        return vec![None; owners.len()];
    }
    let wish = |d: usize| wanted[d].filter(|id| members.contains(id));
    let mut count: BTreeMap<MemberId, usize> = members.iter().map(|id| (*id, 0)).collect();
    let mut placed: Vec<Option<MemberId>> = (0..owners.len()).map(wish).collect();
    placed.iter().flatten().for_each(|id| *count.entry(*id).or_default() += 1);
    let free = (0..owners.len()).filter(|d| placed[*d].is_none());
    let owned = |d: &usize| owners[*d].filter(|id| count.contains_key(id)).map(|id| (*d, id));
    let owned: Vec<(usize, MemberId)> = free.filter_map(|d| owned(&d)).collect();
    let mut has = count.clone();
    owned.iter().for_each(|(_, id)| *has.entry(*id).or_default() += 1);
    let (base, mut more) = (owners.len() / members.len(), owners.len() % members.len());
    // The places over an even share go to those who have the most: every other choice moves more.
    let mut by_most: Vec<MemberId> = has.keys().copied().collect();
    by_most.sort_by_key(|id| (std::cmp::Reverse(has[id]), *id));
    let mut room = BTreeMap::new();
    for id in by_most {
        let extra = usize::from(has[&id] > base && more > 0);
        more -= extra;
        room.insert(id, base + extra);
    }
    for (d, id) in owned {
        if count[&id] < room[&id] {
            *count.entry(id).or_default() += 1;
            placed[d] = Some(id);
        }
    }
    for place in placed.iter_mut().filter(|p| p.is_none()) {
        let least = count.iter().min_by_key(|(id, n)| (**n, **id)).map(|(id, _)| *id);
        *place = least;
        if let Some(id) = least {
            *count.entry(id).or_default() += 1;
        }
    }
    placed
}
