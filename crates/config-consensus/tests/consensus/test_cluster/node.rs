//! A simulated member with its disk and its clock.

use super::MS;
use grebespool_config_consensus::*;
use grebespool_leader_election::MemberId;
use grebespool_singleton_tasks::FencingToken;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Time after which a write to a full disk is retried.
const FULL_DISK_RETRY: Duration = Duration::from_millis(30);

/// The calls that a member made to its host during a call of the member.
#[derive(Default)]
pub struct Requests {
    pub send: Vec<(MemberId, Message)>,
    pub persist: Vec<(StoredState, u64)>,
    pub write_journal: Option<(FencingToken, Vec<u8>)>,
    pub finish_journal_step: Option<FencingToken>,
    pub decided: Vec<(ProposalId, ProposalOutcome)>,
    pub events: Vec<String>,
}

#[derive(Clone, Default)]
pub struct TestHost(pub Rc<RefCell<Requests>>);

impl Host for TestHost {
    fn send(&mut self, to: MemberId, message: Message) {
        self.0.borrow_mut().send.push((to, message));
    }
    fn persist(&mut self, state: &StoredState, stamp: u64) {
        self.0.borrow_mut().persist.push((state.clone(), stamp));
    }
    fn write_journal(&mut self, token: FencingToken, content: Vec<u8>) {
        self.0.borrow_mut().write_journal = Some((token, content));
    }
    fn finish_journal_step(&mut self, token: FencingToken) {
        self.0.borrow_mut().finish_journal_step = Some(token);
    }
    fn active_versions_changed(&mut self, _: ActiveVersions) {}
    fn proposal_decided(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        self.0.borrow_mut().decided.push((id, outcome));
    }
    fn log(&mut self, event: &Event) {
        self.0.borrow_mut().events.push(event.to_string());
    }
}

/// A write to disk that has not completed.
pub struct PendingWrite {
    done_at: Duration,
    state: StoredState,
    stamp: u64,
}

pub struct TestNode {
    pub consensus: Option<ConsensusNode<TestHost>>,
    pub disk: StoredState,
    pub events: Vec<String>,
    pub outcomes: BTreeMap<ProposalId, ProposalOutcome>,
    pub start_count: u32,
    pub writes: Vec<PendingWrite>,
    pub write_time: Duration,
    /// True if the disk is full, so that writes wait.
    pub disk_full: bool,
    /// True if the process is stopped, so that timers do not fire and messages wait.
    pub suspended: bool,
    started_at: Duration,
    clock_offset: Duration,
    clock_rate: f64,
    /// Count of the member's last renewal.
    pub renewals: u64,
}

impl TestNode {
    pub fn new(now: Duration, clock_offset: Duration, clock_rate: f64) -> TestNode {
        TestNode {
            consensus: None,
            disk: StoredState::default(),
            events: vec![],
            outcomes: BTreeMap::new(),
            start_count: 0,
            writes: vec![],
            write_time: MS(3),
            disk_full: false,
            suspended: false,
            started_at: now,
            clock_offset,
            clock_rate,
            renewals: 0,
        }
    }

    pub fn clock(&self, now: Duration) -> Duration {
        self.clock_offset + now.saturating_sub(self.started_at).mul_f64(self.clock_rate)
    }

    fn real_time(&self, clock: Duration) -> Duration {
        if clock == Duration::MAX {
            return clock;
        }
        self.started_at + clock.saturating_sub(self.clock_offset).div_f64(self.clock_rate)
    }

    /// Returns the time at which the member's timer fires or its next write completes.
    pub fn next_event(&self) -> Option<Duration> {
        let consensus = self.consensus.as_ref().filter(|_| !self.suspended);
        let timer = consensus.map(|consensus| self.real_time(consensus.next_timer()));
        timer.into_iter().chain(self.writes.first().map(|write| write.done_at)).min()
    }

    pub fn start_write(&mut self, now: Duration, state: StoredState, stamp: u64) {
        let busy_until = self.writes.last().map_or(now, |write| write.done_at.max(now));
        self.writes.push(PendingWrite { done_at: busy_until + self.write_time, state, stamp });
    }

    /// Completes the writes that are due, and returns the stamp of the last one.
    pub fn complete_writes(&mut self, now: Duration) -> Option<u64> {
        if self.disk_full {
            self.writes.iter_mut().for_each(|write| write.done_at = write.done_at.max(now + FULL_DISK_RETRY));
        }
        let done = self.writes.iter().take_while(|write| write.done_at <= now).count();
        let last = self.writes.drain(..done).next_back()?;
        self.disk = last.state;
        Some(last.stamp)
    }
}
