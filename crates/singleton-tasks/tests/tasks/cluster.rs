//! A deterministic cluster: members with tasks, and a simulated network, disks and clocks that fail. The guarantees are
//! checked after each step. The cluster elects leaders itself, with the guarantee of `grebespool-leader-election`: the lease
//! of a former leader has expired before the next one leads.

use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

const TASK_SET: u64 = 7;

pub(crate) const S: fn(u64) -> Duration = Duration::from_secs;
pub(crate) const MS: fn(u64) -> Duration = Duration::from_millis;
pub(crate) const PARAMETERS: TaskLeaseParameters = TaskLeaseParameters {
    lease: Duration::from_millis(2400),
    renew_interval: Duration::from_millis(300),
    clock_drift: 0.05,
};
const LEADER_LEASE: Duration = Duration::from_millis(900);
const BETWEEN_STEPS: Duration = Duration::from_millis(40);

/// The target of a task's effects, with the token, the number and the content of each applied step.
#[derive(Default)]
pub(crate) struct Target {
    pub(crate) fence: Fence,
    pub(crate) applied_steps: Vec<(FencingToken, u64, Vec<u8>)>,
    pub(crate) rejected: usize,
}

/// The requests of a task manager to its host.
#[derive(Default)]
pub(crate) struct Requests {
    pub(crate) messages: Vec<(MemberId, Message)>,
    pub(crate) writes: Vec<(TaskId, RegisterEntry, u64)>,
    pub(crate) copied: bool,
    pub(crate) acquired: Vec<(TaskId, FencingToken)>,
    pub(crate) lost: Vec<(TaskId, FencingToken)>,
    /// The steps whose effect must take place now.
    pub(crate) effects: Vec<(TaskId, FencingToken, StepRecord)>,
    /// The tasks whose next step may begin, with the number of the last step.
    pub(crate) continuable: Vec<(TaskId, u64)>,
}

#[derive(Clone, Default)]
pub(crate) struct TestHost(pub(crate) Rc<RefCell<Requests>>);

impl Host for TestHost {
    fn send(&mut self, to: MemberId, message: Message) {
        self.0.borrow_mut().messages.push((to, message));
    }
    fn persist(&mut self, task: TaskId, entry: &RegisterEntry, revision: u64) {
        self.0.borrow_mut().writes.push((task, entry.clone(), revision));
    }
    fn copy_completed(&mut self) {
        self.0.borrow_mut().copied = true;
    }
    fn lease_acquired(&mut self, task: TaskId, token: FencingToken) {
        self.0.borrow_mut().acquired.push((task, token));
    }
    fn lease_lost(&mut self, task: TaskId, token: FencingToken, _: LeaseLossReason) {
        self.0.borrow_mut().lost.push((task, token));
    }
    fn ready(&mut self, task: TaskId, token: FencingToken, last: Option<&StepRecord>) {
        match last {
            Some(record) if !record.completed => self.step_durable(task, token, record),
            last => self.0.borrow_mut().continuable.push((task, last.map_or(0, |l| l.step))),
        }
    }
    fn step_durable(&mut self, task: TaskId, token: FencingToken, record: &StepRecord) {
        let mut requests = self.0.borrow_mut();
        if record.completed {
            requests.continuable.push((task, record.step));
        } else {
            requests.effects.push((task, token, record.clone()));
        }
    }
    fn counts_received(&mut self, _: MemberId, _: Vec<(u64, Rows)>) {}
    fn log(&mut self, _: TaskEvent) {}
}

/// A process with its clock and its disk.
pub(crate) struct Node {
    /// Unset while the process is not running.
    pub(crate) tasks: Option<TaskManager<TestHost>>,
    pub(crate) host: TestHost,
    pub(crate) disk: BTreeMap<TaskId, RegisterEntry>,
    pub(crate) copied: bool,
    pub(crate) restarts: u32,
    /// The writes in progress, each with the time at which it is durable.
    pub(crate) pending_writes: Vec<(Duration, (TaskId, RegisterEntry, u64))>,
    pub(crate) disk_delay: Duration,
    pub(crate) paused: bool,
    /// A true time, and what the node's clock shows at that time.
    pub(crate) clock_base: (Duration, Duration),
    /// The rate of the node's clock from then on, as a multiple of the true rate.
    pub(crate) clock_rate: f64,
    /// The times at which the node begins the next step of a task.
    pub(crate) scheduled: Vec<(Duration, TaskId)>,
}

