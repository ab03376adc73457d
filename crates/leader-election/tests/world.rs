//! Members under a simulated network, disks and clocks that fail: what must hold whatever happens, and what comes
//! back once things are well.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_leader_election::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

const TERMS: Terms =
    Terms { beat: Duration::from_millis(150), lease: Duration::from_millis(900), drift: 0.05 };

#[derive(Default)]
struct Asked {
    keep: Vec<Kept>,
    say: Vec<(Id, Word)>,
    led: Vec<u64>,
    down: Vec<(u64, Why)>,
}

#[derive(Clone, Default)]
struct Desk(Rc<RefCell<Asked>>);

impl Host for Desk {
    fn keep(&mut self, kept: &Kept) {
        self.0.borrow_mut().keep.push(kept.clone());
    }
    fn say(&mut self, to: Id, word: Word) {
        self.0.borrow_mut().say.push((to, word));
    }
    fn lead(&mut self, epoch: u64) {
        self.0.borrow_mut().led.push(epoch);
    }
    fn stand_down(&mut self, epoch: u64, why: Why) {
        self.0.borrow_mut().down.push((epoch, why));
    }
    fn note(&mut self, _: &str) {}
}

/// A process that runs, is stopped, or is gone; its clock, and its disk.
struct Node {
    member: Option<Member<Desk>>,
    desk: Desk,
    disk: Kept,
    /// Writings on their way: when each is on disk.
    writing: Vec<(Duration, Kept)>,
    slow_disk: Duration,
    still: bool,
    /// Its clock: ahead by so much at a moment, and so many times as fast from there on.
    base: (Duration, Duration),
    rate: f64,
}

impl Node {
    fn clock(&self, now: Duration) -> Duration {
        self.base.1 + now.saturating_sub(self.base.0).mul_f64(self.rate)
    }

    /// When its clock shows that.
    fn real(&self, own: Duration) -> Duration {
        self.base.0 + own.saturating_sub(self.base.1).div_f64(self.rate)
    }
}

struct World {
    now: Duration,
    nodes: BTreeMap<Id, Node>,
    /// In flight: when due, to whom, from whom, what.
    flight: BTreeMap<(Duration, u64), (Id, Id, Word)>,
    sent: u64,
    rng: Pcg64Mcg,
    loss: f64,
    twice: f64,
    slowest: Duration,
    /// Nothing passes from the first to the second.
    cut: BTreeSet<(Id, Id)>,
    leaders: BTreeMap<u64, Id>,
    /// Whether the clocks are within what the terms say.
    honest: bool,
    elections: usize,
}

fn seat(id: Id) -> Seat {
    Seat { name: format!("m{id}"), address: format!("127.0.0.1:{}", 7000 + id) }
}

impl World {
    fn new(members: u64, seed: u64) -> World {
        let roster = Roster { epoch: 0, number: 0, seats: (1..=members).map(|id| (id, seat(id))).collect() };
        let mut world = World {
            now: Duration::from_secs(10),
            nodes: BTreeMap::new(),
            flight: BTreeMap::new(),
            sent: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            twice: 0.0,
            slowest: Duration::from_millis(20),
            cut: BTreeSet::new(),
            leaders: BTreeMap::new(),
            honest: true,
            elections: 0,
        };
        for id in 1..=members {
            world.place(id, Kept { id, fleet: 9, epoch: 0, vote: None, roster: roster.clone(), stamp: 0 });
        }
        world
    }

    fn place(&mut self, id: Id, disk: Kept) {
        let rate = self.rng.random_range(0.951..1.049);
        let ahead = Duration::from_millis(self.rng.random_range(0..5000));
        let base = (self.now, ahead);
        let (desk, slow_disk) = (Desk::default(), Duration::from_millis(4));
        let node = Node { member: None, desk, disk, writing: vec![], slow_disk, still: false, base, rate };
        self.nodes.insert(id, node);
        self.boot(id);
    }

    fn boot(&mut self, id: Id) {
        let (seed, now) = (self.rng.random(), self.now);
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.desk = Desk::default();
        (node.writing, node.still) = (vec![], false);
        let clock = node.clock(now);
        node.member = Some(Member::start(node.desk.clone(), node.disk.clone(), TERMS, seed, clock));
    }

