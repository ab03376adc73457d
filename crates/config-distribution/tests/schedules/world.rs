//! Control machines and planners under a simulated network, disks and clocks that fail. Who leads is the world's to say, as
//! `grebespool-leader-election` would: one at a time, terms that rise.

use grebespool_config_consensus::{Change, Configuration, Limit, Rack, Server, ServerState};
use grebespool_config_distribution::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub type Id = u64;
pub const S: fn(u64) -> Duration = Duration::from_secs;
pub const MS: fn(u64) -> Duration = Duration::from_millis;

const LEADER_LEASE: Duration = Duration::from_millis(900);
const SYNC: Duration = Duration::from_millis(3);
/// Planners' ids begin here; control machines are before it.
const FIRST_PLANNER: Id = 1000;
const SERVICES: u32 = 4;
/// Scopes of services begin here; those of zones are before it.
const FIRST_SERVICE: u32 = 100;

/// Guards that are taken out, to see that each is missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Without {
    Nothing,
    /// A relay says that its planners are ready without waiting for them.
    Waiting,
    /// A link is made to fit whatever is held.
    Chain,
    /// Leases count from the answer.
    Sending,
    /// A leader whose time is over goes on granting.
    Authority,
}

enum Machine {
    Control(Box<ControlMachine>),
    Planner(Box<Planner>),
}

struct Node {
    machine: Option<Machine>,
    /// Of a control machine.
    log: Durable,
    /// Of a planner, and as it was some time ago.
    chains: BTreeMap<ScopeId, ScopeChain>,
    older: Vec<ScopeChain>,
    starts: u32,
    stopped: bool,
    disk_full: bool,
    stalled: Vec<Write>,
    /// Its clock: ahead by so much at a moment, and so many times as fast from there on.
    base: (Duration, Duration),
    rate: f64,
    wake_at: Duration,
    zone: u32,
    scopes: BTreeSet<ScopeId>,
}

impl Node {
    fn clock(&self, now: Duration) -> Duration {
        self.base.1 + now.saturating_sub(self.base.0).mul_f64(self.rate)
    }

    fn real(&self, own: Duration) -> Duration {
        self.base.0 + own.saturating_sub(self.base.1).div_f64(self.rate)
    }
}

enum Event {
    Message { to: Id, from: Id, message: Message },
    Written { node: Id, start: u32, write: Write },
    Wake(Id),
}

pub struct World {
    pub now: Duration,
    nodes: BTreeMap<Id, Node>,
    events: BTreeMap<(Duration, u64), Event>,
    order: u64,
    pub rng: Pcg64Mcg,
    pub settings: Settings,
    pub loss: f64,
    pub twice: f64,
    pub slowest: Duration,
    cut: BTreeSet<(Id, Id)>,
    without: Without,
    pub leader: Option<(Id, Term)>,
    leads_until: Duration,
    terms: Term,
    /// Renewals that each sent to each, as the newest count.
    renewals: BTreeMap<(Id, Id), u64>,
    proposals: u64,
    /// Proposals that were not answered, and when each was made first.
    pub open: BTreeMap<u64, (Duration, Proposal)>,
    pub answered: BTreeMap<u64, (Duration, Option<String>)>,
    /// The content of each version of a scope that was ever held.
    contents: BTreeMap<(ScopeId, u64), Digest>,
    highest: BTreeMap<(Id, u32, ScopeId), Revision>,
    /// By what each acted when it was last looked at, and until when without another grant, by its own clock.
    acted: BTreeMap<(Id, ScopeId), (Acts, Duration)>,
    pub broken: Vec<String>,
    /// How long each answered proposal took, in the order of the answers.
    pub took: Vec<Duration>,
    /// Bytes that each has sent, where they are counted.
    sent_bytes: Option<BTreeMap<Id, u64>>,
    propose_at: Duration,
}

pub fn draw(most: f64) -> Vec<Change> {
    vec![Change::Limit("draw".into(), Some(Limit::AtMost(most)))]
}

