//! A fleet of hollow planners under one simulated clock, with simulated disks, links and faults.

use super::links::{Links, Topology};
use super::planner::{Component, Disk, DiskWrite, Outbox, Planner, Timing};
use super::traffic::{Packets, Traffic, TrafficClass};
use crate::resources::timed;
use grebespool_cluster::transport::Packet;
use grebespool_config_consensus::{ActiveVersions, Change, Limit, ProposalId, ProposalOutcome, ServerState};
use grebespool_leader_election::{MemberId, Voter};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time of one synced write to a disk.
const SYNC_TIME: Duration = Duration::from_millis(2);
/// Time from the stop of a planner to its start in a restart.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// The shortest time until the timer of a planner fires.
const MIN_TIMER_DELAY: Duration = Duration::from_micros(50);

/// The settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of planners; all of them are voters.
    pub planners: usize,
    /// The zones over which the planners are spread in turn.
    pub topology: Topology,
    /// The delays and the loss of packets.
    pub links: Links,
    /// The lease and heartbeat settings of all planners.
    pub timing: Timing,
    /// The seed of all random draws.
    pub seed: u64,
}

/// The changes and faults during a measurement.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// Time between two configuration changes, each proposed by a random planner; no changes if `None`.
    pub change_interval: Option<Duration>,
    /// Time between two restarts, each of a random planner; no restarts if `None`.
    pub restart_interval: Option<Duration>,
    /// Time at which the leader is restarted, from the start of the measurement.
    pub kill_leader_at: Option<Duration>,
    /// Times at which the planners of the first region are cut off from all others and connected again, from the start of
    /// the measurement.
    pub cut_region: Option<(Duration, Duration)>,
}

/// The costs of a fleet during a measurement.
#[derive(Debug, Clone, Default)]
pub struct FleetCosts {
    /// Length of the measurement by the simulated clock.
    pub measured: Duration,
    /// Processor time of all planners by state machine.
    pub processor: BTreeMap<Component, Duration>,
    /// Processor time of encoding and decoding packets.
    pub codec: Duration,
    /// The largest processor time of one planner.
    pub max_processor: Duration,
    /// Packets that all planners sent, by type.
    pub sent: BTreeMap<TrafficClass, Packets>,
    /// The largest number of bytes that one planner sent.
    pub max_bytes_sent: u64,
    /// Number of synced writes of all planners by state machine.
    pub syncs: BTreeMap<Component, u64>,
    /// Times from each proposal until its proposer learns that the new version is active, sorted.
    pub activation_times: Vec<Duration>,
    /// Number of proposals that were not decided by the end of the measurement.
    pub undecided: usize,
    /// Number of proposals that were not accepted or were rejected, for example without a majority.
    pub rejected: usize,
    /// Number of restarts.
    pub restarts: usize,
}

impl FleetCosts {
    /// Returns the time within which a share (0 to 1) of the changes became active, or `None` if no change did.
    pub fn activation_time_quantile(&self, share: f64) -> Option<Duration> {
        let last = self.activation_times.len().checked_sub(1)?;
        self.activation_times.get((share * last as f64).round() as usize).copied()
    }
}

/// An event of the simulation.
enum Event {
    Packet {
        to: MemberId,
        from: MemberId,
        bytes: Vec<u8>,
    },
    /// A write is durable. `start` is the start count of the planner that asked for the write.
    Synced {
        planner: MemberId,
        start: u32,
        written: Box<DiskWrite>,
    },
    Timer(MemberId),
    Start(MemberId),
}

/// A planner with its simulated disk, and its counters.
struct Node {
    /// The running planner; `None` during a restart.
    planner: Option<Planner>,
    disk: Disk,
    zone: usize,
    /// The files that are being written; the value is the write that waits for the current one of the same file.
    waiting_writes: BTreeMap<Component, Option<DiskWrite>>,
    traffic: Traffic,
    processor: BTreeMap<Component, Duration>,
    codec: Duration,
    /// The time at which the timer is due; timer events before this time are ignored.
    timer_at: Duration,
}

impl Node {
    /// Moves the processor time that the planner has counted to the node, which outlives the planner.
    fn collect_processor_time(&mut self) {
        if let Some(planner) = &mut self.planner {
            for (component, took) in std::mem::take(&mut planner.processor) {
                *self.processor.entry(component).or_default() += took;
            }
        }
    }
}

