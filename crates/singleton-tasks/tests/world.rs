//! Members with duties under a simulated network, disks and clocks that fail: what must hold whatever happens, and what
//! comes back once things are well. Who leads is the world's to say, as `grebespool-leader-election` would: a former leader's
//! lease is over before the next leads.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

const S: fn(u64) -> Duration = Duration::from_secs;
const MS: fn(u64) -> Duration = Duration::from_millis;
const TERMS: Terms =
    Terms { lease: Duration::from_millis(2400), renew: Duration::from_millis(300), drift: 0.05 };
const LEADS: Duration = Duration::from_millis(900);
const BETWEEN_STEPS: Duration = Duration::from_millis(40);

/// Few where checks are slow; `cargo test --release` plays more.
const SEEDS: u64 = if cfg!(debug_assertions) { 30 } else { 3000 };

/// What a duty touches: the steps that took place, each with its content.
#[derive(Default)]
struct Target {
    fence: Fence,
    done: Vec<(Token, u64, Vec<u8>)>,
    refused: usize,
}

#[derive(Default)]
struct Asked {
    say: Vec<(MemberId, Word)>,
    keep: Vec<(Duty, Cell, u64)>,
    copied: bool,
    took: Vec<(Duty, Token)>,
    lost: Vec<(Duty, Token)>,
    /// To be done now, or to be gone on with.
    act: Vec<(Duty, Token, Record)>,
    go_on: Vec<(Duty, u64)>,
}

#[derive(Clone, Default)]
struct Desk(Rc<RefCell<Asked>>);

impl Host for Desk {
    fn say(&mut self, to: MemberId, word: Word) {
        self.0.borrow_mut().say.push((to, word));
    }
    fn keep(&mut self, duty: Duty, cell: &Cell, stamp: u64) {
        self.0.borrow_mut().keep.push((duty, cell.clone(), stamp));
    }
    fn copied(&mut self) {
        self.0.borrow_mut().copied = true;
    }
    fn take(&mut self, duty: Duty, token: Token) {
        self.0.borrow_mut().took.push((duty, token));
    }
    fn lose(&mut self, duty: Duty, token: Token, _: Lost) {
        self.0.borrow_mut().lost.push((duty, token));
    }
    fn ready(&mut self, duty: Duty, token: Token, last: Option<&Record>) {
        match last {
            Some(record) if !record.ended => self.stands(duty, token, record),
            last => self.0.borrow_mut().go_on.push((duty, last.map_or(0, |l| l.step))),
        }
    }
    fn stands(&mut self, duty: Duty, token: Token, record: &Record) {
        let mut asked = self.0.borrow_mut();
        if record.ended {
            asked.go_on.push((duty, record.step));
        } else {
            asked.act.push((duty, token, record.clone()));
        }
    }
    fn counted(&mut self, _: MemberId, _: Vec<(u64, Rows)>) {}
    fn note(&mut self, _: &str) {}
}

struct Node {
    duties: Option<Duties<Desk>>,
    desk: Desk,
    disk: BTreeMap<Duty, Cell>,
    copied: bool,
    life: u32,
    writing: Vec<(Duration, (Duty, Cell, u64))>,
    slow_disk: Duration,
    still: bool,
    base: (Duration, Duration),
    rate: f64,
    /// When it goes on with a duty.
    later: Vec<(Duration, Duty)>,
}

impl Node {
    fn clock(&self, now: Duration) -> Duration {
        self.base.1 + now.saturating_sub(self.base.0).mul_f64(self.rate)
    }
    fn real(&self, own: Duration) -> Duration {
        if own == Duration::MAX {
            own
        } else {
            self.base.0 + own.saturating_sub(self.base.1).div_f64(self.rate)
        }
    }
}

#[derive(Clone)]
enum Flight {
    Word(MemberId, MemberId, Word),
    /// An effect on its way to what the duty touches, and the answer on its way back.
    Act(MemberId, Duty, Token, Record),
    Answer(MemberId, Duty, Token, Offer),
}

/// Guards that are taken out, to see that each is missed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The target takes whatever comes.
    Fence,
    /// A disk says that it has written before it has.
    Disk,
    /// Clocks keep to nothing.
    Clocks,
    /// A member that was added answers before it has copied.
    Copy,
}