pub fn content() -> Vec<Change> {
    let rack = Rack { site: "site".into(), feed: "feed".into(), power_cap: 900.0 };
    let mut content = Configuration::default();
    content.racks.insert("rack".into(), rack);
    for k in 0..4 {
        let server = Server { rack: "rack".into(), capacity: 10.0, state: ServerState::Ready };
        content.servers.insert(format!("s{k}"), server);
    }
    content.limits.insert("draw".into(), Limit::AtMost(100.0));
    vec![Change::Replace(Box::new(content))]
}

impl World {
    pub fn new(control: usize, zones: u32, planners: usize, seed: u64, without: Without) -> World {
        let settings = Settings { fan_out: 3, most_planners: 12, ..Settings::default() };
        World::with(control, zones, planners, seed, without, settings)
    }

    /// With the fan-out that is meant for service, and a first version of each scope in force everywhere.
    pub fn sized(control: usize, zones: u32, planners: usize, seed: u64) -> World {
        World::with(control, zones, planners, seed, Without::Nothing, Settings::default())
            .with_first_versions(zones)
    }

    fn with(
        control: usize,
        zones: u32,
        planners: usize,
        seed: u64,
        without: Without,
        settings: Settings,
    ) -> World {
        let mut world = World {
            now: S(10),
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            order: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            settings,
            loss: 0.0,
            twice: 0.0,
            slowest: MS(20),
            cut: BTreeSet::new(),
            without,
            leader: None,
            leads_until: Duration::ZERO,
            terms: 0,
            renewals: BTreeMap::new(),
            proposals: 0,
            open: BTreeMap::new(),
            answered: BTreeMap::new(),
            contents: BTreeMap::new(),
            highest: BTreeMap::new(),
            acted: BTreeMap::new(),
            broken: vec![],
            took: vec![],
            sent_bytes: None,
            propose_at: Duration::ZERO,
        };
        world.settings.check().unwrap();
        for id in 1..=control as Id {
            world.place(id, 0, BTreeSet::new());
        }
        for k in 0..planners {
            let zone = k as u32 % zones;
            let service = |s: u32| ScopeId(FIRST_SERVICE + (k as u32 / zones + s) % SERVICES);
            world.place(
                FIRST_PLANNER + k as Id,
                zone,
                BTreeSet::from([ScopeId(zone), service(0), service(1)]),
            );
        }
        let ids: Vec<Id> = world.nodes.keys().copied().collect();
        ids.into_iter().for_each(|id| world.boot(id));
        world
    }

    /// With a first version of each scope in force everywhere.
    pub fn settled(control: usize, zones: u32, planners: usize, seed: u64, without: Without) -> World {
        World::new(control, zones, planners, seed, without).with_first_versions(zones)
    }

    fn with_first_versions(mut self, zones: u32) -> World {
        let services = (0..SERVICES).map(|s| ScopeId(FIRST_SERVICE + s));
        let scopes: Vec<ScopeId> = (0..zones).map(ScopeId).chain(services).collect();
        for scope in scopes {
            self.propose(scope, content());
        }
        self.run(S(8));
        self
    }

    /// From here on bytes are counted.
    pub fn count_bytes(&mut self) {
        self.sent_bytes = Some(BTreeMap::new());
    }

    /// Bytes a second that were sent over a span: by a planner in the mean, by the busiest planner, and by the leader.
    pub fn bytes_per_second(&mut self, span: Duration) -> (f64, f64, f64) {
        let sent = self.sent_bytes.take().unwrap_or_default();
        let rate = |bytes: u64| bytes as f64 / span.as_secs_f64();
        let planners: Vec<u64> = sent.iter().filter(|s| *s.0 >= FIRST_PLANNER).map(|s| *s.1).collect();
        let most = |of: &dyn Fn(&Id) -> bool| {
            sent.iter().filter(|s| of(s.0)).map(|s| *s.1).max().unwrap_or_default()
        };
        let mean = rate(planners.iter().sum()) / self.planners().len() as f64;
        (mean, rate(most(&|id| *id >= FIRST_PLANNER)), rate(most(&|id| *id < FIRST_PLANNER)))
    }

    fn place(&mut self, id: Id, zone: u32, scopes: BTreeSet<ScopeId>) {
        let rate = self.rng.random_range(0.991..1.009);
        let node = Node {
            machine: None,
            log: Durable::default(),
            chains: BTreeMap::new(),
            older: vec![],
            starts: 0,
            stopped: false,
            disk_full: false,
            stalled: vec![],
            base: (self.now, MS(self.rng.random_range(0..5000))),
            rate,
            wake_at: Duration::MAX,
            zone,
            scopes,
        };
        self.nodes.insert(id, node);
    }