/// A fleet of hollow planners that exchange packets under one simulated clock.
pub struct Fleet {
    settings: FleetSettings,
    now: Duration,
    nodes: BTreeMap<MemberId, Node>,
    events: BTreeMap<(Duration, u64), Event>,
    /// Number of events scheduled; orders events of the same time.
    event_count: u64,
    rng: Pcg64Mcg,
    /// True if the first region is cut off from all others.
    region_cut: bool,
    /// The time of each undecided proposal by its proposer.
    proposed_at: BTreeMap<(MemberId, ProposalId), Duration>,
    costs: FleetCosts,
}

fn voters(planners: usize) -> BTreeMap<MemberId, Voter> {
    let voter = |id| Voter { name: format!("planner-{id}"), address: format!("127.0.0.1:{}", 10_000 + id) };
    (1..=planners as MemberId).map(|id| (id, voter(id))).collect()
}

impl Fleet {
    /// Starts all planners at the same time with empty disks.
    pub fn start(settings: FleetSettings) -> Fleet {
        let voters = voters(settings.planners);
        let zones = settings.topology.zones();
        let node = |id: MemberId| Node {
            planner: None,
            disk: Disk::new(id, &voters),
            zone: id as usize % zones,
            waiting_writes: BTreeMap::new(),
            traffic: Traffic::default(),
            processor: BTreeMap::new(),
            codec: Duration::ZERO,
            timer_at: Duration::MAX,
        };
        let nodes = voters.keys().map(|id| (*id, node(*id))).collect();
        let mut fleet = Fleet {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            now: Duration::from_secs(10),
            nodes,
            events: BTreeMap::new(),
            event_count: 0,
            region_cut: false,
            proposed_at: BTreeMap::new(),
            costs: FleetCosts::default(),
        };
        voters.keys().for_each(|id| fleet.start_planner(*id));
        fleet
    }

    /// Returns the number of planners that lead.
    pub fn leader_count(&self) -> usize {
        self.nodes.values().filter(|n| n.planner.as_ref().is_some_and(Planner::is_leader)).count()
    }

    /// Returns the number of planners whose only active version has this number or a later one.
    pub fn planners_active_on(&self, number: u64) -> usize {
        let active = |n: &Node| n.planner.as_ref().map(|p| p.active_versions(self.now));
        let is_new =
            |active: Option<ActiveVersions>| matches!(active, Some(ActiveVersions::Single(n)) if n >= number);
        self.nodes.values().filter(|n| is_new(active(n))).count()
    }

    /// Returns the number of planners that hold a lease of a configuration version.
    pub fn planners_with_lease(&self) -> usize {
        let active = |n: &Node| n.planner.as_ref().map(|p| p.active_versions(self.now));
        self.nodes.values().filter(|n| active(n).is_some_and(|a| a != ActiveVersions::Unleased)).count()
    }

    /// Proposes configuration changes at a planner. Counts the proposal as rejected if the planner is down or doesn't accept it.
    pub fn propose(&mut self, id: MemberId, changes: Vec<Change>) {
        let now = self.now;
        let proposal = self.call_planner(id, |planner| planner.propose(now, changes)).flatten();
        match proposal {
            Some(proposal) => drop(self.proposed_at.insert((id, proposal), now)),
            None => self.costs.rejected += 1,
        }
    }

