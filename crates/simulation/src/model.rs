//! The simulated deployment, and the loop that runs a day on it.

use crate::event_queue::{EventQueue, HOP, PlannerOutput, Scheduled};
use crate::faults::FaultTargets;
use crate::proxies::Proxy;
use crate::recorded_day::Recording;
use crate::requests::ActiveRequest;
use crate::servers::{Listing, Server, server_id, server_spec};
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

/// The result of a simulated day.
pub struct SimulatedDay {
    /// One verdict for each rule. Baselines have verdicts without checks.
    pub verdicts: [Verdict; 5],
    /// The service level that the clients got.
    pub service: ServiceLevel,
    /// Number of simulated events.
    pub events: u64,
}

impl SimulatedDay {
    /// Returns true if no rule was violated.
    pub fn kept(&self) -> bool {
        self.verdicts.iter().all(|v| v.first.is_none())
    }
}

/// What decides where requests go. All but the planner are baselines for comparison, and no rule is checked for them.
// The Debug form of the variants is hashed into the key of a sweep's run, so their names stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlannedBy {
    /// The planner under test.
    Planner,
    /// Each proxy spreads its requests evenly over the servers that the list shows as ready.
    Evenly,
    /// Each request goes to the server that completes it first, by perfect knowledge of all servers, which no planner
    /// has.
    Nobody,
    /// As `Nobody`, but a request is admitted only if it would be answered soon enough: the less important its route,
    /// the sooner.
    Rationed,
}

/// An error that prevents a day from being simulated.
#[derive(Debug, Error)]
pub enum SimulationError {
    /// The controller doesn't support the deployment.
    #[error(transparent)]
    Unsupported(#[from] UnsupportedDeploymentError),
    /// The recorded day cannot be read.
    #[error("cannot read the recorded day: {0}")]
    Recording(Box<dyn std::error::Error + Send + Sync>),
}

/// The part of a leader's state that its successor begins with.
#[derive(Clone)]
pub(crate) struct ReplicatedState {
    version: u64,
    entries: Vec<EndpointEntry>,
    weights: BTreeMap<ServerId, f64>,
    pools: FleetPools,
}

/// The state of a simulated deployment.
pub(crate) struct Model<'a> {
    pub(crate) day: &'a Day,
    pub(crate) by: PlannedBy,
    pub(crate) recording: Option<Recording<'a>>,
    /// By name in the recording: the index of the server.
    pub(crate) servers_by_name: BTreeMap<String, usize>,
    /// Version of the newest recorded list.
    pub(crate) recorded_version: u64,
    /// Planners that run on the recorded day.
    pub(crate) planners: BTreeSet<u64>,
    /// The state that the leader replicated last.
    pub(crate) replicated: Option<ReplicatedState>,
    pub(crate) queue: Rc<RefCell<EventQueue>>,
    pub(crate) controller: Option<Controller<PlannerOutput>>,
    /// Number of planners started.
    starts: u64,
    /// Incarnation of the running planner.
    pub(crate) incarnation: u64,
    /// When the running planner started.
    planner_started: Duration,
    /// When the controller's timer is scheduled.
    timer_at: Option<Duration>,
    /// True if the planner is suspended.
    pub(crate) stalled: bool,
    /// Events for the planner that came while it was suspended.
    pub(crate) deferred: Vec<Scheduled>,
    pub(crate) servers: Vec<Server>,
    pub(crate) by_id: BTreeMap<ServerId, usize>,
    pub(crate) list: Listing,
    pub(crate) first_list: Vec<EndpointEntry>,
    pub(crate) proxies: Vec<Proxy>,
    /// Proxies by zone.
    pub(crate) by_zone: Vec<Vec<usize>>,
    /// Mean request rate of a proxy, per second.
    pub(crate) rate: f64,
    pub(crate) last_stream: StreamId,
    pub(crate) client_rng: Pcg64Mcg,
    pub(crate) fault_rng: Pcg64Mcg,
    /// Factor on the clients' request rate.
    pub(crate) rate_factor: f64,
    pub(crate) request_count: u64,
    pub(crate) active_requests: BTreeMap<u64, ActiveRequest>,
    /// Servers that a fault affects.
    pub(crate) affected_servers: BTreeSet<usize>,
    /// By index of the fault: what it affects.
    pub(crate) active_faults: BTreeMap<usize, FaultTargets>,
    /// Zones that are cut off from the others.
    pub(crate) cut_zones: BTreeSet<u16>,
    pub(crate) next_number: u32,
}