struct World {
    now: Duration,
    nodes: BTreeMap<MemberId, Node>,
    flight: BTreeMap<(Duration, u64), Flight>,
    sent: u64,
    rng: Pcg64Mcg,
    loss: f64,
    twice: f64,
    slowest: Duration,
    cut: BTreeSet<(MemberId, MemberId)>,
    without: Without,
    targets: BTreeMap<Duty, Target>,
    /// Who took which token, and the newest taken of each duty.
    took: BTreeMap<(Duty, Token), MemberId>,
    newest: BTreeMap<Duty, Token>,
    leader: Option<(u64, MemberId)>,
    epoch: u64,
    /// Until when it leads, by the world's time; and by its own clock, as it was told.
    until: Duration,
    until_own: Duration,
    seats: Vec<MemberId>,
    /// What each knows of who leads.
    known: BTreeMap<MemberId, Option<(u64, MemberId)>>,
    broken: Vec<String>,
    moves: usize,
    duties: usize,
    /// Disks that say they have written, and have not.
    lied: Vec<(MemberId, u64)>,
}

impl World {
    fn new(members: u64, duties: usize, seed: u64, without: Without) -> World {
        let mut world = World {
            now: S(10),
            nodes: BTreeMap::new(),
            flight: BTreeMap::new(),
            sent: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            twice: 0.0,
            slowest: MS(20),
            cut: BTreeSet::new(),
            without,
            targets: (0..duties as Duty).map(|d| (d, Target::default())).collect(),
            took: BTreeMap::new(),
            newest: BTreeMap::new(),
            leader: None,
            epoch: 0,
            until: Duration::ZERO,
            until_own: Duration::ZERO,
            seats: (1..=members).collect(),
            known: BTreeMap::new(),
            broken: vec![],
            moves: 0,
            duties,
            lied: vec![],
        };
        (1..=members).for_each(|id| world.place(id, true));
        world.lead(1);
        world
    }

    fn place(&mut self, id: MemberId, copied: bool) {
        let wild = self.without == Without::Clocks;
        let rate = if wild { self.rng.random_range(0.4..1.0) } else { self.rng.random_range(0.951..1.049) };
        let node = Node {
            duties: None,
            desk: Desk::default(),
            disk: BTreeMap::new(),
            copied: copied || self.without == Without::Copy,
            life: 0,
            writing: vec![],
            slow_disk: MS(4),
            still: false,
            base: (self.now, MS(self.rng.random_range(0..5000))),
            rate,
            later: vec![],
        };
        self.nodes.insert(id, node);
        self.boot(id);
    }

    fn boot(&mut self, id: MemberId) {
        let duties = self.duties;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        (node.desk, node.writing, node.later, node.still) = (Desk::default(), vec![], vec![], false);
        node.life += 1;
        let (names, life) = ((7, duties), node.life);
        let cells = node.disk.clone();
        let made =
            Duties::start(node.desk.clone(), id, TERMS, names, life, cells, node.copied, Tally::default());
        node.duties = Some(made);
        self.known.insert(id, None);
        self.tell(id);
    }