    /// Outright: what is not on disk is lost.
    fn crash(&mut self, id: Id) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.member = None;
            node.writing.clear();
        }
    }

    fn cut_off(&mut self, id: Id, ways: (bool, bool)) {
        for other in self.nodes.keys().copied().filter(|o| *o != id) {
            if ways.0 {
                self.cut.insert((id, other));
            }
            if ways.1 {
                self.cut.insert((other, id));
            }
        }
    }

    fn call<T>(&mut self, id: Id, what: impl FnOnce(&mut Member<Desk>, Duration) -> T) -> Option<T> {
        let now = self.now;
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let done = what(node.member.as_mut()?, clock);
        let asked = std::mem::take(&mut *node.desk.0.borrow_mut());
        let busy = node.writing.last().map_or(now, |w| w.0.max(now));
        for (i, kept) in asked.keep.into_iter().enumerate() {
            let at = busy + node.slow_disk * (i as u32 + 1);
            node.writing.push((at, kept));
        }
        for epoch in asked.led {
            self.elections += 1;
            let first = *self.leaders.entry(epoch).or_insert(id);
            assert_eq!(first, id, "two lead in epoch {epoch}");
        }
        for (to, word) in asked.say {
            self.send(id, to, word);
        }
        Some(done)
    }

    fn send(&mut self, from: Id, to: Id, word: Word) {
        let copies = if self.rng.random_bool(self.twice) { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let late = self.slowest.mul_f64(self.rng.random_range(0.01..1.0));
            self.sent += 1;
            self.flight.insert((self.now + late, self.sent), (to, from, word.clone()));
        }
    }

    /// Who may order at this moment, each by its own clock.
    fn planning(&self) -> Vec<Id> {
        let may = |n: &Node| n.member.as_ref().is_some_and(|m| m.may_order(n.clock(self.now)));
        self.nodes.iter().filter(|(_, n)| may(n)).map(|(id, _)| *id).collect()
    }

    fn leader(&self) -> Option<Id> {
        self.planning().first().copied()
    }

    fn next_due(&self) -> Duration {
        let of = |n: &Node| {
            let woken = n.member.as_ref().filter(|_| !n.still).map(|m| n.real(m.due()));
            let written = n.writing.first().map(|w| w.0);
            woken.into_iter().chain(written).min()
        };
        let nodes = self.nodes.values().filter_map(of);
        let flight = self.flight.keys().next().map(|k| k.0);
        nodes.chain(flight).min().unwrap_or(self.now + Duration::from_millis(5))
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            let step = self.next_due().max(self.now + Duration::from_micros(50)).min(end);
            self.now = step;
            let due: Vec<(Duration, u64)> =
                self.flight.range(..=(self.now, u64::MAX)).map(|f| *f.0).collect();
            for key in due {
                let Some((to, from, word)) = self.flight.remove(&key) else { continue };
                if self.nodes.get(&to).is_some_and(|n| n.still) {
                    // It lies there until the process runs on.
                    self.flight.insert((self.now + Duration::from_millis(20), key.1), (to, from, word));
                } else {
                    self.call(to, |m, now| m.heard(now, from, word));
                }
            }
            for id in self.nodes.keys().copied().collect::<Vec<_>>() {
                let node = self.nodes.get_mut(&id).unwrap();
                let done = node.writing.iter().take_while(|w| w.0 <= self.now).count();
                let written: Vec<Kept> = node.writing.drain(..done).map(|w| w.1).collect();
                if let Some(last) = written.last() {
                    node.disk = last.clone();
                    let stamp = last.stamp;
                    self.call(id, |m, now| m.kept(now, stamp));
                }
                let node = &self.nodes[&id];
                let due = node.member.as_ref().filter(|_| !node.still).map(|m| m.due());
                if due.is_some_and(|due| due <= node.clock(self.now)) {
                    self.call(id, |m, now| m.woken(now));
                }
            }
            if self.honest {
                let planning = self.planning();
                assert!(planning.len() <= 1, "{planning:?} plan at once at {:?}", self.now);
            }
        }
    }

    fn stop(&mut self, id: Id, still: bool) {
        self.nodes.get_mut(&id).unwrap().still = still;
    }

    fn heal(&mut self) {
        (self.loss, self.twice, self.slowest) = (0.0, 0.0, Duration::from_millis(20));
        self.cut.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&id).unwrap();
            (node.still, node.slow_disk) = (false, Duration::from_millis(4));
            if node.member.is_none() {
                self.boot(id);
            }
        }
    }
}