/// Simulates a day. If `recording` is given, the requests and lists of that recorded day replace the day's own clients.
/// `observer` is called with each recorded event, in order.
///
/// # Errors
///
/// Returns an error if the controller doesn't support the deployment, or if the recording cannot be read to its end.
pub fn simulate(
    day: &Day,
    by: PlannedBy,
    recording: Option<Recording<'_>>,
    observer: &mut dyn FnMut(Duration, &Event),
) -> Result<SimulatedDay, SimulationError> {
    let mut model = Model::new(day, by, recording);
    let (mut checker, mut recorder) =
        (Checker::new(&invariant_facts(day)), ServiceLevelRecorder::new(&day.deployment));
    model.begin_day()?;
    let mut events = 0;
    let end = day.length.0 + longest_request(day);
    loop {
        let events_to_record = std::mem::take(&mut model.queue.borrow_mut().unrecorded);
        for (at, event) in events_to_record {
            observer(at, &event);
            recorder.record(at, &event);
            if by == PlannedBy::Planner {
                checker.observe(at, event);
            }
        }
        let due = model.queue.borrow_mut().pop();
        let Some(due) = due else { break };
        if model.now() > end || (model.now() >= day.length.0 && model.active_requests.is_empty()) {
            break;
        }
        events += 1;
        model.handle(due)?;
    }
    Ok(SimulatedDay { verdicts: checker.verdicts(), service: recorder.finish(), events })
}

/// Returns the time that a request may take beyond the day's end.
fn longest_request(day: &Day) -> Duration {
    day.deployment.routes.iter().map(|r| r.time_limit.0).max().unwrap_or_default() * 2
}

/// Creates a day's proxies. Each has an initial table of a few servers of its zone.
// The order of the random draws decides the results.
fn new_proxies(
    day: &Day,
    servers: &[Server],
    zone_of: impl Fn(&str) -> u16,
    rng: &mut Pcg64Mcg,
) -> Vec<Proxy> {
    let mut proxies = vec![];
    for kind in &day.proxies {
        for _ in 0..kind.count {
            let zone = zone_of(&kind.zone);
            let mut near: Vec<ServerId> = servers.iter().filter(|s| s.zone == zone).map(|s| s.id).collect();
            near.shuffle(rng);
            near.truncate(kind.standing);
            proxies.push(Proxy {
                tables: ProxyTables::new(
                    kind.picks,
                    Avoidance { after_failures: kind.avoids, duration: kind.avoids_for.0 },
                    &near,
                ),
                kind: kind.clone(),
                zone,
                rng: Pcg64Mcg::seed_from_u64(rng.random()),
                stream: None,
                joined: false,
                connections: BTreeMap::new(),
                reports: ReportAggregator::default(),
            });
        }
    }
    proxies
}