    fn crash(&mut self, id: MemberId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.duties = None;
            node.writing.clear();
        }
    }

    /// Tells a member who leads, as its own part of the succession would.
    fn tell(&mut self, id: MemberId) {
        let (known, until) = (self.known.get(&id).copied().flatten(), self.until);
        let seats = self.seats.clone();
        let Some(node) = self.nodes.get(&id) else { return };
        // By its own clock, a little less than what the others wait for.
        let own = node.clock(self.now) + until.saturating_sub(self.now).mul_f64(node.rate.min(1.0));
        let until = if known == self.leader && until > self.now { own } else { Duration::ZERO };
        if known.is_some_and(|(_, leader)| leader == id) {
            self.until_own = until;
        }
        self.call(id, |d, now| d.roster(now, seats, known, until));
    }

    fn lead(&mut self, id: MemberId) {
        self.epoch += 1;
        self.leader = Some((self.epoch, id));
        self.until = self.now + LEADS;
        self.known.insert(id, self.leader);
        self.tell(id);
    }

    fn call<T>(&mut self, id: MemberId, what: impl FnOnce(&mut Duties<Desk>, Duration) -> T) -> Option<T> {
        let now = self.now;
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let done = what(node.duties.as_mut()?, clock);
        let asked = std::mem::take(&mut *node.desk.0.borrow_mut());
        let mut told = None;
        for (i, (duty, cell, stamp)) in asked.keep.into_iter().enumerate() {
            let busy = node.writing.last().map_or(now, |w| w.0.max(now));
            node.writing.push((busy + node.slow_disk * (1 + u32::from(i == 0)), (duty, cell, stamp)));
            told = Some(stamp);
        }
        node.copied |= asked.copied;
        for (duty, step) in asked.go_on {
            let _ = step;
            node.later.push((now + BETWEEN_STEPS, duty));
        }
        for (duty, token) in &asked.lost {
            if std::env::var("TR").is_ok() {
                eprintln!("{:?} {id} lost {duty} {token}", now);
            }
        }
        for (duty, token) in asked.took {
            if std::env::var("TR").is_ok() {
                eprintln!("{:?} {id} took {duty} {token}", now);
            }
            self.moves += 1;
            let first = *self.took.entry((duty, token)).or_insert(id);
            if first != id {
                self.broken.push(format!("{token} of {duty} has two owners"));
            }
            let newest = self.newest.entry(duty).or_default();
            if token <= *newest && self.without != Without::Clocks {
                self.broken.push(format!("{token} of {duty} was taken after {newest}"));
            }
            *newest = token.max(*newest);
        }
        for (to, word) in asked.say {
            if std::env::var("TR").is_ok()
                && matches!(word, Word::Grants { .. } | Word::Renew { .. } | Word::Renewed { .. })
            {
                eprintln!("{:?} {id}->{to} {word:?}", now);
            }
            self.send(id, to, word);
        }
        for (duty, token, record) in asked.act {
            self.act(id, duty, token, record);
        }
        self.lied.extend(told.filter(|_| self.without == Without::Disk).map(|stamp| (id, stamp)));
        Some(done)
    }

    fn fly(&mut self, what: Flight) {
        let late = self.slowest.mul_f64(self.rng.random_range(0.01..1.0));
        self.sent += 1;
        self.flight.insert((self.now + late, self.sent), what);
    }

    fn send(&mut self, from: MemberId, to: MemberId, word: Word) {
        let copies = if self.rng.random_bool(self.twice) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.cut.contains(&(from, to)) && !self.rng.random_bool(self.loss) {
                self.fly(Flight::Word(to, from, word.clone()));
            }
        }
    }

    /// It checks its lease at that moment, and what it writes may lie in a buffer for as long as it likes.
    fn act(&mut self, id: MemberId, duty: Duty, token: Token, record: Record) {
        let node = &self.nodes[&id];
        let may = node.duties.as_ref().and_then(|d| d.may(node.clock(self.now), duty));
        if may == Some(token) {
            self.fly(Flight::Act(id, duty, token, record));
        }
    }

    fn arrive(&mut self, what: Flight, key: (Duration, u64)) {
        match what {
            Flight::Word(to, from, word) => {
                if self.nodes.get(&to).is_some_and(|n| n.still) {
                    self.flight.insert((self.now + MS(20), key.1), Flight::Word(to, from, word));
                } else {
                    self.call(to, |d, now| d.heard(now, from, word));
                }
            }
            Flight::Act(id, duty, token, record) => {
                let checked = self.without != Without::Fence;
                let target = self.targets.get_mut(&duty).unwrap();
                let offer = if checked { target.fence.offer(token, record.step) } else { Offer::Take };
                match offer {
                    Offer::Take => target.done.push((token, record.step, record.content)),
                    Offer::Done => {
                        let done = target.done.iter().find(|d| d.1 == record.step);
                        if done.is_none_or(|d| d.2 != record.content) {
                            self.broken.push(format!("step {} of {duty} was two things", record.step));
                        }
                    }
                    Offer::Gap => {
                        self.broken.push(format!("steps of {duty} before {} are missing", record.step))
                    }
                    Offer::Late(_) => target.refused += 1,
                }
                self.fly(Flight::Answer(id, duty, token, offer));
            }
            Flight::Answer(id, duty, token, offer) => {
                if self.nodes.get(&id).is_some_and(|n| n.still) {
                    self.flight.insert((self.now + MS(20), key.1), Flight::Answer(id, duty, token, offer));
                    return;
                }
                let own = |d: &Duties<Desk>, now| d.may(now, duty) == Some(token);
                self.call(id, |d, now| match offer {
                    Offer::Late(seen) => d.refused(now, duty, token, seen),
                    _ if own(d, now) => drop(d.end(now, duty)),
                    _ => {}
                });
            }
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.next_due().max(self.now + Duration::from_micros(50)).min(end);
            self.beat();
            while let Some((key, what)) = self.flight.first_key_value().map(|(k, w)| (*k, w.clone())) {
                if key.0 > self.now {
                    break;
                }
                self.flight.remove(&key);
                self.arrive(what, key);
            }
            for (id, stamp) in std::mem::take(&mut self.lied) {
                self.call(id, |d, now| d.kept(now, stamp));
            }
            for id in self.nodes.keys().copied().collect::<Vec<_>>() {
                let now = self.now;
                let node = self.nodes.get_mut(&id).unwrap();
                let done = node.writing.iter().take_while(|w| w.0 <= now).count();
                let written: Vec<_> = node.writing.drain(..done).map(|w| w.1).collect();
                let last = written.last().map(|w| w.2);
                node.disk.extend(written.into_iter().map(|w| (w.0, w.1)));
                if let Some(stamp) = last {
                    self.call(id, |d, now| d.kept(now, stamp));
                }
                let node = self.nodes.get_mut(&id).unwrap();
                if node.still {
                    continue;
                }
                let on: Vec<Duty> = node.later.iter().filter(|l| l.0 <= now).map(|l| l.1).collect();
                node.later.retain(|l| l.0 > now);
                for duty in on {
                    let content = vec![self.rng.random(), id as u8];
                    self.call(id, |d, now| d.begin(now, duty, content));
                }
                let node = &self.nodes[&id];
                if node.duties.as_ref().is_some_and(|d| d.due() <= node.clock(now)) {
                    self.call(id, |d, now| d.woken(now));
                }
            }
            self.check();
            assert!(
                self.without != Without::Nothing || self.broken.is_empty(),
                "{:?} at {:?}",
                self.broken,
                self.now
            );
        }
    }

    fn next_due(&self) -> Duration {
        let of = |n: &Node| {
            let woken = n.duties.as_ref().filter(|_| !n.still).map(|d| n.real(d.due()));
            let later = n.later.iter().map(|l| l.0).min().filter(|_| !n.still);
            woken.into_iter().chain(n.writing.first().map(|w| w.0)).chain(later).min()
        };
        let flight = self.flight.keys().next().map(|k| k.0);
        let nodes = self.nodes.values().filter_map(of);
        nodes.chain(flight).min().unwrap_or(Duration::MAX).min(self.now + MS(25))
    }

    fn reaches(&self, a: MemberId, b: MemberId) -> bool {
        let up = |id: &MemberId| self.nodes.get(id).is_some_and(|n| n.duties.is_some() && !n.still);
        up(&a) && up(&b) && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a))
    }

    fn carried(&self, id: MemberId) -> bool {
        self.seats.iter().filter(|o| self.reaches(id, **o)).count() * 2 > self.seats.len()
    }

    /// Who leads: renewed while a majority hears it, another once its lease is over.
    fn beat(&mut self) {
        if let Some((_, id)) = self.leader {
            // One whose own clock has seen its lease end leads no more, as in the succession.
            let leads = self.nodes.get(&id).is_some_and(|n| n.clock(self.now) < self.until_own);
            let told = self.known.get(&id) == Some(&self.leader);
            if leads && told && self.carried(id) && self.now < self.until {
                if self.until < self.now + LEADS - MS(150) {
                    self.until = self.now + LEADS;
                    self.tell(id);
                }
            } else if self.now >= self.until + MS(100) {
                let next: Vec<MemberId> = self.seats.iter().copied().filter(|id| self.carried(*id)).collect();
                if !next.is_empty() {
                    let next = next[self.rng.random_range(0..next.len())];
                    self.lead(next);
                }
            }
        }
        // The others hear of it a little later, those that run and can be reached.
        let Some((_, leader)) = self.leader.filter(|_| self.now < self.until) else { return };
        // One that was started anew leads no more in the epoch that it led.
        for id in self.seats.clone().into_iter().filter(|id| *id != leader) {
            if self.known.get(&id) != Some(&self.leader)
                && self.reaches(leader, id)
                && self.rng.random_bool(0.1)
            {
                self.known.insert(id, self.leader);
                self.tell(id);
            }
        }
    }

    fn check(&mut self) {
        for duty in 0..self.duties as Duty {
            let may = |(id, n): (&MemberId, &Node)| {
                n.duties.as_ref().and_then(|d| d.may(n.clock(self.now), duty)).map(|t| (*id, t))
            };
            let owners: Vec<_> = self.nodes.iter().filter_map(may).collect();
            if owners.len() > 1 {
                self.broken.push(format!("{duty} has {owners:?}"));
            }
        }
    }

    /// Each step once, none left out, tokens never falling.
    fn done(&self) -> Vec<usize> {
        let mut all = vec![];
        for (duty, target) in &self.targets {
            let steps: Vec<u64> = target.done.iter().map(|d| d.1).collect();
            let whole: Vec<u64> = (1..=steps.len() as u64).collect();
            assert_eq!(steps, whole, "steps of {duty}");
            assert!(target.done.is_sorted_by_key(|d| d.0), "tokens of {duty}");
            all.push(steps.len());
        }
        all
    }

    fn cut_off(&mut self, id: MemberId, ways: (bool, bool)) {
        for other in self.nodes.keys().copied().filter(|o| *o != id) {
            self.cut.extend(ways.0.then_some((id, other)));
            self.cut.extend(ways.1.then_some((other, id)));
        }
    }

    fn still(&mut self, id: MemberId, still: bool) {
        self.nodes.get_mut(&id).unwrap().still = still;
    }

    fn heal(&mut self) {
        (self.loss, self.twice, self.slowest) = (0.0, 0.0, MS(20));
        self.cut.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&id).unwrap();
            (node.still, node.slow_disk) = (false, MS(4));
            if node.duties.is_none() {
                self.boot(id);
            }
        }
    }

    fn owner(&self, duty: Duty) -> Option<MemberId> {
        let may = |n: &Node| n.duties.as_ref().is_some_and(|d| d.may(n.clock(self.now), duty).is_some());
        self.nodes.iter().find(|(_, n)| may(n)).map(|(id, _)| *id)
    }

    fn owns(&self) -> BTreeMap<MemberId, usize> {
        let mut owns = BTreeMap::new();
        (0..self.duties as Duty)
            .filter_map(|d| self.owner(d))
            .for_each(|id| *owns.entry(id).or_default() += 1);
        owns
    }

    /// Something goes wrong, or right again.
    fn trouble(&mut self) {
        let ids: Vec<MemberId> = self.nodes.keys().copied().collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        match self.rng.random_range(0..11) {
            0 => self.crash(id),
            1 => {
                if self.nodes[&id].duties.is_none() {
                    self.boot(id);
                }
            }
            2 => self.still(id, true),
            3 => ids.iter().for_each(|id| self.still(*id, false)),
            4 => {
                let ways = (self.rng.random(), self.rng.random());
                self.cut_off(id, ways);
            }
            5 => self.cut.clear(),
            6 => (self.loss, self.twice) = (self.rng.random_range(0.0..0.4), self.rng.random_range(0.0..0.3)),
            7 => self.slowest = MS(self.rng.random_range(5..900)),
            8 => self.nodes.get_mut(&id).unwrap().slow_disk = MS(self.rng.random_range(1..400)),
            9 => {
                // At the leader, whoever that is.
                let duty = self.rng.random_range(0..self.duties as Duty);
                let (move_it, span) = (self.rng.random::<bool>(), MS(self.rng.random_range(100..4000)));
                for leader in ids {
                    self.call(leader, |d, now| {
                        if move_it { d.move_to(now, duty, id) } else { d.hold(now, duty, span) }.is_ok()
                    });
                }
            }
            _ => {
                for leader in ids {
                    self.call(leader, |d, now| (0..3).all(|duty| d.release(now, duty).is_ok()));
                }
            }
        }
    }
}

