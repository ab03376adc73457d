//! Members under a simulated network, disks and clocks that fail. Who owns the journal is the world's to say, as
//! `grebespool-singleton-tasks` would: one at a time, tokens that rise, and what stands with a majority is found by the next.

use grebespool_config_consensus::*;
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::{Record, Token};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

pub const S: fn(u64) -> Duration = Duration::from_secs;
pub const MS: fn(u64) -> Duration = Duration::from_millis;
const LEADS: Duration = Duration::from_millis(900);

pub fn terms() -> Terms {
    Terms {
        lease: MS(900),
        renew: MS(120),
        drift: 0.05,
        most_withdrawn: 0.5,
        limits: vec!["draw", "reserve"],
    }
}

pub fn server(rack: &str, capacity: f64, state: State) -> Server {
    Server { rack: rack.into(), capacity, state }
}

/// Three racks of four servers.
pub fn content() -> Content {
    let mut content = Content::default();
    for (r, site) in ["east", "east", "west"].into_iter().enumerate() {
        let rack = Rack { site: site.into(), feed: format!("f{r}"), cap: 900.0 };
        content.racks.insert(format!("r{r}"), rack);
        for s in 0..4 {
            content.servers.insert(format!("s{r}{s}"), server(&format!("r{r}"), 10.0, State::Ready));
        }
    }
    content.routes.insert("read".into(), Route { importance: 1.0, most: 1.0 });
    content.routes.insert("order".into(), Route { importance: 3.0, most: 1.0 });
    content.limits.insert("draw".into(), Limit::Most(100.0));
    content.limits.insert("reserve".into(), Limit::Least(0.2));
    content
}

#[derive(Default)]
pub struct Asked {
    say: Vec<(MemberId, Word)>,
    keep: Vec<(Kept, u64)>,
    fix: Option<(Token, Vec<u8>)>,
    end: Option<Token>,
    pub proposed: Vec<(Ticket, Result<u64, Vec<String>>)>,
    pub notes: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Desk(pub Rc<RefCell<Asked>>);

impl Host for Desk {
    fn say(&mut self, to: MemberId, word: Word) {
        self.0.borrow_mut().say.push((to, word));
    }
    fn keep(&mut self, kept: &Kept, stamp: u64) {
        self.0.borrow_mut().keep.push((kept.clone(), stamp));
    }
    fn fix(&mut self, token: Token, content: Vec<u8>) {
        self.0.borrow_mut().fix = Some((token, content));
    }
    fn end(&mut self, token: Token) {
        self.0.borrow_mut().end = Some(token);
    }
    fn acts(&mut self, _: Acts) {}
    fn proposed(&mut self, ticket: Ticket, done: Result<u64, Vec<String>>) {
        self.0.borrow_mut().proposed.push((ticket, done));
    }
    fn note(&mut self, text: &str) {
        self.0.borrow_mut().notes.push(text.into());
    }
}

pub struct Node {
    pub member: Option<Member<Desk>>,
    pub disk: Kept,
    pub notes: Vec<String>,
    pub answered: BTreeMap<Ticket, Result<u64, Vec<String>>>,
    life: u32,
    writing: Vec<(Duration, Kept, u64)>,
    slow_disk: Duration,
    /// A disk that takes nothing: what is handed over waits.
    pub full: bool,
    still: bool,
    base: (Duration, Duration),
    rate: f64,
    renewals: u64,
}

impl Node {
    pub fn clock(&self, now: Duration) -> Duration {
        self.base.1 + now.saturating_sub(self.base.0).mul_f64(self.rate)
    }
    fn real(&self, own: Duration) -> Duration {
        if own == Duration::MAX {
            return own;
        }
        self.base.0 + own.saturating_sub(self.base.1).div_f64(self.rate)
    }
}

/// Guards that are taken out, to see that each is missed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Without {
    Nothing,
    /// A member holds an edition as soon as it is prepared.
    Waiting,
    /// Leases count from the answer.
    Sending,
    /// The stricter of two limits is forgotten.
    Field,
    /// A convener whose time is over goes on granting.
    Authority,
}

enum Flight {
    Word(MemberId, MemberId, Word),
    Fix(MemberId, Token, Vec<u8>),
    End(MemberId, Token),
}