impl<'a> Model<'a> {
    /// Creates the deployment of a day in its initial state.
    fn new(day: &'a Day, by: PlannedBy, recording: Option<Recording<'a>>) -> Model<'a> {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
        let zone_of =
            |name: &str| day.deployment.zones.iter().position(|z| z == name).unwrap_or_default() as u16;
        let mut servers = vec![];
        for kind in &day.servers {
            for _ in 0..kind.count {
                let id = server_id(servers.len() as u32 + 1);
                servers.push(Server::new(server_spec(day, kind.clone()), zone_of(&kind.zone), id));
            }
        }
        let proxies = new_proxies(day, &servers, zone_of, &mut rng);
        let zones = day.deployment.zones.len() as u16;
        let of_zone = |z| (0..proxies.len()).filter(|p| proxies[*p].zone == z).collect();
        let list = Listing {
            entries: BTreeMap::new(),
            version: 1,
            delay: day.list.late.0,
            failing: false,
            last_publication: Duration::ZERO,
        };
        Model {
            queue: Rc::new(RefCell::new(EventQueue::new(proxies.len()))),
            controller: None,
            starts: 0,
            incarnation: 0,
            planner_started: Duration::ZERO,
            timer_at: None,
            stalled: false,
            deferred: vec![],
            by_id: servers.iter().enumerate().map(|(i, s)| (s.id, i)).collect(),
            next_number: servers.len() as u32,
            servers,
            list,
            first_list: vec![],
            by_zone: (0..zones).map(of_zone).collect(),
            rate: day.callers.iter().map(|c| c.rate).sum::<f64>() / proxies.len().max(1) as f64,
            proxies,
            last_stream: 0,
            client_rng: Pcg64Mcg::seed_from_u64(rng.random()),
            fault_rng: Pcg64Mcg::seed_from_u64(rng.random()),
            rate_factor: 1.0,
            request_count: 0,
            active_requests: BTreeMap::new(),
            affected_servers: BTreeSet::new(),
            active_faults: BTreeMap::new(),
            cut_zones: BTreeSet::new(),
            day,
            by,
            recording,
            servers_by_name: BTreeMap::new(),
            recorded_version: 0,
            planners: BTreeSet::new(),
            replicated: None,
        }
    }

    /// Starts the planner and schedules the first events of the day.
    fn begin_day(&mut self) -> Result<(), SimulationError> {
        self.begin_recorded_day();
        let all: Vec<usize> =
            (0..self.servers.len()).filter(|s| self.servers[*s].machine.is_some()).collect();
        self.first_list = all.iter().map(|s| self.list_entry(*s, EndpointState::Ready)).collect();
        self.list.entries = self.first_list.iter().map(|e| (e.server, e.clone())).collect();
        all.iter().for_each(|s| self.update_health_check(*s));
        self.start_controller()?;
        for p in 0..self.proxies.len() {
            let lines =
                self.servers.iter().filter(|s| self.proxies[p].tables.contains(s.id)).map(|s| (s.id, 1.0));
            let lines = lines.collect();
            self.queue.borrow_mut().record(Event::Began { proxy: p as u16, lines });
            if self.by == PlannedBy::Planner {
                self.queue.borrow_mut().after(Duration::ZERO, Scheduled::Dial(p));
            }
        }
        if self.by == PlannedBy::Evenly {
            let all = self.whole_list(1);
            self.queue.borrow_mut().after(HOP, all);
        }
        match &self.recording {
            Some(_) => self.schedule_next_input()?,
            None => (0..self.day.callers.len()).for_each(|kind| {
                let rate = self.day.callers[kind].rate;
                let gap = -self.client_rng.random_range(f64::EPSILON..1.0).ln() / rate;
                self.queue.borrow_mut().after(Duration::from_secs_f64(gap), Scheduled::ClientRequest(kind));
            }),
        }
        if self.day.troubles.iter().any(|t| t.what == What::Takeover) {
            self.queue.borrow_mut().after(Self::REPLICATION_INTERVAL, Scheduled::ReplicateState);
        }
        for (i, fault) in self.day.troubles.iter().enumerate() {
            self.queue.borrow_mut().at(fault.at.0, Scheduled::FaultBegins(i));
        }
        Ok(())
    }

    /// Starts a planner with a new incarnation, unless the day runs a baseline.
    fn start_controller(&mut self) -> Result<(), UnsupportedDeploymentError> {
        if self.by != PlannedBy::Planner {
            return Ok(());
        }
        let d = &self.day.deployment;
        self.starts += 1;
        self.incarnation = 1000 * self.day.seed + self.starts;
        self.planner_started = self.now();
        self.timer_at = None;
        let incarnation = Incarnation { id: self.incarnation, seed: self.day.seed + self.starts, term: 0 };
        let output = PlannerOutput { queue: self.queue.clone() };
        // As on sockets, updates have to be acknowledged well within the grace.
        let ack_timeout = self.day.rules.grace.0.mul_f64(0.75).max(Duration::from_millis(500));
        let poll_interval = (self.day.list.mode == ListMode::Asked).then_some(self.day.list.ask_within.0);
        self.controller =
            Some(Controller::new(output, d.controller_config(incarnation, ack_timeout, poll_interval))?);
        if let (Some(controller), Some(timing)) = (&mut self.controller, d.watch()) {
            controller.watch_sites(&d.routes(), timing);
        }
        self.with_controller(|_| ());
        Ok(())
    }

    /// Interval at which a leader replicates its state to the other members.
    const REPLICATION_INTERVAL: Duration = Duration::from_secs(1);

    /// Replicates the leader's state, if it has a list, and schedules the next replication.
    fn replicate_state(&mut self) {
        let now = self.planner_now();
        if let Some(controller) = self.controller.as_ref().filter(|e| e.endpoints_version() > 0) {
            let EndpointList { version, entries, .. } = controller.endpoint_list(now);
            let weights = controller.learned_weights().into_iter().collect();
            let pools = controller.fleet_pools();
            self.replicated = Some(ReplicatedState { version, entries, weights, pools });
        }
        self.queue.borrow_mut().after(Self::REPLICATION_INTERVAL, Scheduled::ReplicateState);
    }

    /// Starts a successor that restores the state replicated by the former leader.
    pub(crate) fn take_over(&mut self) {
        self.start_planner();
        let (Some(replicated), now_ms) = (self.replicated.clone(), self.now_ms()) else { return };
        let ReplicatedState { version, entries, weights, pools } = replicated;
        let list = List { version, base: 0, now_ms, entries: entries.clone() };
        self.queue.borrow_mut().record(Event::ListTold(list));
        self.with_controller(|controller| {
            let list = EndpointList { version, base_version: 0, now_ms, entries };
            controller.endpoints_received(Duration::ZERO, &list);
            controller.restore_pools(&pools);
            controller.restore_weights(&weights);
        });
    }

    /// Starts a new planner of the same deployment.
    pub(crate) fn start_planner(&mut self) {
        // The deployment is supported: the day's first planner started with it.
        let _ = self.start_controller();
    }

    /// Returns the time since the day's beginning.
    pub(crate) fn now(&self) -> Duration {
        self.queue.borrow().now
    }

    /// Returns the time since the planner's start.
    pub(crate) fn planner_now(&self) -> Duration {
        self.now().saturating_sub(self.planner_started)
    }

    /// Returns the index of a zone.
    pub(crate) fn zone(&self, name: &str) -> u16 {
        self.day.deployment.zones.iter().position(|z| z == name).unwrap_or_default() as u16
    }

    /// Returns true if no message passes between two zones.
    pub(crate) fn partitioned(&self, a: u16, b: u16) -> bool {
        a != b && (self.cut_zones.contains(&a) || self.cut_zones.contains(&b))
    }

    /// Calls the controller, if one runs, and schedules its next timer.
    pub(crate) fn with_controller(&mut self, call: impl FnOnce(&mut Controller<PlannerOutput>)) {
        let Some(controller) = &mut self.controller else { return };
        call(controller);
        let due = self.planner_started + controller.next_timer();
        if self.timer_at.is_none_or(|at| due < at) {
            self.timer_at = Some(due);
            self.queue.borrow_mut().at(due, Scheduled::PlannerTimer);
        }
    }

    /// Handles an event, or defers it if the planner that it is for is suspended.
    fn handle(&mut self, due: Scheduled) -> Result<(), SimulationError> {
        let for_planner = matches!(
            due,
            Scheduled::PlannerTimer
                | Scheduled::Join(_)
                | Scheduled::ToPlanner { .. }
                | Scheduled::StreamEnded(_)
                | Scheduled::EndpointPoll(_)
                | Scheduled::HealthCheckFinished { .. }
        );
        if self.stalled && for_planner {
            self.deferred.push(due);
            return Ok(());
        }
        match due {
            Scheduled::PlannerTimer => {
                let now = self.planner_now();
                if self.timer_at.is_some_and(|at| at <= self.now()) {
                    self.timer_at = None;
                    self.with_controller(|controller| controller.timer_fired(now));
                }
            }
            Scheduled::ClientRequest(kind) => self.client_request(kind),
            Scheduled::Input(input) => {
                self.apply_input(input);
                self.schedule_next_input()?;
            }
            Scheduled::ClientAttempt(id) => self.client_attempt(id),
            Scheduled::Connect { id, server } => self.connect(id, server),
            Scheduled::AttemptArrives { id, server, starts, call } => {
                self.receive_attempt(id, server, starts, call)
            }
            Scheduled::WorkCompleted { server, starts } => self.complete_work(server, starts),
            Scheduled::ResponseArrives { answer } => self.receive_response(answer),
            Scheduled::AttemptLost { id, not_run } => self.attempt_lost(id, not_run),
            Scheduled::Dial(proxy) => self.dial(proxy),
            Scheduled::Join(stream) => self.join(stream),
            Scheduled::ToProxy { stream, message } => self.deliver_to_proxy(stream, message),
            Scheduled::ToPlanner { stream, message } => self.deliver_to_planner(stream, message),
            Scheduled::StreamEnded(stream) => {
                self.with_controller(|controller| controller.stream_closed(stream))
            }
            Scheduled::SendReport(stream) => self.send_report(stream),
            Scheduled::EndpointPoll(have) => self.poll_endpoints(have),
            Scheduled::PublishList { changed } => self.publish(changed),
            // A list that arrives at a suspended planner waits until the planner resumes.
            Scheduled::ListArrives { version, base, entries } if self.stalled => {
                self.deferred.push(Scheduled::ListArrives { version, base, entries });
            }
            Scheduled::ListArrives { version, base, entries } => self.receive_list(version, base, entries),
            Scheduled::HealthCheckFinished { server, result } => {
                let now = self.planner_now();
                self.with_controller(|controller| controller.health_check_finished(now, server, result));
            }
            Scheduled::ReplicateState => self.replicate_state(),
            Scheduled::FaultBegins(i) => self.begin_fault(i),
            Scheduled::FaultEnds(i) => self.end_fault(i),
            Scheduled::Redeploy { server, step, drain, down, other } => {
                self.redeploy(server, step, drain, down, other);
            }
        }
        Ok(())
    }
}
