//! A hollow planner: three state machines, connected as `grebespool-cluster` connects them on sockets.

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
const JOURNAL_TASK: TaskId = 0;
/// The task set of all hollow planners; its digest only has to be equal at all of them.
const TASK_SET: TaskSet = TaskSet { digest: 7, count: 1 };

/// The three state machines of a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    /// The leader election.
    Election,
    /// The leases and the journal of singleton tasks.
    Tasks,
    /// The consensus on the active configuration version.
    Consensus,
}

impl Component {
    /// Returns the name of the state machine in `samples.csv`.
    pub fn name(self) -> &'static str {
        match self {
            Component::Election => "election",
            Component::Tasks => "tasks",
            Component::Consensus => "consensus",
        }
    }
}

/// A write to a disk, which is reported to the planner once it is durable.
#[derive(Debug, Clone)]
pub enum DiskWrite {
    /// The state of the leader election.
    Election(election::HardState),
    /// Changed register entries of the journal, and the revision of the last one.
    RegisterEntries(BTreeMap<TaskId, RegisterEntry>, u64),
    /// The state of the configuration consensus, and its stamp.
    Configuration(Box<consensus::StoredState>, u64),
}

impl DiskWrite {
    /// Returns the state machine whose file is written.
    pub fn component(&self) -> Component {
        match self {
            DiskWrite::Election(_) => Component::Election,
            DiskWrite::RegisterEntries(..) => Component::Tasks,
            DiskWrite::Configuration(..) => Component::Consensus,
        }
    }
}

/// The sends, writes and decisions of a planner since [`Planner::take_outbox`] was called last.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Packets to send with their receivers.
    pub packets: Vec<(MemberId, Packet)>,
    /// Writes to disk; a newer write of a file replaces one that has not started.
    pub writes: Vec<DiskWrite>,
    /// Decided proposals with their outcomes.
    pub decided: Vec<(consensus::ProposalId, consensus::ProposalOutcome)>,
}

/// The requests of one state machine to its host during one call.
#[derive(Debug, Default)]
struct HostRequests {
    outbox: Outbox,
    entries: BTreeMap<TaskId, RegisterEntry>,
    entries_revision: u64,
    /// Durable journal steps; the flag is true for the last step of an earlier owner, with which an ownership starts.
    durable_steps: Vec<(FencingToken, Option<StepRecord>, bool)>,
    lease_lost: bool,
    journal_write: Option<(FencingToken, Vec<u8>)>,
    finish_journal_step: bool,
    may_write_journal: bool,
    copy_completed: bool,
}

/// The host of the state machines; records their requests until the planner takes them.
#[derive(Debug, Default)]
pub struct Host(HostRequests);

impl election::Host for Host {
    fn persist(&mut self, state: &election::HardState) {
        self.0.outbox.writes.push(DiskWrite::Election(state.clone()));
    }
    fn send(&mut self, to: MemberId, message: election::Message) {
        self.0.outbox.packets.push((to, Packet::Election(message)));
    }
    fn become_leader(&mut self, _: u64) {}
    fn step_down(&mut self, _: u64, _: election::StepDownReason) {}
    fn log(&mut self, _: election::ElectionEvent) {}
}

impl tasks::Host for Host {
    fn send(&mut self, to: MemberId, message: tasks::Message) {
        self.0.outbox.packets.push((to, Packet::Task(message)));
    }
    fn persist(&mut self, task: TaskId, entry: &RegisterEntry, revision: u64) {
        self.0.entries.insert(task, entry.clone());
        self.0.entries_revision = revision;
    }
    fn copy_completed(&mut self) {
        self.0.copy_completed = true;
    }
    fn lease_acquired(&mut self, _: TaskId, _: FencingToken) {}
    fn lease_lost(&mut self, _: TaskId, _: FencingToken, _: LeaseLossReason) {
        self.0.may_write_journal = false;
        self.0.lease_lost = true;
    }
    fn ready(&mut self, _: TaskId, token: FencingToken, last: Option<&StepRecord>) {
        self.0.may_write_journal = true;
        self.0.durable_steps.push((token, last.cloned(), true));
    }
    fn step_durable(&mut self, _: TaskId, token: FencingToken, record: &StepRecord) {
        self.0.may_write_journal = true;
        self.0.durable_steps.push((token, Some(record.clone()), false));
    }
    fn counts_received(&mut self, _: MemberId, _: Vec<(u64, Rows)>) {}
    fn log(&mut self, _: tasks::TaskEvent) {}
}

impl consensus::Host for Host {
    fn send(&mut self, to: MemberId, message: consensus::Message) {
        self.0.outbox.packets.push((to, Packet::Configuration(message)));
    }
    fn persist(&mut self, state: &consensus::StoredState, stamp: u64) {
        self.0.outbox.writes.push(DiskWrite::Configuration(Box::new(state.clone()), stamp));
    }
    fn write_journal(&mut self, token: FencingToken, content: Vec<u8>) {
        self.0.journal_write = Some((token, content));
    }
    fn finish_journal_step(&mut self, _: FencingToken) {
        self.0.finish_journal_step = true;
    }
    fn active_versions_changed(&mut self, _: consensus::ActiveVersions) {}
    fn proposal_decided(&mut self, id: consensus::ProposalId, outcome: consensus::ProposalOutcome) {
        self.0.outbox.decided.push((id, outcome));
    }
    fn log(&mut self, _: &consensus::Event) {}
}

