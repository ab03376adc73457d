//! Many hollow planners under one simulated clock, with disks, links and faults.

use super::links::{Links, Topology};
use super::planner::{Component, Disk, Outbox, Planner, Timing, Written};
use super::traffic::{Packets, Traffic, TrafficClass};
use crate::resources::timed;
use grebespool_cluster::transport::Packet;
use grebespool_config_consensus::{ActiveVersions, Change, Limit, ProposalId, ProposalOutcome, ServerState};
use grebespool_leader_election::{MemberId, Voter};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a disk takes for one write, synced.
const SYNC: Duration = Duration::from_millis(2);
/// How long a planner that was restarted is down.
const DOWN: Duration = Duration::from_secs(2);
/// The shortest step of the simulated clock.
const TICK: Duration = Duration::from_micros(50);

/// What a fleet is measured under.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// How many planners there are; all of them are members.
    pub planners: usize,
    /// Where they stand: one zone after another in turn.
    pub topology: Topology,
    /// How long packets take.
    pub links: Links,
    /// Their leases and heartbeats.
    pub timing: Timing,
    /// Seeds everything that is drawn.
    pub seed: u64,
}

/// What happens while a fleet is measured.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Between two changes of the configuration, each proposed by some planner; none where unset.
    pub change_every: Option<Duration>,
    /// Between two restarts, each of some planner; none where unset.
    pub restart_every: Option<Duration>,
    /// The leader is killed at this time and started again as after a restart.
    pub kill_leader_at: Option<Duration>,
    /// The planners of the first region are cut off from all others from the first time to the second.
    pub cut_region: Option<(Duration, Duration)>,
}

/// What a fleet cost over the time it was measured.
#[derive(Debug, Clone, Default)]
pub struct FleetCosts {
    /// The measured time, by the simulated clock.
    pub measured: Duration,
    /// Processor time of all planners together, by state machine.
    pub processor: BTreeMap<Component, Duration>,
    /// Processor time of encoding and decoding.
    pub codec: Duration,
    /// The most processor time of one planner.
    pub busiest: Duration,
    /// What all planners sent, by type.
    pub sent: BTreeMap<TrafficClass, Packets>,
    /// The most bytes that one planner sent.
    pub most_sent: u64,
    /// Synced writes of all planners, by state machine.
    pub syncs: BTreeMap<Component, u64>,
    /// From a proposal until its proposer was told that it is in force, sorted.
    pub in_force: Vec<Duration>,
    /// Proposals that were not answered while the fleet was measured.
    pub unanswered: usize,
    /// Proposals that nobody took, for want of a majority say.
    pub refused: usize,
    /// Restarts.
    pub restarts: usize,
}

impl FleetCosts {
    /// The time within which this part of the changes was in force, 0 to 1.
    pub fn in_force_within(&self, part: f64) -> Option<Duration> {
        let last = self.in_force.len().checked_sub(1)?;
        self.in_force.get((part * last as f64).round() as usize).copied()
    }
}

enum Event {
    Packet { to: MemberId, from: MemberId, bytes: Vec<u8> },
    Synced { planner: MemberId, start: u32, written: Box<Written> },
    Wake(MemberId),
    Boot(MemberId),
}

struct Node {
    planner: Option<Planner>,
    disk: Disk,
    zone: usize,
    /// What is being written, by file, and what waits behind it.
    writing: BTreeMap<Component, Option<Written>>,
    traffic: Traffic,
    processor: BTreeMap<Component, Duration>,
    codec: Duration,
    wake_at: Duration,
}

impl Node {
    /// What its planner used so far goes into the account of the node, before the planner is gone.
    fn settle(&mut self) {
        if let Some(planner) = &mut self.planner {
            for (component, took) in std::mem::take(&mut planner.processor) {
                *self.processor.entry(component).or_default() += took;
            }
        }
    }
}