    pub fn control(&self) -> Vec<Id> {
        self.nodes.keys().copied().filter(|id| *id < FIRST_PLANNER).collect()
    }

    pub fn planners(&self) -> Vec<Id> {
        self.nodes.keys().copied().filter(|id| *id >= FIRST_PLANNER).collect()
    }

    fn planner(&self, id: Id) -> Option<&Planner> {
        match self.nodes.get(&id)?.machine.as_ref()? {
            Machine::Planner(planner) => Some(planner),
            Machine::Control(_) => None,
        }
    }

    /// Planners that answer for others, the busiest first.
    pub fn relays(&self) -> Vec<Id> {
        let mut relays: Vec<(usize, Id)> =
            self.planners().into_iter().filter_map(|id| Some((self.planner(id)?.planners(), id))).collect();
        relays.retain(|(planners, _)| *planners > 0);
        relays.sort_by(|a, b| b.cmp(a));
        relays.into_iter().map(|(_, id)| id).collect()
    }

    /// The busiest relay of a zone.
    pub fn relay_of(&self, zone: u32) -> Option<Id> {
        self.relays().into_iter().find(|id| self.nodes[id].zone == zone)
    }

    /// Planners that answer for nobody and are no relays.
    pub fn leaves(&self) -> Vec<Id> {
        let leaf = |id: &Id| {
            let zone = self.nodes[id].zone;
            let zone_planners: Vec<Id> =
                self.planners().into_iter().filter(|other| self.nodes[other].zone == zone).collect();
            !is_relay(zone, &zone_planners, *id, self.settings.fan_out)
        };
        let relays = self.relays();
        self.planners().into_iter().filter(|id| leaf(id) && !relays.contains(id)).collect()
    }

    pub fn boot(&mut self, id: Id) {
        let (control, settings) = (self.control(), self.settings);
        let zone_planners: Vec<Id> = {
            let Some(own) = self.nodes.get(&id) else { return };
            let same = |(other, node): (&Id, &Node)| {
                (*other >= FIRST_PLANNER && node.zone == own.zone).then_some(*other)
            };
            self.nodes.iter().filter_map(same).collect()
        };
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.starts += 1;
        (node.stopped, node.wake_at, node.stalled) = (false, Duration::MAX, vec![]);
        let clock = node.clock(now);
        node.machine = Some(if id < FIRST_PLANNER {
            let others = control.into_iter().filter(|c| *c != id).collect();
            Machine::Control(Box::new(ControlMachine::start(id, others, settings, node.log.clone())))
        } else {
            let (zone, scopes, start) = (node.zone, node.scopes.clone(), node.starts);
            let config = PlannerConfig { own: id, zone, zone_planners, control, scopes, start, settings };
            let disk = node.chains.values().cloned().collect();
            Machine::Planner(Box::new(Planner::start(config, disk, clock)))
        });
        self.call(id, |_, _| ());
    }

    pub fn crash(&mut self, id: Id) {
        if let Some(node) = self.nodes.get_mut(&id) {
            (node.machine, node.stalled) = (None, vec![]);
        }
        if self.leader.is_some_and(|l| l.0 == id) {
            self.leads_until = self.now;
        }
    }

    /// Stopped as planned, with its leases given back.
    pub fn leave(&mut self, id: Id) {
        self.call(id, |machine, _| {
            if let Machine::Planner(planner) = machine {
                planner.leave();
            }
        });
        self.crash(id);
    }

