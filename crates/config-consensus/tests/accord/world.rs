//! What must hold whatever happens to members, and what comes back once things are well.

use crate::helpers::*;
use grebespool_config_consensus::*;
use rand::Rng;
use rstest::rstest;
use std::collections::BTreeMap;

/// Few where checks are slow; `cargo test --release` plays more.
const SEEDS: u64 = if cfg!(debug_assertions) { 8 } else { 3000 };

#[rstest]
#[case::alone(1)]
#[case::three(3)]
#[case::five(5)]
fn an_edition_holds_everywhere(#[case] members: u64) {
    let mut world = World::settled(members, 1, Without::Nothing);
    assert_eq!(world.agreed(), Some(1));
    let ticket =
        world.propose(1, vec![Change::Limit("draw".into(), Some(Limit::Most(70.0)))], false).unwrap();
    let from = world.now;
    while world.agreed() != Some(2) {
        world.run(MS(1));
    }
    // Four ways of at most 10 ms, two writings of 3 ms.
    assert!(world.now - from < MS(46), "{:?}", world.now - from);
    world.run(MS(200));
    assert_eq!(world.nodes[&1].answered.get(&ticket), Some(&Ok(2)));
}

/// One that does not answer is waited for no longer than its lease, and acts by nothing from then on.
#[rstest]
#[case::killed(|w: &mut World, id| w.crash(id))]
#[case::stopped(|w: &mut World, id| w.still(id, true))]
#[case::cut_off(|w: &mut World, id| w.cut_off(id, (true, true)))]
#[case::hears_and_is_not_heard(|w: &mut World, id| w.cut_off(id, (true, false)))]
#[case::is_heard_and_hears_not(|w: &mut World, id| w.cut_off(id, (false, true)))]
#[case::its_disk_is_full(|w: &mut World, id| w.nodes.get_mut(&id).unwrap().full = true)]
fn a_member_that_is_lost_is_waited_for_as_long_as_its_lease(#[case] fault: fn(&mut World, u64)) {
    for seed in 0..4 {
        let mut world = World::settled(3, seed, Without::Nothing);
        let owner = world.owner.unwrap().0;
        let lost = if owner == 3 { 2 } else { 3 };
        fault(&mut world, lost);
        let from = world.now;
        world.propose(owner, vec![Change::Limit("draw".into(), Some(Limit::Most(70.0)))], false);
        while !world.held_at.contains_key(&2) {
            world.run(MS(5));
            assert!(world.now - from < MS(1300), "seed {seed}: not held after {:?}", world.now - from);
        }
        world.run(S(1));
        world.heal();
        world.run(S(3));
        assert_eq!(world.agreed(), Some(2), "seed {seed}");
    }
}

/// The convener goes at each of its steps, by the millisecond: the next goes on with what was fixed, or begins anew.
#[rstest]
fn the_convener_is_lost_at_each_step() {
    for at in (0..40).step_by(if cfg!(debug_assertions) { 3 } else { 1 }) {
        let mut world = World::settled(3, 100 + at, Without::Nothing);
        let owner = world.owner.unwrap().0;
        let proposer = 1 + owner % 3;
        let ticket =
            world.propose(proposer, vec![Change::Limit("draw".into(), Some(Limit::Most(60.0)))], false);
        world.run(MS(at));
        if at % 2 == 0 {
            world.crash(owner)
        } else {
            world.still(owner, true)
        }
        world.run(S(4));
        world.heal();
        world.run(S(4));
        assert_eq!(world.agreed(), Some(2), "{at} ms: {}", world.shown());
        assert_eq!(world.nodes[&proposer].answered.get(&ticket.unwrap()), Some(&Ok(2)), "{at} ms");
    }
}

#[rstest]
fn random_schedules_keep_every_promise_and_go_on_after_them() {
    for seed in 0..SEEDS {
        let members = if seed % 3 == 0 { 5 } else { 3 };
        let mut world = World::settled(members, seed, Without::Nothing);
        let mut last: BTreeMap<u64, (Ticket, f64)> = BTreeMap::new();
        for k in 0..24 {
            let span = MS(world.rng.random_range(30..500));
            world.run(span);
            world.trouble();
            let id = world.rng.random_range(1..=members);
            let changes = world.some_change();
            world.propose(id, changes, k % 7 == 0);
            // Each counts up something of its own: a proposal taken twice would set it back.
            let own = world.rng.random_range(1..=members);
            let count = f64::from(k + 1);
            let change = Change::Server(format!("own{own}"), Some(server("r2", count, State::Draining)));
            if let Some(ticket) = world.propose(own, vec![change], false) {
                last.insert(own, (ticket, count));
            }
        }
        world.heal();
        world.run(S(8));
        let agreed = world.agreed();
        assert!(agreed.is_some(), "seed {seed}: nothing is agreed: {}", world.shown());
        world.propose(1, vec![Change::Limit("draw".into(), Some(Limit::Most(10.0)))], false);
        world.run(S(3));
        assert!(world.agreed() > agreed, "seed {seed}: nothing follows {agreed:?}");
        for (id, (ticket, count)) in last {
            let node = &world.nodes[&id];
            // One that was killed with its proposal unanswered has forgotten it.
            if node.answered.get(&ticket).is_some_and(Result::is_ok) {
                let there = &node.disk.standing.content().servers[&format!("own{id}")];
                assert_eq!(there.capacity, count, "seed {seed}: of {id}");
            }
        }
    }
}