/// Hollow planners, and what passes between them.
pub struct Fleet {
    settings: FleetSettings,
    now: Duration,
    nodes: BTreeMap<MemberId, Node>,
    events: BTreeMap<(Duration, u64), Event>,
    order: u64,
    rng: Pcg64Mcg,
    cut: bool,
    proposed: BTreeMap<(MemberId, ProposalId), Duration>,
    costs: FleetCosts,
}

fn seats(planners: usize) -> BTreeMap<MemberId, Voter> {
    let seat = |id| Voter { name: format!("planner-{id}"), address: format!("127.0.0.1:{}", 10_000 + id) };
    (1..=planners as MemberId).map(|id| (id, seat(id))).collect()
}

impl Fleet {
    /// Starts all planners at once, from empty disks.
    pub fn start(settings: FleetSettings) -> Fleet {
        let seats = seats(settings.planners);
        let zones = settings.topology.zones();
        let node = |id: MemberId| Node {
            planner: None,
            disk: Disk::new(id, &seats),
            zone: id as usize % zones,
            writing: BTreeMap::new(),
            traffic: Traffic::default(),
            processor: BTreeMap::new(),
            codec: Duration::ZERO,
            wake_at: Duration::MAX,
        };
        let nodes = seats.keys().map(|id| (*id, node(*id))).collect();
        let mut fleet = Fleet {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            now: Duration::from_secs(10),
            nodes,
            events: BTreeMap::new(),
            order: 0,
            cut: false,
            proposed: BTreeMap::new(),
            costs: FleetCosts::default(),
        };
        seats.keys().for_each(|id| fleet.boot(*id));
        fleet
    }

    /// How many planners lead.
    pub fn leaders(&self) -> usize {
        self.nodes.values().filter(|n| n.planner.as_ref().is_some_and(Planner::leads)).count()
    }

    /// How many planners act by a configuration, alone, of this number or a later one.
    pub fn acting_by(&self, number: u64) -> usize {
        let acts = |n: &Node| n.planner.as_ref().map(|p| p.acts(self.now));
        let new =
            |acts: Option<ActiveVersions>| matches!(acts, Some(ActiveVersions::Single(n)) if n >= number);
        self.nodes.values().filter(|n| new(acts(n))).count()
    }

    /// How many planners act by some configuration.
    pub fn leased(&self) -> usize {
        let acts = |n: &Node| n.planner.as_ref().map(|p| p.acts(self.now));
        self.nodes.values().filter(|n| acts(n).is_some_and(|a| a != ActiveVersions::Unleased)).count()
    }

    /// Proposes changes by a planner that runs.
    pub fn propose(&mut self, id: MemberId, changes: Vec<Change>) {
        let now = self.now;
        let ticket = self.call(id, |planner| planner.propose(now, changes)).flatten();
        match ticket {
            Some(ticket) => drop(self.proposed.insert((id, ticket), now)),
            None => self.costs.refused += 1,
        }
    }

    /// Lets time pass without faults.
    pub fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Lets time pass with faults, and counts what it cost. What was counted before is forgotten.
    pub fn measure(&mut self, span: Duration, faults: &Faults) -> FleetCosts {
        self.forget();
        let (began, end) = (self.now, self.now + span);
        let mut change_at = faults.change_every.map(|every| began + every);
        let mut restart_at = faults.restart_every.map(|every| began + every);
        let mut kill_at = faults.kill_leader_at.map(|at| began + at);
        let mut cut =
            faults.cut_region.map(|(from, to)| [began + to, began + from].to_vec()).unwrap_or_default();
        while self.now < end {
            let next = [change_at, restart_at, kill_at, cut.last().copied()].into_iter().flatten().min();
            self.run_until(next.unwrap_or(end).min(end));
            if let Some(at) = change_at.filter(|at| *at <= self.now) {
                self.propose_some();
                change_at = faults.change_every.map(|every| at + every);
            }
            if let Some(at) = restart_at.filter(|at| *at <= self.now) {
                let id = self.some_planner();
                self.restart(id);
                restart_at = faults.restart_every.map(|every| at + every);
            }
            if kill_at.is_some_and(|at| at <= self.now) {
                kill_at = None;
                self.kill_leader();
            }
            if cut.last().is_some_and(|at| *at <= self.now) {
                cut.pop();
                self.cut = !cut.is_empty();
            }
        }
        self.account(began)
    }