#[rstest]
#[case::alone(1)]
#[case::three(3)]
#[case::five(5)]
fn duties_are_shared_evenly_and_go_on(#[case] members: u64) {
    let mut world = World::new(members, 10, 3, Without::Nothing);
    world.run(S(20));
    let (owns, done) = (world.owns(), world.done());
    assert_eq!(owns.len(), members as usize, "{owns:?}");
    assert!(owns.values().all(|n| *n >= 10 / members as usize && *n <= 10usize.div_ceil(members as usize)));
    assert!(done.iter().all(|n| *n > 50), "{done:?}");
}

type Fault = fn(&mut World, MemberId);

#[rstest]
#[case::killed(|w: &mut World, id: MemberId| w.crash(id))]
#[case::stopped(|w: &mut World, id: MemberId| w.still(id, true))]
#[case::cut_off(|w: &mut World, id: MemberId| w.cut_off(id, (true, true)))]
#[case::hears_and_is_not_heard(|w: &mut World, id: MemberId| w.cut_off(id, (true, false)))]
#[case::is_heard_and_hears_not(|w: &mut World, id: MemberId| w.cut_off(id, (false, true)))]
fn another_goes_on_where_the_last_stopped(#[case] fault: Fault) {
    for seed in 0..20 {
        let mut world = World::new(3, 4, seed, Without::Nothing);
        world.run(S(8));
        let first = world.owner(0).expect("somebody has it");
        let others: BTreeMap<Duty, Option<MemberId>> =
            (0..4).map(|d| (d, world.owner(d).filter(|id| *id != first))).collect();
        fault(&mut world, first);
        let mut waited = Duration::ZERO;
        while world.owner(0).is_none_or(|id| id == first) {
            world.run(MS(20));
            waited += MS(20);
            assert!(waited < S(8), "nobody has it after {waited:?} (seed {seed})");
        }
        // A takeover costs nothing: whoever had one keeps it.
        for (duty, owner) in others.into_iter().filter(|o| o.1.is_some()) {
            assert_eq!(world.owner(duty), owner, "seed {seed}");
        }
        world.heal();
        world.run(S(15));
        world.done();
        assert_eq!(world.owns().len(), 3, "it takes part again (seed {seed})");
    }
}

