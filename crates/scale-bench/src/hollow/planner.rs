//! One hollow planner: three state machines, joined as `grebespool-cluster` joins them on sockets.

use crate::resources::timed;
use grebespool_cluster::transport::Packet;
use grebespool_config_consensus as consensus;
use grebespool_leader_election::{self as election, MemberId, Voter};
use grebespool_singleton_tasks::{
    self as tasks, FencingToken, LeaseLossReason, RegisterEntry, Rows, StepRecord, StoredTasks, Tally,
    TaskId, TaskManager, TaskManagerConfig, TaskSet,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The only singleton task of a hollow planner: it owns the journal of configuration versions.
const CONFIGURATION: TaskId = 0;
const TASK_SET: TaskSet = TaskSet { digest: 7, count: 1 };

/// The three state machines of a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    /// Who leads.
    Election,
    /// Which planner does which task.
    Tasks,
    /// What configuration is in force.
    Consensus,
}

impl Component {
    /// As it is written in tables.
    pub fn name(self) -> &'static str {
        match self {
            Component::Election => "election",
            Component::Tasks => "tasks",
            Component::Consensus => "consensus",
        }
    }
}

/// Something that a disk has written, to be told to the planner that asked for it.
#[derive(Debug, Clone)]
pub enum Written {
    /// The state of the election.
    Election(election::HardState),
    /// Cells of the journal, and the stamp of the last.
    Cells(BTreeMap<TaskId, RegisterEntry>, u64),
    /// The configuration that is held, and its stamp.
    Configuration(Box<consensus::StoredState>, u64),
}

impl Written {
    /// Whose file it is.
    pub fn component(&self) -> Component {
        match self {
            Written::Election(_) => Component::Election,
            Written::Cells(..) => Component::Tasks,
            Written::Configuration(..) => Component::Consensus,
        }
    }
}

/// What a planner asked for while it was called.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Packets, and for whom.
    pub packets: Vec<(MemberId, Packet)>,
    /// What is to be written; the newest of a file replaces one that has not begun.
    pub writes: Vec<Written>,
    /// Proposals that were answered.
    pub answered: Vec<(consensus::ProposalId, consensus::ProposalOutcome)>,
}

#[derive(Debug, Default)]
struct Asked {
    outbox: Outbox,
    cells: BTreeMap<TaskId, RegisterEntry>,
    cells_stamp: u64,
    /// Journal steps that became durable, and whether each is the first of an ownership.
    durable: Vec<(FencingToken, Option<StepRecord>, bool)>,
    lost: bool,
    fix: Option<(FencingToken, Vec<u8>)>,
    end: bool,
    may_write: bool,
    copied: bool,
}

/// Keeps what the state machines ask of their host.
#[derive(Debug, Default)]
pub struct Host(Asked);

impl election::Host for Host {
    fn persist(&mut self, kept: &election::HardState) {
        self.0.outbox.writes.push(Written::Election(kept.clone()));
    }
    fn send(&mut self, to: MemberId, word: election::Message) {
        self.0.outbox.packets.push((to, Packet::Election(word)));
    }
    fn become_leader(&mut self, _: u64) {}
    fn step_down(&mut self, _: u64, _: election::StepDownReason) {}
    fn log(&mut self, _: election::ElectionEvent) {}
}