    /// Runs the simulation for `span` without changes and faults.
    pub fn run(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    /// Runs the simulation for `span` with changes and faults. Returns the costs of this time alone.
    pub fn measure(&mut self, span: Duration, faults: &Faults) -> FleetCosts {
        self.reset_costs();
        let (began, end) = (self.now, self.now + span);
        let mut change_at = faults.change_interval.map(|interval| began + interval);
        let mut restart_at = faults.restart_interval.map(|interval| began + interval);
        let mut kill_at = faults.kill_leader_at.map(|at| began + at);
        // The times of the end and the start of the cut; the next one is the last.
        let mut cut_times =
            faults.cut_region.map(|(from, to)| [began + to, began + from].to_vec()).unwrap_or_default();
        while self.now < end {
            let next =
                [change_at, restart_at, kill_at, cut_times.last().copied()].into_iter().flatten().min();
            self.run_until(next.unwrap_or(end).min(end));
            if let Some(at) = change_at.filter(|at| *at <= self.now) {
                self.propose_random_change();
                change_at = faults.change_interval.map(|interval| at + interval);
            }
            if let Some(at) = restart_at.filter(|at| *at <= self.now) {
                let id = self.random_running_planner();
                self.restart(id);
                restart_at = faults.restart_interval.map(|interval| at + interval);
            }
            if kill_at.is_some_and(|at| at <= self.now) {
                kill_at = None;
                self.kill_leader();
            }
            if cut_times.last().is_some_and(|at| *at <= self.now) {
                cut_times.pop();
                self.region_cut = !cut_times.is_empty();
            }
        }
        self.collect_costs(began)
    }

    /// Sets all counters to zero.
    fn reset_costs(&mut self) {
        self.costs = FleetCosts::default();
        self.proposed_at.clear();
        for node in self.nodes.values_mut() {
            node.collect_processor_time();
            node.processor.clear();
            (node.traffic, node.codec) = (Traffic::default(), Duration::ZERO);
        }
    }

    /// Returns the costs since `began`, when the counters were reset.
    fn collect_costs(&mut self, began: Duration) -> FleetCosts {
        let mut costs = std::mem::take(&mut self.costs);
        costs.measured = self.now - began;
        costs.undecided = self.proposed_at.len();
        costs.activation_times.sort();
        for node in self.nodes.values_mut() {
            node.collect_processor_time();
            let node_processor: Duration = node.processor.values().sum::<Duration>() + node.codec;
            costs.max_processor = costs.max_processor.max(node_processor);
            costs.codec += node.codec;
            for (component, took) in &node.processor {
                *costs.processor.entry(*component).or_default() += *took;
            }
            for (class, packets) in &node.traffic.sent {
                let sum = costs.sent.entry(*class).or_default();
                (sum.count, sum.bytes) = (sum.count + packets.count, sum.bytes + packets.bytes);
            }
            costs.max_bytes_sent = costs.max_bytes_sent.max(Traffic::total(&node.traffic.sent).bytes);
        }
        costs
    }

    /// Draws a planner that runs.
    fn random_running_planner(&mut self) -> MemberId {
        let running: Vec<MemberId> =
            self.nodes.iter().filter(|(_, n)| n.planner.is_some()).map(|(id, _)| *id).collect();
        running[self.rng.random_range(0..running.len())]
    }

    /// Proposes a random change at a random planner.
    fn propose_random_change(&mut self) {
        let id = self.random_running_planner();
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

    /// Stops a planner, drops its writes that are not durable, and schedules its start.
    fn restart(&mut self, id: MemberId) {
        self.costs.restarts += 1;
        if let Some(node) = self.nodes.get_mut(&id) {
            node.collect_processor_time();
            (node.planner, node.timer_at) = (None, Duration::MAX);
            node.waiting_writes.clear();
        }
        // A restarted planner doesn't know its earlier proposals, which are never decided there.
        self.proposed_at.retain(|(proposer, _), _| *proposer != id);
        self.schedule(self.now + RESTART_TIME, Event::Start(id));
    }

    /// Restarts the first planner that leads.
    fn kill_leader(&mut self) {
        let is_leader = |n: &Node| n.planner.as_ref().is_some_and(Planner::is_leader);
        if let Some(id) = self.nodes.iter().find(|(_, n)| is_leader(n)).map(|(id, _)| *id) {
            self.restart(id);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    /// Handles all events up to `end` and sets the clock to it.
    fn run_until(&mut self, end: Duration) {
        while let Some((at, _)) =
            self.events.first_key_value().map(|(key, _)| *key).filter(|key| key.0 <= end)
        {
            self.now = self.now.max(at);
            if let Some((_, event)) = self.events.pop_first() {
                self.handle_event(event);
            }
        }
        self.now = self.now.max(end);
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Packet { to, from, bytes } => {
                let (packet, took) = timed(|| postcard::from_bytes::<Packet>(&bytes));
                let Some(node) = self.nodes.get_mut(&to).filter(|n| n.planner.is_some()) else { return };
                node.codec += took;
                if let Ok(packet) = packet {
                    node.traffic.received.entry(TrafficClass::of(&packet)).or_default().add(bytes.len());
                    self.call_planner(to, |planner| planner.packet_received(now, from, packet));
                }
            }
            Event::Synced { planner, start, written } => self.write_synced(planner, start, *written),
            Event::Timer(id) => {
                if self.nodes.get(&id).is_some_and(|n| n.timer_at <= now) {
                    self.call_planner(id, |planner| planner.timer_fired(now));
                }
            }
            Event::Start(id) => self.start_planner(id),
        }
    }

    fn start_planner(&mut self, id: MemberId) {
        let (now, seed) = (self.now, self.rng.random());
        let Some(node) = self.nodes.get_mut(&id) else { return };
        node.disk.starts += 1;
        node.planner = Some(Planner::start(&node.disk, &self.settings.timing, seed, now));
        self.call_planner(id, |_| ());
    }

    /// Applies a durable write to the disk and starts the waiting write of the same file. Ignores writes of an earlier start.
    fn write_synced(&mut self, id: MemberId, start: u32, written: DiskWrite) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&id).filter(|n| n.disk.starts == start && n.planner.is_some())
        else {
            return;
        };
        *self.costs.syncs.entry(written.component()).or_default() += 1;
        node.disk.apply(written.clone());
        let next = node.waiting_writes.insert(written.component(), None).flatten();
        match next {
            Some(next) => {
                self.schedule(now + SYNC_TIME, Event::Synced { planner: id, start, written: Box::new(next) })
            }
            None => drop(node.waiting_writes.remove(&written.component())),
        }
        self.call_planner(id, |planner| planner.write_completed(now, &written));
    }

    /// Calls a running planner, performs its sends and writes, and schedules its timer.
    fn call_planner<T>(&mut self, id: MemberId, call: impl FnOnce(&mut Planner) -> T) -> Option<T> {
        let planner = self.nodes.get_mut(&id)?.planner.as_mut()?;
        let result = call(planner);
        let (outbox, due) = (planner.take_outbox(), planner.next_deadline());
        self.process_outbox(id, outbox);
        let at = due.max(self.now + MIN_TIMER_DELAY);
        if let Some(node) = self.nodes.get_mut(&id)
            && node.timer_at != at
            && due != Duration::MAX
        {
            node.timer_at = at;
            self.schedule(at, Event::Timer(id));
        }
        Some(result)
    }

    /// Performs the sends and writes of a planner and counts its decided proposals.
    fn process_outbox(&mut self, id: MemberId, outbox: Outbox) {
        for (to, packet) in outbox.packets {
            self.send(id, to, &packet);
        }
        for written in outbox.writes {
            self.write(id, written);
        }
        for (proposal, outcome) in outbox.decided {
            if let Some(at) = self.proposed_at.remove(&(id, proposal)) {
                match outcome {
                    ProposalOutcome::Activated(_) => self.costs.activation_times.push(self.now - at),
                    ProposalOutcome::Rejected(_) => self.costs.rejected += 1,
                }
            }
        }
    }

    /// Encodes, counts and schedules a packet. A cut between the regions drops the packet after it is counted.
    fn send(&mut self, from: MemberId, to: MemberId, packet: &Packet) {
        let (bytes, took) = timed(|| postcard::to_stdvec(packet).unwrap_or_default());
        let Some(zone) = self.nodes.get(&to).map(|n| n.zone) else { return };
        let Some(node) = self.nodes.get_mut(&from) else { return };
        node.codec += took;
        node.traffic.sent.entry(TrafficClass::of(packet)).or_default().add(bytes.len());
        let topology = &self.settings.topology;
        let crosses_cut = (topology.region(node.zone) == 0) != (topology.region(zone) == 0);
        if self.region_cut && crosses_cut {
            return;
        }
        let delay = self.settings.links.delay(topology, &mut self.rng, node.zone, zone);
        self.schedule(self.now + delay, Event::Packet { to, from, bytes });
    }

    /// Starts a write to disk. A write of a file that is being written waits; it replaces a waiting one, or is merged into it.
    fn write(&mut self, id: MemberId, written: DiskWrite) {
        let at = self.now + SYNC_TIME;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let component = written.component();
        if let Some(waiting) = node.waiting_writes.get_mut(&component) {
            match (waiting.as_mut(), written) {
                (
                    Some(DiskWrite::RegisterEntries(entries, revision)),
                    DiskWrite::RegisterEntries(newer_entries, newer_revision),
                ) => {
                    entries.extend(newer_entries);
                    *revision = newer_revision;
                }
                (_, written) => *waiting = Some(written),
            }
            return;
        }
        node.waiting_writes.insert(component, None);
        let start = node.disk.starts;
        self.schedule(at, Event::Synced { planner: id, start, written: Box::new(written) });
    }

    /// Returns the number of configuration versions whose committed content differs between planners; any but zero is a fault
    /// of the consensus.
    pub fn conflicting_versions(&self) -> usize {
        let mut contents: BTreeMap<u64, BTreeSet<[u8; 32]>> = BTreeMap::new();
        for planner in self.nodes.values().filter_map(|n| n.planner.as_ref()) {
            let version = planner.configuration().committed.id();
            contents.entry(version.number).or_default().insert(version.hash.0);
        }
        contents.values().filter(|hashes| hashes.len() > 1).count()
    }
}