#[rstest]
fn random_schedules_keep_every_promise_and_go_on_after_them() {
    for seed in 0..SEEDS {
        let members = if seed % 3 == 0 { 5 } else { 3 };
        let mut world = World::new(members, 3, seed, Without::Nothing);
        for _ in 0..30 {
            let span = MS(world.rng.random_range(50..900));
            if std::env::var("TR").is_ok() {
                eprintln!("seed {seed}");
            }
            world.run(span);
            world.trouble();
        }
        world.heal();
        world.run(S(25));
        let before = world.done();
        world.run(S(5));
        let after = world.done();
        let held = world.nodes.values().flat_map(|n| n.duties.as_ref().unwrap().holds()).count();
        assert!(
            held > 0 || before.iter().zip(&after).all(|(b, a)| a > b),
            "{before:?} {after:?} (seed {seed})"
        );
    }
}

/// What the guards are for: without one, something is done twice, out of order, or by two at once.
#[rstest]
#[case::of_the_target(Without::Fence)]
#[case::of_the_disk(Without::Disk)]
#[case::of_the_clocks(Without::Clocks)]
fn a_guard_that_is_missing_is_found(#[case] without: Without) {
    let wrong = |seed: u64| {
        let mut world = World::new(3, 3, seed, without);
        for _ in 0..60 {
            let span = MS(world.rng.random_range(50..900));
            world.run(span);
            world.trouble();
        }
        let once = |t: &Target| t.done.iter().enumerate().all(|(i, d)| d.1 == i as u64 + 1);
        !world.broken.is_empty() || !world.targets.values().all(once)
    };
    assert!((0..120).any(wrong));
}