impl Node {
    pub(crate) fn clock(&self, now: Duration) -> Duration {
        self.clock_base.1 + now.saturating_sub(self.clock_base.0).mul_f64(self.clock_rate)
    }
    /// Returns the true time at which the node's clock shows `clock_time`.
    pub(crate) fn real_time(&self, clock_time: Duration) -> Duration {
        if clock_time == Duration::MAX {
            clock_time
        } else {
            self.clock_base.0 + clock_time.saturating_sub(self.clock_base.1).div_f64(self.clock_rate)
        }
    }
}

#[derive(Clone)]
pub(crate) enum InFlight {
    /// A message, after its receiver and its sender.
    Message(MemberId, MemberId, Message),
    /// An effect on its way from a member to the target.
    Effect(MemberId, TaskId, FencingToken, StepRecord),
    /// The target's answer on its way back to the member.
    Answer(MemberId, TaskId, FencingToken, FenceDecision),
}

/// The guard that is removed, to show that its lack is detected.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum MissingGuard {
    None,
    /// The target applies every effect.
    Fence,
    /// Disks report writes as durable before they are.
    Disk,
    /// Clocks exceed the drift.
    Clocks,
    /// A member that was added answers before it has copied the others' entries.
    Copy,
}

pub(crate) struct Cluster {
    pub(crate) now: Duration,
    pub(crate) nodes: BTreeMap<MemberId, Node>,
    pub(crate) in_flight: BTreeMap<(Duration, u64), InFlight>,
    pub(crate) messages_sent: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    pub(crate) max_delay: Duration,
    /// The blocked links as (sender, receiver).
    pub(crate) blocked: BTreeSet<(MemberId, MemberId)>,
    pub(crate) missing_guard: MissingGuard,
    pub(crate) targets: BTreeMap<TaskId, Target>,
    /// The member that acquired each token.
    pub(crate) acquired: BTreeMap<(TaskId, FencingToken), MemberId>,
    /// The highest token acquired of each task.
    pub(crate) newest: BTreeMap<TaskId, FencingToken>,
    /// The term and the id of the leader.
    pub(crate) leader: Option<(u64, MemberId)>,
    pub(crate) term: u64,
    /// The expiry of the leader's lease by the cluster's time.
    pub(crate) lease_expires_at: Duration,
    /// The expiry of the leader's lease by the leader's clock, as last passed to the leader.
    pub(crate) own_lease_expires_at: Duration,
    pub(crate) members: Vec<MemberId>,
    /// The leader as known to each member.
    pub(crate) known_leader: BTreeMap<MemberId, Option<(u64, MemberId)>>,
    pub(crate) violations: Vec<String>,
    pub(crate) acquisitions: usize,
    pub(crate) tasks: usize,
    /// The members and revisions whose writes are reported as durable before they are.
    pub(crate) unwritten: Vec<(MemberId, u64)>,
}

impl Cluster {
    pub(crate) fn new(members: u64, tasks: usize, seed: u64, missing_guard: MissingGuard) -> Cluster {
        let mut cluster = Cluster {
            now: S(10),
            nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            messages_sent: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            max_delay: MS(20),
            blocked: BTreeSet::new(),
            missing_guard,
            targets: (0..tasks as TaskId).map(|task| (task, Target::default())).collect(),
            acquired: BTreeMap::new(),
            newest: BTreeMap::new(),
            leader: None,
            term: 0,
            lease_expires_at: Duration::ZERO,
            own_lease_expires_at: Duration::ZERO,
            members: (1..=members).collect(),
            known_leader: BTreeMap::new(),
            violations: vec![],
            acquisitions: 0,
            tasks,
            unwritten: vec![],
        };
        (1..=members).for_each(|id| cluster.add_node(id, true));
        cluster.elect(1);
        cluster
    }

    pub(crate) fn add_node(&mut self, id: MemberId, copied: bool) {
        let exceeds_drift = self.missing_guard == MissingGuard::Clocks;
        let clock_rate =
            if exceeds_drift { self.rng.random_range(0.4..1.0) } else { self.rng.random_range(0.951..1.049) };
        let node = Node {
            tasks: None,
            host: TestHost::default(),
            disk: BTreeMap::new(),
            copied: copied || self.missing_guard == MissingGuard::Copy,
            restarts: 0,
            pending_writes: vec![],
            disk_delay: MS(4),
            paused: false,
            clock_base: (self.now, MS(self.rng.random_range(0..5000))),
            clock_rate,
            scheduled: vec![],
        };
        self.nodes.insert(id, node);
        self.boot(id);
    }