/// What the guards are for: without one, somebody does what no edition of the others allows.
#[rstest]
#[case::held_as_soon_as_it_is_prepared(Without::Waiting)]
#[case::leases_from_the_answer(Without::Sending)]
#[case::a_field_without_its_stricter_side(Without::Field)]
#[case::a_convener_that_grants_past_its_time(Without::Authority)]
fn a_guard_that_is_missing_is_found(#[case] without: Without) {
    let wrong = |seed: u64| {
        let mut world = World::settled(5, seed, without);
        for _ in 0..60 {
            let span = MS(world.rng.random_range(30..500));
            world.run(span);
            world.trouble();
            let id = world.rng.random_range(1..=5);
            let changes = world.some_change();
            world.propose(id, changes, true);
        }
        !world.broken.is_empty()
    };
    assert!((0..200).any(wrong));
}

/// 1 MB over a way that is slow and loses a tenth: it holds, and meanwhile no lease runs out.
#[rstest]
fn a_large_edition_over_a_slow_and_lossy_way() {
    let mut world = World::settled(3, 5, Without::Nothing);
    let mut large = content();
    for k in 0..16_000 {
        large
            .servers
            .insert(format!("server-of-a-long-name-{k:08}-at-{:024}", k), server("r0", 1.0, State::Ready));
    }
    assert!(Edition::new(Blob { content: large.clone(), ..Blob::default() }).blob.bytes().len() > 1_000_000);
    (world.loss, world.pace) = (0.1, 4_000_000.0);
    let ticket = world.propose(2, vec![Change::Whole(Box::new(large))], false).unwrap();
    for _ in 0..200 {
        world.run(MS(100));
        if world.agreed() == Some(2) {
            break;
        }
    }
    world.run(S(1));
    assert_eq!(world.nodes[&2].answered.get(&ticket), Some(&Ok(2)));
}

/// All are killed at once while an edition is under way, and started again.
#[rstest]
fn all_restarted_at_once_amid_an_activation() {
    for at in (0..30).step_by(if cfg!(debug_assertions) { 4 } else { 1 }) {
        let mut world = World::settled(3, 300 + at, Without::Nothing);
        world.propose(2, vec![Change::State("s00".into(), State::Draining)], false);
        world.run(MS(at));
        (1..=3).for_each(|id| world.crash(id));
        world.run(S(2));
        world.heal();
        world.run(S(6));
        let agreed = world.agreed();
        assert!(agreed >= Some(1), "{at} ms: {agreed:?}");
        world.propose(1, vec![Change::State("s01".into(), State::Draining)], false);
        world.run(S(2));
        assert!(world.agreed() > agreed, "{at} ms");
    }
}

/// A member of an older copy of its folder is brought up to date, and one of another history is named and granted nothing.
#[rstest]
fn an_older_copy_and_another_history() {
    let mut world = World::settled(3, 9, Without::Nothing);
    let old = world.nodes[&2].disk.clone();
    for most in [90.0, 80.0, 70.0] {
        world.propose(1, vec![Change::Limit("draw".into(), Some(Limit::Most(most)))], false);
        world.run(S(1));
    }
    world.set_back(2, old);
    world.run(S(4));
    assert_eq!(world.agreed(), Some(4));
    let mut other = world.nodes[&3].disk.clone();
    let mut blob = other.standing.blob.clone();
    blob.content.limits.insert("draw".into(), Limit::Most(5.0));
    other.standing = Edition::new(blob);
    world.strangers.insert(3);
    world.set_back(3, other);
    for _ in 0..100 {
        world.run(MS(30));
        let member = world.nodes[&3].member.as_ref().unwrap();
        assert_eq!(member.acts(world.nodes[&3].clock(world.now)), Acts::Unleased);
    }
    let named = world.nodes.values().flat_map(|n| &n.notes).any(|n| n.contains("two histories"));
    assert!(named, "{}", world.shown());
}

/// A drain is acted on before it is agreed; one that comes to nothing is not.
#[rstest]
#[case::within_what_is_allowed(4, State::Draining)]
#[case::too_much_at_once(9, State::Ready)]
fn a_proposed_drain_is_acted_on_until_it_is_refused(#[case] servers: usize, #[case] after: State) {
    let mut world = World::settled(3, 21, Without::Nothing);
    let names: Vec<String> = content().servers.keys().take(servers).cloned().collect();
    world.propose(2, names.iter().map(|n| Change::State(n.clone(), State::Draining)).collect(), false);
    let state = |w: &World| w.nodes[&2].member.as_ref().unwrap().view().servers["s00"].state;
    assert_eq!(state(&world), State::Draining);
    world.run(S(1));
    assert_eq!(state(&world), after);
}

/// Many proposals at once become few editions, each in its order; a drain is acted on before any of them holds.
#[rstest]
fn a_list_that_changes_faster_than_it_can_be_agreed_on() {
    let mut world = World::settled(3, 11, Without::Nothing);
    let owner = world.owner.unwrap().0;
    let other = 1 + owner % 3;
    for k in 0..100 {
        let state = if k % 2 == 0 { State::Draining } else { State::Ready };
        world.propose(other, vec![Change::State(format!("s0{}", k % 4), state)], false);
    }
    assert_eq!(world.nodes[&other].member.as_ref().unwrap().view().servers["s00"].state, State::Draining);
    world.run(S(3));
    let agreed = world.agreed().unwrap();
    assert!((2..30).contains(&agreed), "{agreed} editions");
    let content = world.nodes[&owner].disk.standing.content();
    assert_eq!((content.servers["s00"].state, content.servers["s01"].state), (State::Draining, State::Ready));
}