impl tasks::Host for Host {
    fn send(&mut self, to: MemberId, word: tasks::Message) {
        self.0.outbox.packets.push((to, Packet::Task(word)));
    }
    fn persist(&mut self, duty: TaskId, cell: &RegisterEntry, stamp: u64) {
        self.0.cells.insert(duty, cell.clone());
        self.0.cells_stamp = stamp;
    }
    fn copy_completed(&mut self) {
        self.0.copied = true;
    }
    fn lease_acquired(&mut self, _: TaskId, _: FencingToken) {}
    fn lease_lost(&mut self, _: TaskId, _: FencingToken, _: LeaseLossReason) {
        self.0.may_write = false;
        self.0.lost = true;
    }
    fn ready(&mut self, _: TaskId, token: FencingToken, last: Option<&StepRecord>) {
        self.0.may_write = true;
        self.0.durable.push((token, last.cloned(), true));
    }
    fn step_durable(&mut self, _: TaskId, token: FencingToken, record: &StepRecord) {
        self.0.may_write = true;
        self.0.durable.push((token, Some(record.clone()), false));
    }
    fn counts_received(&mut self, _: MemberId, _: Vec<(u64, Rows)>) {}
    fn log(&mut self, _: tasks::TaskEvent) {}
}

impl consensus::Host for Host {
    fn send(&mut self, to: MemberId, message: consensus::Message) {
        self.0.outbox.packets.push((to, Packet::Configuration(message)));
    }
    fn persist(&mut self, state: &consensus::StoredState, stamp: u64) {
        self.0.outbox.writes.push(Written::Configuration(Box::new(state.clone()), stamp));
    }
    fn write_journal(&mut self, token: FencingToken, content: Vec<u8>) {
        self.0.fix = Some((token, content));
    }
    fn finish_journal_step(&mut self, _: FencingToken) {
        self.0.end = true;
    }
    fn active_versions_changed(&mut self, _: consensus::ActiveVersions) {}
    fn proposal_decided(&mut self, id: consensus::ProposalId, outcome: consensus::ProposalOutcome) {
        self.0.outbox.answered.push((id, outcome));
    }
    fn log(&mut self, _: &consensus::Event) {}
}

/// The lease and heartbeat settings of all members, by default those that the program states as defaults.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Of the leader election.
    pub election: election::LeaseParameters,
    /// Of singleton tasks.
    pub tasks: tasks::TaskLeaseParameters,
    /// Of configuration versions.
    pub consensus: consensus::ConsensusSettings,
}

impl Default for Timing {
    fn default() -> Self {
        let (ms, drift) = (Duration::from_millis, 0.01);
        Timing {
            election: election::LeaseParameters {
                heartbeat_interval: ms(250),
                lease: ms(1500),
                clock_drift: drift,
            },
            tasks: tasks::TaskLeaseParameters {
                lease: ms(5000),
                renew_interval: ms(1000),
                clock_drift: drift,
            },
            consensus: consensus::ConsensusSettings {
                lease: consensus::LeaseParameters {
                    duration: ms(3000),
                    renew_interval: ms(500),
                    clock_drift: drift,
                },
                validation: consensus::ValidationRules {
                    max_withdrawn_share: 0.5,
                    known_limits: grebespool_cluster::LIMITS.to_vec(),
                },
            },
        }
    }
}

/// What a planner's disk holds.
#[derive(Debug, Clone)]
pub struct Disk {
    pub(crate) election: election::HardState,
    pub(crate) cells: BTreeMap<TaskId, RegisterEntry>,
    pub(crate) configuration: consensus::StoredState,
    pub(crate) starts: u32,
}

impl Disk {
    /// Of a planner that has never run.
    pub fn new(id: MemberId, seats: &BTreeMap<MemberId, Voter>) -> Disk {
        let roster =
            election::Membership { version: election::MembershipVersion::default(), voters: seats.clone() };
        let election =
            election::HardState { id, fleet: 1, term: 0, voted_for: None, membership: roster, revision: 0 };
        Disk { election, cells: BTreeMap::new(), configuration: consensus::StoredState::default(), starts: 0 }
    }

    pub(crate) fn take(&mut self, written: Written) {
        match written {
            Written::Election(kept) => self.election = kept,
            Written::Cells(cells, _) => self.cells.extend(cells),
            Written::Configuration(kept, _) => self.configuration = *kept,
        }
    }
}

/// One call of a state machine; boxed, since calls of one lead to calls of another.
type Call<'a, T> = Box<dyn FnOnce(&mut T) + 'a>;