/// Clocks beyond what was agreed on: two may own at once for a moment, and the target takes each step once all the same.
#[rstest]
fn with_clocks_that_lie_each_step_still_takes_place_once() {
    for seed in 0..20 {
        let mut world = World::new(3, 3, seed, Without::Clocks);
        for _ in 0..40 {
            let span = MS(world.rng.random_range(50..900));
            world.run(span);
            world.trouble();
        }
        world.done();
        world.broken.retain(|b| !b.contains(" has [("));
        assert!(world.broken.is_empty(), "{:?}", world.broken);
    }
}

/// Two of three are replaced one after the other, each with an empty disk: what stood with a majority stands still.
#[rstest]
fn a_member_that_was_added_copies_before_it_answers() {
    for seed in 0..30 {
        let mut world = World::new(3, 2, seed, Without::Nothing);
        world.run(S(6));
        for (gone, new) in [(2, 4), (3, 5)] {
            world.crash(gone);
            world.nodes.remove(&gone);
            world.seats.retain(|id| *id != gone);
            let told: Vec<MemberId> = world.seats.clone();
            told.iter().for_each(|id| world.tell(*id));
            world.run(S(3));
            world.seats.push(new);
            world.place(new, false);
            let told: Vec<MemberId> = world.seats.clone();
            told.iter().for_each(|id| world.tell(*id));
            world.run(S(4));
            assert!(world.nodes[&new].copied);
        }
        let before = world.done();
        world.run(S(3));
        assert!(world.done().iter().zip(&before).all(|(a, b)| a > b), "seed {seed}");
    }
}