const S: fn(u64) -> Duration = Duration::from_secs;

#[rstest]
#[case::one(1)]
#[case::three(3)]
#[case::five(5)]
fn a_fleet_chooses_one_and_keeps_it(#[case] members: u64) {
    let mut world = World::new(members, 1);
    world.run(S(5));
    let leader = world.leader().expect("somebody leads");
    world.run(S(60));
    assert_eq!((world.leader(), world.elections), (Some(leader), 1));
}

type Fault = fn(&mut World, Id);

#[rstest]
#[case::killed(|w: &mut World, l: Id| w.crash(l))]
#[case::stopped(|w: &mut World, l: Id| w.stop(l, true))]
#[case::cut_off(|w: &mut World, l: Id| w.cut_off(l, (true, true)))]
#[case::hears_and_is_not_heard(|w: &mut World, l: Id| w.cut_off(l, (true, false)))]
#[case::disk_gone(|w: &mut World, l: Id| w.call(l, |m, now| m.disk_failed(now)).unwrap())]
#[case::asked_to_step_down(|w: &mut World, l: Id| w.call(l, |m, now| m.step_down(now)).unwrap().unwrap())]
fn another_takes_over(#[case] fault: Fault) {
    for seed in 0..20 {
        let mut world = World::new(3, seed);
        world.run(S(5));
        let first = world.leader().expect("somebody leads");
        fault(&mut world, first);
        let mut waited = Duration::ZERO;
        while world.leader().is_none_or(|l| l == first) {
            world.run(Duration::from_millis(20));
            waited += Duration::from_millis(20);
            assert!(waited < S(4), "nobody took over within {waited:?} (seed {seed})");
        }
        let epoch = *world.leaders.keys().next_back().unwrap();
        assert!(epoch > *world.leaders.keys().next().unwrap());
        world.heal();
        world.run(S(10));
        assert_eq!(world.planning().len(), 1);
    }
}

#[rstest]
fn an_epoch_that_proxies_know_is_counted_on_from() {
    let mut world = World::new(3, 8);
    world.run(S(5));
    let first = world.leader().unwrap();
    world.call(first, |m, now| m.passed_over(now, 77));
    assert!(world.leader().is_none(), "it stands down at once");
    world.run(S(5));
    assert!(world.leader().is_some() && world.leaders.keys().next_back() > Some(&77));
}

#[rstest]
fn a_stalled_leader_that_wakes_up_in_a_push_may_not_go_on() {
    let mut world = World::new(3, 4);
    world.run(S(5));
    let first = world.leader().unwrap();
    world.stop(first, true);
    world.run(S(5));
    world.stop(first, false);
    // Before it has heard or done anything else.
    let node = &world.nodes[&first];
    assert!(!node.member.as_ref().unwrap().may_order(node.clock(world.now)));
    assert!(node.member.as_ref().unwrap().leads(), "it does not know yet");
    world.run(S(3));
    assert_ne!(world.leader(), Some(first));
}

#[rstest]
fn a_lost_majority_leaves_nobody_planning_and_a_flapping_link_elects_nobody_anew() {
    let mut world = World::new(3, 6);
    world.run(S(5));
    let first = world.leader().unwrap();
    let others: Vec<Id> = (1..=3).filter(|id| *id != first).collect();
    // One link to one follower comes and goes: it may canvass, nobody follows.
    for _ in 0..20 {
        world.cut_off(others[0], (true, true));
        world.run(Duration::from_millis(1700));
        world.cut.clear();
        world.run(Duration::from_millis(400));
    }
    assert_eq!((world.leader(), world.elections), (Some(first), 1));
    others.iter().for_each(|id| world.crash(*id));
    world.run(S(3));
    assert!(world.planning().is_empty(), "no member plans on its own");
    let status = world.call(first, |m, now| m.status(now)).unwrap();
    assert_eq!((status.standing, status.stood_down), (Standing::Alone, Some(Why::LeaseRanOut)));
    world.heal();
    world.run(S(8));
    assert_eq!(world.planning().len(), 1);
}

