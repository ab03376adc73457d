//! A day, played under a simulated clock.

use crate::agenda::{Agenda, Due, HOP, Out};
use crate::calls::Active;
use crate::past::Recording;
use crate::proxies::Proxy;
use crate::servers::{Listing, Server, ability, server_id};
use crate::troubles::InHand;
use grebespool_controller::{Controller, FleetPools, Incarnation, StreamId, UnsupportedDeploymentError};
use grebespool_invariants::{Checker, Event, List, Verdict};
use grebespool_server_model::{
    Avoidance, ProxyTables, ReportAggregator, ServiceLevel, ServiceLevelRecorder, invariant_facts,
};
use grebespool_settings::{Day, ListMode, What};
use grebespool_wire::{EndpointEntry, EndpointList, EndpointState, ServerId};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// A day that was played under the simulated clock.
pub struct SimulatedDay {
    pub verdicts: [Verdict; 5],
    pub service: ServiceLevel,
    /// Events of the model that were handled.
    pub events: u64,
}

impl SimulatedDay {
    pub fn kept(&self) -> bool {
        self.verdicts.iter().all(|v| v.first.is_none())
    }
}

/// Who says where calls go. All but the planner are there to compare it with, and are held to no rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannedBy {
    Planner,
    /// Each proxy spreads evenly over what the list calls ready.
    Evenly,
    /// Each call goes where it is done first, by perfect knowledge of all servers: what no planner can do.
    Nobody,
    /// The same, and a call is let in only if it would be answered soon enough: the less important its route, the sooner.
    Rationed,
}

/// Why a day cannot be played.
#[derive(Debug, Error)]
pub enum SimulationError {
    /// A deployment of a kind that nothing is decided for.
    #[error(transparent)]
    Unsupported(#[from] UnsupportedDeploymentError),
    #[error("the recorded day: {0}")]
    Recording(Box<dyn std::error::Error + Send + Sync>),
}

/// What of a leader's memory the next one begins with.
#[derive(Clone)]
pub(crate) struct Remembered {
    version: u64,
    entries: Vec<EndpointEntry>,
    weights: BTreeMap<ServerId, f64>,
    dealt: FleetPools,
}

pub(crate) struct Model<'a> {
    pub day: &'a Day,
    pub by: PlannedBy,
    pub recording: Option<Recording<'a>>,
    /// What the recorded day names, by place among the servers; and its newest list.
    pub known: BTreeMap<String, usize>,
    pub past_version: u64,
    pub planners: BTreeSet<u64>,
    /// What the members of a fleet remember of their leader.
    pub memory: Option<Remembered>,
    pub agenda: Rc<RefCell<Agenda>>,
    pub engine: Option<Controller<Out>>,
    starts: u64,
    pub start_id: u64,
    began: Duration,
    wake_at: Option<Duration>,
    pub stalled: bool,
    /// What came for the planner while it stood still.
    pub missed: Vec<Due>,
    pub servers: Vec<Server>,
    pub by_id: BTreeMap<ServerId, usize>,
    pub list: Listing,
    pub first_list: Vec<EndpointEntry>,
    pub proxies: Vec<Proxy>,
    pub by_zone: Vec<Vec<usize>>,
    pub rate: f64,
    pub last_stream: StreamId,
    pub caller_rng: Pcg64Mcg,
    pub trouble_rng: Pcg64Mcg,
    pub burst: f64,
    pub calls_made: u64,
    pub active: BTreeMap<u64, Active>,
    pub taken: BTreeSet<usize>,
    pub in_hand: BTreeMap<usize, InHand>,
    pub cut: BTreeSet<u16>,
    pub next_number: u32,
}