#[rstest]
#[case::ten(10)]
#[case::ten_thousand(10_000)]
fn one_of_five_lost_moves_its_own_and_no_others(#[case] duties: usize) {
    let owners: Vec<Option<MemberId>> = share(&vec![None; duties], &vec![None; duties], &[1, 2, 3, 4, 5]);
    let next = share(&owners, &vec![None; duties], &[1, 2, 4, 5]);
    let moved = owners.iter().zip(&next).filter(|(a, b)| a != b).count();
    assert_eq!(moved, duties / 5);
    let back = share(&next, &vec![None; duties], &[1, 2, 3, 4, 5]);
    assert_eq!(next.iter().zip(&back).filter(|(a, b)| a != b).count(), duties / 5);
}

#[rstest]
fn a_wish_is_kept_and_the_rest_stays_even() {
    let mut wanted = vec![None; 9];
    (wanted[0], wanted[1]) = (Some(3), Some(9));
    let owners: Vec<Option<MemberId>> = (0..9).map(|d| Some(1 + d % 3)).collect();
    let next = share(&owners, &wanted, &[1, 2, 3]);
    assert_eq!((next[0], next[1]), (Some(3), Some(2)), "one that is not there is no wish");
    let count = |id| next.iter().filter(|n| **n == Some(id)).count();
    assert_eq!((count(1), count(2), count(3)), (3, 3, 3));
}

#[rstest]
fn a_fence_takes_each_step_once_and_nothing_older() {
    let token = |number| Token { epoch: 1, number };
    let mut fence = Fence::default();
    assert_eq!(fence.offer(token(2), 1), Offer::Take);
    assert_eq!(fence.offer(token(1), 2), Offer::Late(token(2)));
    assert_eq!(fence.offer(token(3), 1), Offer::Done);
    assert_eq!(fence.offer(token(3), 3), Offer::Gap);
    assert_eq!(fence.offer(token(3), 2), Offer::Take);
}

/// From a member whose settings name other duties: nothing is kept of what has no name here, and nothing is given to it.
#[rstest]
fn words_of_duties_that_are_none_here_come_to_nothing() {
    let desk = Desk::default();
    let none = (BTreeMap::new(), Tally::default());
    let mut duties = Duties::start(desk.clone(), 1, TERMS, (7, 2), 1, none.0, true, none.1);
    duties.roster(S(1), vec![1, 2], Some((3, 1)), S(60));
    let token = Token { epoch: 3, number: 1 };
    let record = Record { token, step: 1, ended: false, content: vec![] };
    for word in [
        Word::Open { duty: 2, token },
        Word::Write { duty: 9, record },
        Word::Late { duty: 2, token, seen: token },
        Word::Renew { epoch: 3, turn: 1, number: 1, version: 0, names: 8, busy: vec![], claims: None },
    ] {
        duties.heard(S(2), 2, word);
    }
    assert!(desk.0.borrow().keep.is_empty());
    let said = &desk.0.borrow().say;
    assert!(said.iter().all(|s| matches!(s.1, Word::OtherNames { epoch: 3 })), "{said:?}");
    assert_eq!(said.len(), 1);
}