/// Everything at once, at random: crashes, stops, cuts of every kind, loss, repeats, reordering, slow disks.
#[rstest]
#[case::three(3, 150)]
#[case::five(5, 60)]
fn no_epoch_has_two_leaders_and_no_two_plan_at_once(#[case] members: u64, #[case] seeds: u64) {
    let (mut elections, mut led) = (0, 0);
    for seed in 0..seeds {
        let mut world = World::new(members, 1000 + seed);
        for _ in 0..40 {
            let (id, other) = (world.rng.random_range(1..=members), world.rng.random_range(1..=members));
            // Half of what happens happens to the leader.
            let id = world.leader().filter(|_| world.rng.random()).unwrap_or(id);
            match world.rng.random_range(0..16) {
                0 => world.crash(id),
                1 => world.stop(id, true),
                2 | 3 => {
                    world.stop(id, false);
                    if world.nodes[&id].member.is_none() {
                        world.boot(id);
                    }
                }
                4 => world.cut_off(id, (true, true)),
                5 => {
                    let ways = world.rng.random();
                    world.cut_off(id, ways);
                }
                6 => drop(world.cut.insert((id, other))),
                7 => world.cut.clear(),
                8 => (world.loss, world.twice) = (world.rng.random_range(0.0..0.4), 0.2),
                9 => world.slowest = Duration::from_millis(world.rng.random_range(5..1500)),
                10 => {
                    let slow = Duration::from_millis(world.rng.random_range(1..2000));
                    world.nodes.get_mut(&id).unwrap().slow_disk = slow;
                }
                11 => drop(world.call(id, |m, now| m.step_down(now))),
                _ => {
                    // Else most of the time nobody could lead.
                    world.heal();
                    world.run(S(2));
                }
            }
            let span = Duration::from_millis(world.rng.random_range(50..2500));
            world.run(span);
            led += usize::from(world.leader().is_some());
        }
        elections += world.elections;
        world.heal();
        world.run(S(12));
        assert_eq!(world.planning().len(), 1, "one leads once all is well (seed {seed})");
    }
    // Else nothing was put to the test.
    assert!(elections as u64 > 3 * seeds && led as u64 > 5 * seeds, "{elections} elections, led {led}");
}

/// Clocks that step, stand still or run at any pace: two may plan at once, but never in one epoch, and the one that was
/// passed over is known by its epoch.
#[rstest]
fn clocks_that_lie_cost_time_and_never_an_epoch() {
    for seed in 0..30 {
        let mut world = World::new(3, 5000 + seed);
        world.honest = false;
        for _ in 0..30 {
            let id = world.rng.random_range(1..=3);
            let (rate, step) = (world.rng.random_range(0.01..4.0), world.rng.random_range(0..4000));
            let now = world.now;
            let node = world.nodes.get_mut(&id).unwrap();
            node.base = (now, node.clock(now) + Duration::from_millis(step));
            node.rate = rate;
            world.run(Duration::from_millis(800));
        }
        for node in world.nodes.values_mut() {
            node.base = (world.now, node.clock(world.now));
            node.rate = 1.0;
        }
        world.run(S(20));
        assert_eq!(world.planning().len(), 1);
    }
}