/// A hollow planner.
pub struct Planner {
    election: election::Member<Host>,
    tasks: TaskManager<Host>,
    consensus: consensus::ConsensusNode<Host>,
    may_write: bool,
    outbox: Outbox,
    /// Processor time of each state machine since the start.
    pub processor: BTreeMap<Component, Duration>,
}

impl Planner {
    /// Starts from what the disk has, with the clock at `now`.
    pub fn start(disk: &Disk, timing: &Timing, seed: u64, now: Duration) -> Planner {
        let id = disk.election.id;
        let election =
            election::Member::new(Host::default(), disk.election.clone(), timing.election, seed, now);
        let cells = disk.cells.clone();
        let tasks = TaskManager::new(
            Host::default(),
            TaskManagerConfig {
                own_id: id,
                parameters: timing.tasks,
                task_set: TASK_SET,
                restarts: disk.starts,
            },
            StoredTasks { entries: cells, is_copied: true, tally: Tally::default() },
        );
        let configuration = disk.configuration.clone();
        let consensus = consensus::ConsensusNode::new(
            Host::default(),
            id,
            timing.consensus.clone(),
            configuration,
            disk.starts,
        );
        let mut planner = Planner {
            election,
            tasks,
            consensus,
            may_write: false,
            outbox: Outbox::default(),
            processor: BTreeMap::new(),
        };
        planner.place(now);
        planner
    }

    /// What was asked for since this was called last.
    pub fn take_outbox(&mut self) -> Outbox {
        std::mem::take(&mut self.outbox)
    }

    /// When [`Planner::woken`] is to be called next.
    pub fn due(&self) -> Duration {
        self.election.next_deadline().min(self.tasks.next_deadline()).min(self.consensus.next_timer())
    }

    /// Time has passed.
    pub fn woken(&mut self, now: Duration) {
        if now >= self.election.next_deadline() {
            self.call_election(now, |member| member.timer_fired(now));
        }
        if now >= self.tasks.next_deadline() {
            self.call_tasks(now, Box::new(|tasks| tasks.timer_fired(now)));
        }
        if now >= self.consensus.next_timer() {
            self.call_consensus(now, Box::new(|node| node.timer_fired(now)));
        }
    }

    /// A packet came from another planner.
    pub fn heard(&mut self, now: Duration, from: MemberId, packet: Packet) {
        match packet {
            Packet::Election(word) => self.call_election(now, |member| member.receive(now, from, word)),
            Packet::Task(word) => self.call_tasks(now, Box::new(|tasks| tasks.receive(now, from, word))),
            Packet::Configuration(message) => {
                self.call_consensus(now, Box::new(|node| node.message_received(now, from, message)))
            }
            _ => {}
        }
    }

    /// The disk has written something that was asked for.
    pub fn written(&mut self, now: Duration, written: &Written) {
        match written {
            Written::Election(kept) => self.call_election(now, |member| member.persisted(now, kept.revision)),
            Written::Cells(_, stamp) => self.call_tasks(now, Box::new(|tasks| tasks.persisted(now, *stamp))),
            Written::Configuration(_, stamp) => {
                self.call_consensus(now, Box::new(|node| node.persisted(now, *stamp)))
            }
        }
    }

    /// Proposes a change of the configuration. Refused where too many wait.
    pub fn propose(
        &mut self,
        now: Duration,
        changes: Vec<consensus::Change>,
    ) -> Option<consensus::ProposalId> {
        let mut id = None;
        self.call_consensus(now, Box::new(|node| id = node.propose(now, changes, false).ok()));
        id
    }

    /// Whether this planner leads.
    pub fn leads(&self) -> bool {
        self.election.is_leader()
    }

    /// By which configuration it may act.
    pub fn acts(&self, now: Duration) -> consensus::ActiveVersions {
        self.consensus.active_versions(now)
    }