    pub(crate) fn boot(&mut self, id: MemberId) {
        let tasks = self.tasks;
        let Some(node) = self.nodes.get_mut(&id) else { return };
        (node.host, node.pending_writes, node.scheduled, node.paused) =
            (TestHost::default(), vec![], vec![], false);
        node.restarts += 1;
        let config = config(id, tasks, node.restarts);
        let stored =
            StoredTasks { entries: node.disk.clone(), is_copied: node.copied, tally: Tally::default() };
        node.tasks = Some(TaskManager::new(node.host.clone(), config, stored));
        self.known_leader.insert(id, None);
        self.publish_election(id);
    }

    /// Stops the process; writes that are not durable are lost.
    pub(crate) fn crash(&mut self, id: MemberId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.tasks = None;
            node.pending_writes.clear();
        }
    }

    /// Passes the state of the election to a member, as its leader election would.
    pub(crate) fn publish_election(&mut self, id: MemberId) {
        let (known_leader, lease_expires_at) =
            (self.known_leader.get(&id).copied().flatten(), self.lease_expires_at);
        let members = self.members.clone();
        let Some(node) = self.nodes.get(&id) else { return };
        // By the member's own clock the lease expires no later than by the cluster's time.
        let own_expiry = node.clock(self.now)
            + lease_expires_at.saturating_sub(self.now).mul_f64(node.clock_rate.min(1.0));
        let lease_expires_at = if known_leader == self.leader && lease_expires_at > self.now {
            own_expiry
        } else {
            Duration::ZERO
        };
        if known_leader.is_some_and(|(_, leader)| leader == id) {
            self.own_lease_expires_at = lease_expires_at;
        }
        let leader = known_leader.map(|(term, id)| Leader { term, id });
        let election = ElectionState { members, leader, lease_expires_at };
        self.call(id, |tasks, now| tasks.election_changed(now, election));
    }

    pub(crate) fn elect(&mut self, id: MemberId) {
        self.term += 1;
        self.leader = Some((self.term, id));
        self.lease_expires_at = self.now + LEADER_LEASE;
        self.known_leader.insert(id, self.leader);
        self.publish_election(id);
    }

    /// Calls a task manager and executes its requests. Returns the result of the call; `None` if the process is not running.
    pub(crate) fn call<T>(
        &mut self,
        id: MemberId,
        operation: impl FnOnce(&mut TaskManager<TestHost>, Duration) -> T,
    ) -> Option<T> {
        let now = self.now;
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let result = operation(node.tasks.as_mut()?, clock);
        let requests = std::mem::take(&mut *node.host.0.borrow_mut());
        let mut newest_revision = None;
        for (i, (task, entry, revision)) in requests.writes.into_iter().enumerate() {
            let disk_idle_at = node.pending_writes.last().map_or(now, |w| w.0.max(now));
            node.pending_writes
                .push((disk_idle_at + node.disk_delay * (1 + u32::from(i == 0)), (task, entry, revision)));
            newest_revision = Some(revision);
        }
        node.copied |= requests.copied;
        for (task, _) in requests.continuable {
            node.scheduled.push((now + BETWEEN_STEPS, task));
        }
        for (task, token) in requests.acquired {
            self.acquisitions += 1;
            let first = *self.acquired.entry((task, token)).or_insert(id);
            if first != id {
                self.violations.push(format!("{token} of {task} has two holders"));
            }
            let newest = self.newest.entry(task).or_default();
            if token <= *newest && self.missing_guard != MissingGuard::Clocks {
                self.violations.push(format!("{token} of {task} was acquired after {newest}"));
            }
            *newest = token.max(*newest);
        }
        for (to, message) in requests.messages {
            self.send(id, to, message);
        }
        for (task, token, record) in requests.effects {
            self.start_effect(id, task, token, record);
        }
        self.unwritten.extend(
            newest_revision
                .filter(|_| self.missing_guard == MissingGuard::Disk)
                .map(|revision| (id, revision)),
        );
        Some(result)
    }

    /// Puts an item in flight with a random delay.
    pub(crate) fn send_later(&mut self, item: InFlight) {
        let delay = self.max_delay.mul_f64(self.rng.random_range(0.01..1.0));
        self.messages_sent += 1;
        self.in_flight.insert((self.now + delay, self.messages_sent), item);
    }

    pub(crate) fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.blocked.contains(&(from, to)) && !self.rng.random_bool(self.loss) {
                self.send_later(InFlight::Message(to, from, message.clone()));
            }
        }
    }

    /// Sends an effect to the target if the member's lease is valid at this moment. The effect may arrive after the lease has
    /// expired, as if it had waited in a buffer.
    pub(crate) fn start_effect(
        &mut self,
        id: MemberId,
        task: TaskId,
        token: FencingToken,
        record: StepRecord,
    ) {
        let node = &self.nodes[&id];
        let current_token =
            node.tasks.as_ref().and_then(|tasks| tasks.current_token(node.clock(self.now), task));
        if current_token == Some(token) {
            self.send_later(InFlight::Effect(id, task, token, record));
        }
    }

    /// Handles the arrival of an item. Items for a paused process are put in flight again.
    pub(crate) fn arrive(&mut self, item: InFlight, key: (Duration, u64)) {
        match item {
            InFlight::Message(to, from, message) => {
                if self.nodes.get(&to).is_some_and(|n| n.paused) {
                    self.in_flight.insert((self.now + MS(20), key.1), InFlight::Message(to, from, message));
                } else {
                    self.call(to, |tasks, now| tasks.receive(now, from, message));
                }
            }
            InFlight::Effect(id, task, token, record) => {
                let has_fence = self.missing_guard != MissingGuard::Fence;
                let target = self.targets.get_mut(&task).unwrap();
                let decision =
                    if has_fence { target.fence.admit(token, record.step) } else { FenceDecision::Apply };
                match decision {
                    FenceDecision::Apply => target.applied_steps.push((token, record.step, record.content)),
                    FenceDecision::AlreadyApplied => {
                        let applied = target.applied_steps.iter().find(|step| step.1 == record.step);
                        if applied.is_none_or(|step| step.2 != record.content) {
                            self.violations.push(format!("step {} of {task} has two contents", record.step));
                        }
                    }
                    FenceDecision::StepsMissing => {
                        self.violations.push(format!("steps of {task} before {} are missing", record.step))
                    }
                    FenceDecision::Stale(_) => target.rejected += 1,
                }
                self.send_later(InFlight::Answer(id, task, token, decision));
            }
            InFlight::Answer(id, task, token, decision) => {
                if self.nodes.get(&id).is_some_and(|n| n.paused) {
                    self.in_flight
                        .insert((self.now + MS(20), key.1), InFlight::Answer(id, task, token, decision));
                    return;
                }
                let holds_lease =
                    |tasks: &TaskManager<TestHost>, now| tasks.current_token(now, task) == Some(token);
                self.call(id, |tasks, now| match decision {
                    FenceDecision::Stale(highest_token) => tasks.fenced(now, task, token, highest_token),
                    _ if holds_lease(tasks, now) => drop(tasks.complete_step(now, task)),
                    _ => {}
                });
            }
        }
    }

    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.next_event_at().max(self.now + Duration::from_micros(50)).min(end);
            self.run_election();
            while let Some((key, item)) = self.in_flight.first_key_value().map(|(k, i)| (*k, i.clone())) {
                if key.0 > self.now {
                    break;
                }
                self.in_flight.remove(&key);
                self.arrive(item, key);
            }
            for (id, revision) in std::mem::take(&mut self.unwritten) {
                self.call(id, |tasks, now| tasks.persisted(now, revision));
            }
            for id in self.nodes.keys().copied().collect::<Vec<_>>() {
                let now = self.now;
                let node = self.nodes.get_mut(&id).unwrap();
                let durable = node.pending_writes.iter().take_while(|w| w.0 <= now).count();
                let written: Vec<_> = node.pending_writes.drain(..durable).map(|w| w.1).collect();
                let last = written.last().map(|w| w.2);
                node.disk.extend(written.into_iter().map(|w| (w.0, w.1)));
                if let Some(revision) = last {
                    self.call(id, |tasks, now| tasks.persisted(now, revision));
                }
                let node = self.nodes.get_mut(&id).unwrap();
                if node.paused {
                    continue;
                }
                let due: Vec<TaskId> =
                    node.scheduled.iter().filter(|(at, _)| *at <= now).map(|(_, task)| *task).collect();
                node.scheduled.retain(|(at, _)| *at > now);
                for task in due {
                    let content = vec![self.rng.random(), id as u8];
                    self.call(id, |tasks, now| tasks.begin_step(now, task, content));
                }
                let node = &self.nodes[&id];
                if node.tasks.as_ref().is_some_and(|tasks| tasks.next_deadline() <= node.clock(now)) {
                    self.call(id, |tasks, now| tasks.timer_fired(now));
                }
            }
            self.check();
            assert!(
                self.missing_guard != MissingGuard::None || self.violations.is_empty(),
                "{:?} at {:?}",
                self.violations,
                self.now
            );
        }
    }

    pub(crate) fn next_event_at(&self) -> Duration {
        let next_of_node = |n: &Node| {
            let timer =
                n.tasks.as_ref().filter(|_| !n.paused).map(|tasks| n.real_time(tasks.next_deadline()));
            let scheduled = n.scheduled.iter().map(|(at, _)| *at).min().filter(|_| !n.paused);
            timer.into_iter().chain(n.pending_writes.first().map(|w| w.0)).chain(scheduled).min()
        };
        let in_flight = self.in_flight.keys().next().map(|k| k.0);
        let nodes = self.nodes.values().filter_map(next_of_node);
        nodes.chain(in_flight).min().unwrap_or(Duration::MAX).min(self.now + MS(25))
    }

    /// Returns true if both members run and messages pass between them in both directions.
    pub(crate) fn reaches(&self, a: MemberId, b: MemberId) -> bool {
        let is_running = |id: &MemberId| self.nodes.get(id).is_some_and(|n| n.tasks.is_some() && !n.paused);
        is_running(&a) && is_running(&b) && !self.blocked.contains(&(a, b)) && !self.blocked.contains(&(b, a))
    }

    pub(crate) fn reaches_quorum(&self, id: MemberId) -> bool {
        self.members.iter().filter(|other| self.reaches(id, **other)).count() * 2 > self.members.len()
    }

    /// Renews the leader's lease while the leader reaches a quorum, and elects another leader after the lease has expired.
    pub(crate) fn run_election(&mut self) {
        if let Some((_, id)) = self.leader {
            // As in the leader election, a leader whose lease has expired by its own clock does not renew the lease.
            let holds_lease =
                self.nodes.get(&id).is_some_and(|n| n.clock(self.now) < self.own_lease_expires_at);
            let knows_it_leads = self.known_leader.get(&id) == Some(&self.leader);
            if holds_lease && knows_it_leads && self.reaches_quorum(id) && self.now < self.lease_expires_at {
                if self.lease_expires_at < self.now + LEADER_LEASE - MS(150) {
                    self.lease_expires_at = self.now + LEADER_LEASE;
                    self.publish_election(id);
                }
            } else if self.now >= self.lease_expires_at + MS(100) {
                let next: Vec<MemberId> =
                    self.members.iter().copied().filter(|id| self.reaches_quorum(*id)).collect();
                if !next.is_empty() {
                    let next = next[self.rng.random_range(0..next.len())];
                    self.elect(next);
                }
            }
        }
        // The other members learn of the leader a little later, if they run and the leader reaches them.
        let Some((_, leader)) = self.leader.filter(|_| self.now < self.lease_expires_at) else { return };
        // The leader itself is left out: after a restart it does not lead again in the term that it led.
        for id in self.members.clone().into_iter().filter(|id| *id != leader) {
            if self.known_leader.get(&id) != Some(&self.leader)
                && self.reaches(leader, id)
                && self.rng.random_bool(0.1)
            {
                self.known_leader.insert(id, self.leader);
                self.publish_election(id);
            }
        }
    }

    /// Records a violation for each task that has more than one holder.
    pub(crate) fn check(&mut self) {
        for task in 0..self.tasks as TaskId {
            let current_token = |(id, n): (&MemberId, &Node)| {
                let token = n.tasks.as_ref().and_then(|tasks| tasks.current_token(n.clock(self.now), task));
                token.map(|token| (*id, token))
            };
            let holders: Vec<_> = self.nodes.iter().filter_map(current_token).collect();
            if holders.len() > 1 {
                self.violations.push(format!("{task} has {holders:?}"));
            }
        }
    }

    /// Returns the number of applied steps of each task. Panics unless each step was applied exactly once, in order and with
    /// tokens that never fall.
    pub(crate) fn applied_steps(&self) -> Vec<usize> {
        let mut all = vec![];
        for (task, target) in &self.targets {
            let steps: Vec<u64> = target.applied_steps.iter().map(|step| step.1).collect();
            let expected: Vec<u64> = (1..=steps.len() as u64).collect();
            assert_eq!(steps, expected, "steps of {task}");
            assert!(target.applied_steps.is_sorted_by_key(|step| step.0), "tokens of {task}");
            all.push(steps.len());
        }
        all
    }

    /// Blocks the links from the node to all others, from all others to the node, or both.
    pub(crate) fn partition(&mut self, id: MemberId, directions: (bool, bool)) {
        for other in self.nodes.keys().copied().filter(|o| *o != id) {
            self.blocked.extend(directions.0.then_some((id, other)));
            self.blocked.extend(directions.1.then_some((other, id)));
        }
    }

    pub(crate) fn set_paused(&mut self, id: MemberId, paused: bool) {
        self.nodes.get_mut(&id).unwrap().paused = paused;
    }

    /// Ends all faults except those of the clocks, and restarts the processes that are not running.
    pub(crate) fn heal(&mut self) {
        (self.loss, self.duplication, self.max_delay) = (0.0, 0.0, MS(20));
        self.blocked.clear();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&id).unwrap();
            (node.paused, node.disk_delay) = (false, MS(4));
            if node.tasks.is_none() {
                self.boot(id);
            }
        }
    }

    pub(crate) fn holder(&self, task: TaskId) -> Option<MemberId> {
        let is_holder = |n: &Node| {
            n.tasks.as_ref().is_some_and(|tasks| tasks.current_token(n.clock(self.now), task).is_some())
        };
        self.nodes.iter().find(|(_, n)| is_holder(n)).map(|(id, _)| *id)
    }

    pub(crate) fn tasks_by_holder(&self) -> BTreeMap<MemberId, usize> {
        let mut tasks_by_holder = BTreeMap::new();
        (0..self.tasks as TaskId)
            .filter_map(|task| self.holder(task))
            .for_each(|id| *tasks_by_holder.entry(id).or_default() += 1);
        tasks_by_holder
    }

    /// Injects a random fault, ends one, or sends an operator's request on a random task.
    pub(crate) fn inject_fault(&mut self) {
        let ids: Vec<MemberId> = self.nodes.keys().copied().collect();
        let id = ids[self.rng.random_range(0..ids.len())];
        match self.rng.random_range(0..11) {
            0 => self.crash(id),
            1 => {
                if self.nodes[&id].tasks.is_none() {
                    self.boot(id);
                }
            }
            2 => self.set_paused(id, true),
            3 => ids.iter().for_each(|id| self.set_paused(*id, false)),
            4 => {
                let directions = (self.rng.random(), self.rng.random());
                self.partition(id, directions);
            }
            5 => self.blocked.clear(),
            6 => {
                (self.loss, self.duplication) =
                    (self.rng.random_range(0.0..0.4), self.rng.random_range(0.0..0.3))
            }
            7 => self.max_delay = MS(self.rng.random_range(5..900)),
            8 => self.nodes.get_mut(&id).unwrap().disk_delay = MS(self.rng.random_range(1..400)),
            9 => {
                // The request is sent to all members, and only the leader accepts it.
                let task = self.rng.random_range(0..self.tasks as TaskId);
                let (is_move, span) = (self.rng.random::<bool>(), MS(self.rng.random_range(100..4000)));
                for member in ids {
                    self.call(member, |tasks, now| {
                        let result = if is_move {
                            tasks.move_task(now, task, id)
                        } else {
                            tasks.suspend(now, task, span)
                        };
                        result.is_ok()
                    });
                }
            }
            _ => {
                for member in ids {
                    self.call(member, |tasks, now| (0..3).all(|task| tasks.release(now, task).is_ok()));
                }
            }
        }
    }
}

pub(crate) fn config(own_id: MemberId, tasks: usize, restarts: u32) -> TaskManagerConfig {
    let task_set = TaskSet { digest: TASK_SET, count: tasks };
    TaskManagerConfig { own_id, parameters: PARAMETERS, task_set, restarts }
}