#[rstest]
fn members_come_and_go_while_a_leader_is_lost() {
    for seed in 0..20 {
        let mut world = World::new(3, 300 + seed);
        world.run(S(5));
        let first = world.leader().unwrap();
        let empty = Roster::default();
        world.place(9, Kept { id: 9, fleet: 9, epoch: 0, vote: None, roster: empty, stamp: 0 });
        world.run(S(5));
        assert_eq!(
            world.leader(),
            Some(first),
            "a folder that nobody added leads nothing and asks for nothing"
        );
        world.call(first, |m, now| m.add(now, 9, seat(9))).unwrap().unwrap();
        // While the change is under way the leader dies, or another change is asked for.
        assert_eq!(world.call(first, |m, now| m.remove(now, "m1")), Some(Err(Refused::Underway)));
        if seed % 2 == 0 {
            world.crash(first);
            world.run(S(6));
            world.boot(first);
        }
        world.run(S(5));
        let leader = world.leader().expect("one leads");
        let status = world.call(leader, |m, now| m.status(now)).unwrap();
        assert!(status.settled, "what came of the change is known to a majority");
        let replaced = (1..=3).find(|id| *id != leader && status.roster.holds(*id)).unwrap();
        world.crash(replaced);
        world.call(leader, |m, now| m.remove(now, &format!("m{replaced}"))).unwrap().unwrap();
        world.run(S(3));
        world.boot(replaced);
        world.run(S(8));
        assert!(
            world.leader().is_some_and(|l| l != replaced),
            "one that was removed does not come back to lead"
        );
        let leader = world.leader().unwrap();
        let status = world.call(leader, |m, now| m.status(now)).unwrap();
        assert!(!status.roster.holds(replaced));
        // The leader removes itself last.
        world.call(leader, |m, now| m.remove(now, &format!("m{leader}"))).unwrap().unwrap();
        world.run(S(8));
        assert!(world.leader().is_some_and(|l| l != leader));
    }
}

#[rstest]
#[case::newer(5, 9, Ok(()))]
#[case::the_same(5, 5, Ok(()))]
#[case::a_restored_copy(5, 4, Err(Refused::OlderCopy { told: 4, known: 5 }))]
fn a_member_that_was_set_back_is_refused(
    #[case] first: u64,
    #[case] then: u64,
    #[case] expected: Result<(), Refused>,
) {
    let mut world = World::new(3, 1);
    assert_eq!(world.call(1, |m, _| m.met(2, first)), Some(Ok(())));
    assert_eq!(world.call(1, |m, _| m.met(2, then)), Some(expected));
    assert_eq!(world.call(1, |m, _| m.met(44, 1)), Some(Err(Refused::Stranger)));
}

#[rstest]
fn what_cannot_be_done_is_refused_by_name() {
    let mut world = World::new(3, 2);
    world.run(S(5));
    let leader = world.leader().unwrap();
    let other = (1..=3).find(|id| *id != leader).unwrap();
    let not_leading = Refused::NotLeading { leader: Some(format!("m{leader}")) };
    assert_eq!(world.call(other, |m, now| m.step_down(now)), Some(Err(not_leading)));
    assert_eq!(
        world.call(leader, |m, now| m.remove(now, "nobody")),
        Some(Err(Refused::Nobody("nobody".into())))
    );
    let already = world.call(leader, |m, now| m.add(now, 50, seat(other)));
    assert_eq!(already, Some(Err(Refused::Already(format!("m{other}")))));
    let mut alone = World::new(1, 2);
    alone.run(S(1));
    assert_eq!(alone.call(1, |m, now| m.remove(now, "m1")), Some(Err(Refused::Last)));
    assert_eq!(alone.call(1, |m, now| m.step_down(now)), Some(Err(Refused::Last)));
}

/// One member alone with what it is told, its clock in milliseconds.
struct Bench {
    member: Member<Desk>,
    desk: Desk,
}

impl Bench {
    fn new(epoch: u64) -> Bench {
        let roster = Roster { epoch, number: 0, seats: (1..=3).map(|id| (id, seat(id))).collect() };
        let kept = Kept { id: 1, fleet: 9, epoch, vote: None, roster, stamp: 5 };
        let desk = Desk::default();
        Bench { member: Member::start(desk.clone(), kept, TERMS, 1, Duration::ZERO), desk }
    }

    fn told(&mut self, ms: u64, from: Id, word: Word) -> Vec<(Id, Word)> {
        self.member.heard(Duration::from_millis(ms), from, word);
        std::mem::take(&mut self.desk.0.borrow_mut().say)
    }

