//! The parts by themselves: chains and snapshots that are wrong, budgets, settings, and who is a relay.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_config_consensus::{Change, Limit};
use grebespool_config_distribution::*;
use rstest::rstest;
use std::time::Duration;

const SCOPE: ScopeId = ScopeId(7);

fn prepare(watts: f64) -> Step {
    Step::Prepare(vec![Change::Limit("draw".into(), Some(Limit::AtMost(watts)))])
}

/// A chain of so many links, and the links.
fn chain(links: u64) -> (ScopeChain, Vec<Link>) {
    let (mut chain, mut made) = (ScopeChain::new(SCOPE), vec![]);
    for k in 0..links {
        let step = if k % 2 == 0 { prepare(k as f64) } else { Step::Activate };
        let link = chain.next(step).unwrap();
        chain.apply(link.clone()).unwrap();
        made.push(link);
    }
    (chain, made)
}

/// Another history of the same length, and of the same scope.
fn other_link(after: u64) -> Link {
    let mut other = ScopeChain::new(SCOPE);
    for k in 0..=after {
        let step = if k % 2 == 0 { prepare(1000.0 + k as f64) } else { Step::Activate };
        let link = other.next(step).unwrap();
        other.apply(link.clone()).unwrap();
        if k == after {
            return link;
        }
    }
    unreachable!("the loop ends with its last link")
}

#[rstest]
#[case::a_gap(|l: &[Link]| l[5].clone(), ChainError::Gap { found: 6, held: 4 })]
#[case::the_same_again(|l: &[Link]| l[3].clone(), ChainError::GoesBack { found: 4, held: 4 })]
#[case::an_older_one(|l: &[Link]| l[0].clone(), ChainError::GoesBack { found: 1, held: 4 })]
#[case::of_another_scope(|l: &[Link]| Link { scope: ScopeId(8), ..l[4].clone() }, ChainError::OtherScope { found: ScopeId(8), wanted: SCOPE })]
#[case::nothing_to_activate(|l: &[Link]| Link { step: Step::Activate, ..l[4].clone() }, ChainError::NothingPrepared)]
fn rejects_a_link_that_does_not_follow(#[case] link: fn(&[Link]) -> Link, #[case] why: ChainError) {
    let links = chain(8).1;
    let (mut held, _) = chain(4);
    let before = held.clone();
    assert_eq!(held.apply(link(&links)), Err(why));
    assert_eq!(held, before, "what was held stays");
    held.apply(links[4].clone()).unwrap();
}

#[rstest]
fn tells_another_history_from_another_state() {
    let (mut held, links) = chain(4);
    assert!(matches!(held.apply(other_link(4)), Err(ChainError::OtherHistory { revision: 5, .. })));
    let next = chain(5).1[4].clone();
    let altered = Link { step: prepare(99.0), ..next };
    assert!(matches!(held.apply(altered), Err(ChainError::WrongState { revision: 5, .. })));
    assert_eq!(held.position().hash, links[3].hash);
}

#[rstest]
#[case::whole(1 << 20)]
#[case::in_parts(5)]
fn updates_a_store_from_a_snapshot(#[case] part_bytes: usize) {
    let (newer, links) = chain(9);
    let snapshot = newer.snapshot();
    let parts: Vec<&[u8]> = snapshot.state.chunks(part_bytes).collect();
    let mut store = Store::from_chains([chain(2).0]);
    for (number, bytes) in parts.iter().enumerate() {
        let part = SnapshotPart {
            scope: SCOPE,
            position: snapshot.position,
            parent: snapshot.parent,
            part: number as u32,
            parts: parts.len() as u32,
            bytes: bytes.to_vec(),
        };
        assert_eq!(store.add_part(Duration::ZERO, part), Ok(number + 1 == parts.len()));
    }
    assert_eq!(store.position(SCOPE), newer.position());
    assert_eq!(store.chain(SCOPE).unwrap().state(), newer.state());
    assert_eq!(
        store.apply(Duration::ZERO, links[8].clone()),
        Err(ChainError::GoesBack { found: 9, held: 9 })
    );
}

#[rstest]
#[case::a_part_is_missing(|p: &mut SnapshotPart| p.part = 1, true)]
#[case::of_another_state(|p: &mut SnapshotPart| *p.bytes.last_mut().unwrap() ^= 1, true)]
#[case::cut_short(|p: &mut SnapshotPart| p.bytes.truncate(3), true)]
#[case::older_than_what_is_held(|p: &mut SnapshotPart| p.position.revision = 2, true)]
#[case::as_it_was(|_: &mut SnapshotPart| (), false)]
fn rejects_a_wrong_snapshot(#[case] alter: fn(&mut SnapshotPart), #[case] refused: bool) {
    let snapshot = chain(9).0.snapshot();
    let (scope, position, parent, bytes) = (SCOPE, snapshot.position, snapshot.parent, snapshot.state);
    let mut part = SnapshotPart { scope, position, parent, part: 0, parts: 1, bytes };
    alter(&mut part);
    let mut store = Store::from_chains([chain(2).0]);
    assert_eq!(store.add_part(Duration::ZERO, part).is_err(), refused);
    assert_eq!(store.revision(SCOPE), if refused { 2 } else { 9 });
}