    fn forget(&mut self) {
        self.costs = FleetCosts::default();
        self.proposed.clear();
        for node in self.nodes.values_mut() {
            node.settle();
            node.processor.clear();
            (node.traffic, node.codec) = (Traffic::default(), Duration::ZERO);
        }
    }

    fn account(&mut self, began: Duration) -> FleetCosts {
        let mut costs = std::mem::take(&mut self.costs);
        costs.measured = self.now - began;
        costs.unanswered = self.proposed.len();
        costs.in_force.sort();
        for node in self.nodes.values_mut() {
            node.settle();
            let own: Duration = node.processor.values().sum::<Duration>() + node.codec;
            costs.busiest = costs.busiest.max(own);
            costs.codec += node.codec;
            for (component, took) in &node.processor {
                *costs.processor.entry(*component).or_default() += *took;
            }
            for (class, packets) in &node.traffic.sent {
                let sum = costs.sent.entry(*class).or_default();
                (sum.count, sum.bytes) = (sum.count + packets.count, sum.bytes + packets.bytes);
            }
            costs.most_sent = costs.most_sent.max(Traffic::total(&node.traffic.sent).bytes);
        }
        costs
    }

    fn some_planner(&mut self) -> MemberId {
        let running: Vec<MemberId> =
            self.nodes.iter().filter(|(_, n)| n.planner.is_some()).map(|(id, _)| *id).collect();
        running[self.rng.random_range(0..running.len())]
    }

    fn propose_some(&mut self) {
        let id = self.some_planner();
        let change = if self.rng.random_bool(0.5) {
            Change::Limit("power.reserve".into(), Some(Limit::AtLeast(self.rng.random_range(0.0..0.5))))
        } else {
            let states = [ServerState::Ready, ServerState::Draining];
            Change::State(
                format!("server-{}", self.rng.random_range(0..8)),
                states[self.rng.random_range(0..2)],
            )
        };
        self.propose(id, vec![change]);
    }