    fn written(&mut self, ms: u64) -> Vec<(Id, Word)> {
        let stamp = self.member.kept_state().stamp;
        self.member.kept(Duration::from_millis(ms), stamp);
        std::mem::take(&mut self.desk.0.borrow_mut().say)
    }
}

fn asks(epoch: u64) -> Word {
    Word::Ask { epoch, roster: (4, 0), yielded: false }
}

#[rstest]
fn a_vote_is_given_once_it_is_on_disk_and_once_an_epoch() {
    let mut bench = Bench::new(4);
    assert!(bench.told(2000, 2, asks(5)).is_empty(), "nothing is said before it is written");
    assert_eq!(bench.desk.0.borrow().keep.last().unwrap().vote, Some(2));
    assert!(bench.told(2001, 3, asks(5)).is_empty(), "another asks in the same epoch");
    assert_eq!(bench.written(2500), [(2, Word::Vote { epoch: 5 })]);
    assert!(bench.told(4000, 3, asks(5)).is_empty(), "nor later");
    assert_eq!(bench.told(4001, 2, asks(5)), [(2, Word::Vote { epoch: 5 })], "an answer that was lost");
}

#[rstest]
#[case::at_once(10, false)]
#[case::within_what_it_may_have_promised(990, false)]
#[case::after_it(1000, true)]
fn one_that_was_started_votes_for_nobody_at_first(#[case] at: u64, #[case] votes: bool) {
    let mut bench = Bench::new(4);
    bench.told(at, 2, asks(5));
    assert_eq!(bench.written(at).len(), usize::from(votes));
}

#[rstest]
#[case::voted_for_another(asks(5), 6)]
#[case::heard_the_leader(Word::Beat { epoch: 5, number: 1, roster: (5, 0) }, 6)]
fn one_that_promised_helps_no_other_for_as_long_as_a_lease_may_last(#[case] word: Word, #[case] epoch: u64) {
    let mut bench = Bench::new(4);
    bench.told(2000, 2, word);
    bench.written(2001);
    let roster = (9, 0);
    assert!(bench.told(2990, 3, Word::Canvass { epoch, roster }).is_empty());
    assert!(bench.told(2990, 3, Word::Ask { epoch, roster, yielded: false }).is_empty());
    assert_eq!(bench.member.epoch(), 5, "nor does it take up the epoch");
    assert_eq!(bench.told(3000, 3, Word::Canvass { epoch, roster }), [(3, Word::Favour { epoch })]);
    bench.told(3001, 3, Word::Ask { epoch, roster, yielded: false });
    assert_eq!(bench.written(3002), [(3, Word::Vote { epoch })]);
}

#[rstest]
#[case::an_older_roster((3, 9), false)]
#[case::its_own((4, 0), true)]
#[case::a_newer((4, 1), true)]
fn one_that_missed_who_takes_part_is_not_voted_for(#[case] roster: (u64, u64), #[case] votes: bool) {
    let mut bench = Bench::new(4);
    let said = bench.told(2000, 2, Word::Canvass { epoch: 5, roster });
    assert_eq!(said.len(), usize::from(votes));
    bench.told(2000, 2, Word::Ask { epoch: 5, roster, yielded: false });
    assert_eq!(bench.written(2001).len(), usize::from(votes));
}

#[rstest]
fn an_old_leader_is_told_and_a_failing_disk_makes_mute() {
    let mut bench = Bench::new(4);
    let old = Word::Beat { epoch: 3, number: 8, roster: (3, 0) };
    assert_eq!(bench.told(2000, 2, old), [(2, Word::Newer { epoch: 4 })]);
    bench.member.disk_failed(Duration::from_millis(2001));
    assert!(bench.told(3000, 3, asks(5)).is_empty());
    assert!(bench.told(3000, 3, Word::Canvass { epoch: 5, roster: (4, 0) }).is_empty());
    assert_eq!(bench.member.status(Duration::from_secs(3)).standing, Standing::Mute);
    bench.written(3100);
    assert_eq!(bench.told(3200, 3, Word::Canvass { epoch: 5, roster: (4, 0) }).len(), 1);
}