#[rstest]
fn keeps_the_newest_links_only() {
    let (long, links) = chain(2 * MAX_RETAINED_LINKS as u64);
    let position = |k: usize| Position { revision: links[k].revision, hash: links[k].hash };
    let last = links.len() - 1;
    assert_eq!(long.links_after(position(last - 3)).unwrap().len(), 3);
    assert_eq!(long.links_after(position(last)).unwrap().len(), 0);
    assert!(long.links_after(position(2)).is_none(), "too far behind");
    let other = Position { revision: links[last - 3].revision, hash: Digest::default() };
    assert!(long.links_after(other).is_none(), "of another history");
}

#[rstest]
fn limits_bytes_to_the_rate_and_the_burst() {
    let rate = Rate { bytes_per_second: 3000.0, burst: 6000.0 };
    let mut bucket = TokenBucket::new(rate, Duration::ZERO);
    let (mut sent, mut now) = (0usize, Duration::ZERO);
    while now < Duration::from_secs(100) {
        if bucket.allows(now, 500) {
            bucket.spend(now, 500);
            sent += 500;
        }
        now += Duration::from_millis(10);
    }
    assert!((303_000..=306_500).contains(&sent), "{sent}");
    assert!(!bucket.allows(now, 6001));
    // What is urgent overdraws it, and is paid back.
    bucket.spend(now, 9000);
    assert!(bucket.ready_at(now, 500) > now + Duration::from_secs(1));
}

#[rstest]
#[case::no_fan_out(|s: &mut Settings| s.fan_out = 0, "fan_out")]
#[case::no_room_for_a_lost_relay(|s: &mut Settings| s.most_planners = 9, "most_planners")]
#[case::a_lease_of_one_renewal(|s: &mut Settings| s.planner_lease = s.renew, "planner_lease")]
#[case::a_relay_with_less_than_its_planners(|s: &mut Settings| s.relay_lease = Duration::from_millis(900), "relay_lease")]
#[case::no_patience(|s: &mut Settings| s.relay_patience = Duration::from_millis(500), "relay_patience")]
#[case::a_budget_too_small_for_one_link(|s: &mut Settings| s.planner_budget.burst = 100.0, "planner_budget")]
#[case::no_budget(|s: &mut Settings| s.relay_budget.bytes_per_second = 0.0, "relay_budget")]
#[case::parts_beyond_the_budget(|s: &mut Settings| s.part_bytes = 1 << 20, "part_bytes")]
#[case::a_wild_clock(|s: &mut Settings| s.drift = 0.5, "drift")]
fn rejects_invalid_settings_by_field(#[case] alter: fn(&mut Settings), #[case] field: &str) {
    let mut settings = Settings::default();
    assert_eq!(settings.check(), Ok(()));
    alter(&mut settings);
    assert_eq!(settings.check().unwrap_err().field, field);
}

/// Every zone of the plan's size has enough relays, all planners agree on them, and their planners are spread.
#[rstest]
#[case(1, 1)]
#[case(2, 2)]
#[case(9, 2)]
#[case(88, 11)]
fn chooses_the_same_relays_everywhere_and_spreads_planners(#[case] planners: u64, #[case] wanted: usize) {
    let all: Vec<u64> = (1..=planners).map(|k| k * 7919).collect();
    let fan_out = Settings::default().fan_out;
    let relays: Vec<u64> = all.iter().copied().filter(|own| is_relay(3, &all, *own, fan_out)).collect();
    assert_eq!(relays.len(), wanted);
    let mut first: std::collections::BTreeMap<u64, usize> = relays.iter().map(|r| (*r, 0)).collect();
    for own in all.iter().filter(|own| !relays.contains(own)) {
        let order = candidates(3, &all, *own, fan_out);
        assert_eq!(order.len() + 1, all.len());
        assert!(!order.contains(own) && order[..wanted].iter().all(|r| relays.contains(r)));
        order[..wanted.min(2)].iter().for_each(|r| *first.get_mut(r).unwrap() += 1);
    }
    let most = first.values().max().copied().unwrap_or_default();
    assert!(most <= Settings::default().most_planners, "{first:?}");
}