/// The lease and heartbeat settings of all members; the default values are those of the program.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Settings of the leader election.
    pub election: election::LeaseParameters,
    /// Settings of singleton tasks.
    pub tasks: tasks::TaskLeaseParameters,
    /// Settings of the configuration consensus.
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

/// The durable state of a planner, which survives its restarts.
#[derive(Debug, Clone)]
pub struct Disk {
    pub(crate) election: election::HardState,
    pub(crate) entries: BTreeMap<TaskId, RegisterEntry>,
    pub(crate) configuration: consensus::StoredState,
    /// Number of starts of the planner.
    pub(crate) starts: u32,
}

impl Disk {
    /// Creates the disk of a planner that has never run.
    pub fn new(id: MemberId, voters: &BTreeMap<MemberId, Voter>) -> Disk {
        let membership =
            election::Membership { version: election::MembershipVersion::default(), voters: voters.clone() };
        let election =
            election::HardState { id, fleet: 1, term: 0, voted_for: None, membership, revision: 0 };
        Disk {
            election,
            entries: BTreeMap::new(),
            configuration: consensus::StoredState::default(),
            starts: 0,
        }
    }

    /// Applies a durable write.
    pub(crate) fn apply(&mut self, written: DiskWrite) {
        match written {
            DiskWrite::Election(state) => self.election = state,
            DiskWrite::RegisterEntries(entries, _) => self.entries.extend(entries),
            DiskWrite::Configuration(state, _) => self.configuration = *state,
        }
    }
}

/// One call of a state machine; boxed, because calls of the state machines call one another recursively.
type Call<'a, T> = Box<dyn FnOnce(&mut T) + 'a>;

/// A hollow planner: the state machines of a planner without sockets, disks and proxies.
pub struct Planner {
    election: election::Member<Host>,
    tasks: TaskManager<Host>,
    consensus: consensus::ConsensusNode<Host>,
    /// True if this planner owns the journal and the last step of the journal is durable.
    may_write_journal: bool,
    outbox: Outbox,
    /// Processor time of each state machine since the start of the planner.
    pub processor: BTreeMap<Component, Duration>,
}

impl Planner {
    /// Starts a planner with the state of the disk.
    pub fn start(disk: &Disk, timing: &Timing, seed: u64, now: Duration) -> Planner {
        let id = disk.election.id;
        let election =
            election::Member::new(Host::default(), disk.election.clone(), timing.election, seed, now);
        let entries = disk.entries.clone();
        let tasks = TaskManager::new(
            Host::default(),
            TaskManagerConfig {
                own_id: id,
                parameters: timing.tasks,
                task_set: TASK_SET,
                restarts: disk.starts,
            },
            StoredTasks { entries, is_copied: true, tally: Tally::default() },
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
            may_write_journal: false,
            outbox: Outbox::default(),
            processor: BTreeMap::new(),
        };
        planner.propagate_election(now);
        planner
    }