    /// Started again from a copy of its folder from some time ago.
    pub fn set_back(&mut self, id: Id) {
        self.crash(id);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.chains = node.older.iter().cloned().map(|c| (c.scope(), c)).collect();
        }
        self.boot(id);
    }

    pub fn stop(&mut self, id: Id, stopped: bool) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.stopped = stopped;
        }
    }

    fn authority(&self, id: Id) -> Authority {
        let Some((leader, term)) = self.leader else { return Authority::default() };
        let leads = leader == id && (self.now < self.leads_until || self.without == Without::Authority);
        Authority { term: leads.then_some(term), leader: Some(leader) }
    }

    /// Calls a node that runs, and carries out what it asked for.
    fn call<T>(&mut self, id: Id, what: impl FnOnce(&mut Machine, Duration) -> T) -> Option<T> {
        let (now, authority) = (self.now, self.authority(id));
        // With the guard taken out, a former leader is never told that it is one no more.
        let tells = self.without != Without::Authority || authority.term.is_some();
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let machine = node.machine.as_mut()?;
        if let Machine::Control(control) = machine
            && tells
        {
            control.authority(clock, authority);
        }
        let done = what(machine, clock);
        let (messages, writes, due) = match machine {
            Machine::Control(control) => (control.take_outbox(), control.take_writes(), control.due()),
            Machine::Planner(planner) => {
                for scope in planner.take_unsaved() {
                    if let Some(chain) = planner.chain(scope) {
                        node.chains.insert(scope, chain.clone());
                    }
                }
                (planner.take_outbox(), vec![], planner.due())
            }
        };
        let wake = if due == Duration::MAX { due } else { node.real(due).max(now + MS(1)) };
        let wakes = wake != node.wake_at && wake != Duration::MAX;
        node.wake_at = wake;
        if wakes {
            self.schedule(wake, Event::Wake(id));
        }
        for write in writes {
            self.write(id, write);
        }
        for (to, message) in messages {
            self.send(id, to, message);
        }
        self.check(id);
        Some(done)
    }

    fn write(&mut self, id: Id, write: Write) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        if node.disk_full {
            return node.stalled.push(write);
        }
        let start = node.starts;
        self.schedule(self.now + SYNC, Event::Written { node: id, start, write });
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn send(&mut self, from: Id, to: Id, message: Message) {
        if let Message::Upward(Upward::Renew { count, .. }) = &message {
            self.renewals.insert((from, to), *count);
        }
        if let Some(sent) = &mut self.sent_bytes {
            // The length and the authentication code of a frame.
            const FRAME: u64 = 20;
            *sent.entry(from).or_default() +=
                FRAME + postcard::to_stdvec(&message).map_or(0, |b| b.len() as u64);
        }
        let mut message = message;
        if let (
            Without::Waiting,
            Message::Upward(Upward::Renew { facts, .. } | Upward::Attach { facts, .. }),
        ) = (self.without, &mut message)
        {
            facts.iter_mut().for_each(|fact| fact.ready = fact.held.revision);
        }
        let copies = if self.rng.random_bool(self.twice) { 2 } else { 1 };
        for _ in 0..copies {
            if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
                continue;
            }
            let late = self.slowest.mul_f64(self.rng.random_range(0.05..1.0));
            self.schedule(self.now + late, Event::Message { to, from, message: message.clone() });
        }
    }

    /// As the guard that is taken out would have it.
    fn altered(&self, to: Id, from: Id, message: Message) -> Message {
        match (self.without, message) {
            (Without::Sending, Message::Downward(Downward::Granted { session, term, lease, .. })) => {
                let count = self.renewals.get(&(to, from)).copied().unwrap_or_default();
                Message::Downward(Downward::Granted { session, term, count, lease })
            }
            (Without::Chain, Message::Downward(Downward::Links { links })) => {
                let fitted = |link: Link| {
                    let chain = self.planner(to)?.chain(link.scope)?;
                    if link.revision > chain.revision() + 1 { chain.next(link.step).ok() } else { Some(link) }
                };
                let links = links.into_iter().map(|link| fitted(link.clone()).unwrap_or(link)).collect();
                Message::Downward(Downward::Links { links })
            }
            (_, message) => message,
        }
    }

    fn up(&self, id: Id) -> bool {
        self.nodes.get(&id).is_some_and(|n| n.machine.is_some() && !n.stopped)
    }

    fn reaches(&self, a: Id, b: Id) -> bool {
        self.up(a) && self.up(b) && !self.cut.contains(&(a, b)) && !self.cut.contains(&(b, a))
    }

    fn carried(&self, id: Id) -> bool {
        let control = self.control();
        let there = |o: &&Id| self.reaches(id, **o) && !self.nodes[*o].disk_full;
        self.up(id) && control.iter().filter(there).count() * 2 > control.len()
    }

    /// Who leads: renewed while a majority hears it, another once its time is over.
    fn elect(&mut self) {
        if let Some((id, _)) = self.leader {
            if self.now < self.leads_until {
                if self.carried(id) {
                    self.leads_until = self.now + LEADER_LEASE;
                }
                return;
            }
            if self.now < self.leads_until + MS(30) {
                return;
            }
            self.leader = None;
            if self.up(id) && self.without != Without::Authority {
                self.call(id, |_, _| ());
            }
        }
        let able: Vec<Id> = self.control().into_iter().filter(|id| self.carried(*id)).collect();
        if !able.is_empty() {
            let id = able[self.rng.random_range(0..able.len())];
            self.terms += 1;
            (self.leader, self.leads_until) = (Some((id, self.terms)), self.now + LEADER_LEASE);
            self.call(id, |_, _| ());
        }
    }

    pub fn propose(&mut self, scope: ScopeId, changes: Vec<Change>) -> u64 {
        self.proposals += 1;
        let proposal = Proposal { proposer: 1, number: self.proposals, scope, changes };
        self.open.insert(self.proposals, (self.now, proposal));
        self.propose_at = self.now;
        self.proposals
    }

    /// The proposer is an operator's tool beside the first control machines; it proposes again until it is answered.
    fn propose_again(&mut self) {
        if self.now < self.propose_at {
            return;
        }
        self.propose_at = self.now + MS(500);
        let open: Vec<Proposal> = self.open.values().map(|(_, p)| p.clone()).collect();
        let control: Vec<Id> = self.control().into_iter().filter(|id| self.up(*id)).collect();
        for proposal in open {
            if let Some(id) = control.get(self.rng.random_range(0..control.len().max(1))) {
                let message = Message::Propose(proposal);
                self.schedule(self.now + MS(1), Event::Message { to: *id, from: 0, message });
            }
        }
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.elect();
            self.propose_again();
            let step = (self.now + MS(10)).min(end);
            while let Some(key) =
                self.events.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= step)
            {
                self.now = self.now.max(key.0);
                if let Some(event) = self.events.remove(&key) {
                    self.happen(event);
                }
            }
            self.now = step;
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Message { to, from, message } => {
                // Answers to the proposer.
                if let Message::Proposed { number, refused } = message {
                    if let Some((since, _)) = self.open.remove(&number) {
                        self.took.push(self.now - since);
                        self.answered.insert(number, (self.now, refused));
                    }
                    return;
                }
                if self.nodes.get(&to).is_some_and(|n| n.stopped) {
                    // In its socket's buffer.
                    return self.schedule(self.now + MS(50), Event::Message { to, from, message });
                }
                let message = self.altered(to, from, message);
                self.call(to, |machine, now| match machine {
                    Machine::Control(control) => control.heard(now, from, message),
                    Machine::Planner(planner) => planner.heard(now, from, message),
                });
            }
            Event::Written { node, start, write } => {
                let Some(of) = self.nodes.get_mut(&node).filter(|n| n.starts == start && n.machine.is_some())
                else {
                    return;
                };
                if of.stopped {
                    return self.schedule(self.now + MS(50), Event::Written { node, start, write });
                }
                of.log.take(&write);
                self.call(node, |machine, now| {
                    if let Machine::Control(control) = machine {
                        control.written(now, write.stamp);
                    }
                });
            }
            Event::Wake(id) => {
                let Some(node) = self.nodes.get(&id) else { return };
                if node.stopped {
                    return self.schedule(self.now + MS(50), Event::Wake(id));
                }
                if self.now >= node.wake_at {
                    self.call(id, |machine, now| match machine {
                        Machine::Control(control) => control.woken(now),
                        Machine::Planner(planner) => planner.woken(now),
                    });
                }
            }
        }
    }

    /// What must hold at every moment, after a call of this node.
    fn check(&mut self, touched: Id) {
        let Some(node) = self.nodes.get(&touched) else { return };
        let Some(Machine::Planner(planner)) = &node.machine else { return };
        let (start, clock) = (node.starts, node.clock(self.now));
        let (mut advanced, mut changed) = (vec![], vec![]);
        for scope in &node.scopes {
            let Some(chain) = planner.chain(*scope) else { continue };
            if self.highest.get(&(touched, start, *scope)) != Some(&chain.revision()) {
                let state = chain.state();
                let versions = [Some(&state.active), state.pending.as_ref()].into_iter().flatten();
                let contents: Vec<_> = versions.map(|v| (v.number, Digest::of(&v.content))).collect();
                advanced.push((*scope, chain.revision(), contents));
            }
            let (acts, until) = (planner.acts(clock, *scope), planner.leased_until(*scope));
            // One whose lease ended between is looked at again, though it acts by the same as before.
            let before = self.acted.insert((touched, *scope), (acts, until));
            if before.is_none_or(|(was, lasted)| was != acts || clock >= lasted) {
                changed.push(*scope);
            }
        }
        for (scope, revision, contents) in advanced {
            let highest = self.highest.entry((touched, start, scope)).or_default();
            if revision < *highest {
                self.broken.push(format!("{touched} went back in {scope:?}: {revision} after {highest}"));
            }
            *highest = revision;
            for (number, content) in contents {
                if *self.contents.entry((scope, number)).or_insert(content) != content {
                    self.broken
                        .push(format!("version {number} of {scope:?} has two contents, one at {touched}"));
                }
            }
        }
        changed.into_iter().for_each(|scope| self.check_scope(scope));
    }

    /// Of all planners that act on a scope, some version is among those that each of them acts by.
    fn check_scope(&mut self, scope: ScopeId) {
        let mut common: Option<BTreeSet<u64>> = None;
        let mut acting = vec![];
        for (id, node) in self.nodes.iter().filter(|(_, n)| n.scopes.contains(&scope) && !n.stopped) {
            let Some(Machine::Planner(planner)) = &node.machine else { continue };
            let versions = match planner.acts(node.clock(self.now), scope) {
                Acts::Alone(number) => BTreeSet::from([number]),
                Acts::Both(active, pending) => BTreeSet::from([active, pending]),
                Acts::Unleased | Acts::Nothing => continue,
            };
            acting.push((*id, versions.clone()));
            common = Some(
                common.map_or(versions.clone(), |common| common.intersection(&versions).copied().collect()),
            );
        }
        if common.is_some_and(|common| common.is_empty()) {
            self.broken.push(format!("{:?}: planners act on {scope:?} by {acting:?}", self.now));
        }
    }

    /// The version that all planners act by alone, of each scope; nothing where one does not.
    pub fn agreed(&self) -> Option<BTreeMap<ScopeId, u64>> {
        let mut agreed: BTreeMap<ScopeId, u64> = BTreeMap::new();
        for node in self.nodes.values() {
            for scope in &node.scopes {
                let Some(Machine::Planner(planner)) = &node.machine else { return None };
                let Acts::Alone(number) = planner.acts(node.clock(self.now), *scope) else { return None };
                if *agreed.entry(*scope).or_insert(number) != number {
                    return None;
                }
            }
        }
        Some(agreed)
    }

    /// How planners stand, for the message of a test that fails.
    pub fn shown(&self) -> String {
        let mut shown = format!("leader {:?}\n", self.leader);
        for (id, node) in &self.nodes {
            match &node.machine {
                Some(Machine::Planner(planner)) => {
                    let acts: Vec<_> =
                        node.scopes.iter().map(|s| (s.0, planner.acts(node.clock(self.now), *s))).collect();
                    shown += &format!(
                        "{id}: {acts:?}, {} planners, {:?}\n",
                        planner.planners(),
                        planner.refused()
                    );
                }
                Some(Machine::Control(control)) => {
                    shown +=
                        &format!("{id}: publishes {}, {} relays\n", control.publishes(), control.relays());
                }
                None => shown += &format!("{id}: down\n"),
            }
        }
        shown
    }

    pub fn cut_off(&mut self, id: Id, ways: (bool, bool)) {
        for other in self.nodes.keys().copied().filter(|o| *o != id) {
            self.cut.extend(ways.0.then_some((id, other)));
            self.cut.extend(ways.1.then_some((other, id)));
        }
    }

    /// A control machine hears nobody but the planners of some zones, and is heard by nobody else.
    pub fn cut_from_all_but(&mut self, id: Id, zones: &[u32]) {
        let reached = |other: &Id| *other >= FIRST_PLANNER && zones.contains(&self.nodes[other].zone);
        let others: Vec<Id> = self.nodes.keys().copied().filter(|o| *o != id && !reached(o)).collect();
        for other in others {
            self.cut.insert((id, other));
            self.cut.insert((other, id));
        }
    }

    /// The planners of a zone reach nobody outside it.
    pub fn cut_zone(&mut self, zone: u32) {
        let inside: Vec<Id> = self.planners().into_iter().filter(|id| self.nodes[id].zone == zone).collect();
        for a in self.nodes.keys().copied().collect::<Vec<_>>() {
            for b in inside.iter().copied().filter(|b| !inside.contains(&a) && *b != a) {
                self.cut.insert((a, b));
                self.cut.insert((b, a));
            }
        }
    }

    pub fn heal(&mut self) {
        (self.loss, self.twice, self.slowest) = (0.0, 0.0, MS(20));
        self.cut.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.stop(id, false);
            self.disk(id, false);
            if self.nodes[&id].machine.is_none() {
                self.boot(id);
            }
        }
    }

    fn disk(&mut self, id: Id, full: bool) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.disk_full = full;
        let (stalled, start) = (if full { vec![] } else { std::mem::take(&mut node.stalled) }, node.starts);
        for write in stalled {
            self.schedule(self.now + SYNC, Event::Written { node: id, start, write });
        }
    }

    pub fn some_scope(&mut self) -> ScopeId {
        let scopes: BTreeSet<ScopeId> = self.nodes.values().flat_map(|n| n.scopes.iter().copied()).collect();
        let at = self.rng.random_range(0..scopes.len());
        *scopes.iter().nth(at).unwrap()
    }

    pub fn some_change(&mut self) -> Vec<Change> {
        let server = format!("s{}", self.rng.random_range(0..4));
        vec![match self.rng.random_range(0..3) {
            0 => Change::State(server, ServerState::Draining),
            1 => Change::State(server, ServerState::Ready),
            _ => Change::Limit("draw".into(), Some(Limit::AtMost(self.rng.random_range(50.0..150.0)))),
        }]
    }

    /// Something goes wrong, or right again.
    pub fn trouble(&mut self) {
        let ids: Vec<Id> = self.nodes.keys().copied().collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        let relay = self.relays().first().copied().unwrap_or(id);
        match self.rng.random_range(0..18) {
            0 => self.crash(id),
            1 => self.crash(relay),
            2 | 3 => {
                let down: Vec<Id> = ids.into_iter().filter(|id| self.nodes[id].machine.is_none()).collect();
                down.into_iter().for_each(|id| self.boot(id));
            }
            4 => self.stop(id, true),
            5 => self.stop(relay, true),
            6 => ids.into_iter().for_each(|id| self.stop(id, false)),
            7 => {
                let ways = (self.rng.random(), self.rng.random());
                self.cut_off(id, ways);
            }
            8 => {
                let ways = (self.rng.random(), self.rng.random());
                self.cut_off(relay, ways);
            }
            9 => self.cut.clear(),
            10 => {
                (self.loss, self.twice) = (self.rng.random_range(0.0..0.3), self.rng.random_range(0.0..0.3))
            }
            11 => self.slowest = MS(self.rng.random_range(5..400)),
            12 => {
                let control = self.control();
                let id = control[self.rng.random_range(0..control.len())];
                let full = self.rng.random();
                self.disk(id, full);
            }
            13 => {
                if id >= FIRST_PLANNER {
                    self.leave(id);
                    self.boot(id);
                }
            }
            14 => {
                if let Some(node) = self.nodes.get_mut(&id) {
                    node.older = node.chains.values().cloned().collect();
                }
            }
            15 => {
                if id >= FIRST_PLANNER {
                    self.set_back(id);
                }
            }
            16 => {
                let zone = self.nodes[&id].zone;
                self.cut_zone(zone);
            }
            _ => {
                if let Some((leader, _)) = self.leader {
                    if self.rng.random() { self.crash(leader) } else { self.stop(leader, true) }
                }
            }
        }
    }
}