    fn restart(&mut self, id: MemberId) {
        self.costs.restarts += 1;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.settle();
            (node.planner, node.wake_at) = (None, Duration::MAX);
            node.writing.clear();
        }
        // Its proposals are forgotten with it.
        self.proposed.retain(|(proposer, _), _| *proposer != id);
        self.schedule(self.now + DOWN, Event::Boot(id));
    }

    fn kill_leader(&mut self) {
        let leads = |n: &Node| n.planner.as_ref().is_some_and(Planner::leads);
        if let Some(id) = self.nodes.iter().find(|(_, n)| leads(n)).map(|(id, _)| *id) {
            self.restart(id);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.insert((at, self.order), event);
    }

    fn run_until(&mut self, end: Duration) {
        while let Some((at, _)) =
            self.events.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= end)
        {
            self.now = self.now.max(at);
            if let Some((_, event)) = self.events.pop_first() {
                self.happen(event);
            }
        }
        self.now = self.now.max(end);
    }

    fn happen(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Packet { to, from, bytes } => {
                let (packet, took) = timed(|| postcard::from_bytes::<Packet>(&bytes));
                let Some(node) = self.nodes.get_mut(&to).filter(|n| n.planner.is_some()) else { return };
                node.codec += took;
                if let Ok(packet) = packet {
                    node.traffic.received.entry(TrafficClass::of(&packet)).or_default().add(bytes.len());
                    self.call(to, |planner| planner.heard(now, from, packet));
                }
            }
            Event::Synced { planner, start, written } => self.synced(planner, start, *written),
            Event::Wake(id) => {
                if self.nodes.get(&id).is_some_and(|n| n.wake_at <= now) {
                    self.call(id, |planner| planner.woken(now));
                }
            }
            Event::Boot(id) => self.boot(id),
        }
    }

    fn boot(&mut self, id: MemberId) {
        let (now, seed) = (self.now, self.rng.random());
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.disk.starts += 1;
        node.planner = Some(Planner::start(&node.disk, &self.settings.timing, seed, now));
        self.call(id, |_| ());
    }

    fn synced(&mut self, id: MemberId, start: u32, written: Written) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id).filter(|n| n.disk.starts == start && n.planner.is_some())
        else {
            return;
        };
        *self.costs.syncs.entry(written.component()).or_default() += 1;
        node.disk.take(written.clone());
        let next = node.writing.insert(written.component(), None).flatten();
        match next {
            Some(next) => {
                self.schedule(now + SYNC, Event::Synced { planner: id, start, written: Box::new(next) })
            }
            None => drop(node.writing.remove(&written.component())),
        }
        self.call(id, |planner| planner.written(now, &written));
    }

    /// Calls a planner that runs, and carries out what it asked for.
    fn call<T>(&mut self, id: MemberId, what: impl FnOnce(&mut Planner) -> T) -> Option<T> {
        let planner = self.nodes.get_mut(&id)?.planner.as_mut()?;
        let done = what(planner);
        let (outbox, due) = (planner.take_outbox(), planner.due());
        self.carry_out(id, outbox);
        let at = due.max(self.now + TICK);
        if let Some(node) = self.nodes.get_mut(&id)
            && node.wake_at != at
            && due != Duration::MAX
        {
            node.wake_at = at;
            self.schedule(at, Event::Wake(id));
        }
        Some(done)
    }

    fn carry_out(&mut self, id: MemberId, outbox: Outbox) {
        for (to, packet) in outbox.packets {
            self.send(id, to, &packet);
        }
        for written in outbox.writes {
            self.write(id, written);
        }
        for (proposal, outcome) in outbox.answered {
            if let Some(at) = self.proposed.remove(&(id, proposal)) {
                match outcome {
                    ProposalOutcome::Activated(_) => self.costs.in_force.push(self.now - at),
                    ProposalOutcome::Rejected(_) => self.costs.refused += 1,
                }
            }
        }
    }

    fn send(&mut self, from: MemberId, to: MemberId, packet: &Packet) {
        let (bytes, took) = timed(|| postcard::to_stdvec(packet).unwrap_or_default());
        let Some(zone) = self.nodes.get(&to).map(|n| n.zone) else { return };
        let Some(node) = self.nodes.get_mut(&from) else { return };
        node.codec += took;
        node.traffic.sent.entry(TrafficClass::of(packet)).or_default().add(bytes.len());
        let topology = &self.settings.topology;
        let apart = (topology.region(node.zone) == 0) != (topology.region(zone) == 0);
        if self.cut && apart {
            return;
        }
        let delay = self.settings.links.delay(topology, &mut self.rng, node.zone, zone);
        self.schedule(self.now + delay, Event::Packet { to, from, bytes });
    }

    fn write(&mut self, id: MemberId, written: Written) {
        let at = self.now + SYNC;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let component = written.component();
        if let Some(waiting) = node.writing.get_mut(&component) {
            match (waiting.as_mut(), written) {
                (Some(Written::Cells(cells, stamp)), Written::Cells(more, newer)) => {
                    cells.extend(more);
                    *stamp = newer;
                }
                (_, written) => *waiting = Some(written),
            }
            return;
        }
        node.writing.insert(component, None);
        let start = node.disk.starts;
        self.schedule(at, Event::Synced { planner: id, start, written: Box::new(written) });
    }

    /// Planners that hold different contents under one number: none, whatever happened.
    pub fn contradictions(&self) -> usize {
        let mut contents: BTreeMap<u64, BTreeSet<[u8; 32]>> = BTreeMap::new();
        for planner in self.nodes.values().filter_map(|n| n.planner.as_ref()) {
            let version = planner.configuration().committed.id();
            contents.entry(version.number).or_default().insert(version.hash.0);
        }
        contents.values().filter(|hashes| hashes.len() > 1).count()
    }
}
