//! A deterministic cluster: members with tasks under a simulated network, disks and clocks that fail. What must hold at
//! all times is checked after each step. Who leads is decided here, as `grebespool-leader-election` would: a former
//! leader's lease is over before the next leads.

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
const LEADS: Duration = Duration::from_millis(900);
const BETWEEN_STEPS: Duration = Duration::from_millis(40);

/// What a task touches: the steps that took place, each with its content.
#[derive(Default)]
pub(crate) struct Target {
    pub(crate) fence: Fence,
    pub(crate) applied_steps: Vec<(FencingToken, u64, Vec<u8>)>,
    pub(crate) refused: usize,
}

#[derive(Default)]
pub(crate) struct Requests {
    pub(crate) send: Vec<(MemberId, Message)>,
    pub(crate) persist: Vec<(TaskId, RegisterEntry, u64)>,
    pub(crate) copied: bool,
    pub(crate) acquired: Vec<(TaskId, FencingToken)>,
    pub(crate) lost: Vec<(TaskId, FencingToken)>,
    /// To be done now, or to be gone on with.
    pub(crate) effects: Vec<(TaskId, FencingToken, StepRecord)>,
    pub(crate) continuable: Vec<(TaskId, u64)>,
}

#[derive(Clone, Default)]
pub(crate) struct TestHost(pub(crate) Rc<RefCell<Requests>>);

impl Host for TestHost {
    fn send(&mut self, to: MemberId, message: Message) {
        self.0.borrow_mut().send.push((to, message));
    }
    fn persist(&mut self, task: TaskId, entry: &RegisterEntry, revision: u64) {
        self.0.borrow_mut().persist.push((task, entry.clone(), revision));
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
        let mut asked = self.0.borrow_mut();
        if record.completed {
            asked.continuable.push((task, record.step));
        } else {
            asked.effects.push((task, token, record.clone()));
        }
    }
    fn counts_received(&mut self, _: MemberId, _: Vec<(u64, Rows)>) {}
    fn log(&mut self, _: TaskEvent) {}
}

pub(crate) struct Node {
    pub(crate) tasks: Option<TaskManager<TestHost>>,
    pub(crate) host: TestHost,
    pub(crate) disk: BTreeMap<TaskId, RegisterEntry>,
    pub(crate) copied: bool,
    pub(crate) restarts: u32,
    pub(crate) pending_writes: Vec<(Duration, (TaskId, RegisterEntry, u64))>,
    pub(crate) disk_delay: Duration,
    pub(crate) paused: bool,
    pub(crate) clock_base: (Duration, Duration),
    pub(crate) clock_rate: f64,
    /// When it goes on with a task.
    pub(crate) scheduled: Vec<(Duration, TaskId)>,
}

impl Node {
    pub(crate) fn clock(&self, now: Duration) -> Duration {
        self.clock_base.1 + now.saturating_sub(self.clock_base.0).mul_f64(self.clock_rate)
    }
    pub(crate) fn real_time(&self, own: Duration) -> Duration {
        if own == Duration::MAX {
            own
        } else {
            self.clock_base.0 + own.saturating_sub(self.clock_base.1).div_f64(self.clock_rate)
        }
    }
}

#[derive(Clone)]
pub(crate) enum InFlight {
    Message(MemberId, MemberId, Message),
    /// An effect on its way to what the task touches, and the answer on its way back.
    Effect(MemberId, TaskId, FencingToken, StepRecord),
    Answer(MemberId, TaskId, FencingToken, FenceDecision),
}

/// Guards that are taken out, to see that each is missed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum MissingGuard {
    None,
    /// The target takes whatever comes.
    Fence,
    /// A disk says that it has written before it has.
    Disk,
    /// Clocks keep to nothing.
    Clocks,
    /// A member that was added answers before it has copied.
    Copy,
}

pub(crate) struct Cluster {
    pub(crate) now: Duration,
    pub(crate) nodes: BTreeMap<MemberId, Node>,
    pub(crate) in_flight: BTreeMap<(Duration, u64), InFlight>,
    pub(crate) sent: u64,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    pub(crate) max_delay: Duration,
    pub(crate) blocked: BTreeSet<(MemberId, MemberId)>,
    pub(crate) missing_guard: MissingGuard,
    pub(crate) targets: BTreeMap<TaskId, Target>,
    /// Who took which token, and the newest taken of each task.
    pub(crate) acquired: BTreeMap<(TaskId, FencingToken), MemberId>,
    pub(crate) newest: BTreeMap<TaskId, FencingToken>,
    pub(crate) leader: Option<(u64, MemberId)>,
    pub(crate) term: u64,
    /// Until when it leads, by the cluster's time; and by its own clock, as it was told.
    pub(crate) lease_expires_at: Duration,
    pub(crate) own_lease_expires_at: Duration,
    pub(crate) members: Vec<MemberId>,
    /// What each knows of who leads.
    pub(crate) known_leader: BTreeMap<MemberId, Option<(u64, MemberId)>>,
    pub(crate) violations: Vec<String>,
    pub(crate) acquisitions: usize,
    pub(crate) tasks: usize,
    /// Disks that say they have written, and have not.
    pub(crate) unwritten: Vec<(MemberId, u64)>,
}