    /// The configuration that it holds.
    pub fn configuration(&self) -> &consensus::StoredState {
        self.consensus.state()
    }

    fn charge(&mut self, component: Component, took: Duration) {
        *self.processor.entry(component).or_default() += took;
    }

    fn call_election(&mut self, now: Duration, what: impl FnOnce(&mut election::Member<Host>)) {
        let ((), took) = timed(|| what(&mut self.election));
        self.charge(Component::Election, took);
        let asked = std::mem::take(&mut self.election.host().0);
        self.take_asked(asked.outbox);
        self.place(now);
    }

    /// Tells the other state machines who takes part and who leads, after every call of the election.
    fn place(&mut self, now: Duration) {
        let (seats, took) = timed(|| {
            let kept = self.election.hard_state();
            kept.membership.voters.keys().copied().collect::<Vec<MemberId>>()
        });
        self.charge(Component::Election, took);
        let leader = self.election.leader().map(|id| tasks::Leader { term: self.election.term(), id });
        let until = self.election.lease_expires_at();
        let taking_part = seats.clone();
        self.call_tasks(
            now,
            Box::new(|manager| {
                manager.election_changed(
                    now,
                    tasks::ElectionState { members: seats, leader, lease_expires_at: until },
                )
            }),
        );
        self.call_consensus(now, Box::new(|node| node.set_voters(now, taking_part)));
    }

    fn call_tasks(&mut self, now: Duration, what: Call<'_, TaskManager<Host>>) {
        self.tasks.host().0.may_write = self.may_write;
        let ((), took) = timed(|| what(&mut self.tasks));
        self.charge(Component::Tasks, took);
        let mut asked = std::mem::take(&mut self.tasks.host().0);
        self.may_write = asked.may_write;
        if !asked.cells.is_empty() || asked.copied {
            let cells = std::mem::take(&mut asked.cells);
            asked.outbox.writes.push(Written::Cells(cells, asked.cells_stamp));
        }
        self.take_asked(asked.outbox);
        if asked.lost {
            self.call_consensus(now, Box::new(|node| node.stop_coordinating(now)));
        }
        for (token, record, first) in asked.durable {
            let tell = |member: &mut consensus::ConsensusNode<Host>| match &record {
                last if first => member.start_coordinating(now, token, last.as_ref()),
                Some(record) if record.completed => member.journal_step_finished(now, token),
                _ => member.journal_durable(now, token),
            };
            self.call_consensus(now, Box::new(tell));
        }
    }

    fn call_consensus(&mut self, now: Duration, what: Call<'_, consensus::ConsensusNode<Host>>) {
        let owned = self.tasks.current_token(now, CONFIGURATION);
        let ((), took) = timed(|| {
            self.consensus.set_journal_token(owned);
            what(&mut self.consensus);
        });
        self.charge(Component::Consensus, took);
        let asked = std::mem::take(&mut self.consensus.host().0);
        self.take_asked(asked.outbox);
        if let Some((token, content)) = asked.fix {
            let begun = self.journal(now, |tasks| tasks.begin_step(now, CONFIGURATION, content));
            if !begun {
                self.call_consensus(now, Box::new(|member| member.journal_write_rejected(now, token)));
            }
        }
        if asked.end {
            self.journal(now, |tasks| tasks.complete_step(now, CONFIGURATION));
        }
    }

    /// Writes a step of the journal, where the step before it is durable.
    fn journal(&mut self, now: Duration, what: impl FnOnce(&mut TaskManager<Host>) -> bool) -> bool {
        if !std::mem::take(&mut self.may_write) {
            return false;
        }
        let mut written = false;
        self.call_tasks(now, Box::new(|tasks| written = what(tasks)));
        self.may_write |= !written;
        written
    }

    fn take_asked(&mut self, asked: Outbox) {
        self.outbox.packets.extend(asked.packets);
        self.outbox.writes.extend(asked.writes);
        self.outbox.answered.extend(asked.answered);
    }
}