/// Plays a day. `recording`: a recorded day to follow in place of the day's own callers. `seen` is told all that
/// passes, in its order.
///
/// # Errors
///
/// A deployment of a kind that nothing is decided for, and a recording that cannot be read to its end.
pub fn simulate(
    day: &Day,
    by: PlannedBy,
    recording: Option<Recording<'_>>,
    seen: &mut dyn FnMut(Duration, &Event),
) -> Result<SimulatedDay, SimulationError> {
    let mut model = Model::new(day, by, recording);
    let (mut checker, mut tally) =
        (Checker::new(&invariant_facts(day)), ServiceLevelRecorder::new(&day.deployment));
    model.open()?;
    let mut events = 0;
    let end = day.length.0 + longest(day);
    loop {
        let passed = std::mem::take(&mut model.agenda.borrow_mut().passed);
        for (at, passed) in passed {
            seen(at, &passed);
            tally.record(at, &passed);
            if by == PlannedBy::Planner {
                checker.observe(at, passed);
            }
        }
        let due = model.agenda.borrow_mut().pop();
        let Some(due) = due else { break };
        if model.now() > end || (model.now() >= day.length.0 && model.active.is_empty()) {
            break;
        }
        events += 1;
        model.handle(due)?;
    }
    Ok(SimulatedDay { verdicts: checker.verdicts(), service: tally.finish(), events })
}

fn longest(day: &Day) -> Duration {
    day.deployment.routes.iter().map(|r| r.time_limit.0).max().unwrap_or_default() * 2
}