impl Cluster {
    pub(crate) fn new(members: u64, tasks: usize, seed: u64, missing_guard: MissingGuard) -> Cluster {
        let mut cluster = Cluster {
            now: S(10),
            nodes: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            max_delay: MS(20),
            blocked: BTreeSet::new(),
            missing_guard,
            targets: (0..tasks as TaskId).map(|d| (d, Target::default())).collect(),
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
        let wild = self.missing_guard == MissingGuard::Clocks;
        let clock_rate =
            if wild { self.rng.random_range(0.4..1.0) } else { self.rng.random_range(0.951..1.049) };
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

    pub(crate) fn crash(&mut self, id: MemberId) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.tasks = None;
            node.pending_writes.clear();
        }
    }

    /// Tells a member who leads, as its leader election would.
    pub(crate) fn publish_election(&mut self, id: MemberId) {
        let (known_leader, lease_expires_at) =
            (self.known_leader.get(&id).copied().flatten(), self.lease_expires_at);
        let members = self.members.clone();
        let Some(node) = self.nodes.get(&id) else { return };
        // By its own clock, a little less than what the others wait for.
        let own = node.clock(self.now)
            + lease_expires_at.saturating_sub(self.now).mul_f64(node.clock_rate.min(1.0));
        let lease_expires_at =
            if known_leader == self.leader && lease_expires_at > self.now { own } else { Duration::ZERO };
        if known_leader.is_some_and(|(_, leader)| leader == id) {
            self.own_lease_expires_at = lease_expires_at;
        }
        let leader = known_leader.map(|(term, id)| Leader { term, id });
        let election = ElectionState { members, leader, lease_expires_at };
        self.call(id, |d, now| d.election_changed(now, election));
    }

    pub(crate) fn elect(&mut self, id: MemberId) {
        self.term += 1;
        self.leader = Some((self.term, id));
        self.lease_expires_at = self.now + LEADS;
        self.known_leader.insert(id, self.leader);
        self.publish_election(id);
    }

    pub(crate) fn call<T>(
        &mut self,
        id: MemberId,
        what: impl FnOnce(&mut TaskManager<TestHost>, Duration) -> T,
    ) -> Option<T> {
        let now = self.now;
        let node = self.nodes.get_mut(&id)?;
        let clock = node.clock(now);
        let done = what(node.tasks.as_mut()?, clock);
        let asked = std::mem::take(&mut *node.host.0.borrow_mut());
        let mut told = None;
        for (i, (task, entry, revision)) in asked.persist.into_iter().enumerate() {
            let busy = node.pending_writes.last().map_or(now, |w| w.0.max(now));
            node.pending_writes
                .push((busy + node.disk_delay * (1 + u32::from(i == 0)), (task, entry, revision)));
            told = Some(revision);
        }
        node.copied |= asked.copied;
        for (task, _) in asked.continuable {
            node.scheduled.push((now + BETWEEN_STEPS, task));
        }
        for (task, token) in asked.acquired {
            self.acquisitions += 1;
            let first = *self.acquired.entry((task, token)).or_insert(id);
            if first != id {
                self.violations.push(format!("{token} of {task} has two holders"));
            }
            let newest = self.newest.entry(task).or_default();
            if token <= *newest && self.missing_guard != MissingGuard::Clocks {
                self.violations.push(format!("{token} of {task} was taken after {newest}"));
            }
            *newest = token.max(*newest);
        }
        for (to, message) in asked.send {
            self.send(id, to, message);
        }
        for (task, token, record) in asked.effects {
            self.start_effect(id, task, token, record);
        }
        self.unwritten
            .extend(told.filter(|_| self.missing_guard == MissingGuard::Disk).map(|revision| (id, revision)));
        Some(done)
    }

    pub(crate) fn send_later(&mut self, what: InFlight) {
        let late = self.max_delay.mul_f64(self.rng.random_range(0.01..1.0));
        self.sent += 1;
        self.in_flight.insert((self.now + late, self.sent), what);
    }

