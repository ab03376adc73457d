//! Tests of single parts: invalid links and snapshots, budgets, settings, and the choice of relays.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a panic fails the test")]

use grebespool_config_consensus::{Change, Limit};
use grebespool_config_distribution::*;
use rstest::rstest;
use std::time::Duration;

const SCOPE: ScopeId = ScopeId(7);

fn prepare(watts: f64) -> Step {
    Step::Prepare(vec![Change::Limit("draw".into(), Some(Limit::AtMost(watts)))])
}

/// Returns a chain with this number of links, and its links.
fn chain(links: u64) -> (ScopeChain, Vec<Link>) {
    let (mut chain, mut added) = (ScopeChain::new(SCOPE), vec![]);
    for k in 0..links {
        let step = if k % 2 == 0 { prepare(k as f64) } else { Step::Activate };
        let link = chain.next(step).unwrap();
        chain.apply(link.clone()).unwrap();
        added.push(link);
    }
    (chain, added)
}

/// Returns the link after this revision in another history of the same scope.
fn link_of_other_history(after: u64) -> Link {
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
#[case::after_a_gap(|l: &[Link]| l[5].clone(), ChainError::Gap { found: 6, held: 4 })]
#[case::repeated(|l: &[Link]| l[3].clone(), ChainError::GoesBack { found: 4, held: 4 })]
#[case::older(|l: &[Link]| l[0].clone(), ChainError::GoesBack { found: 1, held: 4 })]
#[case::of_another_scope(|l: &[Link]| Link { scope: ScopeId(8), ..l[4].clone() }, ChainError::OtherScope { found: ScopeId(8), wanted: SCOPE })]
#[case::activates_without_a_pending_version(|l: &[Link]| Link { step: Step::Activate, ..l[4].clone() }, ChainError::NothingPrepared)]
fn rejects_a_link_that_does_not_follow(#[case] link: fn(&[Link]) -> Link, #[case] expected: ChainError) {
    let links = chain(8).1;
    let (mut held, _) = chain(4);
    let before = held.clone();
    assert_eq!(held.apply(link(&links)), Err(expected));
    assert_eq!(held, before, "the chain has changed");
    held.apply(links[4].clone()).unwrap();
}

#[rstest]
fn rejects_links_of_another_history_and_with_a_wrong_state() {
    let (mut held, links) = chain(4);
    assert!(matches!(
        held.apply(link_of_other_history(4)),
        Err(ChainError::OtherHistory { revision: 5, .. })
    ));
    let next = chain(5).1[4].clone();
    let altered = Link { step: prepare(99.0), ..next };
    assert!(matches!(held.apply(altered), Err(ChainError::WrongState { revision: 5, .. })));
    assert_eq!(held.position().hash, links[3].hash);
}

#[rstest]
#[case::whole(1 << 20)]
#[case::in_parts(5)]
fn restores_a_store_from_a_snapshot(#[case] part_bytes: usize) {
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
#[case::first_part_is_missing(|p: &mut SnapshotPart| p.part = 1, true)]
#[case::altered_state(|p: &mut SnapshotPart| *p.bytes.last_mut().unwrap() ^= 1, true)]
#[case::truncated(|p: &mut SnapshotPart| p.bytes.truncate(3), true)]
#[case::older_than_the_chain(|p: &mut SnapshotPart| p.position.revision = 2, true)]
#[case::unaltered_is_accepted(|_: &mut SnapshotPart| (), false)]
fn rejects_an_invalid_snapshot(#[case] alter: fn(&mut SnapshotPart), #[case] rejected: bool) {
    let snapshot = chain(9).0.snapshot();
    let (scope, position, parent, bytes) = (SCOPE, snapshot.position, snapshot.parent, snapshot.state);
    let mut part = SnapshotPart { scope, position, parent, part: 0, parts: 1, bytes };
    alter(&mut part);
    let mut store = Store::from_chains([chain(2).0]);
    assert_eq!(store.add_part(Duration::ZERO, part).is_err(), rejected);
    assert_eq!(store.revision(SCOPE), if rejected { 2 } else { 9 });
}

#[rstest]
fn retains_only_the_newest_links() {
    let (long, links) = chain(2 * MAX_RETAINED_LINKS as u64);
    let position = |k: usize| Position { revision: links[k].revision, hash: links[k].hash };
    let last = links.len() - 1;
    assert_eq!(long.links_after(position(last - 3)).unwrap().len(), 3);
    assert_eq!(long.links_after(position(last)).unwrap().len(), 0);
    assert!(
        long.links_after(position(2)).is_none(),
        "links were returned for a position that is too far behind"
    );
    let other = Position { revision: links[last - 3].revision, hash: Digest::default() };
    assert!(long.links_after(other).is_none(), "links were returned for another history");
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
    // Urgent bytes overdraw the bucket, and the deficit has to be refilled before other bytes may be sent.
    bucket.spend(now, 9000);
    assert!(bucket.ready_at(now, 500) > now + Duration::from_secs(1));
}

#[rstest]
#[case::zero_fan_out(|s: &mut Settings| s.fan_out = 0, "fan_out")]
#[case::too_few_planners_to_replace_a_lost_relay(|s: &mut Settings| s.most_planners = 9, "most_planners")]
#[case::planner_lease_of_one_renewal(|s: &mut Settings| s.planner_lease = s.renew, "planner_lease")]
#[case::relay_lease_shorter_than_planner_lease(|s: &mut Settings| s.relay_lease = Duration::from_millis(900), "relay_lease")]
#[case::relay_patience_shorter_than_a_planner_lease(|s: &mut Settings| s.relay_patience = Duration::from_millis(500), "relay_patience")]
#[case::burst_too_small_for_one_link(|s: &mut Settings| s.planner_budget.burst = 100.0, "planner_budget")]
#[case::rate_of_zero(|s: &mut Settings| s.relay_budget.bytes_per_second = 0.0, "relay_budget")]
#[case::parts_larger_than_the_burst(|s: &mut Settings| s.part_bytes = 1 << 20, "part_bytes")]
#[case::too_much_drift(|s: &mut Settings| s.drift = 0.5, "drift")]
fn rejects_invalid_settings_by_field(#[case] alter: fn(&mut Settings), #[case] field: &str) {
    let mut settings = Settings::default();
    assert_eq!(settings.check(), Ok(()));
    alter(&mut settings);
    assert_eq!(settings.check().unwrap_err().field, field);
}

/// Each zone, of up to 88 planners as in the capacity plan, has enough relays. All planners choose the same ones, and
/// no relay is the preferred one of too many planners.
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
    let mut planners_of: std::collections::BTreeMap<u64, usize> = relays.iter().map(|r| (*r, 0)).collect();
    for own in all.iter().filter(|own| !relays.contains(own)) {
        let order = candidates(3, &all, *own, fan_out);
        assert_eq!(order.len() + 1, all.len());
        assert!(!order.contains(own) && order[..wanted].iter().all(|r| relays.contains(r)));
        order[..wanted.min(2)].iter().for_each(|r| *planners_of.get_mut(r).unwrap() += 1);
    }
    let max_planners = planners_of.values().max().copied().unwrap_or_default();
    assert!(max_planners <= Settings::default().most_planners, "{planners_of:?}");
}
