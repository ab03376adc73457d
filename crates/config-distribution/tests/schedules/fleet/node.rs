//! A simulated node with its disk and its clock.

use super::{Id, MS};
use grebespool_config_distribution::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub enum Machine {
    Control(Box<ControlMachine>),
    Planner(Box<Planner>),
}

impl Machine {
    pub fn timer_fired(&mut self, now: Duration) {
        match self {
            Machine::Control(control) => control.timer_fired(now),
            Machine::Planner(planner) => planner.timer_fired(now),
        }
    }

    pub fn message_received(&mut self, now: Duration, from: Id, message: Message) {
        match self {
            Machine::Control(control) => control.message_received(now, from, message),
            Machine::Planner(planner) => planner.message_received(now, from, message),
        }
    }

    pub fn persisted(&mut self, now: Duration, stamp: u64) {
        if let Machine::Control(control) = self {
            control.persisted(now, stamp);
        }
    }

    pub fn shut_down(&mut self) {
        if let Machine::Planner(planner) = self {
            planner.shut_down();
        }
    }
}

/// The messages, writes and timer that a node requested during a call.
pub struct Requests {
    pub messages: Vec<(Id, Message)>,
    pub writes: Vec<LogWrite>,
    pub next_timer: Duration,
}

pub struct TestNode {
    pub machine: Option<Machine>,
    /// The log of a control machine.
    pub log: StoredLog,
    /// The chains on a planner's disk.
    pub chains: BTreeMap<ScopeId, ScopeChain>,
    /// An older copy of these chains.
    pub older_chains: Vec<ScopeChain>,
    pub starts: u32,
    /// True if the process is suspended: its timers don't fire and its messages wait.
    pub suspended: bool,
    pub disk_full: bool,
    pub stalled_writes: Vec<LogWrite>,
    clock_start: Duration,
    clock_offset: Duration,
    clock_rate: f64,
    pub timer_at: Duration,
    pub zone: u32,
    pub scopes: BTreeSet<ScopeId>,
}

impl TestNode {
    pub fn new(now: Duration, offset: Duration, rate: f64, zone: u32, scopes: BTreeSet<ScopeId>) -> TestNode {
        TestNode {
            machine: None,
            log: StoredLog::default(),
            chains: BTreeMap::new(),
            older_chains: vec![],
            starts: 0,
            suspended: false,
            disk_full: false,
            stalled_writes: vec![],
            clock_start: now,
            clock_offset: offset,
            clock_rate: rate,
            timer_at: Duration::MAX,
            zone,
            scopes,
        }
    }

    /// Returns the time that the node's clock shows.
    pub fn clock(&self, now: Duration) -> Duration {
        self.clock_offset + now.saturating_sub(self.clock_start).mul_f64(self.clock_rate)
    }

    /// Returns the simulated time at which the node's clock shows this time.
    fn real_time(&self, clock: Duration) -> Duration {
        self.clock_start + clock.saturating_sub(self.clock_offset).div_f64(self.clock_rate)
    }

    pub fn planner(&self) -> Option<&Planner> {
        match self.machine.as_ref()? {
            Machine::Planner(planner) => Some(planner),
            Machine::Control(_) => None,
        }
    }

    pub fn prepare_start(&mut self) {
        self.starts += 1;
        self.suspended = false;
        self.timer_at = Duration::MAX;
        self.stalled_writes.clear();
    }

    /// Takes the requests of the machine, and stores the changed chains of a planner.
    pub fn take_requests(&mut self) -> Requests {
        match self.machine.as_mut().unwrap() {
            Machine::Control(control) => Requests {
                messages: control.take_outbox(),
                writes: control.take_writes(),
                next_timer: control.next_timer(),
            },
            Machine::Planner(planner) => {
                for scope in planner.take_unsaved() {
                    if let Some(chain) = planner.chain(scope) {
                        self.chains.insert(scope, chain.clone());
                    }
                }
                let (messages, next_timer) = (planner.take_outbox(), planner.next_timer());
                Requests { messages, writes: vec![], next_timer }
            }
        }
    }

    /// Sets the timer to a time of the node's clock. Returns the time at which the timer fires, if that has changed.
    pub fn set_timer(&mut self, now: Duration, clock: Duration) -> Option<Duration> {
        let at = if clock == Duration::MAX { clock } else { self.real_time(clock).max(now + MS(1)) };
        let changed = at != self.timer_at && at != Duration::MAX;
        self.timer_at = at;
        changed.then_some(at)
    }

    pub fn describe(&self, now: Duration) -> String {
        match &self.machine {
            Some(Machine::Planner(planner)) => {
                let active = |scope: &ScopeId| (scope.0, planner.active_versions(self.clock(now), *scope));
                let active: Vec<_> = self.scopes.iter().map(active).collect();
                format!("{active:?}, {} planners, {:?}", planner.planner_count(), planner.rejections())
            }
            Some(Machine::Control(control)) => {
                format!("publishes {}, {} relays", control.is_publishing(), control.relay_count())
            }
            None => "down".into(),
        }
    }
}