    pub(crate) fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
        for _ in 0..copies {
            if !self.blocked.contains(&(from, to)) && !self.rng.random_bool(self.loss) {
                self.send_later(InFlight::Message(to, from, message.clone()));
            }
        }
    }

    /// It checks its lease at that moment, and what it writes may lie in a buffer for as long as it likes.
    pub(crate) fn start_effect(
        &mut self,
        id: MemberId,
        task: TaskId,
        token: FencingToken,
        record: StepRecord,
    ) {
        let node = &self.nodes[&id];
        let current_token = node.tasks.as_ref().and_then(|d| d.current_token(node.clock(self.now), task));
        if current_token == Some(token) {
            self.send_later(InFlight::Effect(id, task, token, record));
        }
    }

    pub(crate) fn arrive(&mut self, what: InFlight, key: (Duration, u64)) {
        match what {
            InFlight::Message(to, from, message) => {
                if self.nodes.get(&to).is_some_and(|n| n.paused) {
                    self.in_flight.insert((self.now + MS(20), key.1), InFlight::Message(to, from, message));
                } else {
                    self.call(to, |d, now| d.receive(now, from, message));
                }
            }
            InFlight::Effect(id, task, token, record) => {
                let checked = self.missing_guard != MissingGuard::Fence;
                let target = self.targets.get_mut(&task).unwrap();
                let decision =
                    if checked { target.fence.admit(token, record.step) } else { FenceDecision::Apply };
                match decision {
                    FenceDecision::Apply => target.applied_steps.push((token, record.step, record.content)),
                    FenceDecision::AlreadyApplied => {
                        let done = target.applied_steps.iter().find(|d| d.1 == record.step);
                        if done.is_none_or(|d| d.2 != record.content) {
                            self.violations.push(format!("step {} of {task} was two things", record.step));
                        }
                    }
                    FenceDecision::StepsMissing => {
                        self.violations.push(format!("steps of {task} before {} are missing", record.step))
                    }
                    FenceDecision::Stale(_) => target.refused += 1,
                }
                self.send_later(InFlight::Answer(id, task, token, decision));
            }
            InFlight::Answer(id, task, token, decision) => {
                if self.nodes.get(&id).is_some_and(|n| n.paused) {
                    self.in_flight
                        .insert((self.now + MS(20), key.1), InFlight::Answer(id, task, token, decision));
                    return;
                }
                let own = |d: &TaskManager<TestHost>, now| d.current_token(now, task) == Some(token);
                self.call(id, |d, now| match decision {
                    FenceDecision::Stale(highest_token) => d.fenced(now, task, token, highest_token),
                    _ if own(d, now) => drop(d.complete_step(now, task)),
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
            while let Some((key, what)) = self.in_flight.first_key_value().map(|(k, w)| (*k, w.clone())) {
                if key.0 > self.now {
                    break;
                }
                self.in_flight.remove(&key);
                self.arrive(what, key);
            }
            for (id, revision) in std::mem::take(&mut self.unwritten) {
                self.call(id, |d, now| d.persisted(now, revision));
            }
            for id in self.nodes.keys().copied().collect::<Vec<_>>() {
                let now = self.now;
                let node = self.nodes.get_mut(&id).unwrap();
                let done = node.pending_writes.iter().take_while(|w| w.0 <= now).count();
                let written: Vec<_> = node.pending_writes.drain(..done).map(|w| w.1).collect();
                let last = written.last().map(|w| w.2);
                node.disk.extend(written.into_iter().map(|w| (w.0, w.1)));
                if let Some(revision) = last {
                    self.call(id, |d, now| d.persisted(now, revision));
                }
                let node = self.nodes.get_mut(&id).unwrap();
                if node.paused {
                    continue;
                }
                let on: Vec<TaskId> = node.scheduled.iter().filter(|l| l.0 <= now).map(|l| l.1).collect();
                node.scheduled.retain(|l| l.0 > now);
                for task in on {
                    let content = vec![self.rng.random(), id as u8];
                    self.call(id, |d, now| d.begin_step(now, task, content));
                }
                let node = &self.nodes[&id];
                if node.tasks.as_ref().is_some_and(|d| d.next_deadline() <= node.clock(now)) {
                    self.call(id, |d, now| d.timer_fired(now));
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
        let of = |n: &Node| {
            let timer = n.tasks.as_ref().filter(|_| !n.paused).map(|d| n.real_time(d.next_deadline()));
            let scheduled = n.scheduled.iter().map(|l| l.0).min().filter(|_| !n.paused);
            timer.into_iter().chain(n.pending_writes.first().map(|w| w.0)).chain(scheduled).min()
        };
        let in_flight = self.in_flight.keys().next().map(|k| k.0);
        let nodes = self.nodes.values().filter_map(of);
        nodes.chain(in_flight).min().unwrap_or(Duration::MAX).min(self.now + MS(25))
    }

    pub(crate) fn reaches(&self, a: MemberId, b: MemberId) -> bool {
        let up = |id: &MemberId| self.nodes.get(id).is_some_and(|n| n.tasks.is_some() && !n.paused);
        up(&a) && up(&b) && !self.blocked.contains(&(a, b)) && !self.blocked.contains(&(b, a))
    }

    pub(crate) fn reaches_quorum(&self, id: MemberId) -> bool {
        self.members.iter().filter(|o| self.reaches(id, **o)).count() * 2 > self.members.len()
    }

    /// Who leads: renewed while a majority hears it, another once its lease is over.
    pub(crate) fn run_election(&mut self) {
        if let Some((_, id)) = self.leader {
            // One whose own clock has seen its lease end leads no more, as in the leader election.
            let leads = self.nodes.get(&id).is_some_and(|n| n.clock(self.now) < self.own_lease_expires_at);
            let told = self.known_leader.get(&id) == Some(&self.leader);
            if leads && told && self.reaches_quorum(id) && self.now < self.lease_expires_at {
                if self.lease_expires_at < self.now + LEADS - MS(150) {
                    self.lease_expires_at = self.now + LEADS;
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
        // The others hear of it a little later, those that run and can be reached.
        let Some((_, leader)) = self.leader.filter(|_| self.now < self.lease_expires_at) else { return };
        // One that was started anew leads no more in the term that it led.
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

    pub(crate) fn check(&mut self) {
        for task in 0..self.tasks as TaskId {
            let current_token = |(id, n): (&MemberId, &Node)| {
                n.tasks.as_ref().and_then(|d| d.current_token(n.clock(self.now), task)).map(|t| (*id, t))
            };
            let holders: Vec<_> = self.nodes.iter().filter_map(current_token).collect();
            if holders.len() > 1 {
                self.violations.push(format!("{task} has {holders:?}"));
            }
        }
    }

    /// Each step once, none left out, tokens never falling.
    pub(crate) fn applied_steps(&self) -> Vec<usize> {
        let mut all = vec![];
        for (task, target) in &self.targets {
            let steps: Vec<u64> = target.applied_steps.iter().map(|d| d.1).collect();
            let whole: Vec<u64> = (1..=steps.len() as u64).collect();
            assert_eq!(steps, whole, "steps of {task}");
            assert!(target.applied_steps.is_sorted_by_key(|d| d.0), "tokens of {task}");
            all.push(steps.len());
        }
        all
    }

    pub(crate) fn partition(&mut self, id: MemberId, directions: (bool, bool)) {
        for other in self.nodes.keys().copied().filter(|o| *o != id) {
            self.blocked.extend(directions.0.then_some((id, other)));
            self.blocked.extend(directions.1.then_some((other, id)));
        }
    }

    pub(crate) fn set_paused(&mut self, id: MemberId, paused: bool) {
        self.nodes.get_mut(&id).unwrap().paused = paused;
    }

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
        let current_token =
            |n: &Node| n.tasks.as_ref().is_some_and(|d| d.current_token(n.clock(self.now), task).is_some());
        self.nodes.iter().find(|(_, n)| current_token(n)).map(|(id, _)| *id)
    }

    pub(crate) fn tasks_by_holder(&self) -> BTreeMap<MemberId, usize> {
        let mut tasks_by_holder = BTreeMap::new();
        (0..self.tasks as TaskId)
            .filter_map(|d| self.holder(d))
            .for_each(|id| *tasks_by_holder.entry(id).or_default() += 1);
        tasks_by_holder
    }

    /// Something goes wrong, or right again.
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
                // At the leader, whoever that is.
                let task = self.rng.random_range(0..self.tasks as TaskId);
                let (move_it, span) = (self.rng.random::<bool>(), MS(self.rng.random_range(100..4000)));
                for leader in ids {
                    self.call(leader, |d, now| {
                        if move_it { d.move_task(now, task, id) } else { d.suspend(now, task, span) }.is_ok()
                    });
                }
            }
            _ => {
                for leader in ids {
                    self.call(leader, |d, now| (0..3).all(|task| d.release(now, task).is_ok()));
                }
            }
        }
    }
}

pub(crate) fn config(own_id: MemberId, tasks: usize, restarts: u32) -> TaskManagerConfig {
    let task_set = TaskSet { digest: TASK_SET, count: tasks };
    TaskManagerConfig { own_id, parameters: PARAMETERS, task_set, restarts }
}