impl<'a> Model<'a> {
    fn new(day: &'a Day, by: PlannedBy, recording: Option<Recording<'a>>) -> Model<'a> {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
        let zone_of =
            |name: &str| day.deployment.zones.iter().position(|z| z == name).unwrap_or_default() as u16;
        let mut servers = vec![];
        for kind in &day.servers {
            for _ in 0..kind.count {
                let id = server_id(servers.len() as u32 + 1);
                servers.push(Server::new(ability(day, kind.clone()), zone_of(&kind.zone), id));
            }
        }
        let mut proxies = vec![];
        for kind in &day.proxies {
            for _ in 0..kind.count {
                let zone = zone_of(&kind.zone);
                let mut near: Vec<ServerId> =
                    servers.iter().filter(|s| s.zone == zone).map(|s| s.id).collect();
                near.shuffle(&mut rng);
                near.truncate(kind.standing);
                proxies.push(Proxy {
                    held: ProxyTables::new(
                        kind.picks,
                        Avoidance { after_failures: kind.avoids, duration: kind.avoids_for.0 },
                        &near,
                    ),
                    kind: kind.clone(),
                    zone,
                    rng: Pcg64Mcg::seed_from_u64(rng.random()),
                    stream: None,
                    joined: false,
                    conns: BTreeMap::new(),
                    sums: ReportAggregator::default(),
                });
            }
        }
        let zones = day.deployment.zones.len() as u16;
        let of_zone = |z| (0..proxies.len()).filter(|p| proxies[*p].zone == z).collect();
        let list = Listing {
            entries: BTreeMap::new(),
            version: 1,
            late: day.list.late.0,
            fails: false,
            last: Duration::ZERO,
        };
        Model {
            agenda: Rc::new(RefCell::new(Agenda::new(proxies.len()))),
            engine: None,
            starts: 0,
            start_id: 0,
            began: Duration::ZERO,
            wake_at: None,
            stalled: false,
            missed: vec![],
            by_id: servers.iter().enumerate().map(|(i, s)| (s.id, i)).collect(),
            next_number: servers.len() as u32,
            servers,
            list,
            first_list: vec![],
            by_zone: (0..zones).map(of_zone).collect(),
            rate: day.callers.iter().map(|c| c.rate).sum::<f64>() / proxies.len().max(1) as f64,
            proxies,
            last_stream: 0,
            caller_rng: Pcg64Mcg::seed_from_u64(rng.random()),
            trouble_rng: Pcg64Mcg::seed_from_u64(rng.random()),
            burst: 1.0,
            calls_made: 0,
            active: BTreeMap::new(),
            taken: BTreeSet::new(),
            in_hand: BTreeMap::new(),
            cut: BTreeSet::new(),
            day,
            by,
            recording,
            known: BTreeMap::new(),
            past_version: 0,
            planners: BTreeSet::new(),
            memory: None,
        }
    }

    fn open(&mut self) -> Result<(), SimulationError> {
        self.begin_past();
        let all: Vec<usize> =
            (0..self.servers.len()).filter(|s| self.servers[*s].machine.is_some()).collect();
        self.first_list = all.iter().map(|s| self.entry(*s, EndpointState::Ready)).collect();
        self.list.entries = self.first_list.iter().map(|e| (e.server, e.clone())).collect();
        all.iter().for_each(|s| self.set_probe(*s));
        self.launch()?;
        for p in 0..self.proxies.len() {
            let lines =
                self.servers.iter().filter(|s| self.proxies[p].held.contains(s.id)).map(|s| (s.id, 1.0));
            let lines = lines.collect();
            self.agenda.borrow_mut().put(Event::Began { proxy: p as u16, lines });
            if self.by == PlannedBy::Planner {
                self.agenda.borrow_mut().after(Duration::ZERO, Due::Dial(p));
            }
        }
        if self.by == PlannedBy::Evenly {
            let all = self.whole_list(1);
            self.agenda.borrow_mut().after(HOP, all);
        }
        match &self.recording {
            Some(_) => self.next_past()?,
            None => (0..self.day.callers.len()).for_each(|kind| {
                let rate = self.day.callers[kind].rate;
                let gap = -self.caller_rng.random_range(f64::EPSILON..1.0).ln() / rate;
                self.agenda.borrow_mut().after(Duration::from_secs_f64(gap), Due::Caller(kind));
            }),
        }
        if self.day.troubles.iter().any(|t| t.what == What::Takeover) {
            self.agenda.borrow_mut().after(Self::REMEMBER, Due::Remember);
        }
        for (i, trouble) in self.day.troubles.iter().enumerate() {
            self.agenda.borrow_mut().at(trouble.at.0, Due::Begin(i));
        }
        Ok(())
    }

    fn launch(&mut self) -> Result<(), UnsupportedDeploymentError> {
        if self.by != PlannedBy::Planner {
            return Ok(());
        }
        let d = &self.day.deployment;
        self.starts += 1;
        self.start_id = 1000 * self.day.seed + self.starts;
        self.began = self.now();
        self.wake_at = None;
        let incarnation = Incarnation { id: self.start_id, seed: self.day.seed + self.starts, term: 0 };
        let out = Out { agenda: self.agenda.clone() };
        // As `rehearse` has it: orders have to be known in force within the grace.
        let unconfirmed = self.day.rules.grace.0.mul_f64(0.75).max(Duration::from_millis(500));
        let asked = (self.day.list.mode == ListMode::Asked).then_some(self.day.list.ask_within.0);
        self.engine = Some(Controller::new(out, d.controller_config(incarnation, unconfirmed, asked))?);
        if let (Some(engine), Some(timing)) = (&mut self.engine, d.watch()) {
            engine.watch_sites(&d.routes(), timing);
        }
        self.plan(|_| ());
        Ok(())
    }

    /// How often a leader's memory goes to the other members.
    const REMEMBER: Duration = Duration::from_secs(1);

    fn remember(&mut self) {
        let now = self.planner_now();
        if let Some(engine) = self.engine.as_ref().filter(|e| e.endpoints_version() > 0) {
            let EndpointList { version, entries, .. } = engine.endpoint_list(now);
            let weights = engine.learned_weights().into_iter().collect();
            let dealt = engine.fleet_pools();
            self.memory = Some(Remembered { version, entries, weights, dealt });
        }
        self.agenda.borrow_mut().after(Self::REMEMBER, Due::Remember);
    }

    /// Another controller plans from here on, with what it remembers of the one before.
    pub fn take_over(&mut self) {
        self.start_planner();
        let (Some(memory), now_ms) = (self.memory.clone(), self.now_ms()) else { return };
        let Remembered { version, entries, weights, dealt } = memory;
        let told = List { version, base: 0, now_ms, entries: entries.clone() };
        self.agenda.borrow_mut().put(Event::ListTold(told));
        self.plan(|engine| {
            let list = EndpointList { version, base_version: 0, now_ms, entries };
            engine.endpoints_received(Duration::ZERO, &list);
            engine.restore_pools(&dealt);
            engine.restore_weights(&weights);
        });
    }

    /// A planner of the same deployment starts anew: that it can was seen at the day's beginning.
    pub fn start_planner(&mut self) {
        let _ = self.launch();
    }

    pub fn now(&self) -> Duration {
        self.agenda.borrow().now
    }

    /// Since the planner's start.
    pub fn planner_now(&self) -> Duration {
        self.now().saturating_sub(self.began)
    }

    pub fn zone(&self, name: &str) -> u16 {
        self.day.deployment.zones.iter().position(|z| z == name).unwrap_or_default() as u16
    }

    pub fn apart(&self, a: u16, b: u16) -> bool {
        a != b && (self.cut.contains(&a) || self.cut.contains(&b))
    }

    /// Calls the engine, and puts on the agenda when it is due next.
    pub fn plan(&mut self, what: impl FnOnce(&mut Controller<Out>)) {
        let Some(engine) = &mut self.engine else { return };
        what(engine);
        let due = self.began + engine.next_timer();
        if self.wake_at.is_none_or(|at| due < at) {
            self.wake_at = Some(due);
            self.agenda.borrow_mut().at(due, Due::Wake);
        }
    }

    fn handle(&mut self, due: Due) -> Result<(), SimulationError> {
        let for_planner = matches!(
            due,
            Due::Wake
                | Due::Join(_)
                | Due::ToPlanner { .. }
                | Due::Ended(_)
                | Due::Asked(_)
                | Due::Probed { .. }
        );
        if self.stalled && for_planner {
            self.missed.push(due);
            return Ok(());
        }
        match due {
            Due::Wake => {
                let now = self.planner_now();
                if self.wake_at.is_some_and(|at| at <= self.now()) {
                    self.wake_at = None;
                    self.plan(|engine| engine.timer_fired(now));
                }
            }
            Due::Caller(kind) => self.caller(kind),
            Due::Recorded(past) => {
                self.past(past);
                self.next_past()?;
            }
            Due::Attempt(id) => self.attempt(id),
            Due::Connect { id, server } => self.connect(id, server),
            Due::AtServer { id, server, life, call } => self.at_server(id, server, life, call),
            Due::Work { server, life } => self.work(server, life),
            Due::AtProxy { answer } => self.at_proxy(answer),
            Due::Lost { id, not_run } => self.lost(id, not_run),
            Due::Dial(proxy) => self.dial(proxy),
            Due::Join(stream) => self.join(stream),
            Due::ToProxy { stream, message } => self.reach_proxy(stream, message),
            Due::ToPlanner { stream, message } => self.reach_planner(stream, message),
            Due::Ended(stream) => self.plan(|engine| engine.stream_closed(stream)),
            Due::Sums(stream) => self.sums(stream),
            Due::Asked(have) => self.asked(have),
            Due::Publish { changed } => self.publish(changed),
            // What is handed to a planner that stands still lies there until it runs on.
            Due::ListAt { version, base, entries } if self.stalled => {
                self.missed.push(Due::ListAt { version, base, entries });
            }
            Due::ListAt { version, base, entries } => self.list_at(version, base, entries),
            Due::Probed { server, result } => {
                let now = self.planner_now();
                self.plan(|engine| engine.health_check_finished(now, server, result));
            }
            Due::Remember => self.remember(),
            Due::Begin(i) => self.begin(i),
            Due::End(i) => self.end(i),
            Due::Redeploy { server, step, drain, down, other } => {
                self.redeploy(server, step, drain, down, other);
            }
        }
        Ok(())
    }
}