    /// Returns the sends, writes and decisions since the last call of this function.
    pub fn take_outbox(&mut self) -> Outbox {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the time at which [`Planner::timer_fired`] is to be called next.
    pub fn next_deadline(&self) -> Duration {
        self.election.next_deadline().min(self.tasks.next_deadline()).min(self.consensus.next_timer())
    }

    /// Calls the state machines whose deadlines are reached.
    pub fn timer_fired(&mut self, now: Duration) {
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

    /// Handles a packet from another planner.
    pub fn packet_received(&mut self, now: Duration, from: MemberId, packet: Packet) {
        match packet {
            Packet::Election(message) => self.call_election(now, |member| member.receive(now, from, message)),
            Packet::Task(message) => {
                self.call_tasks(now, Box::new(|tasks| tasks.receive(now, from, message)))
            }
            Packet::Configuration(message) => {
                self.call_consensus(now, Box::new(|node| node.message_received(now, from, message)))
            }
            _ => {}
        }
    }

    /// Handles that a write to disk is durable.
    pub fn write_completed(&mut self, now: Duration, written: &DiskWrite) {
        match written {
            DiskWrite::Election(state) => {
                self.call_election(now, |member| member.persisted(now, state.revision))
            }
            DiskWrite::RegisterEntries(_, revision) => {
                self.call_tasks(now, Box::new(|tasks| tasks.persisted(now, *revision)))
            }
            DiskWrite::Configuration(_, stamp) => {
                self.call_consensus(now, Box::new(|node| node.persisted(now, *stamp)))
            }
        }
    }

    /// Proposes configuration changes. Returns `None` if too many proposals wait.
    pub fn propose(
        &mut self,
        now: Duration,
        changes: Vec<consensus::Change>,
    ) -> Option<consensus::ProposalId> {
        let mut id = None;
        self.call_consensus(now, Box::new(|node| id = node.propose(now, changes, false).ok()));
        id
    }

    /// Returns true if this planner leads.
    pub fn is_leader(&self) -> bool {
        self.election.is_leader()
    }

    /// Returns the active configuration versions at `now`.
    pub fn active_versions(&self, now: Duration) -> consensus::ActiveVersions {
        self.consensus.active_versions(now)
    }

    /// Returns the state of the configuration consensus.
    pub fn configuration(&self) -> &consensus::StoredState {
        self.consensus.state()
    }

    /// Adds processor time to the counter of a state machine.
    fn add_processor_time(&mut self, component: Component, took: Duration) {
        *self.processor.entry(component).or_default() += took;
    }

    /// Calls the leader election, and reports its state to the other state machines.
    fn call_election(&mut self, now: Duration, call: impl FnOnce(&mut election::Member<Host>)) {
        let ((), took) = timed(|| call(&mut self.election));
        self.add_processor_time(Component::Election, took);
        let requests = std::mem::take(&mut self.election.host().0);
        self.extend_outbox(requests.outbox);
        self.propagate_election(now);
    }

    /// Passes the voters and the leader of the election to the other state machines.
    fn propagate_election(&mut self, now: Duration) {
        let (voters, took) = timed(|| {
            let state = self.election.hard_state();
            state.membership.voters.keys().copied().collect::<Vec<MemberId>>()
        });
        self.add_processor_time(Component::Election, took);
        let leader = self.election.leader().map(|id| tasks::Leader { term: self.election.term(), id });
        let lease_expires_at = self.election.lease_expires_at();
        let consensus_voters = voters.clone();
        self.call_tasks(
            now,
            Box::new(|manager| {
                manager
                    .election_changed(now, tasks::ElectionState { members: voters, leader, lease_expires_at })
            }),
        );
        self.call_consensus(now, Box::new(|node| node.set_voters(now, consensus_voters)));
    }

    /// Calls the singleton tasks, and reports changes of the journal to the configuration consensus.
    fn call_tasks(&mut self, now: Duration, call: Call<'_, TaskManager<Host>>) {
        self.tasks.host().0.may_write_journal = self.may_write_journal;
        let ((), took) = timed(|| call(&mut self.tasks));
        self.add_processor_time(Component::Tasks, took);
        let mut requests = std::mem::take(&mut self.tasks.host().0);
        self.may_write_journal = requests.may_write_journal;
        if !requests.entries.is_empty() || requests.copy_completed {
            let entries = std::mem::take(&mut requests.entries);
            requests.outbox.writes.push(DiskWrite::RegisterEntries(entries, requests.entries_revision));
        }
        self.extend_outbox(requests.outbox);
        if requests.lease_lost {
            self.call_consensus(now, Box::new(|node| node.stop_coordinating(now)));
        }
        for (token, record, first) in requests.durable_steps {
            let notify = |node: &mut consensus::ConsensusNode<Host>| match &record {
                last if first => node.start_coordinating(now, token, last.as_ref()),
                Some(record) if record.completed => node.journal_step_finished(now, token),
                _ => node.journal_durable(now, token),
            };
            self.call_consensus(now, Box::new(notify));
        }
    }

    /// Calls the configuration consensus, and performs the journal writes that it requests.
    fn call_consensus(&mut self, now: Duration, call: Call<'_, consensus::ConsensusNode<Host>>) {
        let journal_token = self.tasks.current_token(now, JOURNAL_TASK);
        let ((), took) = timed(|| {
            self.consensus.set_journal_token(journal_token);
            call(&mut self.consensus);
        });
        self.add_processor_time(Component::Consensus, took);
        let requests = std::mem::take(&mut self.consensus.host().0);
        self.extend_outbox(requests.outbox);
        if let Some((token, content)) = requests.journal_write {
            let started = self.write_journal_step(now, |tasks| tasks.begin_step(now, JOURNAL_TASK, content));
            if !started {
                self.call_consensus(now, Box::new(|node| node.journal_write_rejected(now, token)));
            }
        }
        if requests.finish_journal_step {
            self.write_journal_step(now, |tasks| tasks.complete_step(now, JOURNAL_TASK));
        }
    }

    /// Writes a step of the journal if the step before is durable. Returns false if the step is not written.
    fn write_journal_step(
        &mut self,
        now: Duration,
        write: impl FnOnce(&mut TaskManager<Host>) -> bool,
    ) -> bool {
        if !std::mem::take(&mut self.may_write_journal) {
            return false;
        }
        let mut written = false;
        self.call_tasks(now, Box::new(|tasks| written = write(tasks)));
        self.may_write_journal |= !written;
        written
    }

    /// Appends the requests of one call to the outbox of the planner.
    fn extend_outbox(&mut self, requests: Outbox) {
        self.outbox.packets.extend(requests.packets);
        self.outbox.writes.extend(requests.writes);
        self.outbox.decided.extend(requests.decided);
    }
}