pub struct World {
    pub now: Duration,
    pub nodes: BTreeMap<MemberId, Node>,
    flight: BTreeMap<(Duration, u64), Flight>,
    sent: u64,
    pub rng: Pcg64Mcg,
    pub loss: f64,
    pub twice: f64,
    pub slowest: Duration,
    /// Bytes a second from one to another; words wait for those before them.
    pub pace: f64,
    way_free: BTreeMap<(MemberId, MemberId), Duration>,
    cut: BTreeSet<(MemberId, MemberId)>,
    without: Without,
    pub owner: Option<(MemberId, Token)>,
    until: Duration,
    /// The owner renews no more.
    lapses: bool,
    tokens: u64,
    journal: Option<Record>,
    begun: Option<(Token, Vec<u8>)>,
    /// The hash of every number that ever stood somewhere.
    stood: BTreeMap<u64, Hash>,
    /// Members that a test gave another history.
    pub strangers: BTreeSet<MemberId>,
    /// When each was first acted by alone.
    pub held_at: BTreeMap<u64, Duration>,
    pub broken: Vec<String>,
    pub spared: usize,
}

impl World {
    pub fn new(members: u64, seed: u64, without: Without) -> World {
        let mut world = World {
            now: S(10),
            nodes: BTreeMap::new(),
            flight: BTreeMap::new(),
            sent: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            twice: 0.0,
            slowest: MS(10),
            pace: f64::INFINITY,
            way_free: BTreeMap::new(),
            cut: BTreeSet::new(),
            without,
            owner: None,
            until: Duration::ZERO,
            lapses: false,
            tokens: 0,
            journal: None,
            begun: None,
            stood: BTreeMap::new(),
            strangers: BTreeSet::new(),
            held_at: BTreeMap::new(),
            broken: vec![],
            spared: 0,
        };
        for id in 1..=members {
            let rate = world.rng.random_range(0.951..1.049);
            let node = Node {
                member: None,
                disk: Kept::default(),
                notes: vec![],
                answered: BTreeMap::new(),
                life: 0,
                writing: vec![],
                slow_disk: MS(3),
                full: false,
                still: false,
                base: (world.now, MS(world.rng.random_range(0..5000))),
                rate,
                renewals: 0,
            };
            world.nodes.insert(id, node);
        }
        (1..=members).for_each(|id| world.boot(id));
        world
    }

    /// With what all share from the beginning.
    pub fn settled(members: u64, seed: u64, without: Without) -> World {
        let mut world = World::new(members, seed, without);
        world.run(S(2));
        world.propose(1, vec![Change::Whole(Box::new(content()))], false);
        world.run(S(4));
        world
    }

    pub fn boot(&mut self, id: MemberId) {
        let seats: Vec<MemberId> = self.nodes.keys().copied().collect();
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.life += 1;
        (node.writing, node.still, node.renewals) = (vec![], false, 0);
        node.member = Some(Member::start(Desk::default(), id, terms(), node.disk.clone(), node.life));
        self.call(id, |m, now| m.seats(now, seats));
    }

    pub fn crash(&mut self, id: MemberId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            (node.member, node.writing) = (None, vec![]);
        }
        // Started again, it knows of no ownership.
        self.lapses |= self.owner.is_some_and(|o| o.0 == id);
    }

    /// Of an older copy of its folder.
    pub fn set_back(&mut self, id: MemberId, disk: Kept) {
        self.crash(id);
        self.nodes.get_mut(&id).unwrap().disk = disk;
        self.boot(id);
    }

    /// The token by which a member owns the journal at this moment.
    fn owned(&self, id: MemberId) -> Option<Token> {
        let (owner, token) = self.owner?;
        let there = owner == id && (self.now < self.until || self.without == Without::Authority);
        there.then_some(token)
    }

    pub fn call<T>(
        &mut self,
        id: MemberId,
        what: impl FnOnce(&mut Member<Desk>, Duration) -> T,
    ) -> Option<T> {
        let (now, owned) = (self.now, self.owned(id));
        // With the guard taken out, a former convener is never told that it is one no more.
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let member = node.member.as_mut()?;
        if self.without != Without::Authority || owned.is_some() {
            member.owns(owned);
        }
        let done = what(member, clock);
        let asked = std::mem::take(&mut *member.host().0.borrow_mut());
        for (kept, stamp) in asked.keep {
            let busy = node.writing.last().map_or(now, |w| w.0.max(now));
            node.writing.push((busy + node.slow_disk, kept, stamp));
        }
        node.notes.extend(asked.notes);
        for (ticket, done) in asked.proposed {
            if node.answered.insert(ticket, done).is_some() {
                self.broken.push(format!("proposal {ticket} of {id} was answered twice"));
            }
        }
        for (to, word) in asked.say {
            self.send(id, to, word);
        }
        if let Some((token, content)) = asked.fix {
            self.begun = Some((token, content.clone()));
            self.fly(Flight::Fix(id, token, content));
        }
        if let Some(token) = asked.end {
            self.fly(Flight::End(id, token));
        }
        Some(done)
    }

    fn fly(&mut self, what: Flight) {
        let late = self.slowest.mul_f64(self.rng.random_range(0.1..1.0));
        self.sent += 1;
        self.flight.insert((self.now + late, self.sent), what);
    }

    fn send(&mut self, from: MemberId, to: MemberId, word: Word) {
        if let Word::Renew { count, .. } = &word {
            self.nodes.get_mut(&from).unwrap().renewals = *count;
        }
        if let (Without::Waiting, Word::Prepare { token, manifest }) = (self.without, &word) {
            let early = Word::Hold { token: *token, standing: (manifest.number, manifest.hash) };
            self.post(from, to, word.clone());
            return self.post(from, to, early);
        }
        self.post(from, to, word);
    }

    fn post(&mut self, from: MemberId, to: MemberId, word: Word) {
        let copies = if self.rng.random_bool(self.twice) { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            if self.pace.is_finite() {
                let bytes = if let Word::Part { bytes, .. } = &word { bytes.len() } else { 200 };
                let free = self.way_free.entry((from, to)).or_default();
                *free = (*free).max(self.now) + Duration::from_secs_f64(bytes as f64 / self.pace);
                self.sent += 1;
                self.flight.insert((*free, self.sent), Flight::Word(to, from, word.clone()));
            } else {
                self.fly(Flight::Word(to, from, word.clone()));
            }
        }
    }

    pub fn propose(&mut self, id: MemberId, changes: Vec<Change>, forced: bool) -> Option<Ticket> {
        self.call(id, |m, now| m.propose(now, changes, forced))?.ok()
    }

    fn up(&self, id: MemberId) -> bool {
        self.nodes.get(&id).is_some_and(|n| n.member.is_some() && !n.still)
    }

    fn reaches(&self, a: MemberId, b: MemberId) -> bool {
        self.up(a) && self.up(b) && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a))
    }

    fn carried(&self, id: MemberId) -> bool {
        let disks = |o: &&MemberId| self.reaches(id, **o) && !self.nodes[*o].full;
        self.nodes.keys().filter(disks).count() * 2 > self.nodes.len()
    }

    /// Who owns the journal: renewed while a majority hears it, another once its time is over.
    fn own(&mut self) {
        if let Some((id, _)) = self.owner {
            if self.now < self.until {
                if self.carried(id) && !self.lapses {
                    self.until = self.now + LEADS;
                }
                return;
            }
            if self.now < self.until + MS(40) {
                return;
            }
            if self.up(id) && self.without != Without::Authority {
                self.call(id, |m, now| m.cease(now));
            }
            (self.owner, self.lapses) = (None, false);
            // What was begun and did not stand: found by the next, or not.
            if let Some((token, content)) = self.begun.take()
                && self.rng.random_bool(0.5)
            {
                self.write(token, content);
            }
        }
        let next: Vec<MemberId> = self.nodes.keys().copied().filter(|id| self.carried(*id)).collect();
        if !next.is_empty() {
            let id = next[self.rng.random_range(0..next.len())];
            self.tokens += 1;
            let token = Token { epoch: self.tokens, number: 1 };
            (self.owner, self.until) = (Some((id, token)), self.now + LEADS);
            let last = self.journal.clone();
            self.call(id, |m, now| m.convene(now, token, last.as_ref()));
        }
    }

    fn write(&mut self, token: Token, content: Vec<u8>) {
        let step = self.journal.as_ref().map_or(0, |l| l.step) + 1;
        self.journal = Some(Record { token, step, ended: false, content });
    }

    fn arrive(&mut self, what: Flight) {
        match what {
            Flight::Word(to, from, word) => {
                if self.nodes.get(&to).is_some_and(|n| n.still) {
                    // In its socket's buffer.
                    self.sent += 1;
                    self.flight.insert((self.now + MS(20), self.sent), Flight::Word(to, from, word));
                } else {
                    let mut word = word;
                    if let (Without::Sending, Word::Renewed { count, .. }) = (self.without, &mut word) {
                        *count = self.nodes[&to].renewals;
                    }
                    self.call(to, |m, now| m.heard(now, from, word));
                }
            }
            Flight::Fix(id, token, content) => {
                if self.owner != Some((id, token)) {
                    return;
                }
                if self.now < self.until && self.carried(id) {
                    self.begun = None;
                    self.write(token, content);
                    self.call(id, |m, now| m.fixed(now, token));
                } else {
                    self.fly(Flight::Fix(id, token, content));
                }
            }
            Flight::End(id, token) => {
                if self.owner != Some((id, token)) {
                    return;
                }
                if self.now < self.until && self.carried(id) {
                    self.journal.as_mut().unwrap().ended = true;
                    self.call(id, |m, now| m.ended(now, token));
                } else {
                    self.fly(Flight::End(id, token));
                }
            }
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.next_due().max(self.now + Duration::from_micros(50)).min(end);
            self.own();
            while let Some(key) = self.flight.first_key_value().map(|(k, _)| *k).filter(|k| k.0 <= self.now) {
                let what = self.flight.remove(&key).unwrap();
                self.arrive(what);
            }
            for id in self.nodes.keys().copied().collect::<Vec<_>>() {
                let now = self.now;
                let node = self.nodes.get_mut(&id).unwrap();
                if node.full {
                    node.writing.iter_mut().for_each(|w| w.0 = w.0.max(now + MS(30)));
                }
                let done = node.writing.iter().take_while(|w| w.0 <= now).count();
                let written = node.writing.drain(..done).next_back();
                if let Some((_, kept, stamp)) = written {
                    node.disk = kept;
                    self.call(id, |m, now| m.kept(now, stamp));
                }
                let node = &self.nodes[&id];
                if !node.still && node.member.as_ref().is_some_and(|m| m.due() <= node.clock(now)) {
                    self.call(id, |m, now| m.woken(now));
                }
            }
            self.check();
            let sound = self.without != Without::Nothing || self.broken.is_empty();
            assert!(sound, "{:?} at {:?}", self.broken, self.now);
        }
    }

    fn next_due(&self) -> Duration {
        let of = |n: &Node| {
            let woken = n.member.as_ref().filter(|_| !n.still).map(|m| n.real(m.due()));
            woken.into_iter().chain(n.writing.first().map(|w| w.0)).min()
        };
        let flight = self.flight.keys().next().map(|k| k.0);
        self.nodes.values().filter_map(of).chain(flight).min().unwrap_or(Duration::MAX).min(self.now + MS(20))
    }

    /// All that act, act within one edition; and a number has one content.
    fn check(&mut self) {
        let mut acting = vec![];
        for (id, node) in self.nodes.iter().filter(|n| !n.1.still) {
            let Some(member) = &node.member else { continue };
            let kept = member.held();
            let (number, hash) = kept.standing.name();
            if !self.strangers.contains(id) && *self.stood.entry(number).or_insert(hash) != hash {
                self.broken.push(format!("edition {number} has two contents"));
            }
            let acts = member.acts(node.clock(self.now));
            if let Acts::Alone(n) = acts {
                self.held_at.entry(n).or_insert(self.now);
            }
            if acts != Acts::Unleased {
                let mut view = member.view();
                if let (Without::Field, Some(next)) = (self.without, &kept.next) {
                    view.limits = next.content().limits.clone();
                }
                acting.push((acts, view, kept));
            }
        }
        if acting.iter().all(|a| matches!((a.0, acting[0].0), (Acts::Alone(x), Acts::Alone(y)) if x == y)) {
            return;
        }
        let mut editions: Vec<&Edition> =
            acting.iter().flat_map(|a| [Some(&a.2.standing), a.2.next.as_ref()]).flatten().collect();
        editions.dedup_by_key(|e| e.hash);
        self.spared += acting.iter().filter(|a| !a.1.spared.is_empty()).count();
        let common = editions.iter().any(|e| acting.iter().all(|a| a.1.beyond(e.content()).is_empty()));
        if !common {
            let acts: Vec<Acts> = acting.iter().map(|a| a.0).collect();
            self.broken.push(format!("no edition allows what all do: {acts:?}"));
        }
    }

    pub fn cut_off(&mut self, id: MemberId, ways: (bool, bool)) {
        for other in self.nodes.keys().copied().filter(|o| *o != id) {
            self.cut.extend(ways.0.then_some((id, other)));
            self.cut.extend(ways.1.then_some((other, id)));
        }
    }

    pub fn still(&mut self, id: MemberId, still: bool) {
        self.nodes.get_mut(&id).unwrap().still = still;
    }

    pub fn heal(&mut self) {
        (self.loss, self.twice, self.slowest) = (0.0, 0.0, MS(10));
        self.cut.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&id).unwrap();
            (node.still, node.slow_disk, node.full) = (false, MS(3), false);
            if node.member.is_none() {
                self.boot(id);
            }
        }
    }

    /// How all stand, for the message of a test that fails.
    pub fn shown(&self) -> String {
        let of = |n: &Node| n.member.as_ref().map(|m| m.shown(n.clock(self.now)));
        let nodes: Vec<String> =
            self.nodes.iter().map(|(id, n)| format!("{id}: {:?} {:?}", of(n), n.notes)).collect();
        format!(
            "owner {:?}, journal {:?}\n{}",
            self.owner,
            self.journal.as_ref().map(|j| (j.token, j.step, j.ended)),
            nodes.join("\n")
        )
    }

    /// The edition that all act by alone.
    pub fn agreed(&self) -> Option<u64> {
        let acts: Vec<Acts> =
            (self.nodes.values()).filter_map(|n| Some(n.member.as_ref()?.acts(n.clock(self.now)))).collect();
        match acts.first() {
            Some(Acts::Alone(n)) if acts.len() == self.nodes.len() && acts.iter().all(|a| *a == acts[0]) => {
                Some(*n)
            }
            _ => None,
        }
    }

    /// Something that members propose.
    pub fn some_change(&mut self) -> Vec<Change> {
        let (r, s) = (self.rng.random_range(0..3), self.rng.random_range(0..4));
        let change = match self.rng.random_range(0..6) {
            0 => Change::State(format!("s{r}{s}"), State::Draining),
            1 => Change::State(format!("s{r}{s}"), State::Ready),
            2 => Change::Limit("draw".into(), Some(Limit::Most(self.rng.random_range(50.0..150.0)))),
            3 => Change::Limit("reserve".into(), Some(Limit::Least(self.rng.random_range(0.0..0.5)))),
            4 => {
                let importance = self.rng.random_range(0..5).into();
                Change::Route(
                    "read".into(),
                    Some(Route { importance, most: self.rng.random_range(0.2..1.0) }),
                )
            }
            _ => {
                let rack = Rack {
                    site: "east".into(),
                    feed: format!("f{}", self.rng.random_range(0..3)),
                    cap: self.rng.random_range(500.0..1000.0),
                };
                Change::Rack(format!("r{r}"), Some(rack))
            }
        };
        vec![change]
    }

    /// Something goes wrong, or right again.
    pub fn trouble(&mut self) {
        let ids: Vec<MemberId> = self.nodes.keys().copied().collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        match self.rng.random_range(0..13) {
            0 => self.crash(id),
            1 => {
                if self.nodes[&id].member.is_none() {
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
            7 => self.slowest = MS(self.rng.random_range(3..500)),
            8 => self.nodes.get_mut(&id).unwrap().slow_disk = MS(self.rng.random_range(1..300)),
            9 => self.nodes.get_mut(&id).unwrap().full = true,
            11 => {
                // Into two parts.
                let here: BTreeSet<MemberId> = ids.iter().copied().filter(|_| self.rng.random()).collect();
                for (a, b) in ids.iter().flat_map(|a| ids.iter().map(move |b| (*a, *b))) {
                    if here.contains(&a) != here.contains(&b) {
                        self.cut.insert((a, b));
                    }
                }
            }
            10 => ids.iter().for_each(|id| self.nodes.get_mut(id).unwrap().full = false),
            _ => {
                if let Some((owner, _)) = self.owner {
                    self.crash(owner);
                }
            }
        }
    }
}
